//! A circuit breaker for each server, and the share of its attempts that failed.

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

/// The share of a server's last attempts that failed. It shows a server that fails some
/// attempts, or that works only at times: a success closes the circuit breaker and leaves
/// most of the share.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    /// When the last outcome was recorded.
    at: Millis,
    /// The weights of the attempts that failed, and of all attempts.
    failed: f64,
    total: f64,
}

/// The number of attempts that the share covers; the weight of older ones is below 1/e.
const SHARE_WINDOW: f64 = 20.0;

/// The successful attempts assumed in addition, so that one failure of an unknown server does
/// not count as a share of 1.
const ASSUMED_SUCCESSES: f64 = 2.0;

/// The time in which the weight of outcomes halves. A server that failed all attempts gets
/// another one after half a minute.
const SHARE_HALF_LIFE: Millis = Millis(10_000);

impl FailureShare {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Millis, failed: bool) {
        let kept = self.kept(now) * (1.0 - 1.0 / SHARE_WINDOW);
        self.failed = self.failed * kept + f64::from(u8::from(failed));
        self.total = self.total * kept + 1.0;
        self.at = now;
    }

    /// The share, from 0 to 1.
    pub fn value(&self, now: Millis) -> f64 {
        let kept = self.kept(now);
        self.failed * kept / (self.total * kept + ASSUMED_SUCCESSES)
    }

    /// The part of the weights that the time since the last outcome leaves.
    fn kept(&self, now: Millis) -> f64 {
        0.5_f64.powf(now.since(self.at).0 as f64 / SHARE_HALF_LIFE.0 as f64)
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

    #[test]
    fn failures_count_for_a_while() {
        let mut share = FailureShare::default();
        share.record(Millis(0), true);
        assert!(share.value(Millis(0)) < 0.5, "one failure of one attempt");
        for _ in 0..20 {
            share.record(Millis(0), true);
        }
        share.record(Millis(0), false);
        assert!(share.value(Millis(0)) > 0.75, "one success after failures");
        assert!(share.value(Millis(60_000)) < 0.2, "a minute later");
    }
}
