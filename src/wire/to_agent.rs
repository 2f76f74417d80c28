//! Messages from an entry to an agent.

use super::{
    Order,
    Slot,
    Start, //
};
use crate::base::RequestId;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// A message from an entry to an agent, or to another entry that answers its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// The entry no longer needs the answer.
    Cancel { slot: Slot },
    /// Flow control: the caller consumed `bytes` of the answer, including the
    /// [`MESSAGE_COST`](super::MESSAGE_COST) of each message.
    Credit { slot: Slot, bytes: u32 },
    /// The next part of the request's body; `last` marks the end.
    Data {
        slot: Slot,
        bytes: Bytes,
        last: bool,
    },
    /// An order to the engine.
    Order { slot: Slot, order: Order },
    /// Asks for the agent's account of a request.
    Query { slot: Slot, request: RequestId },
    /// Cancels the request if it has not started. The agent keeps a tombstone, by which
    /// it refuses a start of this attempt that arrives later. No entry sends this message
    /// at present.
    Revoke {
        attempt: u8,
        slot: Slot,
        request: RequestId,
    },
    /// Hands a request to the agent.
    Start(Box<Start>),
}
