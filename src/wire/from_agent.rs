//! Messages from an agent to an entry.

use super::{
    EngineState,
    FinishReason,
    Report,
    Slot, //
};
use crate::base::{
    Account,
    Failure,
    Span,
    Tokens, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// A message to an entry from an agent, or from another entry that answers its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FromAgent {
    /// The answer to [`ToAgent::Query`](super::ToAgent::Query); `None` if the agent has no
    /// account of the request.
    Account {
        slot: Slot,
        account: Option<Account>,
    },
    /// Flow control: the agent consumed `bytes` of the request's body, including the
    /// [`MESSAGE_COST`](super::MESSAGE_COST) of each message.
    Credit { slot: Slot, bytes: u32 },
    /// The next part of the answer's body.
    Data { slot: Slot, bytes: Bytes },
    /// The answer is complete. `finish` is set for generations only.
    End {
        slot: Slot,
        finish: Option<FinishReason>,
    },
    /// The request failed; no further message of the stream follows.
    Failed { slot: Slot, failure: Failure },
    /// The status and the headers of the answer to a call.
    Head {
        slot: Slot,
        status: u16,
        headers: Vec<(String, Bytes)>,
    },
    /// The outcome of an order: the engine's confirmed state after it, or why it failed.
    Ordered {
        slot: Slot,
        result: Result<EngineState, Failure>,
    },
    /// The agent's current load and state; belongs to no stream.
    Report(Report),
    /// Weight versions of tokens sent before, confirmed by the engine.
    Spans { slot: Slot, spans: Vec<Span> },
    /// Tokens from index `from` on. They replace any tokens sent before from that index on,
    /// because the weight version of those could not be confirmed.
    Tokens {
        slot: Slot,
        from: u32,
        tokens: Tokens,
    },
}

impl FromAgent {
    /// The stream of the message; `None` for a report.
    pub fn slot(&self) -> Option<Slot> {
        match self {
            Self::Account { slot, .. }
            | Self::Credit { slot, .. }
            | Self::Data { slot, .. }
            | Self::End { slot, .. }
            | Self::Failed { slot, .. }
            | Self::Head { slot, .. }
            | Self::Ordered { slot, .. }
            | Self::Spans { slot, .. }
            | Self::Tokens { slot, .. } => Some(*slot),
            Self::Report(_) => None,
        }
    }
}
