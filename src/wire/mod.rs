//! Messages between our own processes and the links that carry them.

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

/// One stream on a link: a generational key of the entry's call arena.
///
/// The agent only echoes it. An answer that comes after the slot was reused
/// carries the old generation and so finds nobody.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Slot(pub u64);

/// The bytes that a stream's sender may have under way before it needs credit.
pub const STREAM_WINDOW: u32 = 64 * 1024;

/// What a message costs of its stream's window beside its payload, so that
/// many tiny messages are bounded too.
pub const MESSAGE_COST: u32 = 64;

/// The largest payload put into one data message.
pub const MAX_CHUNK: usize = 32 * 1024;
