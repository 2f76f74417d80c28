//! States whether a request has run at its backend server.

use serde::{
    Deserialize,
    Serialize, //
};

/// What is known about whether a request ran at its backend server.
///
/// After a request was sent to an agent, only that agent may report [`Verdict::NotRun`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It may or may not have run: the process that knew does not answer or has ended.
    MayHaveRun,
    /// It did not run and will not run.
    NotRun,
    /// It was started at its backend server.
    Ran,
}

impl Verdict {
    /// Whether a caller must assume that the request may have run.
    pub fn may_have_run(self) -> bool {
        self != Self::NotRun
    }
}
