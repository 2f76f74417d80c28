//! Decides when an old batch is given up and when it is removed.

use crate::base::Millis;

/// The age of a batch and the limits that apply to it.
#[derive(Clone, Copy, Debug)]
pub struct BatchAge {
    /// Time since its submission, by the store's clock.
    pub age: Millis,
    /// Whether no more results have to be listed.
    pub over: bool,
    /// How long the batch must stay readable.
    pub retention: Millis,
    /// How long an item may take; 0 if the route sets no limit.
    pub ttl: Millis,
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

/// Decides what to do with a batch. An unfinished batch is never removed: its items are
/// given up first.
pub fn decide(batch: BatchAge) -> Action {
    let given_up = batch.ttl > Millis(0) && batch.age > batch.ttl;
    let kept = Millis((batch.retention.0 as f64 * KEEP_FACTOR) as u64);
    match batch.over {
        false if given_up => Action::GiveUp,
        true if batch.age > kept => Action::Remove,
        _ => Action::Keep,
    }
}
