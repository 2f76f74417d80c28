//! Conditional transactions and their outcomes.

use super::{
    Key,
    Row, //
};
use bytes::Bytes;

/// Writes to one part, in any tables, that the store applies atomically.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The revision that each of these rows must have; 0 for a row that must not exist.
    pub expect: Vec<(Key, u64)>,
    pub remove: Vec<Key>,
    pub set: Vec<(Key, Bytes)>,
}

/// The outcome of a transaction that the store answered.
#[derive(Clone, Debug)]
pub enum TransactionOutcome {
    /// All writes were applied, at this revision.
    Done { revision: u64 },
    /// A row did not have its expected revision, so no write was applied. `rows` holds
    /// the current state of the rows of [`Transaction::expect`].
    Conflict { rows: Vec<Row> },
}
