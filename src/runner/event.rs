//! What the work loop is told.

use super::run_item::ItemEnd;
use crate::{
    batch::{Claim, Item, Log},
    platform::{EngineReport, OrderAnswer},
    store::{Followed, Outcome, StoreError}, //
};

/// Names a group of a batch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct GroupId {
    pub(super) batch: String,
    pub(super) group: u16,
}

/// Something happened that the work loop has to know.
pub(super) enum Event {
    Appended {
        batch: String,
        log: Log,
        outcome: Result<Outcome, StoreError>,
    },
    HeartbeatWritten(Result<Outcome, StoreError>),
    Claimed {
        claim: Claim,
        group: GroupId,
        outcome: Result<Outcome, StoreError>,
    },
    /// The chunk of items with this number was read.
    Fetched {
        batch: String,
        chunk: u16,
        items: Result<Vec<Item>, StoreError>,
    },
    ItemEnded {
        batch: String,
        index: u16,
        end: ItemEnd,
    },
    /// What the engine made of an order; `None` when it did not answer.
    Ordered {
        answer: Option<OrderAnswer>,
        model: String,
        version: u64,
    },
    /// The engine's report; `None` when it did not answer.
    Report(Option<EngineReport>),
    Store(Followed),
}

/// The events that may wait; who reports more of them waits.
pub(super) const RING: usize = 512;
