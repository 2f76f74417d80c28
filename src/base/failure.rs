//! A failure as it travels between processes and to callers.

use super::{
    Cause,
    Millis,
    Verdict, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a request got no whole answer, and whether it may have run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    pub cause: Cause,
    pub detail: String,
    /// When asking again is worthwhile; absent when it is not.
    pub retry_after: Option<Millis>,
    pub verdict: Verdict,
}

impl Failure {
    /// A failure of a request that may have run.
    pub fn may_have_run(cause: Cause, detail: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, cause, detail)
    }

    /// A failure with `verdict` and no time for another try.
    pub fn new(verdict: Verdict, cause: Cause, detail: impl Into<String>) -> Self {
        Self {
            cause,
            detail: detail.into(),
            retry_after: None,
            verdict,
        }
    }

    /// A failure of a request that did not run.
    pub fn not_run(cause: Cause, detail: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, cause, detail)
    }

    /// The same failure, telling the caller when to ask again.
    #[must_use]
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
