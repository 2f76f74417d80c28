//! How long an answer of the store is waited for.
//!
//! Load pattern: the store answers thousands of calls in some ms each. For seconds
//! it may lose a third of its answers, or take sixty times as long for each. Who
//! waits a fixed time loses it whole with every lost answer: 1.5 s in which a
//! runner's heartbeat is not renewed, a claimed bundle doesn't begin, and finished
//! texts are not listed. Who waits for too short a time gets no answer at all from
//! a store that is slow.

use super::latency::Latency;
use crate::base::Millis;

/// What answers take of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    latency: Latency,
    /// Calls in a row that were given up.
    timeouts: u32,
}

/// How many times what answers take of late one is waited for: nearly all come
/// within three times, and another try costs as much again.
const LATENCY_FACTOR: f64 = 6.0;

/// The shortest wait: beyond it a busy instance, or a new connection, is no lost
/// answer.
const MIN_TIMEOUT: Millis = Millis(300);

/// What a call that knows of no answer of late expects: then the shortest wait holds.
const UNKNOWN_LATENCY: f64 = 0.0;

/// The longest: an answer that takes longer is asked better anew.
const MAX_TIMEOUT: Millis = Millis(1_500);

/// Waits are doubled for so many calls in a row that were given up.
const MAX_DOUBLINGS: u32 = 3;

impl AdaptiveTimeout {
    /// How long an answer is waited for now.
    pub fn timeout(&self, now: Millis) -> Millis {
        let timeout = Millis((self.latency.estimate(now, UNKNOWN_LATENCY) * LATENCY_FACTOR) as u64);
        let timeout = timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        Millis(timeout.0 << self.timeouts.min(MAX_DOUBLINGS)).min(MAX_TIMEOUT)
    }

    /// An answer took `taken`.
    pub fn note(&mut self, now: Millis, taken: Millis) {
        self.latency.note(now, UNKNOWN_LATENCY, taken.0 as f64);
        self.timeouts = 0;
    }

    /// An answer was given up. It may have been lost, which says nothing of what
    /// others take; several in a row say that the store is slow.
    pub fn note_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}
