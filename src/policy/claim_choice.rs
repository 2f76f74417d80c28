//! Chooses the bundle that a runner takes next.
//!
//! Load pattern: trainers submit a batch of tens of bundles at once and wait for the
//! slowest. Every runner sees the batch within a few tens of ms, and takes bundles
//! while its engine has free slots. Engines crash, slow down or stop answering in
//! between.

use super::{
    pace::{STRAGGLER_RATIO, is_straggler},
    second_run::SecondRun,
    step_mode::StepMode, //
};
use crate::base::Millis;

/// A bundle that a runner could take.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Time since this runner first saw the batch.
    pub age: Millis,
    /// The batch, by its index in the runner's own list.
    pub batch: usize,
    /// Whether its group is beyond those that the trainer waits for.
    pub surplus: bool,
    /// When the results of the batch are due.
    pub due: Millis,
    /// The bundle, by its index in the batch.
    pub bundle: u16,
    /// Whether the bundle is known to be claimed by this runner.
    pub claimed: bool,
    /// Which other runner holds the bundle.
    pub holder: Holder,
    /// Whether its model is the runner's home model, the one that the runner serves
    /// first.
    pub home: bool,
    /// Until which age this runner leaves it to runners with faster engines.
    pub leave_time: Millis,
    /// The number of its items that have no result yet.
    pub remaining: u32,
    /// Its position among the waiting bundles of its model, group by group; used unless
    /// the mode is [`StepMode::Whole`].
    pub position: usize,
    /// Whether the engine's weights are new enough for it.
    pub loaded: bool,
    /// Its position in the order in which the batch's bundles should start.
    pub order: u16,
    /// How the waiting bundles of its step are started.
    pub mode: StepMode,
    /// The expected output tokens of its remaining items.
    pub work: u64,
}

impl Offer {
    /// Sort key among offers of equal preference: first what the trainer waits for,
    /// then what may still be in time, then what is due first.
    pub fn urgency(&self) -> (bool, bool, Millis) {
        (self.surplus, self.mode == StepMode::Late, self.due)
    }
}

/// Which other runner holds a bundle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Holder {
    /// Another runner.
    Held {
        /// Whether a second runner may join, which then runs the same items.
        joinable: bool,
        /// The time per event of its engine, as a multiple of that of this runner's engine.
        pace: f64,
        /// What a second run is expected to achieve. `None` if that is not estimated; the
        /// engines' paces alone decide then.
        second_run: Option<SecondRun>,
        /// How long it has held the bundle.
        since: Millis,
        /// Whether its engine counts as slower than usual.
        slower: bool,
    },
    /// No runner, one that no longer works, or the choosing runner itself, which has a
    /// claim on the bundle but does not run it.
    Nobody,
}

/// The runner that chooses a bundle.
#[derive(Clone, Copy, Debug)]
pub struct Runner {
    /// Its place among the runners with the same home model whose engines are as fast.
    pub place: Place,
    /// The number of further items that its engine can run at once.
    pub room: u32,
    /// Whether its engine counts as slower than usual.
    pub slower: bool,
    /// Whether runners with the same home model and faster engines go first.
    pub yields: bool,
}

/// A runner's place in a group of runners that divide work among them. All compute the
/// same assignment, without communicating.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The number of runners in the group.
    pub count: usize,
    /// The runner's index in the group.
    pub rank: usize,
}

impl Place {
    /// Whether the bundle at position `order` is assigned to this runner. Each bundle
    /// is assigned to one runner of the group.
    pub fn owns(self, order: impl Into<usize>) -> bool {
        order.into() % self.count.max(1) == self.rank
    }
}

/// The age from which runners with another home model take bundles of a batch. The
/// runners of its model have seen it by then; earlier, the others would keep their own
/// model's work waiting.
const OTHER_MODEL_DELAY: Millis = Millis(400);

/// A holder whose engine has the usual pace is joined after this time. This makes no
/// text finish sooner as long as engines behave as they report. It recovers the bundles
/// of a runner whose engine's address now belongs to a server of another service, which
/// refuses every item.
const JOIN_DELAY: Millis = Millis(6_000);

/// A holder whose engine is a straggler, compared with this runner's, is joined after
/// this time.
const JOIN_STRAGGLER_DELAY: Millis = Millis(700);

/// A holder whose engine is of the slower kind is joined by a runner with a faster
/// engine after this time. Most texts are finished by then, and the long ones are those
/// that the step waits for: a text of 194 events takes 9.5 s there and 7.5 s at a
/// faster engine.
const JOIN_SLOWER_DELAY: Millis = Millis(1_500);

/// How long a runner whose engine is of the slower kind leaves new bundles to faster
/// ones. It then takes the shortest of those for which they had no room.
const SLOWER_DELAY: Millis = Millis(200);

/// The share of its slots that a straggler uses. Its runner takes only bundles that
/// others have left for a while.
const STRAGGLER_SLOT_SHARE: f64 = 0.25;

/// The number of items that an engine should run at once. A straggler delays every
/// bundle that it takes, so it takes fewer.
pub fn usable_slots(slots: u32, pace: f64, usual: f64) -> u32 {
    match is_straggler(pace, usual) {
        true => ((f64::from(slots) * STRAGGLER_SLOT_SHARE) as u32).max(1),
        false => slots,
    }
}

/// Whether, while the store is unreachable, the runner at `place` runs the offered
/// bundle without a new claim. It does if its engine's weights are new enough, no other
/// runner holds the bundle, and it has claimed the bundle already or the bundle is of
/// its home model and assigned to its place.
///
/// A claim by the runner itself counts because the answer to a claim may be lost as the
/// store becomes unreachable. A runner once treated such a claim as not written, while
/// all others had seen it, and nobody ran the bundle in an outage of 7 s.
pub fn is_assigned(offer: &Offer, place: Place) -> bool {
    let mine = offer.claimed || (place.owns(offer.order) && offer.home);
    mine && offer.loaded && offer.holder == Holder::Nobody
}

/// Returns the offer that `runner` should take next: the most preferred of those for
/// which its engine's weights are new enough, if any is worth taking.
pub fn choose(offers: &[Offer], runner: Runner) -> Option<&Offer> {
    let fits =
        |offer: &&Offer| offer.loaded && runner.room > 0 && preference(offer, runner).is_some();
    offers.iter().filter(fits).min_by_key(|offer| {
        (
            preference(offer, runner),
            offer.urgency(),
            order_in_step(offer, runner),
        )
    })
}

/// Sort key of a step's offers to a runner.
///
/// Runners that see a new batch, or get a free slot, at the same moment start with
/// different bundles. Otherwise all would claim the first one, and all but one would
/// lose a round trip to the store each time.
fn order_in_step(offer: &Offer, runner: Runner) -> (usize, bool, usize) {
    let place = runner.place;
    if offer.mode != StepMode::Whole {
        let round = offer.position / place.count.max(1);
        return (round, !place.owns(offer.position), offer.position);
    }
    let order = match runner.yields {
        true => u16::MAX - offer.order,
        false => offer.order,
    };
    (0, !place.owns(offer.order), usize::from(order))
}

/// Ranks offers, the lowest first: unheld bundles of the home model, unheld bundles of
/// other models, bundles of other runners. `None` for an offer that is not worth
/// taking.
fn preference(offer: &Offer, runner: Runner) -> Option<u8> {
    match offer.holder {
        Holder::Nobody if runner.yields && offer.age < SLOWER_DELAY => None,
        Holder::Nobody if offer.age < offer.leave_time => None,
        Holder::Nobody if offer.home => Some(0),
        Holder::Nobody if offer.age >= OTHER_MODEL_DELAY => Some(1),
        Holder::Nobody => None,
        Holder::Held { second_run, .. } => {
            let join = join_reason(offer, runner);
            let gains = second_run.is_none_or(SecondRun::gains_time);
            join.is_some_and(|reason| gains || reason == JoinReason::Late)
                .then_some(2)
        }
    }
}

/// Why a runner would join the holder of a bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JoinReason {
    /// The holder has had the bundle for [`JOIN_DELAY`]. No estimate counts then, because
    /// the holder may generate nothing at all.
    Late,
    /// The holder's engine is slower than this runner's.
    Slow,
}

/// Why `runner` would join the holder of the offered bundle, apart from any gain; `None`
/// if it would not.
fn join_reason(offer: &Offer, runner: Runner) -> Option<JoinReason> {
    let Holder::Held {
        joinable,
        pace,
        since,
        slower,
        ..
    } = offer.holder
    else {
        return None;
    };
    if !joinable || offer.remaining > runner.room {
        return None;
    }
    if since >= JOIN_DELAY {
        return Some(JoinReason::Late);
    }
    let slow = pace >= STRAGGLER_RATIO && since >= JOIN_STRAGGLER_DELAY;
    let slower = slower && !runner.slower && since >= JOIN_SLOWER_DELAY;
    (slow || slower).then_some(JoinReason::Slow)
}

/// The second run of the offered bundle that `runner` does not start only because it would
/// gain too little.
pub fn declined_run(offer: &Offer, runner: Runner) -> Option<SecondRun> {
    let Holder::Held { second_run, .. } = offer.holder else {
        return None;
    };
    let declined = offer.loaded && join_reason(offer, runner) == Some(JoinReason::Slow);
    second_run.filter(|run| declined && !run.gains_time())
}
