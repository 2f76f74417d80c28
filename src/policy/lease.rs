//! Leases in the table: which process holds one, and under which epoch. The holder of a
//! trainer's lease owns that trainer's steps.

use crate::base::{
    Fence,
    Incarnation,
    Millis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A lease as stored in the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The address of the holder's link port.
    pub address: String,
    /// Increases with each change of holder; the fencing token of the holder's orders.
    pub epoch: Fence,
    /// The instance that holds the lease; empty if none does.
    pub holder: String,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// Increases with each renewal, so that a watcher sees that the holder is alive
    /// without comparing the clocks of two instances.
    pub renewals: u64,
}

/// The prefix of the paths of trainers' lease rows.
pub const LEASE_PREFIX: &str = "leases/";

/// A lease that was not renewed for this long, by the watcher's own clock, may be taken
/// over.
pub const LEASE_DURATION: Millis = Millis(4_000);

/// How often a holder renews its lease.
pub const RENEW_INTERVAL: Millis = Millis(1_000);

/// What one process has observed of a lease's row.
#[derive(Clone, Debug, Default)]
pub struct LeaseWatch {
    /// When the row was last seen to change.
    changed: Millis,
    row: Option<Lease>,
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    pub epoch: Fence,
    /// When the holder began the write that last took or renewed the lease.
    pub since: Millis,
}

impl HeldLease {
    /// Whether an operation that takes up to `most` may begin at `now`, under a lease
    /// of `length`. Watchers count from when they see the write, which is later, so the
    /// operation is over before any of them takes the lease.
    pub fn allows(&self, now: Millis, most: Millis, length: Millis) -> bool {
        now.since(self.since) + most < length
    }
}

/// A process that wants to hold a lease.
#[derive(Clone, Debug)]
pub struct Claimant {
    pub address: String,
    pub holder: String,
    pub incarnation: Incarnation,
}

impl Claimant {
    /// Whether this process holds the lease: the same incarnation of the same instance.
    pub fn holds(&self, row: &Lease) -> bool {
        row.holder == self.holder && row.incarnation == self.incarnation
    }

    /// The row with which this process takes the lease under `epoch`.
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

/// What a process does about a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Another process holds the lease: forward requests to it.
    Defer(Lease),
    /// This process holds the lease, and has nothing to write.
    Hold(Lease),
    /// Write this row, if the table still has the one that was read.
    Write(Lease),
}

impl LeaseWatch {
    /// Decides what the process `me`, which wants the lease, does. The lease of another
    /// process stays valid for `length` after its row was last seen to change.
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
        // An earlier incarnation of this instance is gone for certain, together with
        // its steps; the new epoch fences off orders that it may have left behind.
        let gone = row.holder.is_empty() || row.holder == me.holder;
        if idle < length && !gone {
            return LeaseAction::Defer(row.clone());
        }
        LeaseAction::Write(me.lease(row.epoch + 1))
    }

    /// Records the row that the table holds at `now`.
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
    fn actions_by_holder_and_idle_time() {
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
