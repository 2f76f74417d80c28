//! Which orders are overtaken by newer ones.

use crate::base::{
    Fence,
    WeightVersion, //
};
use std::collections::HashMap;

/// The decision on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ruling {
    /// The lease's row must be read first: this process has just started.
    Ask,
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

    /// Rules on an order for `version` under `fence`, and notes it if it passes.
    pub fn rule(&mut self, lease: &str, fence: Fence, version: WeightVersion) -> Ruling {
        let Some(highest) = self.highest.get_mut(lease) else {
            return Ruling::Ask;
        };
        if (fence, version) < *highest {
            return Ruling::Stale(highest.0);
        }
        *highest = (fence, version);
        Ruling::Pass
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn older_orders_never_pass() {
        let mut fences = Fences::default();
        let mut rule = |fence, version| fences.rule("l", fence, WeightVersion(version));
        assert_eq!(rule(3, 1), Ruling::Ask);
        fences.learn("l", 3);
        let mut rule = |fence, version| fences.rule("l", fence, WeightVersion(version));
        assert_eq!(rule(2, 9), Ruling::Stale(3));
        assert_eq!(rule(3, 5), Ruling::Pass);
        assert_eq!(rule(3, 4), Ruling::Stale(3));
        assert_eq!(rule(3, 5), Ruling::Pass);
        assert_eq!(rule(4, 1), Ruling::Pass);
        assert_eq!(rule(3, 9), Ruling::Stale(4));
    }
}
