//! Which bundle of which batch a runner takes next.
//!
//! Load pattern: trainers submit a batch of tens of bundles at once and wait for
//! the slowest; every runner sees it within a few tens of ms and takes bundles
//! as its engine has room. Engines crash, slow down or fall silent in between.

use super::{
    pace::{STRAGGLER_RATIO, is_straggler},
    step_order::StepMode, //
};
use crate::base::Millis;

/// A bundle that a runner could take.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// How long its batch has been there.
    pub age: Millis,
    /// The batch, by the runner's own numbering.
    pub batch: usize,
    /// Whether its trainer waits for other groups first.
    pub surplus: bool,
    /// When its batch's results are due.
    pub due: Millis,
    pub bundle: u16,
    /// Whether this runner is known to hold its claim.
    pub claimed: bool,
    pub holder: Holder,
    /// Whether its model is the one that this runner serves first.
    pub home: bool,
    /// Items that are not listed yet.
    pub remaining: u32,
    /// Its place among the bundles of its model that wait, group by group; of use
    /// only when its step is worked off so.
    pub position: usize,
    /// Whether the engine's weights are new enough for it.
    pub loaded: bool,
    /// Its place in the order in which the batch's bundles should begin.
    pub order: u16,
    /// How its step's bundles begin.
    pub mode: StepMode,
    /// The expected tokens of what is left of it.
    pub work: u64,
}

impl Offer {
    /// The order of offers of one kind: what its trainer waits for, then what may be
    /// in time, then what is due first.
    pub fn urgency(&self) -> (bool, bool, Millis) {
        (self.surplus, self.mode == StepMode::Late, self.due)
    }
}

/// Who runs a bundle already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Holder {
    /// Another runner since so long; its engine takes `pace` times as long for
    /// an event as this runner's, and a second runner may join or not. `slower`
    /// tells whether its engine counts as slower than usual.
    Held {
        joinable: bool,
        pace: f64,
        since: Millis,
        slower: bool,
    },
    /// Nobody, or a runner that is gone.
    Nobody,
}

/// The runner that takes bundles.
#[derive(Clone, Copy, Debug)]
pub struct Runner {
    /// Its place among the runners of its model whose engines are as fast.
    pub place: Place,
    /// How many more items its engine can work on at once.
    pub room: u32,
    /// Whether its engine counts as slower than usual.
    pub slower: bool,
    /// Whether runners of its model with faster engines go before it.
    pub yields: bool,
}

/// This runner's place among those that serve the same model first.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub count: usize,
    pub rank: usize,
}

impl Place {
    /// Whether the bundle at `order` falls to this runner by the common rule:
    /// each has one runner, worked out alike by all.
    pub fn owns(self, order: impl Into<usize>) -> bool {
        order.into() % self.count.max(1) == self.rank
    }
}

/// Before this age a batch is left to the runners of its model: they have seen
/// it by then, and others would keep their own model's work waiting.
const OTHER_MODEL_DELAY: Millis = Millis(400);

/// A holder with an engine of the usual pace is joined after this long only. It
/// brings no text sooner, and is worth nothing while engines do as they say; it is
/// what runs the bundles of a runner whose engine's address a server of another
/// service has, which refuses every item.
const JOIN_DELAY: Millis = Millis(6_000);

/// A holder whose engine is slow against this runner's is joined this soon.
const JOIN_STRAGGLER_DELAY: Millis = Millis(700);

/// A holder whose engine is of the slower kind is joined by a faster one after
/// so long: most texts are whole by then, and the long ones are the ones that
/// their steps wait for. A text of 194 events takes 9.5 s there, and 7.5 s at a
/// faster engine.
const JOIN_SLOWER_DELAY: Millis = Millis(1_500);

/// An engine of the slower kind leaves new bundles to the faster ones for so
/// long, and takes the shortest of what they had no room for. With its long texts
/// joined as well, the share of what callers and trainers ask for that is served, by
/// its worth, rose from 0.784 to 0.8145 in the mean of 15 plays with trouble.
const SLOWER_DELAY: Millis = Millis(200);

/// An engine that is slow itself takes no more than this share of its slots,
/// and only what others have left for a while.
const STRAGGLER_SLOT_SHARE: f64 = 0.25;

/// The items that an engine should have at once. One that takes much longer
/// than `usual` for an event holds up every bundle it takes.
pub fn usable_slots(slots: u32, pace: f64, usual: f64) -> u32 {
    match is_straggler(pace, usual) {
        true => ((f64::from(slots) * STRAGGLER_SLOT_SHARE) as u32).max(1),
        false => slots,
    }
}

/// Whether a runner runs a bundle that nobody has claimed while no claim can be
/// written: each bundle has one runner by the order that all work out alike, or the
/// one that has claimed it. A claim whose answer was lost as the store went away was
/// taken for not written; all others knew of it, and nobody ran the bundle in 7 s of
/// outage.
pub fn is_assigned(offer: &Offer, place: Place) -> bool {
    let mine = offer.claimed || (place.owns(offer.order) && offer.home);
    mine && offer.loaded && offer.holder == Holder::Nobody
}

/// The best offer for a runner, if any is worth taking.
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

/// The order of a step's offers to a runner.
///
/// Runners that see a new batch, or a free place, at the same moment begin with
/// different bundles: without it all would claim the first one, and all but one
/// would lose a round trip to the store each time.
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

/// The order of kinds of offers; `None` for one that is not worth taking.
fn preference(offer: &Offer, runner: Runner) -> Option<u8> {
    match offer.holder {
        Holder::Nobody if runner.yields && offer.age < SLOWER_DELAY => None,
        Holder::Nobody if offer.home => Some(0),
        Holder::Nobody if offer.age >= OTHER_MODEL_DELAY => Some(1),
        Holder::Nobody => None,
        Holder::Held {
            joinable,
            pace,
            since,
            slower,
        } => {
            let slow = pace >= STRAGGLER_RATIO && since >= JOIN_STRAGGLER_DELAY;
            let slower = slower && !runner.slower && since >= JOIN_SLOWER_DELAY;
            let late = since >= JOIN_DELAY;
            let fits = offer.remaining <= runner.room;
            (joinable && fits && (slow || slower || late)).then_some(2)
        }
    }
}
