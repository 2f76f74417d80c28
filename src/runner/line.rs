//! The order in which the waiting bundles of this runner's home model start.

use super::{
    open_batch::OpenBatch,
    work::WorkLoop, //
};
use crate::policy::{
    claim_choice::Offer,
    claim_line::{StepPlan, plan_start_order},
    step_order::Supply, //
};

impl WorkLoop {
    /// Sets the start order of the offers that wait for this runner's home model;
    /// `places` is the number of slots of the model's engines.
    pub(super) fn set_start_order(&mut self, ids: &[String], offers: &mut [Offer], places: u32) {
        let supply = Supply {
            slots: places,
            token_ms: self.engine.rate().token_ms(),
        };
        for step in plan_start_order(offers, supply, self.store.now()) {
            self.note_mode(&ids[step.batch], step, supply);
        }
    }

    /// Logs and remembers that the start order of a step's bundles has changed.
    fn note_mode(&mut self, id: &str, step: StepPlan, supply: Supply) {
        let StepPlan {
            mode: turn, work, ..
        } = step;
        let Some(batch) = self.batches.get_mut(id).filter(|batch| batch.mode != turn) else {
            return;
        };
        let Supply {
            slots: places,
            token_ms: token,
        } = supply;
        let before = batch.mode;
        tracing::info!(
            batch = id,
            ?turn,
            ?before,
            work,
            places,
            token,
            "start order of a step's bundles changed"
        );
        batch.mode = turn;
    }
}

impl OpenBatch {
    /// The expected output tokens of some of its items; 1 for each without an estimate.
    pub(super) fn expected_tokens(&self, items: &[u16]) -> u64 {
        let expected = |index: &u16| self.head.items[usize::from(*index)].expected;
        let items = items.iter();
        items.map(|index| u64::from(expected(index).max(1))).sum()
    }
}
