//! What a follower of a table learns.

use bytes::Bytes;

/// One row's change, each at most once and in the store's order.
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
