//! A call, and how it ended.

use super::StreamAttempt;
use crate::{
    base::{Fingerprint, Millis},
    net::{FullResponse, StreamingResponse},
    routing::{Route, Workspace}, //
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method, //
};
use std::sync::Arc;

/// A request to be answered by one of a service's servers.
#[derive(Clone, Debug)]
pub struct Call {
    pub body: Bytes,
    /// Names what it asks; its retries have the same.
    pub fingerprint: Fingerprint,
    /// Without those that concern one connection.
    pub headers: HeaderMap,
    pub id: String,
    pub method: Method,
    /// Path and query.
    pub path: String,
    pub route: Arc<Route>,
    /// When its caller or its route gives it up.
    pub deadline: Millis,
    /// The workspace that asks; it goes by the key that the caller showed.
    pub workspace: Option<Arc<Workspace>>,
}

impl Call {
    /// How urgent it is: as its workspace is, or else as its route is.
    pub fn priority(&self) -> Option<u32> {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.or(self.route.priority)
    }
}

/// How a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// A server's whole answer, to be handed on unchanged. `failures` servers
    /// answered that they failed, this one included if it did.
    Answered { answer: FullResponse, failures: u32 },
    /// It may have run, and its answer is lost; `failures` servers answered
    /// that they failed.
    Lost { failures: u32, reason: String },
    /// It did not run and will not; it is worth asking again after the wait.
    NotRun { reason: String, wait: Millis },
    /// Its time is over.
    TimedOut,
}

/// How the opening of a stream ended.
pub enum StreamOutcome {
    /// A server answers; its body is still to be read.
    Opened(Box<StreamingResponse>, StreamAttempt),
    /// It may have run, and its answer is lost.
    Lost { reason: String },
    /// It did not run and will not; it is worth asking again after the wait.
    NotRun { reason: String, wait: Millis },
}
