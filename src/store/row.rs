//! Rows as they are read.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// Names a row within a part.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    pub table: &'static str,
    pub part: String,
    pub key: String,
}

impl Key {
    /// The row `key` of `part` in `table`.
    pub fn new(table: &'static str, part: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            table,
            part: part.into(),
            key: key.into(),
        }
    }
}

/// A row and the revision that wrote it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    pub part: String,
    pub key: String,
    /// `None` for a row that was removed at this revision.
    pub value: Option<Bytes>,
    /// The store's counter at the row's last change.
    pub revision: u64,
}

/// Rows as of one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    pub rows: Vec<Row>,
    /// Whether more rows follow these.
    pub more: bool,
    pub revision: u64,
}
