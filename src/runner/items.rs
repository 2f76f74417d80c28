//! Reads the items of taken bundles and starts their runs.

use super::{
    claims::CLAIM_AGAIN,
    event::{BundleId, Event},
    open_batch::{Mine, OpenBatch},
    run_item::{self, Task},
    work::Work, //
};
use crate::{
    base::Millis,
    batch::{BODIES, Item, PARTIALS, Partial, chunk_of, decode, part_of, partial_key},
    platform::Store,
    store::{Key, StoreError}, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// The most that one run of an item may take before the engine may stop it.
const RUN_MOST: Millis = Millis(30_000);

impl Work {
    /// Reads the items of the bundles that are this runner's by the rule, so
    /// that it can run them also while the store is away.
    pub(super) fn prefetch(&mut self, id: &str) {
        let standing = self.standing(self.clock.now());
        let place = standing.place;
        let Some(batch) = self.batches.get(id) else {
            return;
        };
        if standing.home.as_ref() != Some(&batch.head.model) || !self.is_working() {
            return;
        }
        let bundles = 0..batch.head.bundles.len() as u16;
        let mine: Vec<u16> = bundles
            .filter(|bundle| place.owns(batch.order_of(*bundle)))
            .collect();
        for bundle in mine {
            self.fetch(id, bundle);
        }
    }

    /// Reads what earlier runs have left of a bundle that was claimed before.
    pub(super) fn resume(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.mine.insert(bundle, Mine::Resuming);
        let left = batch.left(bundle);
        let bundle = BundleId {
            batch: id.to_owned(),
            bundle,
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let partials = read_partials(&store, &bundle.batch, &left).await;
            let _ = events.send(Event::Partials { bundle, partials }).await;
        });
    }

    /// Takes what earlier runs have left of a bundle, and runs it.
    pub(super) fn resumed(&mut self, bundle: BundleId, partials: HashMap<u16, Partial>) {
        let BundleId { batch: id, bundle } = bundle;
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        if !matches!(batch.mine.get(&bundle), Some(Mine::Resuming)) {
            return;
        }
        if !partials.is_empty() {
            let count = partials.len();
            tracing::info!(batch = id, bundle, count, "goes on with kept texts");
        }
        batch.partials.extend(partials);
        batch.mine.insert(bundle, Mine::Fetching);
        self.start(&id, bundle);
    }

    /// Reads the chunks with the bundle's items that are not here yet.
    pub(super) fn fetch(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        let mut chunks: Vec<u16> = batch
            .left(bundle)
            .iter()
            .map(|index| batch.head.items[usize::from(*index)].chunk)
            .collect();
        chunks.dedup();
        for chunk in chunks {
            if batch.chunks.contains_key(&chunk) || batch.fetching.contains(&chunk) {
                continue;
            }
            batch.fetching.push(chunk);
            let key = Key::new(BODIES, part_of(id), chunk_of(chunk));
            let (store, events, batch) = (self.store.clone(), self.events.clone(), id.to_owned());
            tokio::spawn(async move {
                let items = store.row(&key).await.map(|row| {
                    let value = row.and_then(|row| row.value).unwrap_or_default();
                    decode::<Vec<Item>>("items", &value).unwrap_or_default()
                });
                let event = Event::Fetched {
                    batch,
                    chunk,
                    items,
                };
                let _ = events.send(event).await;
            });
        }
    }

    /// Takes a chunk of items that was read.
    pub(super) fn fetched(&mut self, id: &str, chunk: u16, items: Result<Vec<Item>, StoreError>) {
        let now = self.clock.now();
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.fetching.retain(|number| *number != chunk);
        match items {
            Ok(items) => {
                batch.chunks.insert(chunk, Arc::new(items));
            }
            Err(error) => {
                tracing::info!(batch = id, chunk, %error, "items not read");
                self.claims_from = now + CLAIM_AGAIN;
                return;
            }
        }
        self.start_fetching(id);
    }

    /// Starts the runs of a bundle once all its items are here.
    pub(super) fn start(&mut self, id: &str, bundle: u16) {
        let now = self.clock.now();
        let Some(batch) = self.batches.get(id) else {
            return;
        };
        let Some(route) = self.route_of(batch) else {
            return;
        };
        let left = batch.left(bundle);
        let found: Option<Vec<(u16, Item)>> = left
            .iter()
            .map(|index| {
                let place = &batch.head.items[usize::from(*index)];
                let chunk = batch.chunks.get(&place.chunk)?;
                let item = chunk.iter().find(|item| item.id == place.id)?;
                Some((*index, item.clone()))
            })
            .collect();
        let Some(items) = found else {
            if now >= self.claims_from {
                self.fetch(id, bundle);
            }
            return;
        };

        let head = batch.head.clone();
        let ids: Vec<&str> = items.iter().map(|(_, item)| item.id.as_str()).collect();
        tracing::info!(batch = id, bundle, items = ids.join(" "), "runs a bundle");
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.mine.insert(bundle, Mine::Running);
        for (index, item) in items {
            let begun = batch.partials.remove(&index);
            let begun = begun.filter(|_| !route.single_version);
            let task = Task {
                batch: id.to_owned(),
                begun,
                fingerprint: run_item::fingerprint(&head.host, &item),
                host: head.host.clone(),
                index,
                item,
                least_version: head.least_version,
                most_failures: route.attempts,
                priority: head.priority.or(route.priority),
                reclaimed: batch.reclaimed.contains(&bundle),
                single_version: route.single_version,
                until: now + RUN_MOST.min(route.item_ttl),
                workspace: head.workspace.clone(),
            };
            let (engine, events, batch_id) =
                (self.engine.clone(), self.events.clone(), id.to_owned());
            let run = tokio::spawn(async move {
                let end = run_item::run(engine, task).await;
                let event = Event::ItemEnded {
                    batch: batch_id,
                    index,
                    end,
                };
                let _ = events.send(event).await;
            });
            batch.running.insert(index, run.abort_handle());
        }
    }

    /// Starts the bundles whose items are here, and reads the items of others.
    pub(super) fn start_fetching(&mut self, id: &str) {
        let bundles = self.batches.get(id).map(OpenBatch::fetching_bundles);
        for bundle in bundles.unwrap_or_default() {
            self.start(id, bundle);
        }
    }
}

/// Reads the kept texts of some items; one that can't be read begins anew.
async fn read_partials(store: &Store, batch: &str, items: &[u16]) -> HashMap<u16, Partial> {
    let reading = items.iter().map(|index| async move {
        let key = Key::new(PARTIALS, part_of(batch), partial_key(*index));
        match store.row(&key).await {
            Ok(row) => {
                let value = row.and_then(|row| row.value)?;
                Some((*index, decode::<Partial>("partial", &value)?))
            }
            Err(error) => {
                tracing::info!(batch, index, %error, "a kept text was not read");
                None
            }
        }
    });
    let read = futures_util::future::join_all(reading).await;
    read.into_iter().flatten().collect()
}
