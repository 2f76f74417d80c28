//! Why the store did not answer a call as asked.

use crate::net::CallError;
use snafu::Snafu;

/// A call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The store is away: nothing was sent.
    #[snafu(display("the store is away"))]
    Unreachable,
    /// The changes asked for are no longer kept: list the table afresh.
    #[snafu(display("the store no longer keeps the changes that were asked for"))]
    HistoryLost,
    /// The store said that it did nothing.
    #[snafu(display("the store did nothing: status {status}"))]
    NotDone { status: u16 },
    /// The store's answer is not understood.
    #[snafu(display("the store's answer is not understood: {message}"))]
    InvalidMessage { message: String },
    /// The store refused the call for good.
    #[snafu(display("the store refused the call: status {status}"))]
    Refused { status: u16 },
    /// No whole answer came: the call may have been done, or may be done later.
    #[snafu(display("the store's answer is unknown: {source}"))]
    Unknown { source: CallError },
}

impl StoreError {
    /// Whether a write that failed so has certainly not been done and never will be.
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
