//! Commands to the traffic duty, and its replies to calls.

use super::{
    server::ServerKey,
    view::View, //
};
use crate::{
    base::{Failure, Millis, Priority, RequestId, Span, Tokens, WeightVersion},
    policy::{admission::Limits, explanation::Explanation},
    wire::{EngineState, FinishReason, Order, Work}, //
};
use bytes::Bytes;
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A call to be routed, run and answered.
pub(super) struct NewCall {
    pub(super) class: String,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    /// The request key that the caller set.
    pub(super) key: Option<String>,
    pub(super) limits: Limits,
    /// The oldest acceptable weight version, for generations.
    pub(super) min_version: WeightVersion,
    pub(super) pool: String,
    pub(super) priority: Priority,
    /// Receives the replies to the call.
    pub(super) reply: mpsc::Sender<Reply>,
    pub(super) request: RequestId,
    /// The size of the retry budget: the number of retries in percent of the team's
    /// successful calls.
    pub(super) retry_share: u64,
    pub(super) team: String,
    pub(super) work: Work,
}

/// A reply from the traffic duty to the task that started a call.
#[derive(Debug)]
pub(super) enum Reply {
    /// The agent has consumed this many bytes of the request's body.
    Credit(u32),
    /// A part of the response body of a service call.
    Data(Bytes),
    /// The end of the answer; a generation has a finish reason.
    End(Option<FinishReason>),
    Failed(Failure),
    /// The head of the response of a service call.
    Head {
        status: u16,
        headers: Vec<(String, Bytes)>,
    },
    /// Confirmed weight versions of tokens.
    Spans(Vec<Span>),
    /// Tokens from an index on; they replace earlier tokens from there on.
    Tokens(u32, Tokens),
}

/// The most replies that may wait for one call. Almost all take at least `MESSAGE_COST` of
/// the flow-control window, which bounds them; the last places are for those that take
/// none, such as the end.
pub(super) const MAX_QUEUED_REPLIES: usize =
    (crate::wire::STREAM_WINDOW / crate::wire::MESSAGE_COST) as usize + 8;

/// A command to the traffic duty.
pub(super) enum Command {
    /// A further part of a request's body.
    Body {
        request: RequestId,
        bytes: Bytes,
        last: bool,
    },
    /// The caller's side has consumed this many bytes of the answer.
    Credit {
        request: RequestId,
        bytes: u32,
    },
    /// The whole answers to these requests were handed to the callers' connections.
    Delivered(Vec<RequestId>),
    /// Explains what happened to a request.
    Explain(RequestId, oneshot::Sender<Result<Explanation, Failure>>),
    /// An order to a server's engine.
    Order {
        order: Order,
        reply: oneshot::Sender<Result<EngineState, Failure>>,
        server: ServerKey,
    },
    Start(Box<NewCall>),
    /// Sends the current view of the fleet.
    View(oneshot::Sender<View>),
}

/// The most commands that may wait. When the queue is full, callers' new calls are
/// refused, and operators' queries are answered as an unknown path; all other commands
/// wait.
pub(super) const MAX_QUEUED_COMMANDS: usize = 2_048;
