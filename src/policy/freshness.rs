//! Limits the age of the configuration in force.
//!
//! Load pattern: a gateway is partitioned from the store, or the store is unreachable,
//! while operators revoke keys. What the gateway read last may be used for a limited
//! time only.

use crate::base::Millis;

/// When the store last confirmed that the configuration in force is the newest. All
/// times are read from a clock that also runs while the process is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The maximum age of a confirmation; `None` if the operators set no limit.
    max_age: Option<Millis>,
    /// When the last request was sent whose answer confirmed the configuration.
    confirmed: Option<Millis>,
}

/// Subtracted from the operators' limit: clocks are read in whole milliseconds, at two
/// moments, on an instance that may be slow.
const CLOCK_SLACK: Millis = Millis(500);

/// How long a caller with a key is asked to wait while the configuration is too old to
/// check the key: another gateway may reach the store.
pub const RETRY_AFTER_STALE_CONFIG: Millis = Millis(200);

impl Freshness {
    /// No configuration is confirmed yet. A key must stop working within `revocation`
    /// of its removal.
    pub fn new(revocation: Option<Millis>) -> Self {
        Self {
            max_age: revocation.map(|within| within.since(CLOCK_SLACK)),
            confirmed: None,
        }
    }

    /// Whether the age of the configuration is limited.
    pub fn is_bounded(&self) -> bool {
        self.max_age.is_some()
    }

    /// Records that the store's answer to a request sent at `asked` confirmed the
    /// configuration. The time of sending counts, because the answer may have been in
    /// transit while this process was suspended or partitioned.
    pub fn confirm(&mut self, asked: Millis) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Whether requests that arrived by `now` may be checked with the configuration: a
    /// key that was removed longer ago than the limit is not in it.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) < max_age)
    }

    /// Whether a request that was sent at `at` or later confirmed the configuration.
    pub fn is_confirmed_since(&self, at: Millis) -> bool {
        self.confirmed.is_some_and(|confirmed| confirmed >= at)
    }
}
