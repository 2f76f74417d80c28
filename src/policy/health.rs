//! Whether a server gets its share, by what its callers saw.

use crate::base::Millis;

/// A server's record of late: failures take its share away, trials win it back.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Failures in a row.
    failures: u32,
    /// When the next trial call may go to it, while it is out.
    trial_at: Millis,
}

/// Failures in a row that take a server out.
const FAILURE_THRESHOLD: u32 = 3;

/// The wait before the first trial; it doubles with each failed one.
const MIN_TRIAL_DELAY: Millis = Millis(500);

/// The longest wait before a trial.
const MAX_TRIAL_DELAY: Millis = Millis(8_000);

impl CircuitBreaker {
    /// An attempt at the server failed through the server's or the link's fault.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
        let wait = (MIN_TRIAL_DELAY.0 << doublings).min(MAX_TRIAL_DELAY.0);
        self.trial_at = now + Millis(wait);
    }

    /// Whether the server is taken out.
    pub fn is_open(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    /// Whether the server may get this call: it is in, or a trial is due.
    pub fn allows(&self, now: Millis) -> bool {
        !self.is_open() || now >= self.trial_at
    }

    /// An attempt at the server succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// A call was sent to a server that is out: no other until it has an outcome
    /// or the wait has passed again.
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
    fn out_after_failures_and_back_by_trial() {
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
