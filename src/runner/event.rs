//! The events that the work loop receives.

use super::{
    handover::HandoverEnd,
    run_item::ItemEnd, //
};
use crate::{
    base::Millis,
    batch::{Claim, Item, Log, Partial},
    platform::{EngineReport, OrderAnswer},
    relay::FollowEvent,
    store::{Row, StoreError, TransactionOutcome}, //
};
use std::collections::HashMap;

/// Identifies a bundle by its batch and its index there.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct BundleId {
    pub(super) batch: String,
    pub(super) bundle: u16,
}

/// A report of the engine.
pub(super) struct ReceivedReport {
    /// When it was requested. What it says held at some time between this and its arrival.
    pub(super) asked_at: Millis,
    /// When it arrived.
    pub(super) received_at: Millis,
    pub(super) report: EngineReport,
}

/// A message from a background task to the work loop.
pub(super) enum Event {
    /// An append of results to a batch's log has ended.
    ResultsAppended {
        batch: String,
        /// How many of the last entries of `log` this append added.
        count: usize,
        /// The log as this append wrote it.
        log: Log,
        outcome: Result<TransactionOutcome, StoreError>,
    },
    /// The write of this runner's heartbeat has ended.
    HeartbeatWritten(Result<TransactionOutcome, StoreError>),
    /// The write of a claim has ended.
    ClaimWritten {
        claim: Claim,
        bundle: BundleId,
        outcome: Result<TransactionOutcome, StoreError>,
    },
    /// The read of a chunk of items has ended.
    ItemsRead {
        batch: String,
        chunk: u16,
        items: Result<Vec<Item>, StoreError>,
    },
    /// The read of all rows of a postponed batch has ended.
    BatchRead {
        batch: String,
        rows: Result<Vec<Row>, StoreError>,
    },
    /// The run of an item has ended.
    ItemEnded {
        batch: String,
        index: u16,
        end: ItemEnd,
    },
    /// The partial texts of a bundle's items were read; by item index.
    PartialsRead {
        bundle: BundleId,
        partials: HashMap<u16, Partial>,
    },
    /// The handover of a bundle's long texts has ended.
    HandoverEnded(HandoverEnd),
    /// The engine's answer to an order; `None` if it did not answer.
    OrderAnswered {
        answer: Option<OrderAnswer>,
        model: String,
        version: u64,
    },
    /// The engine's report; `None` if it sent no usable one.
    Report(Option<ReceivedReport>),
    /// A change of the work table, or of the connection to the store.
    Feed(FollowEvent),
}

/// The capacity of the work loop's channels; senders wait while one is full.
pub(super) const EVENT_CAPACITY: usize = 512;
