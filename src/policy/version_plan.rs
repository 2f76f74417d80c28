//! When an engine takes new weights.
//!
//! Load pattern: a trainer names version k and asks for step k at once, which
//! may be made by versions k - 1 and newer. An engine that has k - 1 works on
//! the step first and takes k once no group waits any more: its runs go on
//! while it loads, and the next step finds it ready. One that is too old for
//! the work at hand takes k at once.

use crate::base::Millis;

/// What is known of one model at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Other engines that are changing weights.
    pub loading: usize,
    /// The oldest version that work at hand needs.
    pub needed: u64,
    /// The version that the engine has.
    pub held: u64,
    /// Whether this runner serves the model first.
    pub home: bool,
    /// The version that the trainer named last.
    pub named: u64,
    /// How long ago it was named.
    pub named_for: Millis,
    /// Whether groups of the model wait for a runner.
    pub waiting: bool,
    /// This runner's place among those of the model.
    pub rank: usize,
}

/// What to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Order the engine to take this version.
    Load(u64),
    Wait,
}

/// Engines that load at once without slowing each other down.
const AT_ONCE: usize = 2;

/// What one load takes.
const LOAD_TIME: Millis = Millis(900);

/// An engine waits this long after a version was named: the step that was asked
/// with it may be on its way.
const QUIET: Millis = Millis(500);

/// Whether the engine takes new weights now.
pub fn step(now: &Situation) -> Step {
    if now.held >= now.named {
        return Step::Wait;
    }
    let wave = (now.rank / AT_ONCE) as u64;
    if now.needed > now.held {
        let turn = Millis(LOAD_TIME.0 * wave);
        return when(now.named_for >= turn, now.named);
    }
    let turn = QUIET + Millis(LOAD_TIME.0 * wave);
    let free = now.loading < AT_ONCE;
    let idle = now.home && !now.waiting;
    when(idle && free && now.named_for >= turn, now.named)
}

fn when(due: bool, version: u64) -> Step {
    match due {
        true => Step::Load(version),
        false => Step::Wait,
    }
}
