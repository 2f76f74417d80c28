//! Conditional writes to the platform's table.

use serde::{
    Deserialize,
    Serialize, //
};

/// A change of one row, made only if the row has the expected version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// The version that the row must have; 0 for a row that must not exist.
    pub expect: u64,
    pub path: String,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// Writes that are committed together or not at all.
///
/// `token` is the idempotency key: sending the transaction again with the same token
/// returns the first outcome. So a sender whose answer was lost repeats the request.
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
    /// The row at `path` has `version` instead of the expected one; nothing was changed.
    Conflict { path: String, version: u64 },
}
