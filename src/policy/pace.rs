//! What an engine takes for an event, and whether it is slower than others.
//!
//! Load pattern: a few to some tens of streams run on an engine at once, each
//! with an event every few tens of ms. Engines of one service differ by a third
//! all day, and any of them may take four times as long from one moment to the
//! next. A text of 200 events takes seven seconds, so that what is known from
//! ended runs comes seconds too late: the gaps between the events of all runs
//! under way tell within a second.

use crate::base::Millis;

/// What one engine takes for an event, by the gaps seen of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    gaps: u32,
    /// In ms.
    sum: f64,
    /// When the present window began.
    begun: Millis,
    /// In ms; 0 before the first window is over.
    value: f64,
}

/// The time over which gaps are gathered: some tens of them while two or more
/// runs are under way.
const WINDOW: Millis = Millis(500);

/// The least gaps that make a window count.
const MIN_GAPS: u32 = 12;

/// A gap counts for no more than so many times the pace known: an engine that
/// changes its weights pauses once for some 900 ms and is not slow for it, while
/// one that is really slower is known after a few windows.
const MAX_GAP_RATIO: f64 = 2.0;

/// The weight of a window's mean in the pace.
const WINDOW_WEIGHT: f64 = 0.5;

impl Pace {
    /// A run's next event came `gap` ms after the one before.
    pub fn note(&mut self, gap: f64) {
        let most = match self.value > 0.0 {
            true => self.value * MAX_GAP_RATIO,
            false => f64::INFINITY,
        };
        self.gaps += 1;
        self.sum += gap.min(most);
    }

    /// What an event takes by all that was noted until `now`, in ms; 0 while
    /// nothing is known.
    pub fn update(&mut self, now: Millis) -> f64 {
        if now.since(self.begun) < WINDOW {
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

/// From this share of the usual pace on an engine counts as slower, and below
/// the lower one as usual again. A full engine takes a tenth longer than an idle
/// one, and is no slower for it; the users' slower kind takes 1.3 times as long.
const SLOWER_RATIO: f64 = 1.15;
const SLOWER_EXIT_RATIO: f64 = 1.08;

/// An engine that takes so many times the usual pace holds up all that it takes:
/// the slow ones seen take three to four times as long.
pub const STRAGGLER_RATIO: f64 = 1.8;

/// Whether an engine at `pace` is slower than the `usual` ones; `before` is what
/// it counted as so far. Unknown paces are not slower.
pub fn is_slower(pace: f64, usual: f64, before: bool) -> bool {
    let from = if before {
        SLOWER_EXIT_RATIO
    } else {
        SLOWER_RATIO
    };
    pace > 0.0 && usual > 0.0 && pace / usual >= from
}

/// How long an engine must have counted as slower, or as usual, before runners are
/// dealt out anew for it: each that changes its model has to load weights.
const STEADY_DELAY: Millis = Millis(4_000);

/// Which kind an engine is of.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineKind {
    /// Whether it counts as slower than usual just now.
    pub slower: bool,
    /// Whether it has done so, or not, for a while.
    pub steady: bool,
    /// Since when it counts as it does.
    since: Millis,
}

impl EngineKind {
    /// Takes the engine's pace; true when it counts otherwise than before.
    pub fn note(&mut self, pace: f64, usual: f64, now: Millis) -> bool {
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

/// Whether an engine takes much longer than usual for an event.
pub fn is_straggler(pace: f64, usual: f64) -> bool {
    pace > 0.0 && usual > 0.0 && pace / usual >= STRAGGLER_RATIO
}

/// The usual pace of a service: that of its fastest quarter. The middle of all
/// would take the slower kind for usual where half of the engines are of it.
pub fn usual_pace(mut paces: Vec<f64>) -> f64 {
    paces.retain(|pace| *pace > 0.0);
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 4).copied().unwrap_or(0.0)
}
