//! Changes of rows, as a follower of a table receives them.

use bytes::Bytes;

/// A change of one row. A follower receives the changes of a row in the order of their
/// revisions, each at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    Put {
        part: String,
        key: String,
        value: Bytes,
        revision: u64,
    },
    Removed {
        part: String,
        key: String,
    },
}
