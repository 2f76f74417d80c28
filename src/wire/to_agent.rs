//! Messages from an entry.

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

/// What an entry sends to an agent, or to another entry that owns a trainer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// Nobody waits for the answer any more.
    Cancel {
        slot: Slot,
    },
    /// The caller took `bytes` of the answer.
    Credit {
        slot: Slot,
        bytes: u32,
    },
    /// A further part of the request's body.
    Data {
        slot: Slot,
        bytes: Bytes,
        last: bool,
    },
    Order {
        slot: Slot,
        order: Order,
    },
    /// Asks what the agent knows of a request.
    Query {
        slot: Slot,
        request: RequestId,
    },
    /// Takes the request back if it has not started; a tombstone stays, so
    /// that a late copy of the start is refused as well.
    Revoke {
        attempt: u8,
        slot: Slot,
        request: RequestId,
    },
    Start(Box<Start>),
}
