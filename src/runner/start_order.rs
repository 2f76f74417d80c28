//! The order in which the waiting bundles of this runner's home model start.

use super::{
    open_batch::OpenBatch,
    work::WorkLoop, //
};
use crate::policy::{
    claim_choice::Offer,
    start_order::{StepPlan, plan_start_order},
    step_mode::Supply, //
};

impl WorkLoop {
    /// Sets the start order of the offers that are of this runner's home model and wait
    /// for a runner; `slots` is the number of slots of the model's engines.
    pub(super) fn set_start_order(&mut self, ids: &[String], offers: &mut [Offer], slots: u32) {
        let supply = Supply {
            slots,
            token_ms: self.engine.rate().token_ms(),
        };
        for step in plan_start_order(offers, supply, self.store.now()) {
            self.record_mode(&ids[step.batch], step, supply);
        }
    }

    /// Logs and stores a step's mode if it has changed.
    fn record_mode(&mut self, id: &str, step: StepPlan, supply: Supply) {
        let StepPlan { mode, work, .. } = step;
        let Some(batch) = self.batches.get_mut(id).filter(|batch| batch.mode != mode) else {
            return;
        };
        let Supply { slots, token_ms } = supply;
        let before = batch.mode;
        tracing::info!(
            batch = id,
            turn = ?mode,
            ?before,
            work,
            places = slots,
            token = token_ms,
            "start order of a step's bundles changed"
        );
        batch.mode = mode;
    }
}

impl OpenBatch {
    /// The expected output tokens of some of its items; 1 for each without an estimate.
    pub(super) fn expected_tokens(&self, items: &[u16]) -> u64 {
        let expected = |index: &u16| self.head.items[usize::from(*index)].expected;
        let items = items.iter();
        items.map(|index| u64::from(expected(index).max(1))).sum()
    }

    /// The expected output tokens of the longest of some of its items; 0 if no item has an
    /// estimate.
    pub(super) fn longest_expected(&self, items: &[u16]) -> u32 {
        let expected = |index: &u16| self.head.items[usize::from(*index)].expected;
        items.iter().map(expected).max().unwrap_or(0)
    }
}
