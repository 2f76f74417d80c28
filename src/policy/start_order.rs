//! Orders the waiting bundles of a runner's home model by the modes of their steps.

use super::{
    claim_choice::{Holder, Offer},
    step_mode::{OpenStep, StepMode, Supply, is_ample, step_modes}, //
};
use crate::base::Millis;
use std::collections::BTreeMap;

/// How the waiting bundles of one step are started.
#[derive(Clone, Copy, Debug)]
pub struct StepPlan {
    /// The batch, by its index in the runner's own list.
    pub batch: usize,
    pub mode: StepMode,
    /// The expected output tokens of the step's waiting bundles, without surplus ones.
    pub work: u64,
}

/// Sets the positions of the `offers` that wait for a runner and are of the runner's home
/// model. Also sets the modes of all offers of their steps, held ones included, and clears
/// the `surplus` of these offers while there are enough engines for all waiting work.
/// Returns the plan of each step.
pub fn plan_start_order(offers: &mut [Offer], supply: Supply, now: Millis) -> Vec<StepPlan> {
    let waiting_steps = waiting_steps(offers);
    let steps: Vec<OpenStep> = waiting_steps.values().copied().collect();
    let ample = is_ample(&steps, supply, now);
    let modes = waiting_steps
        .into_iter()
        .zip(step_modes(&steps, supply, now));
    let plans: Vec<StepPlan> = modes
        .map(|(((_, batch), step), mode)| StepPlan {
            batch,
            mode,
            work: step.needed,
        })
        .collect();
    for step in &plans {
        let of_step = |offer: &&mut Offer| offer.batch == step.batch;
        for offer in offers.iter_mut().filter(of_step) {
            offer.surplus &= !ample;
            offer.mode = step.mode;
        }
    }

    let mut queue: Vec<&mut Offer> = offers
        .iter_mut()
        .filter(|offer| is_waiting(offer))
        .collect();
    // Bundles are numbered group by group, in the order of the submission.
    queue.sort_by_key(|offer| (offer.urgency(), offer.batch, offer.bundle));
    for (position, offer) in queue.into_iter().enumerate() {
        offer.position = position;
    }
    plans
}

/// The waiting work of each step, by due time and batch.
fn waiting_steps(offers: &[Offer]) -> BTreeMap<(Millis, usize), OpenStep> {
    let mut steps = BTreeMap::new();
    for offer in offers.iter().filter(|offer| is_waiting(offer)) {
        let due = offer.due;
        let step = steps.entry((due, offer.batch)).or_insert(OpenStep {
            surplus: 0,
            due,
            needed: 0,
        });
        match offer.surplus {
            true => step.surplus += offer.work,
            false => step.needed += offer.work,
        }
    }
    steps
}

/// Whether nobody runs the bundle and its model is the runner's home model.
fn is_waiting(offer: &Offer) -> bool {
    offer.home && offer.holder == Holder::Nobody
}
