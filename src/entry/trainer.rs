//! One trainer as its owner, or a would-be owner, sees it.

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

/// Whose a trainer is.
#[derive(Clone, Debug, Default)]
pub(super) enum Ownership {
    /// Held by another entry.
    Elsewhere(Lease),
    /// Held here, under this epoch.
    Mine(Fence),
    #[default]
    Unknown,
}

/// The swap of one engine, tried or under way.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Swap {
    /// The version that the engine confirmed last, and when.
    pub(super) confirmed: Option<(Millis, WeightVersion)>,
    pub(super) not_before: Millis,
    pub(super) running: bool,
}

/// A trainer and what it asked for.
#[derive(Default)]
pub(super) struct Trainer {
    /// Whether a look at the lease's row is under way.
    pub(super) checking: bool,
    pub(super) model: Option<String>,
    pub(super) ownership: Ownership,
    /// When the row was last looked at.
    pub(super) checked_at: Millis,
    /// Steps by number.
    pub(super) steps: BTreeMap<u64, OwnedStep>,
    pub(super) swaps: HashMap<ServerKey, Swap>,
    /// The highest version that the trainer has named.
    pub(super) version: WeightVersion,
    /// Questions that wait until the lease's row is known.
    pub(super) deferred: VecDeque<TrainerRequest>,
    /// When the trainer asked last; without questions no lease is wanted.
    pub(super) last_request: Millis,
    pub(super) watch: LeaseWatch,
}

/// The questions that may wait for a lease.
const MAX_DEFERRED: usize = 32;

impl Trainer {
    /// The epoch under which this entry owns the trainer.
    pub(super) fn epoch(&self) -> Option<Fence> {
        match self.ownership {
            Ownership::Mine(epoch) => Some(epoch),
            Ownership::Elsewhere(_) | Ownership::Unknown => None,
        }
    }

    /// Gives everything up: another entry is the owner, or may be.
    pub(super) fn clear_steps(&mut self) {
        self.steps.clear();
        self.swaps.clear();
    }

    /// Keeps `request` until the lease's row is known.
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
