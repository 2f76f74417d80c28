//! Determines how the bundles of each open step of a model are started: the longest
//! texts first, or group by group when there is more work than engine capacity.
//!
//! Load pattern: for minutes, two thirds of a model's engines are gone, or trainers ask
//! for twice the work. A trainer keeps two steps in progress and asks for the next when
//! the oldest is complete. So the queue never grows beyond two steps, but each step
//! takes the time of two. If the longest texts start first, all groups of a step end
//! together and late, and every later step is late as well.
//!
//! A trainer waits for a share of a step's groups only, and can use each group that is
//! complete in time. So when engines are scarce, the groups that it waits for go first,
//! a step that can't be complete in time is run group by group, and groups that can't be
//! in time any more give way to those that can. Groups go in the order of their
//! submission, in which those left over from an earlier step come first: no text waits
//! or is given up because of its length.

use crate::base::Millis;

/// The waiting work of one open step.
#[derive(Clone, Copy, Debug)]
pub struct OpenStep {
    /// The work of its groups beyond those that its trainer waits for.
    pub surplus: u64,
    /// When its results are due.
    pub due: Millis,
    /// The work of the groups that its trainer waits for: the expected output tokens of
    /// the bundles that nobody runs, and 1 for each item without an estimate.
    pub needed: u64,
}

/// The capacity of the engines that serve a model: those whose runners have it as their
/// home model.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// The number of items that they run at once.
    pub slots: u32,
    /// The time that a slot takes for an expected token, in ms; 0 while unknown.
    pub token_ms: f64,
}

/// How the waiting bundles of a step are started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepMode {
    /// The step can't be complete in time: one group after another.
    ByGroup,
    /// A group that starts now is late: one group after another, after all groups that
    /// may be in time.
    Late,
    /// The step can be complete in time: the longest texts first.
    Whole,
}

/// The time from the start of a step's last bundle until its trainer has read the
/// results: the texts that start last are short, and a trainer reads twice a second.
const READ_DELAY: Millis = Millis(1_000);

/// A group that starts less than this before its step is due is late: most texts take
/// at least that long.
const MIN_RUN_TIME: Millis = Millis(500);

/// While all waiting work will have started this long before its step is due, surplus
/// groups go together with the others: there are engines enough for all. They may also
/// be complete before a group whose longest text takes nearly as long as a step may; the
/// trainer accepts either.
const AMPLE_SLACK: Millis = Millis(5_000);

/// Whether all waiting work of a model's open `steps` will start early enough for
/// surplus groups to go together with the others. `steps` are in the order in which
/// they are due.
pub fn is_ample(steps: &[OpenStep], supply: Supply, now: Millis) -> bool {
    let mut ahead = 0;
    let mut begins = steps.iter().map(|step| {
        ahead += step.needed + step.surplus;
        (step, now + time_to_start(ahead, supply))
    });
    begins.all(|(step, begun)| begun + AMPLE_SLACK <= step.due)
}

/// The mode of each of a model's open `steps`, which are in the order in which they are
/// due.
pub fn step_modes(steps: &[OpenStep], supply: Supply, now: Millis) -> Vec<StepMode> {
    let mut ahead = 0;
    let mode = |step: &OpenStep| {
        if now + MIN_RUN_TIME >= step.due {
            return StepMode::Late;
        }
        ahead += step.needed;
        let begun = now + time_to_start(ahead, supply);
        match begun + READ_DELAY > step.due {
            true => StepMode::ByGroup,
            false => StepMode::Whole,
        }
    };
    steps.iter().map(mode).collect()
}

/// How long the engines take until all of `work` has started.
fn time_to_start(work: u64, supply: Supply) -> Millis {
    let slots = f64::from(supply.slots.max(1));
    Millis((work as f64 * supply.token_ms / slots) as u64)
}

/// The time that a slot takes for an expected token, averaged over the runs that ended
/// on this engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// The mean duration of a run, in ms.
    taken: f64,
    /// The mean number of expected tokens of a run.
    tokens: f64,
}

/// The weight of a run in the means: estimates of single texts are off by half, and
/// some tens of runs end on an engine within a step.
const RATE_WEIGHT: f64 = 1.0 / 32.0;

impl Rate {
    /// Records a run of a text with `expected` tokens that occupied a slot for `taken`
    /// ms.
    pub fn record(&mut self, expected: u32, taken: f64) {
        self.taken += RATE_WEIGHT * (taken - self.taken);
        self.tokens += RATE_WEIGHT * (f64::from(expected.max(1)) - self.tokens);
    }

    /// The time per expected token in ms; 0 before the first run.
    pub fn token_ms(&self) -> f64 {
        match self.tokens > 0.0 {
            true => self.taken / self.tokens,
            false => 0.0,
        }
    }
}
