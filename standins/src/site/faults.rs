//! Faults that a test injects into the store.

use redwingpond::base::Millis;

/// How the store fails to answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// Answers 503 without executing the request.
    Busy,
    /// Works normally.
    #[default]
    None,
    /// Closes every connection without executing the request.
    Reset,
    /// Never answers and does not execute the request.
    Silent,
}

/// The store's current faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// `(n, delay)`: every n-th write is applied after `delay` and never answered.
    pub late_writes: Option<(u64, Millis)>,
    /// `n`: every n-th write is applied, but never answered.
    pub lost_answers: Option<u64>,
    /// `(n, outage)`: the n-th claim from now on is stored, but its answer is lost, and from then
    /// on the store fails like this.
    pub lost_claim: Option<(u64, Outage)>,
    pub outage: Outage,
    /// Added to the time of each answer.
    pub delay: Millis,
}
