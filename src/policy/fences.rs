//! Detects orders that newer ones have superseded, by their fencing tokens.

use crate::base::{
    Fence,
    WeightVersion, //
};
use std::collections::HashMap;

/// The result of checking an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// No fencing token of the lease is known, because this process has just started:
    /// the lease's row must be read first.
    Unknown,
    /// No newer order is known.
    Pass,
    /// A newer order is known, under this fencing token.
    Stale(Fence),
}

/// The highest fencing token seen for each lease.
///
/// # Invariants
///
/// A token never decreases. An order with a lower token never passes, whether or not
/// the backend server checks fencing tokens itself.
#[derive(Debug, Default)]
pub struct Fences {
    /// By lease: the fencing token, and the newest version ordered under it.
    highest: HashMap<String, (Fence, WeightVersion)>,
}

impl Fences {
    /// Records that the lease has reached `fence`, as the table shows.
    pub fn learn(&mut self, lease: &str, fence: Fence) {
        let known = self.highest.entry(lease.to_owned()).or_default();
        if fence > known.0 {
            *known = (fence, WeightVersion::default());
        }
    }

    /// The fencing token that orders to the engine carry: the highest of all leases.
    ///
    /// Each trainer's lease counts its own epochs, but an engine keeps a single highest
    /// number for all of them. When orders carried the number of their own lease, the
    /// engine refused every order of a trainer that was never taken over once another
    /// trainer had been, and the step did not go on. The number of the order's own lease
    /// is checked here anyway.
    pub fn highest(&self) -> Fence {
        let all = self.highest.values().map(|(fence, _)| *fence);
        all.max().unwrap_or_default()
    }

    /// Checks an order for `version` under `fence`, and records it if it passes.
    pub fn check(&mut self, lease: &str, fence: Fence, version: WeightVersion) -> FenceCheck {
        let Some(highest) = self.highest.get_mut(lease) else {
            return FenceCheck::Unknown;
        };
        if (fence, version) < *highest {
            return FenceCheck::Stale(highest.0);
        }
        *highest = (fence, version);
        FenceCheck::Pass
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn older_orders_never_pass() {
        let mut fences = Fences::default();
        let mut check = |fence, version| fences.check("l", fence, WeightVersion(version));
        assert_eq!(check(3, 1), FenceCheck::Unknown);
        fences.learn("l", 3);
        let mut check = |fence, version| fences.check("l", fence, WeightVersion(version));
        assert_eq!(check(2, 9), FenceCheck::Stale(3));
        assert_eq!(check(3, 5), FenceCheck::Pass);
        assert_eq!(check(3, 4), FenceCheck::Stale(3));
        assert_eq!(check(3, 5), FenceCheck::Pass);
        assert_eq!(check(4, 1), FenceCheck::Pass);
        assert_eq!(check(3, 9), FenceCheck::Stale(4));
    }

    /// An engine keeps one number for all leases: an order for a lease at epoch 1 that
    /// follows one for a lease at epoch 4 must not carry a lower number.
    #[test]
    fn the_number_sent_to_the_engine_never_decreases() {
        let mut fences = Fences::default();
        assert_eq!(fences.highest(), 0);
        fences.learn("taken-over", 4);
        fences.learn("calm", 1);
        let mut highest = 0;
        for (lease, fence, version) in [
            ("calm", 1, 1),
            ("taken-over", 4, 1),
            ("calm", 1, 2),
            ("taken-over", 5, 1),
            ("calm", 1, 3),
        ] {
            let result = fences.check(lease, fence, WeightVersion(version));
            assert_eq!(result, FenceCheck::Pass, "{lease} {version}");
            assert!(fences.highest() >= highest);
            highest = fences.highest();
        }
        assert_eq!(highest, 5);
    }
}
