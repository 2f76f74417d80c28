//! Decides how a gateway whose event loop lags sends its callers elsewhere.
//!
//! Load pattern: gateways with less than a tenth of a core get as many callers as others, or
//! all gateways are slowed down at once.

use crate::base::{
    Millis,
    stable_hash, //
};

/// How late the event loop of a gateway was, and what follows from it.
#[derive(Clone, Copy, Debug)]
pub struct LoopLag {
    group: u64,
    /// Since when each sample was above [`HIGH_LAG`].
    high_since: Option<Millis>,
    /// Whether callers are asked to close their connections.
    is_overloaded: bool,
    /// Whether the gateway is not ready while it has its turn.
    is_unready: bool,
    /// Since when each sample was above [`SEVERE_LAG`].
    severe_since: Option<Millis>,
    started: Millis,
    /// When the gateway last became not ready.
    unready_at: Option<Millis>,
}

/// The interval of the timer that measures the lag.
pub const SAMPLE_INTERVAL: Millis = Millis(50);

/// Above this lag for [`HIGH_TIME`], callers are asked to close their connections.
const HIGH_LAG: Millis = Millis(100);
const HIGH_TIME: Millis = Millis(1_000);

/// Above this lag for [`SEVERE_TIME`], the gateway is not ready.
const SEVERE_LAG: Millis = Millis(500);
const SEVERE_TIME: Millis = Millis(2_000);

/// The least time between two moments at which the gateway becomes not ready.
const UNREADY_INTERVAL: Millis = Millis(10_000);

/// The lag is not judged this soon after the start, when the first configuration is read.
const START_TIME: Millis = Millis(3_000);

/// Gateways may be not ready in turn, for this long.
const TURN_TIME: Millis = Millis(5_000);

/// The number of turns. The hash makes groups of uneven sizes: 12 groups of 29 or 39 gateways
/// have one with more than a quarter of them for 2% or 1% of random sets of names, 8 groups for
/// 18% or 15%, and 4 groups always.
const TURNS: u64 = 12;

impl LoopLag {
    /// The state of the gateway `instance`, which started at `now`.
    pub fn new(instance: &str, now: Millis) -> Self {
        Self {
            group: stable_hash(&[b"lag turn", instance.as_bytes()]) % TURNS,
            high_since: None,
            is_overloaded: false,
            is_unready: false,
            severe_since: None,
            started: now,
            unready_at: None,
        }
    }

    /// Records that the timer was `lag` late at `now`. `shared` is the time by a clock that all
    /// gateways share.
    pub fn record(&mut self, lag: Millis, now: Millis, shared: Millis) {
        if now.since(self.started) < START_TIME {
            return;
        }
        self.high_since = (lag > HIGH_LAG).then(|| self.high_since.unwrap_or(now));
        self.severe_since = (lag > SEVERE_LAG).then(|| self.severe_since.unwrap_or(now));
        let lasts = |since: Option<Millis>, time| since.is_some_and(|at| now.since(at) >= time);
        self.is_overloaded = lasts(self.high_since, HIGH_TIME);
        let severe = lasts(self.severe_since, SEVERE_TIME) && self.has_turn(shared);
        let may_begin = self
            .unready_at
            .is_none_or(|at| now.since(at) >= UNREADY_INTERVAL);
        let was_unready = self.is_unready;
        self.is_unready = severe && (was_unready || may_begin);
        if self.is_unready && !was_unready {
            self.unready_at = Some(now);
        }
    }

    /// Whether callers are asked to close their connections.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Whether the gateway is ready, at `shared` by the clock that all gateways share. It is
    /// once its turn is over, even if its loop did not get to record another sample.
    pub fn is_ready(&self, shared: Millis) -> bool {
        !self.is_unready || !self.has_turn(shared)
    }

    fn has_turn(&self, shared: Millis) -> bool {
        shared.0 / TURN_TIME.0 % TURNS == self.group
    }
}
