//! Classifies the result of sending a request to one server.

use crate::{
    base::Verdict,
    net::{CallError, FullResponse},
    platform::{self, is_refusal},
    policy::server_load::ServerLoad, //
};
use hyper::StatusCode;

/// The result of one attempt: one request sent to one server.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The server's own complete response, whatever its status.
    Answered(FullResponse),
    /// No response that may be forwarded to the caller.
    Failed {
        /// The load that the server reported, if it answered that it did not run the request.
        load: Option<ServerLoad>,
        server_status: ServerStatus,
        reason: &'static str,
        /// Whether the failure counts against the server's circuit breaker.
        server_fault: bool,
        /// Whether the server may have run the request.
        verdict: Verdict,
    },
}

impl AttemptOutcome {
    /// Whether the server ran the request or may have run it.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Failed { verdict, .. } => verdict.may_have_run(),
        }
    }
}

/// What a failed attempt shows about the server process: whether it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServerStatus {
    /// The connection broke during the request, so the process may have ended.
    ConnectionLost,
    /// As [`Self::ConnectionLost`], but the process had not read the request.
    ConnectionReset,
    /// Nothing listens at the address, or a later incarnation does: the process has ended.
    Gone,
    /// The process answered.
    Alive,
    /// The attempt doesn't show whether the process has ended.
    Unknown,
}

impl ServerStatus {
    /// What `error` shows about the server.
    pub(super) fn from_error(error: &CallError) -> Self {
        match error {
            CallError::Broken { unread: true, .. } => Self::ConnectionReset,
            CallError::Broken { .. } => Self::ConnectionLost,
            _ if error.is_refused() => Self::Gone,
            _ => Self::Unknown,
        }
    }
}

/// The reason of an attempt that a server with too many requests did not run.
pub(super) const FULL_REASON: &str = "server-full";

/// The reason of an attempt for which no connection could be opened.
pub(super) const NO_CONNECTION_REASON: &str = "no-connection";

/// The reason of an attempt that the server neither answered nor refused in time.
pub(super) const SILENCE_REASON: &str = "silence";

/// The reason of an attempt that was not sent, as its server accepts no more calls, or the call may
/// not be sent to any.
pub(super) const WITHDRAWN_REASON: &str = "withdrawn";

/// The reason of an attempt that got no complete response.
pub(super) fn failure_reason(error: &CallError) -> &'static str {
    match error {
        CallError::Broken { .. } => "connection-broke",
        CallError::Connect { .. } => NO_CONNECTION_REASON,
        CallError::Foreign { .. } => "foreign-answer",
        CallError::Invalid { .. } => "invalid-answer",
        CallError::Timeout { .. } => SILENCE_REASON,
        CallError::TooLarge { .. } => "too-large",
        CallError::Withdrawn { .. } => WITHDRAWN_REASON,
    }
}

/// Classifies the response or the error of an attempt.
pub(super) fn classify(outcome: Result<FullResponse, CallError>) -> AttemptOutcome {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(error) => {
            return AttemptOutcome::Failed {
                load: None,
                server_status: ServerStatus::from_error(&error),
                reason: failure_reason(&error),
                // Another request's answer, or none at all, shows nothing about the server's
                // health.
                server_fault: !matches!(
                    error,
                    CallError::Foreign { .. } | CallError::Withdrawn { .. }
                ),
                verdict: error.verdict(),
            };
        }
    };

    if is_refusal(answer.status, &answer.headers) {
        let load = platform::server_load(&answer.headers);
        if matches!(answer.status.as_u16(), 429 | 503) {
            return AttemptOutcome::Failed {
                load,
                server_status: ServerStatus::Alive,
                reason: FULL_REASON,
                server_fault: false,
                verdict: Verdict::NotRun,
            };
        }
        let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
        return AttemptOutcome::Failed {
            load,
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
    AttemptOutcome::Answered(answer)
}
