//! What one server's answer to one attempt means.

use crate::{
    base::Verdict,
    net::{Answer, CallError},
    platform, //
};
use hyper::{
    HeaderMap,
    StatusCode, //
};

/// What became of one attempt.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The server's own whole answer, good or bad.
    Answered(Answer),
    /// Nothing that may be handed on.
    Failed {
        reason: &'static str,
        /// Whether the failure speaks against the server.
        server_fault: bool,
        verdict: Verdict,
    },
}

/// Judges what came back for the attempt of the request `id`.
pub(super) fn judge(id: &str, outcome: Result<Answer, CallError>) -> Attempt {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(error) => {
            let reason = match error {
                CallError::Broken { .. } => "connection-broke",
                CallError::Connect { .. } => "no-connection",
                CallError::Timeout { .. } => "silence",
                CallError::TooLarge { .. } => "too-large",
            };
            return failed(reason, true, error.verdict());
        }
    };

    // A late answer of an earlier request can come where the answer to this
    // one is expected. The id tells them apart; without the check a caller
    // would get another's answer.
    let echoed = answer.headers.get(platform::ATTEMPT_ID);
    if is_refusal(answer.status, &answer.headers) {
        let full = matches!(answer.status.as_u16(), 429 | 503);
        let reason = if full { "server-full" } else { "misdirected" };
        return failed(reason, !full, Verdict::NotRun);
    }
    if echoed.is_none_or(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return failed("foreign-answer", false, Verdict::MayHaveRun);
    }
    let sealed = platform::signature(&answer.headers).is_some();
    let encoded = answer.headers.contains_key(hyper::header::CONTENT_ENCODING);
    if !sealed || encoded {
        return failed("unsealed-answer", true, Verdict::MayHaveRun);
    }
    Attempt::Answered(answer)
}

/// Whether a server's answer says that it did not run the request.
pub(super) fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    platform::not_executed(headers) || status == StatusCode::MISDIRECTED_REQUEST
}

fn failed(reason: &'static str, server_fault: bool, verdict: Verdict) -> Attempt {
    Attempt::Failed {
        reason,
        server_fault,
        verdict,
    }
}
