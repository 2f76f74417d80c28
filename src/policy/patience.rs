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
pub struct Patience {
    latency: Latency,
    /// Calls in a row that were given up.
    missed: u32,
}

/// How many times what answers take of late one is waited for: nearly all come
/// within three times, and another try costs as much again.
const FACTOR: f64 = 6.0;

/// The shortest wait: beyond it a busy instance, or a new connection, is no lost
/// answer.
const LEAST: Millis = Millis(300);

/// What a call that knows of no answer of late expects: then the shortest wait holds.
const USUAL: f64 = 0.0;

/// The longest: an answer that takes longer is asked better anew.
const MOST: Millis = Millis(1_500);

/// Waits are doubled for so many calls in a row that were given up.
const DOUBLED_MOST: u32 = 3;

impl Patience {
    /// How long an answer is waited for now.
    pub fn wait(&self, now: Millis) -> Millis {
        let wait = Millis((self.latency.estimate(now, USUAL) * FACTOR) as u64);
        let wait = wait.clamp(LEAST, MOST);
        Millis(wait.0 << self.missed.min(DOUBLED_MOST)).min(MOST)
    }

    /// An answer took `taken`.
    pub fn note(&mut self, now: Millis, taken: Millis) {
        self.latency.note(now, USUAL, taken.0 as f64);
        self.missed = 0;
    }

    /// An answer was given up. It may have been lost, which says nothing of what
    /// others take; several in a row say that the store is slow.
    pub fn give_up(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }
}
