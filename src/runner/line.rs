//! How the bundles that wait for this runner's model begin.

use super::{
    open_batch::OpenBatch,
    work::Work, //
};
use crate::policy::{
    claim_choice::Offer,
    claim_line::{StepPlan, plan_start_order},
    step_order::Supply, //
};

impl Work {
    /// Lines up the offers that wait for this runner's model; `places` are those of
    /// its engines.
    pub(super) fn line_up(&mut self, ids: &[String], offers: &mut [Offer], places: u32) {
        let supply = Supply {
            slots: places,
            token_ms: self.engine.rate().token_ms(),
        };
        for step in plan_start_order(offers, supply, self.store.now()) {
            self.note_turn(&ids[step.batch], step, supply);
        }
    }

    fn note_turn(&mut self, id: &str, step: StepPlan, supply: Supply) {
        let StepPlan {
            mode: turn, work, ..
        } = step;
        let Some(batch) = self.batches.get_mut(id).filter(|batch| batch.turn != turn) else {
            return;
        };
        let Supply {
            slots: places,
            token_ms: token,
        } = supply;
        let before = batch.turn;
        tracing::info!(
            batch = id,
            ?turn,
            ?before,
            work,
            places,
            token,
            "a step's order changes"
        );
        batch.turn = turn;
    }
}

impl OpenBatch {
    /// The expected tokens of some of its items; 1 for each without an estimate.
    pub(super) fn work(&self, items: &[u16]) -> u64 {
        let expected = |index: &u16| self.head.items[usize::from(*index)].expected;
        let items = items.iter();
        items.map(|index| u64::from(expected(index).max(1))).sum()
    }
}
