//! Messages between entries and agents, and the links that carry them.

mod codec;
mod frame;
mod from_agent;
mod generation;
mod handshake;
mod hello;
mod link;
mod message_error;
mod order;
mod report;
mod start;
mod to_agent;

pub use self::{
    codec::{MAX_FRAME, decode, encode},
    frame::Frame,
    from_agent::FromAgent,
    generation::{FinishReason, Generation, Sampling},
    handshake::{HandshakeError, PeerConnection, handshake},
    hello::{Hello, Role},
    link::{Link, LinkEvent, LinkTuning, run_link},
    message_error::MessageError,
    order::{EngineState, ModelState, Order, OrderKind},
    report::Report,
    start::{CallHead, Start, Work},
    to_agent::ToAgent, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies one stream of a link. The entry chooses it, and the agent only echoes it. For
/// a request it is a generational key of the entry's arena of attempts.
///
/// A message that arrives after the entry has reused the place in the arena carries the
/// old generation, so it matches no attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Slot(pub u64);

/// The flow-control window: the bytes that the sender of a stream may send before it gets
/// more credit.
pub const STREAM_WINDOW: u32 = 64 * 1024;

/// The bytes that each message takes of the window beside its payload, so that the number
/// of tiny messages is limited too.
pub const MESSAGE_COST: u32 = 64;

/// The largest payload of one data message, in bytes.
pub const MAX_CHUNK: usize = 32 * 1024;
