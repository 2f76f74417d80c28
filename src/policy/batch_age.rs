//! Decides when an old batch is given up and when it is removed.

use crate::base::Millis;

/// The age of a batch and the limits that apply to it.
#[derive(Clone, Copy, Debug)]
pub struct BatchAge {
    /// Time since its submission, by the store's clock.
    pub age: Millis,
    /// How many complete batches that nobody has ended were submitted after it.
    pub newer: usize,
    /// How long the batch must stay readable at least.
    pub retention: Millis,
    pub state: BatchState,
    /// How long an item may take; 0 if the route sets no limit.
    pub ttl: Millis,
}

/// How far a batch is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchState {
    /// All results are listed, and its trainer has not ended it.
    Complete,
    /// Its trainer has ended it.
    Ended,
    /// Results are missing.
    Unfinished,
}

impl BatchState {
    /// The label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Ended => "ended",
            Self::Unfinished => "unfinished",
        }
    }
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// List the items without a result as given up.
    GiveUp,
    Keep,
    /// Remove it from the store.
    Remove,
}

/// The multiple of the promised retention for which a batch is kept, since the clocks
/// of its readers differ.
const KEEP_FACTOR: f64 = 1.5;

/// The most complete batches that are kept for trainers that don't end them: half of the batches that
/// the store may have, so that trainers that leave without ending theirs can't fill it.
const MAX_COMPLETE: usize = 500;

/// Decides what to do with a batch. An unfinished batch is never removed: its items are
/// given up first. A complete one stays readable until it is ended, unless there are too many.
pub fn decide(batch: BatchAge) -> Action {
    let given_up = batch.ttl > Millis(0) && batch.age > batch.ttl;
    let kept = Millis((batch.retention.0 as f64 * KEEP_FACTOR) as u64);
    let removable = match batch.state {
        BatchState::Unfinished if given_up => return Action::GiveUp,
        BatchState::Unfinished => false,
        BatchState::Complete => batch.newer >= MAX_COMPLETE,
        BatchState::Ended => true,
    };
    match removable && batch.age > kept {
        true => Action::Remove,
        false => Action::Keep,
    }
}
