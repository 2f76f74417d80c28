//! What goes wrong at the store.

use redwingpond::base::Millis;

/// How the store is away.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// It answers 503 and does nothing.
    Busy,
    /// It answers.
    #[default]
    None,
    /// It cuts every connection and does nothing.
    Reset,
    /// It never answers and does nothing.
    Silent,
}

/// What goes wrong at the store at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Every so many writes, one is done this much later and never answered.
    pub late_writes: Option<(u64, Millis)>,
    /// Every so many writes, one is done and its answer is lost.
    pub lost_answers: Option<u64>,
    pub outage: Outage,
    /// Each answer takes this much longer.
    pub delay: Millis,
}
