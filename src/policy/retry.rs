//! Decides whether a failed attempt of a call is retried.

use crate::base::{
    Cause,
    Failure,
    Millis,
    Verdict, //
};

/// The state of a call when one of its attempts fails.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The number of attempts made so far.
    pub attempts: u8,
    pub deadline: Millis,
    pub idempotent: bool,
    /// Whether the whole request is available to be sent again.
    pub replayable: bool,
    /// Whether the caller has seen part of an answer that another attempt can't
    /// continue.
    pub visible: bool,
}

/// The decision on a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The failure is returned to the caller.
    GiveUp,
    /// Another server is tried after `wait`. If `paid`, the retry is paid from the
    /// retry budget.
    Retry { paid: bool, wait: Millis },
}

/// The most attempts of one call.
pub const MAX_ATTEMPTS: u8 = 4;

/// Decides under [`super::router::Policy::Baseline`]: up to three immediate retries
/// without a budget.
pub fn decide_baseline(now: Millis, attempt: Attempt, failure: &Failure) -> Decision {
    let safe = attempt.idempotent || !failure.verdict.may_have_run();
    let hopeless = attempt.attempts >= MAX_ATTEMPTS || now >= attempt.deadline;
    if hopeless || !safe || !attempt.replayable || attempt.visible {
        return Decision::GiveUp;
    }
    Decision::Retry {
        paid: false,
        wait: Millis(0),
    }
}

/// Decides under [`super::router::Policy::Current`].
///
/// An attempt that did not run is retried within the limit on attempts. One that may
/// have run is retried only if the call is idempotent. Retries after an overload, and
/// of attempts that may have run, are paid from the retry budget, so that they can't
/// multiply the load of a pool in trouble.
pub fn decide(now: Millis, attempt: Attempt, failure: &Failure) -> Decision {
    let hopeless = matches!(
        failure.cause,
        Cause::BadRequest | Cause::Cancelled | Cause::DeadlinePassed | Cause::Duplicate
    );
    if hopeless || attempt.attempts >= MAX_ATTEMPTS || !attempt.replayable || attempt.visible {
        return Decision::GiveUp;
    }
    if failure.verdict.may_have_run() && !attempt.idempotent {
        return Decision::GiveUp;
    }

    let wait = match failure.cause {
        Cause::Overloaded => failure.retry_after.unwrap_or_default(),
        _ => Millis(0),
    };
    if now + wait >= attempt.deadline {
        return Decision::GiveUp;
    }
    let paid = failure.verdict != Verdict::NotRun || failure.cause == Cause::Overloaded;
    Decision::Retry { paid, wait }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Test {
        cause: Cause,
        decision: Decision,
        idempotent: bool,
        verdict: Verdict,
        visible: bool,
    }

    impl Test {
        fn run(self) {
            let attempt = Attempt {
                attempts: 1,
                deadline: Millis(1_000),
                idempotent: self.idempotent,
                replayable: true,
                visible: self.visible,
            };
            let failure = Failure::new(self.verdict, self.cause, "");
            assert_eq!(decide(Millis(0), attempt, &failure), self.decision);
        }
    }

    const FREE: Decision = Decision::Retry {
        paid: false,
        wait: Millis(0),
    };
    const PAID: Decision = Decision::Retry {
        paid: true,
        wait: Millis(0),
    };

    #[test]
    fn decisions_by_verdict_and_cause() {
        for (verdict, cause, idempotent, visible, decision) in [
            (Verdict::NotRun, Cause::Draining, false, false, FREE),
            (Verdict::NotRun, Cause::Draining, true, false, FREE),
            (
                Verdict::MayHaveRun,
                Cause::LinkLost,
                false,
                false,
                Decision::GiveUp,
            ),
            (Verdict::MayHaveRun, Cause::LinkLost, true, false, PAID),
            (
                Verdict::MayHaveRun,
                Cause::LinkLost,
                true,
                true,
                Decision::GiveUp,
            ),
            (
                Verdict::NotRun,
                Cause::DeadlinePassed,
                true,
                false,
                Decision::GiveUp,
            ),
            (Verdict::NotRun, Cause::Overloaded, true, false, PAID),
            (
                Verdict::NotRun,
                Cause::Duplicate,
                true,
                false,
                Decision::GiveUp,
            ),
        ] {
            Test {
                cause,
                decision,
                idempotent,
                verdict,
                visible,
            }
            .run();
        }
    }
}
