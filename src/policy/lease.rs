//! Who owns a trainer's steps, and since which epoch.

use crate::base::{
    Fence,
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
    /// Grows with each renewal, so that a watcher sees a live holder without
    /// comparing two instances' clocks.
    pub renewals: u64,
}

/// A lease that was not renewed for this long, by the watcher's own clock,
/// may be taken over.
pub const LEASE: Millis = Millis(4_000);

/// How often a holder renews.
pub const RENEW: Millis = Millis(1_000);

/// One process's view of one lease row.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    changed: Millis,
    row: Option<Lease>,
}

/// What to do about a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Somebody else holds it: pass requests on.
    Defer(Lease),
    /// Held here, nothing to do.
    Hold(Lease),
    /// Write this row if the table still has the one that was read.
    Write(Lease),
}

impl Watch {
    /// Decides for the process `me` at `address`, which wants the lease.
    pub fn decide(&self, now: Millis, me: &str, address: &str) -> Step {
        let Some(row) = &self.row else {
            return Step::Write(Lease {
                address: address.into(),
                epoch: 1,
                holder: me.into(),
                renewals: 0,
            });
        };
        let idle = now.since(self.changed);

        if row.holder == me && row.address == address {
            if idle < RENEW {
                return Step::Hold(row.clone());
            }
            return Step::Write(Lease {
                renewals: row.renewals + 1,
                ..row.clone()
            });
        }
        if idle < LEASE && !row.holder.is_empty() {
            return Step::Defer(row.clone());
        }
        Step::Write(Lease {
            address: address.into(),
            epoch: row.epoch + 1,
            holder: me.into(),
            renewals: 0,
        })
    }

    /// Notes what the table holds at `now`.
    pub fn see(&mut self, now: Millis, row: Option<Lease>) {
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
        writes_epoch: Option<u64>,
    }

    impl Test {
        fn run(self) {
            let mut watch = Watch::default();
            let row = Lease {
                address: "a".into(),
                epoch: 7,
                holder: self.holder.into(),
                renewals: 3,
            };
            watch.see(Millis(100), Some(row));
            let step = watch.decide(Millis(100 + self.idle), "me", "a");
            let epoch = match step {
                Step::Write(lease) => Some(lease.epoch),
                Step::Defer(_) | Step::Hold(_) => None,
            };
            assert_eq!(epoch, self.writes_epoch, "{} {}", self.holder, self.idle);
        }
    }

    #[test]
    fn decisions() {
        for (holder, idle, writes_epoch) in [
            ("me", 0, None),
            ("me", RENEW.0, Some(7)),
            ("other", RENEW.0, None),
            ("other", LEASE.0 - 1, None),
            ("other", LEASE.0, Some(8)),
            ("", 0, Some(8)),
        ] {
            Test {
                holder,
                idle,
                writes_epoch,
            }
            .run();
        }
    }
}
