//! A circuit breaker for each server, driven by the outcomes of attempts at it.

use crate::base::Millis;

/// Takes a server out of service after consecutive failures, until a trial call
/// succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Consecutive failures.
    failures: u32,
    /// When the next trial call may be sent, while the breaker is open.
    trial_at: Millis,
}

/// The number of consecutive failures that opens the breaker.
const FAILURE_THRESHOLD: u32 = 3;

/// The wait before the first trial call; it doubles with each failed one.
const MIN_TRIAL_DELAY: Millis = Millis(500);

/// The longest wait before a trial call.
const MAX_TRIAL_DELAY: Millis = Millis(8_000);

impl CircuitBreaker {
    /// Records an attempt that failed through the fault of the server or of the link to
    /// it.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
        let wait = (MIN_TRIAL_DELAY.0 << doublings).min(MAX_TRIAL_DELAY.0);
        self.trial_at = now + Millis(wait);
    }

    /// Whether the breaker is open: the server gets only trial calls.
    pub fn is_open(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    /// Whether the server may get a call now: the breaker is closed, or a trial is due.
    pub fn allows(&self, now: Millis) -> bool {
        !self.is_open() || now >= self.trial_at
    }

    /// Records a successful attempt, which closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that a call is sent to the server. If the breaker is open, it allows no
    /// other call until this one has an outcome or the shortest trial delay has passed.
    pub fn begin_trial(&mut self, now: Millis) {
        if self.is_open() {
            self.trial_at = now + MIN_TRIAL_DELAY;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn opens_after_failures_and_closes_after_a_successful_trial() {
        let mut breaker = CircuitBreaker::default();
        for _ in 0..FAILURE_THRESHOLD {
            assert!(breaker.allows(Millis(0)));
            breaker.record_failure(Millis(0));
        }
        assert!(!breaker.allows(Millis(499)));
        assert!(breaker.allows(Millis(500)));

        breaker.begin_trial(Millis(500));
        assert!(!breaker.allows(Millis(501)));

        breaker.record_success();
        assert!(breaker.allows(Millis(501)));
    }
}
