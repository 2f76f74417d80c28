//! A request for a backend server, and its result.

use super::StreamAttempt;
use crate::{
    base::{Fingerprint, Millis},
    net::{FullResponse, StreamingResponse},
    policy::call_queue::Urgency,
    routing::{Route, Workspace}, //
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method, //
};
use std::sync::Arc;

/// A request that one of a service's backend servers is to answer.
#[derive(Clone, Debug)]
pub struct Call {
    pub body: Bytes,
    /// Identifies what is requested; the caller's retries have the same fingerprint.
    pub fingerprint: Fingerprint,
    /// The request's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The request's id; the server has to echo it.
    pub id: String,
    pub method: Method,
    /// Path and query.
    pub path: String,
    pub route: Arc<Route>,
    /// The earlier of the caller's deadline and the route's.
    pub deadline: Millis,
    pub urgency: Urgency,
    /// The workspace whose key the caller presented; `None` if it presented none.
    pub workspace: Option<Arc<Workspace>>,
}

impl Call {
    /// The priority of the workspace, or else that of the route; 0 is the most urgent.
    pub fn priority(&self) -> Option<u32> {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.or(self.route.priority)
    }
}

/// The result of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// A server's complete response, to be forwarded unchanged. `failures` is the
    /// number of attempts answered with status 500, this response included.
    Answered { answer: FullResponse, failures: u32 },
    /// The request may have run, but there is no response to forward. `failures` is
    /// the number of attempts answered with status 500.
    Lost { failures: u32, reason: String },
    /// The request did not run and won't; the caller may retry after `wait`.
    NotRun { reason: String, wait: Millis },
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// The result of opening a stream.
pub enum StreamOutcome {
    /// A server has begun to answer; the body is still to be read.
    Opened(Box<StreamingResponse>, StreamAttempt),
    /// The request may have run, but there is no response to forward.
    Lost { reason: String },
    /// The request did not run and won't; the caller may retry after `wait`.
    NotRun { reason: String, wait: Millis },
}
