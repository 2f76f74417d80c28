//! Errors of calls to the store.

use crate::net::CallError;
use snafu::Snafu;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The store is known to be unreachable, so nothing was sent.
    #[snafu(display("the store is unreachable"))]
    Unreachable,
    /// The store, or the parent asked in its place, no longer has the requested changes: the
    /// table must be listed again.
    #[snafu(display("the store no longer has the requested changes"))]
    HistoryLost,
    /// The store answered that it did not execute the call.
    #[snafu(display("the store did not execute the call: status {status}"))]
    NotDone { status: u16 },
    /// The store's answer, or the call to it, could not be decoded or encoded.
    #[snafu(display("invalid message to or from the store: {message}"))]
    InvalidMessage { message: String },
    /// The store rejected the call; a retry would be rejected too.
    #[snafu(display("the store rejected the call: status {status}"))]
    Refused { status: u16 },
    /// No complete answer arrived: the store may have executed the call, or may still
    /// execute it later.
    #[snafu(display("no complete answer from the store: {source}"))]
    Unknown { source: CallError },
}

impl StoreError {
    /// Whether a write that failed with this error has certainly not been executed and
    /// never will be.
    pub fn is_not_done(&self) -> bool {
        match self {
            Self::Unreachable | Self::HistoryLost | Self::NotDone { .. } | Self::Refused { .. } => {
                true
            }
            Self::Unknown { source } => !source.verdict().may_have_run(),
            Self::InvalidMessage { .. } => false,
        }
    }
}
