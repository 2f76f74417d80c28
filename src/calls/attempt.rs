//! What one server's answer to one attempt means.

use crate::{
    base::Verdict,
    net::{CallError, FullResponse},
    platform, //
};
use hyper::{
    HeaderMap,
    StatusCode, //
};

/// What became of one attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The server's own whole answer, good or bad.
    Answered(FullResponse),
    /// Nothing that may be handed on.
    Failed {
        /// Whether it tells of the server's end.
        server_status: ServerStatus,
        reason: &'static str,
        /// Whether the failure speaks against the server.
        server_fault: bool,
        verdict: Verdict,
    },
}

impl AttemptOutcome {
    /// Whether its server has begun to run the request, or may have.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Failed { verdict, .. } => verdict.may_have_run(),
        }
    }
}

/// What a failed attempt tells of its server's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServerStatus {
    /// Its connection broke amid the request: it may have ended.
    ConnectionLost,
    /// Nothing listens at its address, or another life does: it has ended.
    Gone,
    /// It answered.
    Alive,
    /// There is no telling.
    Unknown,
}

impl ServerStatus {
    pub(super) fn of(error: &CallError) -> Self {
        match error {
            CallError::Broken { .. } => Self::ConnectionLost,
            _ if error.is_refused() => Self::Gone,
            _ => Self::Unknown,
        }
    }
}

/// Judges what came back for the attempt of the request `id`.
pub(super) fn classify(id: &str, outcome: Result<FullResponse, CallError>) -> AttemptOutcome {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(error) => {
            let reason = match error {
                CallError::Broken { .. } => "connection-broke",
                CallError::Connect { .. } => "no-connection",
                CallError::Timeout { .. } => "silence",
                CallError::TooLarge { .. } => "too-large",
            };
            return AttemptOutcome::Failed {
                server_status: ServerStatus::of(&error),
                reason,
                server_fault: true,
                verdict: error.verdict(),
            };
        }
    };

    // A late answer of an earlier request can come where the answer to this
    // one is expected. The id tells them apart; without the check a caller
    // would get another's answer.
    let echoed = answer.headers.get(platform::ATTEMPT_ID);
    if is_refusal(answer.status, &answer.headers) {
        if matches!(answer.status.as_u16(), 429 | 503) {
            return AttemptOutcome::Failed {
                server_status: ServerStatus::Alive,
                reason: "server-full",
                server_fault: false,
                verdict: Verdict::NotRun,
            };
        }
        let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
        return AttemptOutcome::Failed {
            server_status: if misdirected {
                ServerStatus::Gone
            } else {
                ServerStatus::Alive
            },
            reason: "misdirected",
            server_fault: true,
            verdict: Verdict::NotRun,
        };
    }
    if echoed.is_none_or(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return failed("foreign-answer", false, Verdict::MayHaveRun);
    }
    let sealed = platform::signature(&answer.headers).is_some();
    let encoded = answer.headers.contains_key(hyper::header::CONTENT_ENCODING);
    if !sealed || encoded {
        return failed("unsealed-answer", true, Verdict::MayHaveRun);
    }
    AttemptOutcome::Answered(answer)
}

/// Whether a server's answer says that it did not run the request.
pub(super) fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    platform::not_executed(headers) || status == StatusCode::MISDIRECTED_REQUEST
}

fn failed(reason: &'static str, server_fault: bool, verdict: Verdict) -> AttemptOutcome {
    AttemptOutcome::Failed {
        server_status: ServerStatus::Unknown,
        reason,
        server_fault,
        verdict,
    }
}
