//! Applies changes of the store's work table to the work loop's state.

use super::{
    open_batch::OpenBatch,
    run_handle::RunHandle,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Head, Heartbeat, Log, WorkKey, batch_part, decode, is_heartbeat_part},
    store::{Change, Row}, //
};

impl WorkLoop {
    /// Applies one change of the work table.
    pub(super) fn apply_change(&mut self, change: Change, now: Millis) {
        match change {
            Change::Put {
                part,
                key,
                value,
                revision,
            } => self.apply_row(&part, &key, &value, revision, now),
            Change::Removed { part, key } => {
                let Some(id) = part.strip_prefix("batch-") else {
                    return;
                };
                match WorkKey::parse(&key) {
                    Some(WorkKey::Head) => {
                        self.postponed.remove(id);
                        if let Some(mut batch) = self.batches.remove(id) {
                            batch.stop();
                            batch.stopped.iter().for_each(RunHandle::cut);
                        }
                    }
                    Some(WorkKey::Claim(bundle)) => {
                        if let Some(batch) = self.batches.get_mut(id) {
                            batch.claims.remove(&bundle);
                        }
                    }
                    Some(WorkKey::Log) | None => {}
                }
            }
        }
    }

    /// Applies a new or changed row: a heartbeat, or a batch's head, log or claim.
    pub(super) fn apply_row(
        &mut self,
        part: &str,
        key: &str,
        value: &[u8],
        revision: u64,
        now: Millis,
    ) {
        if is_heartbeat_part(part) {
            if let Some(heartbeat) = decode::<Heartbeat>("heartbeat", value) {
                self.heartbeats.record(key, heartbeat, revision, now);
            }
            return;
        }
        let Some(id) = part.strip_prefix("batch-") else {
            return;
        };
        if self.postponed.ignores(id) {
            if WorkKey::parse(key) == Some(WorkKey::Log)
                && let Some(log) = decode("log", value)
            {
                self.end_postponed(id, log, revision, now);
            }
            return;
        }
        let known = self.batches.get_mut(id);
        match (WorkKey::parse(key), known) {
            (Some(WorkKey::Head), None) => {
                if let Some(head) = decode::<Head>(key, value) {
                    if self.lacks_room(OpenBatch::memory_of(&head)) {
                        self.postpone(id, &head);
                        return;
                    }
                    let same = |batch: &OpenBatch| batch.head.model == head.model;
                    let mut open = self.batches.values().filter(|batch| !batch.is_over());
                    if open.any(same) {
                        self.overlapping.insert(head.model.clone());
                    }
                    self.batches
                        .insert(id.to_owned(), OpenBatch::new(head, now));
                    self.apply_orphans(id);
                    self.prefetch(id);
                }
            }
            (Some(WorkKey::Log), Some(batch)) => {
                if let Some(log) = decode::<Log>(key, value) {
                    let ended = log.ended && !batch.log.ended;
                    batch.set_log(log, revision);
                    if ended {
                        tracing::info!(batch = id, "batch ended, stopping its runs");
                    }
                }
            }
            (Some(WorkKey::Claim(bundle)), Some(batch)) => {
                if let Some(claim) = decode(key, value) {
                    batch.set_claim(bundle, claim, revision, now);
                }
            }
            (Some(_), None) => self.add_orphan(id, key, value, revision),
            (Some(WorkKey::Head), Some(_)) | (None, _) => {}
        }
    }

    /// Keeps a row that arrived before the head of its batch. A listing returns rows
    /// in key order, so claims come before the head.
    pub(super) fn add_orphan(&mut self, id: &str, key: &str, value: &[u8], revision: u64) {
        let row = Row {
            part: batch_part(id),
            key: key.to_owned(),
            value: Some(value.to_vec().into()),
            revision,
        };
        self.orphans.entry(id.to_owned()).or_default().push(row);
    }

    /// Applies the rows of batch `id` that arrived before its head.
    pub(super) fn apply_orphans(&mut self, id: &str) {
        let now = self.clock.now();
        for row in self.orphans.remove(id).unwrap_or_default() {
            let value = row.value.unwrap_or_default();
            self.apply_row(&row.part, &row.key, &value, row.revision, now);
        }
    }
}
