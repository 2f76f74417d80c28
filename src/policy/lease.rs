//! Who owns a trainer's steps, and since which epoch.

use crate::base::{
    Fence,
    Incarnation,
    Millis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The lease as the table holds it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The address of the holder's link port.
    pub address: String,
    /// Grows with each change of holder; the fencing number of its orders.
    pub epoch: Fence,
    pub holder: String,
    /// Which life of the holder this is.
    pub incarnation: Incarnation,
    /// Grows with each renewal, so that a watcher sees a live holder without
    /// comparing two instances' clocks.
    pub renewals: u64,
}

/// The prefix of the rows that hold trainers' leases.
pub const LEASE_PREFIX: &str = "leases/";

/// A lease that was not renewed for this long, by the watcher's own clock,
/// may be taken over.
pub const LEASE_DURATION: Millis = Millis(4_000);

/// How often a holder renews.
pub const RENEW_INTERVAL: Millis = Millis(1_000);

/// One process's view of one lease row.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatch {
    changed: Millis,
    row: Option<Lease>,
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    pub epoch: Fence,
    /// When the write was begun that took or renewed it last.
    pub since: Millis,
}

impl HeldLease {
    /// Whether something that takes up to `most` may begin at `now`, under a lease of
    /// `length`. Others count from when they see the write, which is later: what
    /// begins here is over before any of them acts.
    pub fn allows(&self, now: Millis, most: Millis, length: Millis) -> bool {
        now.since(self.since) + most < length
    }
}

/// A process that wants a lease.
#[derive(Clone, Debug)]
pub struct Claimant {
    pub address: String,
    pub holder: String,
    pub incarnation: Incarnation,
}

impl Claimant {
    /// Whether `row` is this very process's.
    pub fn holds(&self, row: &Lease) -> bool {
        row.holder == self.holder && row.incarnation == self.incarnation
    }

    fn lease(&self, epoch: Fence) -> Lease {
        Lease {
            address: self.address.clone(),
            epoch,
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            renewals: 0,
        }
    }
}

/// What to do about a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Somebody else holds it: pass requests on.
    Defer(Lease),
    /// Held here, nothing to do.
    Hold(Lease),
    /// Write this row if the table still has the one that was read.
    Write(Lease),
}

impl LeaseWatch {
    /// Decides for the process `me`, which wants the lease; others keep it for
    /// `length` after the last sign of theirs.
    pub fn decide(&self, now: Millis, me: &Claimant, length: Millis) -> LeaseAction {
        let Some(row) = &self.row else {
            return LeaseAction::Write(me.lease(1));
        };
        let idle = now.since(self.changed);

        if me.holds(row) {
            if idle < RENEW_INTERVAL {
                return LeaseAction::Hold(row.clone());
            }
            return LeaseAction::Write(Lease {
                renewals: row.renewals + 1,
                ..row.clone()
            });
        }
        // An earlier life of this very instance is gone for certain, and its
        // steps with it; the new epoch fences off what it may have left.
        let gone = row.holder.is_empty() || row.holder == me.holder;
        if idle < length && !gone {
            return LeaseAction::Defer(row.clone());
        }
        LeaseAction::Write(me.lease(row.epoch + 1))
    }

    /// Notes what the table holds at `now`.
    pub fn observe(&mut self, now: Millis, row: Option<Lease>) {
        if self.row != row {
            self.changed = now;
            self.row = row;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Test {
        holder: &'static str,
        idle: u64,
        incarnation: u64,
        writes_epoch: Option<u64>,
    }

    impl Test {
        fn run(self) {
            let mut watch = LeaseWatch::default();
            let row = Lease {
                address: "a".into(),
                epoch: 7,
                holder: self.holder.into(),
                incarnation: Incarnation(self.incarnation),
                renewals: 3,
            };
            watch.observe(Millis(100), Some(row));
            let me = Claimant {
                address: "a".into(),
                holder: "me".into(),
                incarnation: Incarnation(5),
            };
            let action = watch.decide(Millis(100 + self.idle), &me, LEASE_DURATION);
            let epoch = match action {
                LeaseAction::Write(lease) => Some(lease.epoch),
                LeaseAction::Defer(_) | LeaseAction::Hold(_) => None,
            };
            assert_eq!(epoch, self.writes_epoch, "{} {}", self.holder, self.idle);
        }
    }

    #[test]
    fn decisions() {
        for (holder, incarnation, idle, writes_epoch) in [
            ("me", 5, 0, None),
            ("me", 5, RENEW_INTERVAL.0, Some(7)),
            ("me", 4, 0, Some(8)),
            ("other", 5, RENEW_INTERVAL.0, None),
            ("other", 5, LEASE_DURATION.0 - 1, None),
            ("other", 5, LEASE_DURATION.0, Some(8)),
            ("", 5, 0, Some(8)),
        ] {
            Test {
                holder,
                idle,
                incarnation,
                writes_epoch,
            }
            .run();
        }
    }
}
