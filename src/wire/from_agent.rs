//! Messages to an entry.

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

/// What an agent answers to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FromAgent {
    /// The answer to a query.
    Account {
        slot: Slot,
        account: Option<Account>,
    },
    /// The agent took `bytes` of the request's body.
    Credit {
        slot: Slot,
        bytes: u32,
    },
    /// A part of the answer's body.
    Data {
        slot: Slot,
        bytes: Bytes,
    },
    /// The answer is whole. `finish` is set for generations only.
    End {
        slot: Slot,
        finish: Option<FinishReason>,
    },
    Failed {
        slot: Slot,
        failure: Failure,
    },
    Head {
        slot: Slot,
        status: u16,
        headers: Vec<(String, Bytes)>,
    },
    /// The outcome of an order: the state that the engine confirmed after it.
    Ordered {
        slot: Slot,
        result: Result<EngineState, Failure>,
    },
    Report(Report),
    /// The versions that made the tokens so far, confirmed by the engine.
    Spans {
        slot: Slot,
        spans: Vec<Span>,
    },
    /// Tokens from index `from` on; tokens sent before with these or higher
    /// indices are void, since their version could not be confirmed.
    Tokens {
        slot: Slot,
        from: u32,
        tokens: Tokens,
    },
}

impl FromAgent {
    /// The stream that the message belongs to, if it belongs to one.
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
