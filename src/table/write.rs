//! Conditional writes to the platform's table.

use serde::{
    Deserialize,
    Serialize, //
};

/// One row's change, made only if the row has the expected version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The version that the row must have; 0 for a row that must not exist.
    pub expect: u64,
    pub path: String,
    /// The new content; `None` removes the row.
    pub value: Option<String>,
}

/// Writes that take effect together or not at all.
///
/// The token names the operation: repeating it with the same token returns
/// the first outcome, so an answer that was lost is found by asking again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    pub token: String,
    pub writes: Vec<Write>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionOutcome {
    /// The new version of each row, in the order of the writes.
    Committed(Vec<u64>),
    /// A row had another version than expected; nothing was changed.
    Conflict { path: String, version: u64 },
}
