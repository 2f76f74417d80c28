//! Responses that are not the answer of their peer.

use hyper::{
    HeaderMap,
    StatusCode, //
};
use snafu::{
    Snafu,
    ensure, //
};
use std::ops::RangeInclusive;

/// Why a response is not the answer to its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidAnswer {
    #[snafu(display("the answer has status {status}, and says that the request did not run"))]
    Contradictory { status: u16 },
    #[snafu(display("the answer's body is encoded"))]
    Encoded,
    #[snafu(display("{status} is not the status of an answer"))]
    Status { status: u16 },
    #[snafu(display("the answer is not signed"))]
    Unsigned,
}

impl InvalidAnswer {
    /// The label of metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Contradictory { .. } => "contradictory",
            Self::Encoded => "encoded",
            Self::Status { .. } => "status",
            Self::Unsigned => "unsigned",
        }
    }
}

/// Checks whether the response with this status and these headers is an answer.
pub type AnswerCheck = fn(StatusCode, &HeaderMap) -> Result<(), InvalidAnswer>;

/// The statuses of final responses. No request here asks for another protocol, so that 101 is
/// none of them.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Checks the status of a response, as it must be for any request.
pub fn check_status(status: StatusCode, _headers: &HeaderMap) -> Result<(), InvalidAnswer> {
    let status = status.as_u16();
    ensure!(FINAL_STATUSES.contains(&status), StatusSnafu { status });
    Ok(())
}
