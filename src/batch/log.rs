//! The log of a batch's results.

use serde::{
    Deserialize,
    Serialize, //
};

/// The order of a batch's results. A result is listed once the log gives it a position;
/// trainers read results by position. Runners append with a conditional write of this
/// row, so that one result per item is listed.
///
/// # Invariants
///
/// `listed` contains an item's index at most once, and only grows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Whether the trainer has ended the batch: no more results are wanted.
    pub ended: bool,
    /// The indices of the listed items, by the position of their results.
    listed: Vec<u16>,
}

impl Log {
    /// Whether a result of the item at `index` is listed.
    pub fn contains(&self, index: u16) -> bool {
        self.listed.contains(&index)
    }

    /// The indices of the listed items, by the position of their results.
    pub fn listed(&self) -> &[u16] {
        &self.listed
    }

    /// Lists the item at `index` and returns the position of its result; `None` if it is
    /// listed already.
    pub fn list(&mut self, index: u16) -> Option<usize> {
        if self.contains(index) {
            return None;
        }
        self.listed.push(index);
        Some(self.listed.len() - 1)
    }
}
