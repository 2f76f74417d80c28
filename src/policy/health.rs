//! Whether a server gets its share, by what its callers saw.

use crate::base::Millis;

/// A server's record of late: failures take its share away, trials win it back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures in a row.
    failures: u32,
    /// When the next trial call may go to it, while it is out.
    trial_at: Millis,
}

/// Failures in a row that take a server out.
const FAILURES_OUT: u32 = 3;

/// The wait before the first trial; it doubles with each failed one.
const FIRST_TRIAL: Millis = Millis(500);

/// The longest wait before a trial.
const LAST_TRIAL: Millis = Millis(8_000);

impl Health {
    /// An attempt at the server failed through the server's or the link's fault.
    pub fn fail(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < FAILURES_OUT {
            return;
        }
        let doublings = (self.failures - FAILURES_OUT).min(8);
        let wait = (FIRST_TRIAL.0 << doublings).min(LAST_TRIAL.0);
        self.trial_at = now + Millis(wait);
    }

    /// Whether the server is taken out.
    pub fn is_out(&self) -> bool {
        self.failures >= FAILURES_OUT
    }

    /// Whether the server may get this call: it is in, or a trial is due.
    pub fn may_get(&self, now: Millis) -> bool {
        !self.is_out() || now >= self.trial_at
    }

    /// An attempt at the server succeeded.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// A call was sent to a server that is out: no other until it has an outcome
    /// or the wait has passed again.
    pub fn try_once(&mut self, now: Millis) {
        if self.is_out() {
            self.trial_at = now + FIRST_TRIAL;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn out_after_failures_and_back_by_trial() {
        let mut health = Health::default();
        for _ in 0..FAILURES_OUT {
            assert!(health.may_get(Millis(0)));
            health.fail(Millis(0));
        }
        assert!(!health.may_get(Millis(499)));
        assert!(health.may_get(Millis(500)));

        health.try_once(Millis(500));
        assert!(!health.may_get(Millis(501)));

        health.succeed();
        assert!(health.may_get(Millis(501)));
    }
}
