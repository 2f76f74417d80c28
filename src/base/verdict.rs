//! Whether a request may have run.

use serde::{
    Deserialize,
    Serialize, //
};

/// What is known of a request's execution at its backend server.
///
/// Once a request was handed to an agent, only that agent may say [`Verdict::NotRun`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It may or may not have run: whoever knew is silent or gone.
    MayHaveRun,
    /// It did not run and will not run.
    NotRun,
    /// It was started at its backend server.
    Ran,
}

impl Verdict {
    /// Whether a caller has to reckon with the request having run.
    pub fn may_have_run(self) -> bool {
        self != Self::NotRun
    }
}
