//! Keys of rows, and rows as the store returns them.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies a row: its table, its part of the table, and its key within the part.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    pub table: &'static str,
    pub part: String,
    pub key: String,
}

impl Key {
    /// Identifies the row `key` in `part` of `table`.
    pub fn new(table: &'static str, part: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            table,
            part: part.into(),
            key: key.into(),
        }
    }
}

/// A row and the revision at which it was last written or removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    pub part: String,
    pub key: String,
    /// `None` if the row was removed at this revision.
    pub value: Option<Bytes>,
    /// The store's global write counter at the row's last change.
    pub revision: u64,
}

/// Rows of a table as of one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    pub rows: Vec<Row>,
    /// Whether more rows follow in the next page.
    pub more: bool,
    pub revision: u64,
}
