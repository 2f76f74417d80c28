//! A retry budget that successful calls fill.

/// A token bucket that successes fill and retries drain, so that retries stay a share
/// of the traffic however many calls fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The part of a retry that one success pays for.
    share: f64,
    /// The number of retries that can be paid for.
    tokens: f64,
}

/// The most retries that can be saved up; a new budget starts with as many.
const MAX_SAVED_RETRIES: f64 = 20.0;

impl RetryBudget {
    /// A full budget, in which one success pays for `share` of a retry.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: MAX_SAVED_RETRIES,
        }
    }

    /// Pays for one retry; returns false if the budget does not suffice.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_SAVED_RETRIES);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_a_share_of_successes() {
        let mut budget = RetryBudget::new(0.1);
        while budget.spend() {}
        let mut retries = 0;
        for _ in 0..1_000 {
            budget.record_success();
            retries += u32::from(budget.spend());
        }
        assert!((95..=100).contains(&retries), "{retries}");
    }
}
