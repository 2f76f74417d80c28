//! Decides which new texts a runner leaves to runners with faster engines.
//!
//! Load pattern: the engines of one service have three or more speeds, and all runners see a
//! new step at the same moment. A long text that a slow engine takes first decides when its
//! step ends, while a fast engine has a free slot a moment later.

use crate::base::Millis;

/// A runner's engine among those of the runners of its model.
#[derive(Clone, Copy, Debug)]
pub struct PaceRank {
    /// The time per event of the fastest engine, as a share of that of this runner's.
    pub best_share: f64,
    /// How long this runner leaves long texts to faster ones; 0 if none is left.
    pub leave_time: Millis,
}

/// How long the runners with engines of the middle third, and those with slower ones, leave a
/// long text. Faster runners learn of a step and claim within about 150 ms.
const MIDDLE_LEAVE_TIME: Millis = Millis(200);
const SLOW_LEAVE_TIME: Millis = Millis(400);

/// An engine is slower than others from this multiple of their pace; engines of one speed
/// differ by less.
const SLOWER_RATIO: f64 = 1.08;

/// A text is left if it takes this much longer here than on the fastest engine.
const MAX_EXTRA_TIME: Millis = Millis(1_000);

impl PaceRank {
    /// The rank of an engine with the pace `own` among engines with `paces`, its own included;
    /// all in ms per event, 0 if unknown. An engine of unknown pace leaves nothing.
    pub fn new(own: f64, mut paces: Vec<f64>) -> Self {
        paces.retain(|pace| *pace > 0.0);
        paces.sort_by(f64::total_cmp);
        let slower_than = |third: usize| {
            let last = (paces.len() * third).div_ceil(3).checked_sub(1);
            let edge = last.and_then(|last| paces.get(last));
            edge.is_some_and(|edge| own >= edge * SLOWER_RATIO)
        };
        let leave_time = match () {
            () if slower_than(2) => SLOW_LEAVE_TIME,
            () if slower_than(1) => MIDDLE_LEAVE_TIME,
            () => Millis(0),
        };
        let best = paces.first().copied().unwrap_or(own);
        Self {
            best_share: if own > 0.0 { best / own } else { 1.0 },
            leave_time,
        }
    }

    /// How long this runner leaves a text to faster ones, from when it first saw the batch.
    /// Its engine takes `own_ms` for the text, 0 if unknown, and the step is due in `due_in`.
    pub fn leave_time_of(self, own_ms: f64, due_in: Millis) -> Millis {
        let extra = own_ms * (1.0 - self.best_share);
        let long = extra > MAX_EXTRA_TIME.0 as f64 || own_ms > due_in.0 as f64;
        match long && own_ms > 0.0 {
            true => self.leave_time,
            false => Millis(0),
        }
    }

    /// Whether an engine with the pace `other` is faster than this one with the pace `own`.
    pub fn is_faster(other: f64, own: f64) -> bool {
        other > 0.0 && own >= other * SLOWER_RATIO
    }
}
