//! Conditional writes.

use super::{
    Key,
    Row, //
};
use bytes::Bytes;

/// Writes to one part, in any tables, that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The revision each row must have; 0 for a row that must not exist.
    pub expect: Vec<(Key, u64)>,
    pub remove: Vec<Key>,
    pub set: Vec<(Key, Bytes)>,
}

/// What became of a transaction that the store answered.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// All of it was done, at this revision.
    Done { revision: u64 },
    /// None of it was done: these are the expected rows as they stand.
    Conflict { rows: Vec<Row> },
}
