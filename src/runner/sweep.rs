//! Gives up items whose time is over, and removes batches that nobody may read
//! any more.

use super::{
    open_batch::OpenBatch,
    run_item::terminated,
    work::Work, //
};
use crate::{
    base::{Millis, stable_hash},
    batch::{BODIES, PARTIALS, RESULTS, WORK, part_of},
    platform::Store,
    policy::batch_age::{Action, BatchAge, decide},
    store::{Key, StoreError, Transaction}, //
};

/// How often batches are looked at.
const EVERY: Millis = Millis(1_000);

/// The most rows that one transaction removes; the store takes 100.
const ROWS_MOST: usize = 90;

/// How long an item may be run when its route names no time.
const TTL_DEFAULT: Millis = Millis(600_000);

impl Work {
    /// Looks for batches whose time is over.
    pub(super) fn plan_sweep(&mut self, now: Millis) {
        if now.since(self.swept) < EVERY {
            return;
        }
        self.swept = now;
        let Some(config) = self.site.config() else {
            return;
        };
        let runners = self.heartbeats.working(&self.service, now);
        let store_now = self.store.now();
        let mut old = Vec::new();
        for (id, batch) in &mut self.batches {
            // One runner sees to each batch; if two do, the store settles it.
            let turn = stable_hash(&[id.as_bytes()]) as usize % runners.len().max(1);
            if runners.get(turn).is_some_and(|name| *name != self.instance) {
                continue;
            }
            let route = config.route(&batch.head.host, &batch.head.path);
            let age = BatchAge {
                age: store_now.since(batch.head.accepted),
                over: batch.is_over(),
                retention: self.retention,
                ttl: route.map_or(TTL_DEFAULT, |route| route.item_ttl),
            };
            match decide(age) {
                Action::GiveUp if batch.results.is_empty() => batch.give_up(id),
                Action::GiveUp | Action::Keep => {}
                Action::Remove => old.push(id.clone()),
            }
        }
        for id in old {
            tracing::info!(batch = id, "batch removed: its retention is over");
            let store = self.store.clone();
            tokio::spawn(async move {
                if let Err(error) = remove(&store, &id).await {
                    tracing::warn!(batch = id, %error, "batch not removed yet");
                }
            });
        }
    }
}

impl OpenBatch {
    /// Takes every item that is not listed for given up.
    fn give_up(&mut self, id: &str) {
        let items = self.head.items.iter().enumerate();
        let open = items.filter(|(index, _)| !self.log.has(*index as u16));
        self.results = open
            .map(|(index, item)| (index as u16, terminated(&item.id)))
            .collect();
        let count = self.results.len();
        tracing::warn!(batch = id, count, "items given up: their time is over");
    }
}

/// Removes all rows of a batch; those that make it known go last.
async fn remove(store: &Store, id: &str) -> Result<(), StoreError> {
    let part = part_of(id);
    for table in [PARTIALS, RESULTS, BODIES, WORK] {
        let rows = store.whole_part(table, &part).await?.rows;
        for few in rows.chunks(ROWS_MOST) {
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
