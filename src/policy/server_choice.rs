//! Chooses the server of a service that gets a call.
//!
//! Load pattern: a few dispatchers in each data centre send short calls to few servers,
//! some of which are slow, silent or full at any time. Each dispatcher sees its own
//! calls at once, and the load that servers report with a delay.

use super::server_load::Observed;
use crate::base::Millis;

/// A server that could get the call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether an idle connection to it is open.
    pub connected: bool,
    /// The number of this dispatcher's calls in flight there.
    pub in_flight: u32,
    /// Its latency in ms, as this dispatcher has measured it.
    pub latency: f64,
    /// Whether it is in the dispatcher's data centre.
    pub local: bool,
    /// What [`choose_uneven`] uses instead of `latency` and `reported`.
    pub observed: Observed,
    /// The number of its running and waiting calls by its own report, if that is
    /// recent.
    pub reported: Option<u32>,
    /// The number of calls that it runs at once; 0 if unknown.
    pub slots: u32,
    /// Whether this call was sent to it before.
    pub tried: bool,
    /// Whether its circuit breaker allows another call now.
    pub trusted: bool,
}

/// The cost of a round trip to another data centre, in ms: twice the one-way delay of
/// the users' sites.
const REMOTE_COST: f64 = 2.8;

/// The cost of a new connection, in ms. It takes about 4 ms, and may hold one of the
/// server's slots for a moment. The rest keeps each dispatcher on a few of many servers:
/// estimates of equal servers differ by more than 4 ms by chance, and each difference
/// would open a connection. A server that is slower by more than this cost is left.
const CONNECT_COST: f64 = 30.0;

/// The cost of a place in the server's queue, as a share of a call's duration.
const QUEUE_COST: f64 = 1.0;

/// The number of slots assumed of a server that reports none.
const DEFAULT_SLOTS: u32 = 4;

/// Returns the index of the candidate that should answer first. One that this call was
/// sent to before is chosen only if there is no other; of the rest, an untrusted one is
/// chosen only if all are untrusted. `spread` breaks ties between equal candidates, so
/// that dispatchers with the same view don't all choose the same server.
pub fn choose(candidates: &[Candidate], spread: u64) -> Option<usize> {
    let count = candidates.len() as u64;
    let rank = |index: usize| {
        let candidate = &candidates[index];
        let turn = (index as u64 + spread) % count.max(1);
        (
            candidate.tried,
            !candidate.trusted,
            (cost(candidate) * 10.0) as u64,
            turn,
        )
    };
    (0..candidates.len()).min_by_key(|index| rank(*index))
}

/// The share of a call's target latency within which a server is expected to answer to count
/// as good enough; most calls take at most 1.5 times as long as expected. In simulated time,
/// processes open 8% more connections with a share of 0.5, and have as many calls answered in
/// time.
const GOOD_SHARE: f64 = 0.65;

/// The cost of a failed attempt, as a multiple of the target latency: the time until the
/// failure is seen and that of another attempt, which the call may not be allowed.
const FAILURE_COST: f64 = 2.0;

/// The share of failed attempts, in excess of that of the best candidate, above which a server
/// is not trusted. Requests that fail at all servers leave no excess.
const MAX_FAILURES: f64 = 0.5;

/// Two connected servers whose costs differ by less than this share are equal: the first one
/// drawn is chosen, so that the connections to both stay in use.
const COST_MARGIN: f64 = 0.25;

/// Returns the index of the candidate for a service whose servers differ in speed. `draw`
/// supplies random bits, and `target` is the time within which an answer has its full value.
/// Candidates that were tried or are not trusted are chosen as [`choose`] does.
///
/// Of the servers with an idle connection, the better of two drawn at random is chosen, so
/// that processes with the same view don't all choose the same one. Without an idle
/// connection to a server that is good enough, the choice depends on the process: by rank
/// weighted by speed, so that a process with few calls opens connections to one or two
/// servers, and all processes together use all servers.
pub fn choose_uneven(candidates: &[Candidate], draw: u64, target: Millis) -> Option<usize> {
    let least_failures = candidates
        .iter()
        .map(|candidate| candidate.observed.failures)
        .fold(1.0, f64::min);
    let target = (target.0 as f64).max(1.0);
    let standing = |index: &usize| {
        let candidate = &candidates[*index];
        let failures = candidate.observed.failures - least_failures;
        let trusted = candidate.trusted && failures <= MAX_FAILURES;
        (candidate.tried, !trusted)
    };
    let best = (0..candidates.len()).map(|index| standing(&index)).min()?;
    let options: Vec<Choice> = (0..candidates.len())
        .filter(|index| standing(index) == best)
        .map(|index| {
            let candidate = &candidates[index];
            let failures = candidate.observed.failures - least_failures;
            Choice {
                connected: candidate.connected,
                cost: uneven_cost(candidate) + failures * FAILURE_COST * target,
                index,
                local: candidate.local,
                own: candidate.in_flight,
                rank: candidate.observed.rank,
            }
        })
        .collect();

    let good = target * GOOD_SHARE;
    let connected: Vec<&Choice> = options.iter().filter(|choice| choice.connected).collect();
    let drawn = better_of_two(&connected, draw);
    if let Some(choice) = drawn.filter(|choice| choice.cost <= good) {
        return Some(choice.index);
    }
    let nearest = connected.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let most = match nearest {
        Some(choice) if choice.cost <= good => return Some(choice.index),
        Some(choice) => choice.cost - CONNECT_COST,
        None => f64::INFINITY,
    };
    let new = options
        .iter()
        .filter(|choice| !choice.connected && choice.cost < most);
    let near_by = options
        .iter()
        .any(|choice| !choice.connected && choice.local && choice.cost <= good.min(most));
    let new = new.filter(|choice| choice.local || !near_by);
    let first = new.min_by(|a, b| a.turn().total_cmp(&b.turn()));
    first.or(drawn).map(|choice| choice.index)
}

/// A candidate that may be chosen.
struct Choice {
    connected: bool,
    /// In ms; includes failures, without the cost of a connection.
    cost: f64,
    index: usize,
    local: bool,
    /// This process's calls in flight there.
    own: u32,
    rank: u64,
}

impl Choice {
    /// The least is first. Over all ranks, a server is first in proportion to the cube of
    /// its speed. Calls in flight move a process that needs a second connection to a second
    /// server: two connections to one server are used in turn, and the older one goes idle.
    fn turn(&self) -> f64 {
        let uniform = (self.rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() * (self.cost * f64::from(self.own + 1)).powi(3)
    }
}

/// The better of two choices drawn at random.
fn better_of_two<'a>(choices: &[&'a Choice], draw: u64) -> Option<&'a Choice> {
    let count = choices.len() as u64;
    let first = choices.get(draw.checked_rem(count)? as usize)?;
    let skip = 1 + (draw / count).checked_rem(count - 1).unwrap_or(0);
    let second = choices.get(((draw % count + skip) % count) as usize)?;
    let margin = COST_MARGIN * first.cost.min(second.cost);
    Some(match second.cost + margin < first.cost {
        true => second,
        false => first,
    })
}

/// The expected duration of a call to the candidate, in ms, including the cost of distance.
fn uneven_cost(candidate: &Candidate) -> f64 {
    let observed = &candidate.observed;
    let slots = [observed.slots, candidate.slots, DEFAULT_SLOTS]
        .into_iter()
        .find(|slots| *slots > 0)
        .unwrap_or(DEFAULT_SLOTS);
    let share = observed.load / f64::from(slots);
    let queued = (share + 1.0 / f64::from(slots) - 1.0).max(0.0) * QUEUE_COST;
    let distance = if candidate.local { 0.0 } else { REMOTE_COST };
    let duration = observed.latency * observed.slowness * observed.crowding * (1.0 + queued);
    duration.max(observed.silence) + distance
}

/// The expected duration of a call to the candidate, in ms, including the costs of
/// distance and connection.
fn cost(candidate: &Candidate) -> f64 {
    let slots = match candidate.slots {
        0 => DEFAULT_SLOTS,
        slots => slots,
    };
    let load = candidate.in_flight.max(candidate.reported.unwrap_or(0));
    let waiting = f64::from(load.saturating_add(1).saturating_sub(slots));
    let busy = f64::from(load.min(slots)) / f64::from(slots);
    let distance = if candidate.local { 0.0 } else { REMOTE_COST };
    let connecting = if candidate.connected {
        0.0
    } else {
        CONNECT_COST
    };
    let queued = waiting / f64::from(slots) * QUEUE_COST;
    candidate.latency * (1.0 + 0.5 * busy + queued) + distance + connecting
}

/// How long a server may leave an idempotent call unanswered before a second server is
/// asked as well: well beyond the `typical` duration, and soon enough for the second
/// answer to arrive in the time that is `left`.
pub fn hedge_delay(typical: f64, left: Millis) -> Millis {
    let patient = Millis((typical * HEDGE_FACTOR) as u64 + HEDGE_MARGIN.0);
    Millis(patient.0.min(left.0 / 3).max(MIN_HEDGE_DELAY.0))
}

/// The delay as a multiple of the typical duration. Durations spread by about half
/// their mean, with one in a hundred five times as long: with [`HEDGE_MARGIN`] added,
/// nearly all calls are answered before.
const HEDGE_FACTOR: f64 = 2.0;

/// Added to the multiple of the typical duration.
const HEDGE_MARGIN: Millis = Millis(50);

/// The shortest delay.
const MIN_HEDGE_DELAY: Millis = Millis(20);
