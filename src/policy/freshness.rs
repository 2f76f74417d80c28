//! How old the configuration in force may be.
//!
//! Load pattern: a gateway is cut off from the store, or the store is away, while the
//! operators take keys away. What it knows then is good for a bounded time only.

use crate::base::Millis;

/// When the store last confirmed that the configuration in force is the newest.
/// All points in time are by a clock that runs on while the process is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// How old a confirmation may be; `None` where the operators set no bound.
    max_age: Option<Millis>,
    /// When the last confirmed question was asked.
    confirmed: Option<Millis>,
}

/// What a confirmation's age leaves of the operators' bound: clocks are read in
/// whole milliseconds, at two moments, on a machine that may be slow.
const CLOCK_SLACK: Millis = Millis(500);

/// When a caller with a key is worth asking again while the configuration is too old to
/// judge it by: another gateway may reach the store.
pub const STALE_RETRY_AFTER: Millis = Millis(200);

impl Freshness {
    /// Nothing is confirmed yet; a key must stop working within `revocation` of its
    /// removal.
    pub fn new(revocation: Option<Millis>) -> Self {
        Self {
            max_age: revocation.map(|within| within.since(CLOCK_SLACK)),
            confirmed: None,
        }
    }

    /// Whether the age of the configuration matters at all.
    pub fn is_bounded(&self) -> bool {
        self.max_age.is_some()
    }

    /// The store's answer to a question of `asked` named the configuration in force.
    /// What counts is when it was asked: the answer may have been on its way while
    /// this process was frozen or cut off.
    pub fn confirm(&mut self, asked: Millis) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Whether requests that arrived by `now` may be judged by it: a key that was
    /// taken away longer ago than the bound is known to be gone.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) < max_age)
    }

    /// Whether the store was asked after `at`.
    pub fn is_confirmed_since(&self, at: Millis) -> bool {
        self.confirmed.is_some_and(|confirmed| confirmed >= at)
    }
}
