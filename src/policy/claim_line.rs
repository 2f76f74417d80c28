//! The line in which a model's waiting bundles begin, by the turns of their steps.

use super::{
    claim_choice::{Holder, Offer},
    step_order::{Step, Supply, Turn, is_ample, turns}, //
};
use crate::base::Millis;
use std::collections::BTreeMap;

/// How the bundles of one step begin.
#[derive(Clone, Copy, Debug)]
pub struct StepLine {
    /// The batch, by the runner's own numbering.
    pub batch: usize,
    pub turn: Turn,
    /// The expected tokens of its waiting bundles that its trainer waits for.
    pub work: u64,
}

/// Sets the turns of the `offers` that wait for the runner's own model, and their
/// places in line. Returns what it found for each of their steps.
pub fn line_up(offers: &mut [Offer], supply: Supply, now: Millis) -> Vec<StepLine> {
    let waiting = waiting(offers);
    let steps: Vec<Step> = waiting.values().copied().collect();
    let ample = is_ample(&steps, supply, now);
    let found = waiting.into_iter().zip(turns(&steps, supply, now));
    let found: Vec<StepLine> = found
        .map(|(((_, batch), step), turn)| StepLine {
            batch,
            turn,
            work: step.needed,
        })
        .collect();
    for step in &found {
        let of_step = |offer: &&mut Offer| offer.batch == step.batch;
        for offer in offers.iter_mut().filter(of_step) {
            offer.beyond &= !ample;
            offer.turn = step.turn;
        }
    }

    let mut line: Vec<&mut Offer> = offers.iter_mut().filter(|offer| waits(offer)).collect();
    // Bundles are numbered group by group, in the order of the submission.
    line.sort_by_key(|offer| (offer.urgency(), offer.batch, offer.bundle));
    for (place, offer) in line.into_iter().enumerate() {
        offer.line = place;
    }
    found
}

/// What waits of each step, by due time and number.
fn waiting(offers: &[Offer]) -> BTreeMap<(Millis, usize), Step> {
    let mut steps = BTreeMap::new();
    for offer in offers.iter().filter(|offer| waits(offer)) {
        let due = offer.due;
        let step = steps.entry((due, offer.batch)).or_insert(Step {
            beyond: 0,
            due,
            needed: 0,
        });
        match offer.beyond {
            true => step.beyond += offer.work,
            false => step.needed += offer.work,
        }
    }
    steps
}

/// Whether nobody runs the bundle and the runner's model is its own.
fn waits(offer: &Offer) -> bool {
    offer.home && offer.holder == Holder::Nobody
}
