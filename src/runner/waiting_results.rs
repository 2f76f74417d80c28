//! The results of a batch that wait to be listed.

use crate::batch::{Log, Sample};

/// The results that this runner has and the log doesn't list yet, in the order of their
/// arrival.
///
/// # Invariants
///
/// An item has at most one result: the first one that was added.
#[derive(Debug, Default)]
pub(super) struct WaitingResults {
    /// The results with their item indices.
    samples: Vec<(u16, Sample)>,
}

/// The most results in one transaction, and the most bytes of their texts: the store
/// limits the size of a transaction.
const MAX_APPEND_RESULTS: usize = 24;
const MAX_APPEND_BYTES: usize = 400 * 1024;

impl WaitingResults {
    /// Adds the result of the item at `index`; returns false if the item has one already.
    pub(super) fn add(&mut self, index: u16, sample: Sample) -> bool {
        if self.contains(index) {
            return false;
        }
        self.samples.push((index, sample));
        true
    }

    /// Whether the item at `index` has a result here.
    pub(super) fn contains(&self, index: u16) -> bool {
        self.samples.iter().any(|(of, _)| *of == index)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Removes the results of the items that `log` lists.
    pub(super) fn remove_listed(&mut self, log: &Log) {
        self.samples.retain(|(index, _)| !log.contains(*index));
    }

    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }

    /// The first results that fit into one transaction; at least one if there is any.
    pub(super) fn next_append(&self) -> Vec<(u16, Sample)> {
        let mut bytes = 0;
        let fits = |(_, sample): &&(u16, Sample)| {
            bytes += sample.text.len();
            bytes <= MAX_APPEND_BYTES
        };
        let few = self.samples.iter().take(MAX_APPEND_RESULTS);
        let samples: Vec<_> = few.take_while(fits).cloned().collect();
        if samples.is_empty() {
            return self.samples.first().cloned().into_iter().collect();
        }
        samples
    }
}
