//! The order in which a batch's results were listed.

use serde::{
    Deserialize,
    Serialize, //
};

/// The row that all who list results of a batch contend for.
///
/// # Invariants
///
/// An item's index stands in `listed` at most once, and `listed` only grows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Nothing more need be listed.
    pub ended: bool,
    /// The indices of the listed items; the place is the result's position.
    pub listed: Vec<u16>,
}

impl Log {
    /// Whether the item at `index` is listed.
    pub fn contains(&self, index: u16) -> bool {
        self.listed.contains(&index)
    }
}
