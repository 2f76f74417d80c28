//! An adaptive timeout for the store's answers.
//!
//! Load pattern: the store answers thousands of calls in a few ms each. For seconds it
//! may lose a third of its answers, or take sixty times as long for each. With a fixed
//! timeout, every lost answer costs the whole timeout: 1.5 s in which a runner's
//! heartbeat is not renewed, a claimed bundle does not start, and finished texts are not
//! listed. With a timeout that is too short, a slow store's answers are never received.

use super::latency::Latency;
use crate::base::Millis;

/// A timeout that follows the latency of recent answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    latency: Latency,
    /// Consecutive calls that timed out.
    timeouts: u32,
}

/// The timeout as a multiple of the recent latency. Nearly all answers arrive within
/// three times the latency, and another try costs as much again.
const LATENCY_FACTOR: f64 = 6.0;

/// The shortest timeout: answers that a busy instance or a new connection delays by
/// less don't count as lost.
const MIN_TIMEOUT: Millis = Millis(300);

/// The latency in ms that is assumed without recent answers; [`MIN_TIMEOUT`] applies
/// then.
const UNKNOWN_LATENCY: f64 = 0.0;

/// The longest timeout: rather than waiting longer, the call is made again.
const MAX_TIMEOUT: Millis = Millis(1_500);

/// The timeout doubles with each consecutive call that timed out, at most this many
/// times.
const MAX_DOUBLINGS: u32 = 3;

impl AdaptiveTimeout {
    /// The timeout of a call that is made at `now`.
    pub fn timeout(&self, now: Millis) -> Millis {
        let timeout = Millis((self.latency.estimate(now, UNKNOWN_LATENCY) * LATENCY_FACTOR) as u64);
        let timeout = timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        Millis(timeout.0 << self.timeouts.min(MAX_DOUBLINGS)).min(MAX_TIMEOUT)
    }

    /// Records an answer that took `taken`.
    pub fn record(&mut self, now: Millis, taken: Millis) {
        self.latency.record(now, UNKNOWN_LATENCY, taken.0 as f64);
        self.timeouts = 0;
    }

    /// Records a call that timed out. A single answer may have been lost, which shows
    /// nothing about the latency of others; several in a row show that the store is
    /// slow.
    pub fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}
