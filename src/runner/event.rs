//! What the work loop is told.

use super::run_item::ItemEnd;
use crate::{
    batch::{Claim, Item, Log, Partial},
    platform::{EngineReport, OrderAnswer},
    relay::Followed,
    store::{Outcome, StoreError}, //
};
use std::collections::HashMap;

/// Names a bundle of a batch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct BundleId {
    pub(super) batch: String,
    pub(super) bundle: u16,
}

/// Something happened that the work loop has to know.
pub(super) enum Event {
    ResultsAppended {
        batch: String,
        /// The results that the append lists: the last ones of `log`.
        count: usize,
        log: Log,
        outcome: Result<Outcome, StoreError>,
    },
    HeartbeatWritten(Result<Outcome, StoreError>),
    ClaimWritten {
        claim: Claim,
        bundle: BundleId,
        outcome: Result<Outcome, StoreError>,
    },
    /// The chunk of items with this number was read.
    ItemsRead {
        batch: String,
        chunk: u16,
        items: Result<Vec<Item>, StoreError>,
    },
    ItemEnded {
        batch: String,
        index: u16,
        end: ItemEnd,
    },
    /// What earlier runs have left of a batch's items, by index.
    PartialsRead {
        bundle: BundleId,
        partials: HashMap<u16, Partial>,
    },
    /// What the engine made of an order; `None` when it did not answer.
    OrderAnswered {
        answer: Option<OrderAnswer>,
        model: String,
        version: u64,
    },
    /// The engine's report; `None` when it did not answer.
    Report(Option<EngineReport>),
    Feed(Followed),
}

/// The events that may wait; who reports more of them waits.
pub(super) const EVENT_CAPACITY: usize = 512;
