//! One trainer, at the entry that owns it or that has requests for it.

use super::{
    owned_step::OwnedStep,
    rollout::{TrainerReply, TrainerRequest},
    server::ServerKey, //
};
use crate::{
    base::{Fence, Millis, WeightVersion},
    policy::lease::{Lease, LeaseWatch}, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

/// Which entry owns a trainer.
#[derive(Clone, Debug, Default)]
pub(super) enum Ownership {
    /// Another entry, by this lease.
    Elsewhere(Lease),
    /// This entry, under this epoch.
    Mine(Fence),
    #[default]
    Unknown,
}

/// The swap of one engine to the weights of one trainer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Swap {
    /// The version that the engine confirmed last, and when.
    pub(super) confirmed: Option<(Millis, WeightVersion)>,
    /// When the engine may get the next order.
    pub(super) not_before: Millis,
    /// Whether an order is in progress.
    pub(super) running: bool,
}

/// A trainer: its lease, its steps and its engines.
#[derive(Default)]
pub(super) struct Trainer {
    /// Whether a check of the lease is in progress.
    pub(super) checking: bool,
    /// The model that the trainer has named last.
    pub(super) model: Option<String>,
    pub(super) ownership: Ownership,
    /// When the lease was last checked.
    pub(super) checked_at: Millis,
    /// Steps by number.
    pub(super) steps: BTreeMap<u64, OwnedStep>,
    /// By engine.
    pub(super) swaps: HashMap<ServerKey, Swap>,
    /// The newest weight version that the trainer has named.
    pub(super) version: WeightVersion,
    /// Requests that wait for a check of the lease.
    pub(super) deferred: VecDeque<TrainerRequest>,
    /// When the trainer last sent a request. This entry does not try to acquire the lease of
    /// an idle trainer.
    pub(super) last_request: Millis,
    /// The last observed row of the lease, and when it was seen to change.
    pub(super) watch: LeaseWatch,
}

/// The most requests that may wait for a check of the lease.
const MAX_DEFERRED: usize = 32;

impl Trainer {
    /// The epoch under which this entry owns the trainer.
    pub(super) fn epoch(&self) -> Option<Fence> {
        match self.ownership {
            Ownership::Mine(epoch) => Some(epoch),
            Ownership::Elsewhere(_) | Ownership::Unknown => None,
        }
    }

    /// Drops the steps and swaps, because another entry owns the trainer, or may own it.
    pub(super) fn clear_steps(&mut self) {
        self.steps.clear();
        self.swaps.clear();
    }

    /// Keeps `request` until the lease is checked, or refuses it if too many wait.
    pub(super) fn defer(&mut self, request: TrainerRequest) {
        if self.deferred.len() >= MAX_DEFERRED {
            let detail = "too many requests wait for the trainer's owner";
            let cause = crate::base::Cause::Overloaded;
            let failure = crate::base::Failure::not_run(cause, detail);
            let failure = failure.retry_after(Millis(500));
            let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
            return;
        }
        self.deferred.push_back(request);
    }
}
