//! In which order the bundles of a model's open steps begin when there is more work
//! than engines.
//!
//! Load pattern: two thirds of a model's engines are gone, or trainers ask for twice
//! the work, for minutes. A trainer keeps two steps under way and asks for the next
//! when the oldest is whole, so that the queue never grows beyond two steps, but each
//! step takes two steps' time: worked off with the longest texts first, all groups of
//! a step end together, late, and every step after it is late as well.
//!
//! A trainer waits for a share of a step's groups only, and has use for each group
//! that is whole in time. So once work is scarce of engines, what it waits for goes
//! first; a step that can't be whole in time is worked off group by group; and what
//! can't be in time any more makes way for what can. Groups go in the order of the
//! submission, in which those that were left over from an earlier step come first: no
//! text waits or is given up for its length.

use crate::base::Millis;

/// What waits of one open step.
#[derive(Clone, Copy, Debug)]
pub struct OpenStep {
    /// The work of its groups beyond those that its trainer waits for.
    pub surplus: u64,
    /// When its results are due.
    pub due: Millis,
    /// The work of the groups that its trainer waits for: the expected output tokens of
    /// the bundles that nobody runs, 1 for each item without an estimate.
    pub needed: u64,
}

/// The engines that serve a model first.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Items that they run at once.
    pub slots: u32,
    /// What one place takes for an expected token, in ms; 0 while it is not known.
    pub token_ms: f64,
}

/// How the waiting bundles of a step begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepMode {
    /// It can't be whole in time: one group after another.
    ByGroup,
    /// What begins now is late: after all that may be in time, one group after another.
    Late,
    /// It can be whole in time: the longest texts first.
    Whole,
}

/// From the begin of a step's last bundle until its trainer has read it: the texts
/// begun last are short, and a trainer reads twice a second. Of 0 to 2,500 ms this
/// brought the most in a replay of ten loads by eight seeds: 0.80 of what trainers wait
/// for, by its worth, for 0.78 to 0.79 at either end.
const READ_DELAY: Millis = Millis(1_000);

/// A group that begins less than this before its step is due is late: most texts take
/// that long.
const MIN_RUN_TIME: Millis = Millis(500);

/// While all that waits will have begun so long before its step is due, the groups
/// beyond what trainers wait for go with the others: there is room for all, and they
/// may be whole before a group with a text that takes nearly as long as a step may.
/// With 3 s in its place, steps at the edge of the engines' capacity lost 0.03 of their
/// worth in a replay.
const AMPLE_SLACK: Millis = Millis(5_000);

/// Whether all that waits of a model's open `steps`, which stand in the order in which
/// they are due, will begin early enough to be worked off alike.
pub fn is_ample(steps: &[OpenStep], supply: Supply, now: Millis) -> bool {
    let mut ahead = 0;
    let mut begins = steps.iter().map(|step| {
        ahead += step.needed + step.surplus;
        (step, now + time_to_start(ahead, supply))
    });
    begins.all(|(step, begun)| begun + AMPLE_SLACK <= step.due)
}

/// The turn of each of a model's open `steps`, which stand in the order in which they
/// are due.
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

/// What the engines take to begin all of `work`.
fn time_to_start(work: u64, supply: Supply) -> Millis {
    let slots = f64::from(supply.slots.max(1));
    Millis((work as f64 * supply.token_ms / slots) as u64)
}

/// What a place takes for an expected token, by the runs that ended here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    taken: f64,
    tokens: f64,
}

/// How much of what is known each further run replaces: estimates of single texts are
/// off by half, and some tens of runs end on an engine within a step.
const RATE_WEIGHT: f64 = 1.0 / 32.0;

impl Rate {
    /// A run of a text with `expected` tokens has taken `taken` ms of a place.
    pub fn note(&mut self, expected: u32, taken: f64) {
        self.taken += RATE_WEIGHT * (taken - self.taken);
        self.tokens += RATE_WEIGHT * (f64::from(expected.max(1)) - self.tokens);
    }

    /// In ms; 0 before the first run.
    pub fn token_ms(&self) -> f64 {
        match self.tokens > 0.0 {
            true => self.taken / self.tokens,
            false => 0.0,
        }
    }
}
