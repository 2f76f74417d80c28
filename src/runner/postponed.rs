//! Batches that wait until this runner has memory for them.
//!
//! A batch takes memory at every runner that follows it, for as long as it is open. Trainers
//! submit more than the machines bear, and what was accepted is kept: the runner opens the
//! batches in the order of their acceptance, and reads a postponed one from the store when it is
//! its turn.

use super::{
    claims::STORE_RETRY_DELAY,
    event::Event,
    open_batch::OpenBatch,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Head, Log, WORK, batch_part},
    store::{Row, StoreError}, //
};
use std::collections::BTreeMap;

/// The postponed batches.
#[derive(Default)]
pub(super) struct Postponed {
    /// By the time of acceptance and the batch's id.
    batches: BTreeMap<(Millis, String), PostponedBatch>,
    /// The batch whose rows are being read.
    reading: Option<String>,
    /// No batch is read before this time, as the last read failed.
    retry_at: Millis,
}

/// A batch that is not open.
struct PostponedBatch {
    /// Without its items.
    head: Head,
    /// The memory that it will take, in bytes.
    memory: usize,
}

/// The share of the memory limit that open batches may take, as a divisor.
const BATCHES_SHARE: usize = 4;

impl Postponed {
    /// Whether the rows of the batch `id` are ignored, as all of them will be read.
    pub(super) fn ignores(&self, id: &str) -> bool {
        self.reading.as_deref() != Some(id) && self.key(id).is_some()
    }

    /// Removes the batch `id`.
    pub(super) fn remove(&mut self, id: &str) -> Option<Head> {
        let key = self.key(id)?;
        self.batches.remove(&key).map(|batch| batch.head)
    }

    fn key(&self, id: &str) -> Option<(Millis, String)> {
        let mut keys = self.batches.keys();
        keys.find(|(_, batch)| batch == id).cloned()
    }
}

impl WorkLoop {
    /// Whether there is no room for a further batch that takes `memory` bytes. One batch is
    /// always open.
    pub(super) fn lacks_room(&self, memory: usize) -> bool {
        let open = self.batches.values().map(OpenBatch::memory);
        let open: usize = open.sum();
        let is_first = self.batches.values().all(OpenBatch::is_over);
        !is_first && open + memory > self.memory / BATCHES_SHARE
    }

    /// Postpones the batch `id` until there is room for it.
    pub(super) fn postpone(&mut self, id: &str, head: &Head) {
        let (items, open) = (head.items.len(), self.batches.len());
        self.orphans.remove(id);
        let key = (head.accepted, id.to_owned());
        let postponed = PostponedBatch {
            head: head.without_items(),
            memory: OpenBatch::memory_of(head),
        };
        self.postponed.batches.insert(key, postponed);
        let waiting = self.postponed.batches.len();
        tracing::warn!(
            batch = id,
            items,
            open,
            waiting,
            "batch postponed: no memory"
        );
        metrics::counter!("redwing_batches_postponed_total").increment(1);
        metrics::gauge!("redwing_batches_waiting").set(waiting as f64);
    }

    /// Notes that a postponed batch was ended: it never has to be opened.
    pub(super) fn end_postponed(&mut self, id: &str, log: Log, revision: u64, now: Millis) {
        if !log.ended {
            return;
        }
        if let Some(head) = self.postponed.remove(id) {
            let mut batch = OpenBatch::new(head, now);
            batch.set_log(log, revision);
            self.batches.insert(id.to_owned(), batch);
        }
    }

    /// Reads the first postponed batch if there is room for another one.
    pub(super) fn open_postponed(&mut self, now: Millis) {
        let first = self.postponed.batches.first_key_value();
        let Some(((_, id), batch)) = first.filter(|_| self.postponed.reading.is_none()) else {
            return;
        };
        if now < self.postponed.retry_at || self.lacks_room(batch.memory) {
            return;
        }
        let id = id.clone();
        self.postponed.reading = Some(id.clone());
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let rows = store.whole_part(WORK, &batch_part(&id)).await;
            let rows = rows.map(|listing| listing.rows);
            let _ = events.send(Event::BatchRead { batch: id, rows }).await;
        });
    }

    /// Opens a postponed batch whose rows were read, with the changes that came meanwhile.
    pub(super) fn on_batch_read(&mut self, id: &str, rows: Result<Vec<Row>, StoreError>) {
        let now = self.clock.now();
        self.postponed.reading = None;
        match rows {
            Ok(rows) => {
                self.postponed.remove(id);
                for row in rows {
                    let value = row.value.unwrap_or_default();
                    self.apply_row(&row.part, &row.key, &value, row.revision, now);
                }
                let waiting = self.postponed.batches.len();
                tracing::info!(batch = id, waiting, "postponed batch read");
                metrics::gauge!("redwing_batches_waiting").set(waiting as f64);
            }
            Err(error) => {
                tracing::info!(batch = id, %error, "postponed batch not read");
                self.postponed.retry_at = now + STORE_RETRY_DELAY;
            }
        }
    }
}
