//! What becomes of a batch as it grows old.

use crate::base::Millis;

/// A batch's age and bounds.
#[derive(Clone, Copy, Debug)]
pub struct BatchAge {
    /// Since its submission, by the store's clock.
    pub age: Millis,
    /// Whether nothing more has to be listed.
    pub over: bool,
    /// How long it must stay readable.
    pub retention: Millis,
    /// How long an item may take; 0 when the route names no bound.
    pub ttl: Millis,
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// List the items that are left as given up.
    GiveUp,
    Keep,
    /// Remove it from the store.
    Remove,
}

/// Batches are kept this much longer than promised, as the clocks of those who
/// read them differ: half as long again.
const KEEP_FACTOR: f64 = 1.5;

/// Judges a batch. One that is still open is never removed: its items are given
/// up first.
pub fn decide(batch: BatchAge) -> Action {
    let given_up = batch.ttl > Millis(0) && batch.age > batch.ttl;
    let kept = Millis((batch.retention.0 as f64 * KEEP_FACTOR) as u64);
    match batch.over {
        false if given_up => Action::GiveUp,
        true if batch.age > kept => Action::Remove,
        _ => Action::Keep,
    }
}
