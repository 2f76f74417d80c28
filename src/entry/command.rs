//! What other duties ask of the traffic duty.

use super::{
    server::ServerKey,
    view::View, //
};
use crate::{
    base::{Failure, Millis, Priority, RequestId, Span, Tokens, WeightVersion},
    policy::{admission::Limits, explanation::Explanation},
    wire::{EngineState, Finish, Order, Work}, //
};
use bytes::Bytes;
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A request to be routed, run and answered.
pub(super) struct NewCall {
    pub(super) class: String,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    pub(super) key: Option<String>,
    pub(super) limits: Limits,
    /// The oldest weights that will do, for generations.
    pub(super) min_version: WeightVersion,
    pub(super) pool: String,
    pub(super) priority: Priority,
    pub(super) reply: mpsc::Sender<Reply>,
    pub(super) request: RequestId,
    /// The share of the team's successes that may be retried, in percent.
    pub(super) retry_share: u64,
    pub(super) team: String,
    pub(super) work: Work,
}

/// What comes back for a call.
#[derive(Debug)]
pub(super) enum Reply {
    /// The agent took this much of the request's body.
    Credit(u32),
    Data(Bytes),
    End(Option<Finish>),
    Failed(Failure),
    Head {
        status: u16,
        headers: Vec<(String, Bytes)>,
    },
    Spans(Vec<Span>),
    /// Tokens from an index on; those before at these indices are void.
    Tokens(u32, Tokens),
}

/// The replies that may wait for one call; the window bounds them by bytes,
/// and each costs at least `MESSAGE_COST` of it.
pub(super) const MAX_QUEUED_REPLIES: usize =
    (crate::wire::WINDOW / crate::wire::MESSAGE_COST) as usize + 8;

/// A command to the traffic duty.
pub(super) enum Command {
    Body {
        request: RequestId,
        bytes: Bytes,
        last: bool,
    },
    Credit {
        request: RequestId,
        bytes: u32,
    },
    /// Whole answers of these were handed to their callers' connections.
    Delivered(Vec<RequestId>),
    Explain(RequestId, oneshot::Sender<Result<Explanation, Failure>>),
    Order {
        order: Order,
        reply: oneshot::Sender<Result<EngineState, Failure>>,
        server: ServerKey,
    },
    Start(Box<NewCall>),
    View(oneshot::Sender<View>),
}

/// The commands that may wait. A full ring refuses new calls, and makes body
/// parts and credit wait.
pub(super) const MAX_QUEUED_COMMANDS: usize = 2_048;
