//! Failures as they are sent between processes and to callers.

use super::{
    Cause,
    Millis,
    Verdict, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a request got no complete answer, and whether it may have run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    pub cause: Cause,
    pub detail: String,
    /// How long the caller should wait before it retries; `None` if a retry is not
    /// worthwhile.
    pub retry_after: Option<Millis>,
    pub verdict: Verdict,
}

impl Failure {
    /// Creates the failure of a request that may have run.
    pub fn may_have_run(cause: Cause, detail: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, cause, detail)
    }

    /// Creates a failure with `verdict` and without a retry time.
    pub fn new(verdict: Verdict, cause: Cause, detail: impl Into<String>) -> Self {
        Self {
            cause,
            detail: detail.into(),
            retry_after: None,
            verdict,
        }
    }

    /// Creates the failure of a request that did not run.
    pub fn not_run(cause: Cause, detail: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, cause, detail)
    }

    /// Sets how long the caller should wait before it retries.
    #[must_use]
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
