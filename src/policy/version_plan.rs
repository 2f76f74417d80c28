//! When an engine takes new weights.
//!
//! Load pattern: a trainer names version k and asks for step k at once, which
//! may be made by versions k - 1 and newer. An engine that has k - 1 works on
//! the step first and takes k once no group waits any more: its runs go on
//! while it loads, and the next step finds it ready. One that is too old for
//! the work at hand takes k at once.

use super::claim_choice::Place;
use crate::base::Millis;

/// What is known of one model at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// How long the store has not answered; `None` while it does.
    pub outage: Option<Millis>,
    /// Other engines that are changing weights.
    pub loading: usize,
    /// The models that the service's engines hold.
    pub models: usize,
    /// The oldest version that work at hand needs.
    pub needed: u64,
    /// How long that work has waited for a runner.
    pub needed_for: Millis,
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
    pub place: Place,
    /// Other engines of the model that hold the version named last.
    pub ready: usize,
    /// The runners of the service.
    pub runners: usize,
    /// Whether it is this runner's turn to begin a load that nothing waits for.
    pub is_turn: bool,
    /// Whether the next step is near: its trainer keeps two under way, and only
    /// the newest is.
    pub next_near: bool,
}

/// What to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadDecision {
    /// Order the engine to take this version.
    Load(u64),
    Wait,
}

/// The share of a service's engines that load at once without slowing each other
/// down, and the least: 2 of 9 and 9 of 46 on the users' sites. Each one more
/// slows them all; fewer keep steps waiting that need the weights.
const MAX_LOADING_SHARE: f64 = 0.2;
const MIN_LOADING_LIMIT: usize = 2;

/// What one load takes.
const LOAD_TIME: Millis = Millis(900);

/// The engines that may load at once when half of a model's engines are ready for
/// its next step: most loads are such that nothing waits for, and they kept those
/// waiting that a step needed.
const MAX_SPARE_LOADING: usize = 1;

/// An engine waits this long after a version was named: the step that was asked
/// with it may be on its way.
const QUIET_PERIOD: Millis = Millis(500);

/// Runners begin in waves this far apart, so that each sees by the heartbeats
/// how many before it are loading.
const WAVE_INTERVAL: Millis = Millis(70);

/// Without the store no heartbeat tells who loads: the waves are a whole load
/// and some slack apart then.
const OUTAGE_WAVE_INTERVAL: Millis = Millis(1_000);

/// Work that a model's own runners leave waiting this long is taken by runners
/// of other models, one after another, which load its weights for it. Sooner,
/// their loads would slow those of the model's own runners; all at once, one
/// bundle that waited for a slot made 21 of 44 engines load at the same moment.
const RESCUE_DELAY: Millis = Millis(3_000);
const RESCUE_INTERVAL: Millis = Millis(400);

/// The length of one turn to begin a load that nothing waits for: a heartbeat
/// written in it is seen by all before the next turn. Six engines of nine, idle at
/// the same moment, began loads within 10 ms and saw none of the others'; a step that
/// was asked then began 1.9 s late, twice what one load takes.
const TURN_LENGTH: Millis = Millis(150);

/// Whether it is the turn of the runner at `place` among all, by the store's clock.
/// Half of those that may load at once share a turn.
pub fn is_load_turn(store_now: Millis, place: Place) -> bool {
    let group = (loading_limit(place.count) / 2).max(1);
    let turns = place.count.div_ceil(group).max(1) as u64;
    (store_now.0 / TURN_LENGTH.0) % turns == (place.rank / group) as u64
}

/// How many of `runners` engines may load at once.
pub fn loading_limit(runners: usize) -> usize {
    ((runners as f64 * MAX_LOADING_SHARE) as usize).max(MIN_LOADING_LIMIT)
}

/// Whether the engine takes new weights now.
pub fn decide(now: &Situation) -> LoadDecision {
    if now.held >= now.named {
        return LoadDecision::Wait;
    }
    let most = loading_limit(now.runners);
    let wave = (most / now.models.max(1)).max(1);
    let turns = (now.place.rank / wave) as u64;
    if let Some(outage) = now.outage {
        return load_if(is_due_in_outage(now, outage, turns), now.named);
    }
    let turn = Millis(WAVE_INTERVAL.0 * turns);
    let free = now.loading < most;
    if now.needed > now.held {
        // A heartbeat that says "loading" may be all that is left of a runner.
        let overdue = now.needed_for >= Millis(LOAD_TIME.0 * (turns + 2));
        let rescue = RESCUE_DELAY + Millis(RESCUE_INTERVAL.0 * now.place.rank as u64);
        let due = match now.home {
            true => (free && now.needed_for >= turn) || overdue,
            false => free && now.needed_for >= rescue,
        };
        return load_if(due, now.named);
    }
    if now.next_near && is_early(now) {
        return load_if(free && now.named_for >= turn, now.named);
    }
    let idle = now.home && !now.waiting && now.is_turn;
    let spare = match now.ready * 2 >= now.place.count {
        true => MAX_SPARE_LOADING.min(most),
        false => most,
    };
    load_if(
        idle && now.loading < spare && now.named_for >= QUIET_PERIOD,
        now.named,
    )
}

/// Whether an engine takes weights while the store is away, so that it is ready
/// for the next step when the store comes back: otherwise the trainers' first
/// two steps after an outage of 7 s began 1.5 to 2.2 s late, as all engines had
/// to load. A version that was named since is news of the store's return, and
/// all engines would take it at the same moment.
fn is_due_in_outage(now: &Situation, outage: Millis, turns: u64) -> bool {
    let idle = now.home && !now.waiting;
    let old = now.named_for >= outage;
    idle && old && outage >= QUIET_PERIOD + Millis(OUTAGE_WAVE_INTERVAL.0 * turns)
}

/// Whether the engine is one of the half that takes the version before the work
/// at hand. A trainer that is behind asks for two steps within two seconds: the
/// second needs the version that was named with the first, and began 1.8 s
/// late, as no engine had been idle in between. The halves take turns, so that
/// each engine loads every second version.
fn is_early(now: &Situation) -> bool {
    let turn = (now.place.rank as u64 + now.named).is_multiple_of(2);
    now.home && now.place.count > 1 && turn
}

fn load_if(due: bool, version: u64) -> LoadDecision {
    match due {
        true => LoadDecision::Load(version),
        false => LoadDecision::Wait,
    }
}
