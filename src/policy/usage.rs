//! Counts the use of the site by workspace and time window.
//!
//! Load pattern: few requests of many workspaces arrive at many gateways, some of which
//! are killed or partitioned at any moment, while each window has to be reported once,
//! soon and in full.

use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;

/// The numbers of requests that began, by workspace.
pub type Counts = BTreeMap<String, u64>;

/// How time is divided into windows: window k begins k times `length` after the Unix
/// epoch.
#[derive(Clone, Copy, Debug)]
pub struct Windows {
    pub length: Millis,
}

impl Windows {
    /// The window that contains `time`.
    pub fn at(self, time: Millis) -> u64 {
        time.0 / self.length.0.max(1)
    }

    /// When `window` ends.
    pub fn end(self, window: u64) -> Millis {
        Millis((window + 1).saturating_mul(self.length.0))
    }
}

/// What one gateway counted in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Whether the window is closed: no further requests will be counted in it.
    pub closed: bool,
    pub counts: Counts,
}

/// What a gateway has counted in each window, and whether the store has it.
#[derive(Debug)]
pub struct Tally {
    /// The oldest open window; all earlier ones are closed.
    open: u64,
    /// By window.
    parts: BTreeMap<u64, Counted>,
    windows: Windows,
}

/// What a gateway has counted in one window.
#[derive(Debug, Default)]
struct Counted {
    part: Part,
    /// Whether the store has the part as it is.
    written: bool,
}

/// How long after its end a window stays open, since requests may still be found to
/// have begun in it: the longest time that callers wait for a plain call, and a little
/// more.
const CLOSE_DELAY: Millis = Millis(1_800);

/// The most windows that are kept while the store is unreachable.
const MAX_WINDOWS: usize = 120;

impl Tally {
    /// Nothing is counted yet at `now`.
    pub fn new(windows: Windows, now: Millis) -> Self {
        Self {
            open: windows.at(now),
            parts: BTreeMap::new(),
            windows,
        }
    }

    /// Counts a request of `workspace` that began at `began`. One that is noticed after
    /// its window was closed counts in the oldest open window, so that it is not lost.
    pub fn record(&mut self, workspace: &str, began: Millis) {
        let window = self.windows.at(began).max(self.open);
        let counted = self.parts.entry(window).or_default();
        *counted.part.counts.entry(workspace.to_owned()).or_default() += 1;
        counted.written = false;
    }

    /// Closes the windows that ended long enough before `now`.
    pub fn close(&mut self, now: Millis) {
        while self.windows.end(self.open) + CLOSE_DELAY <= now {
            let counted = self.parts.entry(self.open).or_default();
            counted.part.closed = true;
            counted.written = false;
            self.open += 1;
        }
        while self.parts.len() > MAX_WINDOWS {
            self.parts.pop_first();
        }
    }

    /// Returns the oldest window whose latest part is not in the store, and that part.
    pub fn unwritten(&self) -> Option<(u64, &Part)> {
        let mut parts = self.parts.iter();
        let (window, counted) = parts.find(|(_, counted)| !counted.written)?;
        Some((*window, &counted.part))
    }

    /// Records that the store has `part` of `window`.
    pub fn set_written(&mut self, window: u64, part: &Part) {
        let Some(counted) = self.parts.get_mut(&window) else {
            return;
        };
        counted.written = counted.part == *part;
        if counted.written && part.closed {
            self.parts.remove(&window);
        }
    }
}

/// How long after its end a window may be summed up although a gateway has not closed
/// it: the gateway was killed or is partitioned, and the report is due a few seconds
/// later.
const MAX_SUM_DELAY: Millis = Millis(6_500);

/// Whether a window that ended at `end` may be summed up at `now`, while `missing` of
/// the recently active gateways have not closed it.
pub fn may_sum(end: Millis, missing: usize, now: Millis) -> bool {
    let over = now.since(end);
    (missing == 0 && over >= CLOSE_DELAY) || over >= MAX_SUM_DELAY
}

/// Adds up the parts of all gateways.
pub fn sum<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Counts {
    let mut all = Counts::new();
    for part in parts {
        for (workspace, count) in &part.counts {
            *all.entry(workspace.clone()).or_default() += count;
        }
    }
    all
}

/// The offset of true time from the store's clock: the median of the offsets that all
/// gateways have read, so that a few wrong clocks don't change it.
pub fn median(offsets: &mut [i64]) -> Option<i64> {
    offsets.sort_unstable();
    offsets.get(offsets.len() / 2).copied()
}
