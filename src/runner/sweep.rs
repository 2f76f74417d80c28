//! Gives up the unfinished items of batches that are too old, and removes finished batches
//! once their retention is over.

use super::{
    open_batch::OpenBatch,
    run_item::terminated,
    work::WorkLoop, //
};
use crate::{
    base::{Millis, stable_hash},
    batch::{BODIES, PARTIALS, RESULTS, WORK, batch_part},
    platform::Store,
    policy::batch_age::{Action, BatchAge, BatchState, decide},
    store::{Key, StoreError, Transaction}, //
};

/// How often the age of the batches is checked.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// The most rows that one transaction removes; the store's limit is 100.
const MAX_REMOVED_ROWS: usize = 90;

/// How long after its batch was accepted an item may run, if the batch has no route.
const DEFAULT_ITEM_TTL: Millis = Millis(600_000);

impl WorkLoop {
    /// Gives up expired items and removes expired batches, once every [`SWEEP_INTERVAL`].
    pub(super) fn plan_sweep(&mut self, now: Millis) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let Some(config) = self.site.config() else {
            return;
        };
        let runners = self.heartbeats.working_runners(&self.service, now);
        let store_now = self.store.now();
        let mut old = Vec::new();
        let complete = self.complete_batches();
        for (id, batch) in &mut self.batches {
            // One runner is responsible for each batch. If two act, which can happen while
            // their views differ, the store accepts one of their appends.
            let turn = stable_hash(&[id.as_bytes()]) as usize % runners.len().max(1);
            if runners.get(turn).is_some_and(|name| *name != self.instance) {
                continue;
            }
            let route = config.route(&batch.head.host, &batch.head.path);
            let age = BatchAge {
                age: store_now.since(batch.head.accepted),
                newer: newer(&complete, id, batch.head.accepted),
                retention: self.retention,
                state: batch.state(),
                ttl: route.map_or(DEFAULT_ITEM_TTL, |route| route.item_ttl),
            };
            match decide(age) {
                Action::GiveUp => batch.give_up_items(id),
                Action::Keep => {}
                Action::Remove => old.push((id.clone(), age.state)),
            }
        }
        for (id, state) in old {
            tracing::info!(batch = id, ?state, "removing batch: its retention is over");
            metrics::counter!("redwing_batches_removed_total", "state" => state.label())
                .increment(1);
            let store = self.store.clone();
            tokio::spawn(async move {
                if let Err(error) = remove_batch(&store, &id).await {
                    tracing::warn!(batch = id, %error, "batch not removed");
                }
            });
        }
    }

    /// When each complete batch that nobody has ended was accepted, and its id, in this order.
    fn complete_batches(&self) -> Vec<(Millis, String)> {
        let is_complete = |batch: &OpenBatch| batch.state() == BatchState::Complete;
        let complete = self.batches.iter().filter(|(_, batch)| is_complete(batch));
        let accepted = |(id, batch): (&String, &OpenBatch)| (batch.head.accepted, id.clone());
        let mut complete: Vec<_> = complete.map(accepted).collect();
        complete.sort();
        complete
    }
}

/// The number of batches in `complete` that were accepted after the batch `id`.
fn newer(complete: &[(Millis, String)], id: &str, accepted: Millis) -> usize {
    let newer = complete.iter().rev();
    newer
        .take_while(|(at, other)| (*at, other.as_str()) > (accepted, id))
        .count()
}

impl OpenBatch {
    fn state(&self) -> BatchState {
        match self.log.ended {
            true => BatchState::Ended,
            false if self.is_over() => BatchState::Complete,
            false => BatchState::Unfinished,
        }
    }

    /// Sets the result of every item that has none to "given up".
    fn give_up_items(&mut self, id: &str) {
        let head = self.head.clone();
        let mut given_up = Vec::new();
        for (index, item) in head.items.iter().enumerate() {
            if self.add_result(index as u16, terminated(&item.id)) {
                given_up.push(item.id.as_str());
            }
        }
        if given_up.is_empty() {
            return;
        }
        let (items, count) = (given_up.join(" "), given_up.len());
        tracing::warn!(
            batch = id,
            items,
            count,
            "giving items up: their time is over"
        );
    }
}

/// Removes all rows of a batch. Those in the work table, by which the batch is found, go
/// last, so that a removal that fails midway is repeated.
async fn remove_batch(store: &Store, id: &str) -> Result<(), StoreError> {
    let part = batch_part(id);
    for table in [PARTIALS, RESULTS, BODIES, WORK] {
        let rows = store.whole_part(table, &part).await?.rows;
        for few in rows.chunks(MAX_REMOVED_ROWS) {
            let keys = few
                .iter()
                .map(|row| Key::new(table, &part, row.key.as_str()));
            let transaction = Transaction {
                remove: keys.collect(),
                ..Transaction::default()
            };
            store.transact(&transaction).await?;
        }
    }
    Ok(())
}
