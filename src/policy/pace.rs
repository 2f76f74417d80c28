//! Measures an engine's pace, the time that it takes for an event, and detects slow
//! engines.
//!
//! Load pattern: a few to some tens of streams run on an engine at once, each with an
//! event every few tens of ms. Engines of one service differ by a third all the time,
//! and any of them may take four times as long from one moment to the next. A text of
//! 200 events takes seven seconds, so finished runs show a change seconds too late. The
//! gaps between the events of all running ones show it within a second.

use crate::base::Millis;

/// The pace of one engine, averaged over the recent gaps between events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// The number of gaps in the current window.
    gaps: u32,
    /// The sum of these gaps, in ms.
    sum: f64,
    /// When the current window began.
    begun: Millis,
    /// The pace in ms; 0 before the first window has ended.
    value: f64,
}

/// The length of a window: some tens of gaps, while two or more runs are in progress.
const WINDOW_LENGTH: Millis = Millis(500);

/// A window with fewer gaps is ignored.
const MIN_GAPS: u32 = 12;

/// A gap counts for at most this multiple of the known pace. An engine that changes its
/// weights pauses once for about 900 ms, which does not make it slow, while an engine
/// that has become slower is detected after a few windows.
const MAX_GAP_RATIO: f64 = 2.0;

/// The weight of a window's mean gap in the pace.
const WINDOW_WEIGHT: f64 = 0.5;

impl Pace {
    /// Adds the gap between two events of a run, in ms.
    pub fn record(&mut self, gap: f64) {
        let most = match self.value > 0.0 {
            true => self.value * MAX_GAP_RATIO,
            false => f64::INFINITY,
        };
        self.gaps += 1;
        self.sum += gap.min(most);
    }

    /// Returns the pace in ms by all gaps until `now`, or 0 while it is unknown. Ends
    /// the current window if its time is over.
    pub fn update(&mut self, now: Millis) -> f64 {
        if now.since(self.begun) < WINDOW_LENGTH {
            return self.value;
        }
        if self.gaps >= MIN_GAPS {
            let mean = self.sum / f64::from(self.gaps);
            let old = if self.value > 0.0 { self.value } else { mean };
            self.value = old + WINDOW_WEIGHT * (mean - old);
        }
        *self = Self {
            begun: now,
            value: self.value,
            ..Self::default()
        };
        self.value
    }
}

/// An engine counts as slower from this multiple of the usual pace. A full engine takes
/// a tenth longer than an idle one and does not count as slower; the users' slower kind
/// takes 1.3 times as long.
const SLOWER_RATIO: f64 = 1.15;

/// Below this multiple of the usual pace, an engine that counted as slower counts as
/// usual again.
const SLOWER_EXIT_RATIO: f64 = 1.08;

/// From this multiple of the usual pace an engine is a straggler, and delays all that
/// it runs. The stragglers seen take three to four times as long.
pub const STRAGGLER_RATIO: f64 = 1.8;

/// Whether an engine at `pace` counts as slower than the `usual` ones; `before` is
/// whether it did so far. An engine of unknown pace is not slower.
pub fn is_slower(pace: f64, usual: f64, before: bool) -> bool {
    let from = if before {
        SLOWER_EXIT_RATIO
    } else {
        SLOWER_RATIO
    };
    pace > 0.0 && usual > 0.0 && pace / usual >= from
}

/// How long an engine must have counted as slower, or as usual, before home models are
/// reassigned for it: each runner that changes its model has to load weights.
const STEADY_DELAY: Millis = Millis(4_000);

/// Whether an engine is of the slower or of the usual kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineKind {
    /// Whether it counts as slower than usual at present.
    pub slower: bool,
    /// The last value of `slower` that stayed unchanged for `STEADY_DELAY`.
    pub steady: bool,
    /// When `slower` last changed.
    since: Millis,
}

impl EngineKind {
    /// Updates the kind by the engine's pace; returns true if `slower` changed.
    pub fn update(&mut self, pace: f64, usual: f64, now: Millis) -> bool {
        let slower = is_slower(pace, usual, self.slower);
        let changed = slower != self.slower;
        if changed {
            self.slower = slower;
            self.since = now;
        }
        if now.since(self.since) >= STEADY_DELAY {
            self.steady = slower;
        }
        changed
    }
}

/// Whether an engine is a straggler: it takes much longer than usual for an event.
pub fn is_straggler(pace: f64, usual: f64) -> bool {
    pace > 0.0 && usual > 0.0 && pace / usual >= STRAGGLER_RATIO
}

/// The usual pace of a service: the fastest quartile of its engines' paces. The median
/// would be the pace of the slower kind where half of the engines are of that kind.
pub fn usual_pace(mut paces: Vec<f64>) -> f64 {
    paces.retain(|pace| *pace > 0.0);
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 4).copied().unwrap_or(0.0)
}
