//! Which orders are overtaken by newer ones.

use crate::base::{
    Fence,
    WeightVersion, //
};
use std::collections::HashMap;

/// The decision on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// The lease's row must be read first: this process has just started.
    Unknown,
    Pass,
    /// A newer order has been seen.
    Stale(Fence),
}

/// The highest fencing number seen for each lease.
///
/// # Invariants
///
/// A number only grows. An order below it never passes, whether or not the
/// backend server checks fencing numbers itself.
#[derive(Debug, Default)]
pub struct Fences {
    highest: HashMap<String, (Fence, WeightVersion)>,
}

impl Fences {
    /// The table shows that the lease has reached `fence`.
    pub fn learn(&mut self, lease: &str, fence: Fence) {
        let known = self.highest.entry(lease.to_owned()).or_default();
        if fence > known.0 {
            *known = (fence, WeightVersion::default());
        }
    }

    /// The number under which orders go to the engine: the highest of all leases.
    ///
    /// Each trainer's lease counts its own epochs, but an engine keeps one highest
    /// number for all of them. Under its own lease's number an order of a trainer
    /// that was never taken over was refused for good once another trainer had been:
    /// the step stood still, while the lease's own number is checked here anyway.
    pub fn highest(&self) -> Fence {
        let all = self.highest.values().map(|(fence, _)| *fence);
        all.max().unwrap_or_default()
    }

    /// Rules on an order for `version` under `fence`, and notes it if it passes.
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

    /// An engine knows one number for all leases. Orders for a lease at epoch 1
    /// follow those for a lease at epoch 4, and must not go to it under a lower one.
    #[test]
    fn the_engines_number_never_falls() {
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
