//! Reads the items of this runner's bundles and starts their runs.

use super::{
    claims::STORE_RETRY_DELAY,
    event::{BundleId, Event},
    open_batch::{BundleState, Chunk, OpenBatch},
    progress::Progress,
    run_handle::RunHandle,
    run_item::{self, Task},
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{BODIES, Item, PARTIALS, Partial, batch_part, chunk_key, decode, partial_key},
    platform::Store,
    policy::version_rule::VersionRule,
    store::{Key, StoreError}, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// The time that an item has at this runner, retries and scoring included. The engine gets
/// the resulting deadline with each request and may stop a run then; no attempt starts
/// after it.
const MAX_RUN_TIME: Millis = Millis(30_000);

/// The share of the memory limit that items may take before those that nothing waits for are
/// dropped, as a divisor.
const ITEMS_SHARE: usize = 8;

impl WorkLoop {
    /// Reads the items of the bundles that are assigned to this runner by its place, so
    /// that it can run them even while the store is unreachable.
    pub(super) fn prefetch(&mut self, id: &str) {
        let standing = self.standing(self.clock.now());
        let place = standing.model_place;
        let Some(batch) = self.batches.get(id) else {
            return;
        };
        if standing.home.as_ref() != Some(&batch.head.model) || !self.engine_accepts_work() {
            return;
        }
        let bundles = 0..batch.head.bundles.len() as u16;
        let mine: Vec<u16> = bundles
            .filter(|bundle| place.owns(batch.order_of(*bundle)))
            .collect();
        for bundle in mine {
            if self.item_memory() >= self.memory / ITEMS_SHARE {
                return;
            }
            self.fetch(id, bundle);
        }
    }

    /// The memory that the items of all batches take, in bytes.
    fn item_memory(&self) -> usize {
        self.batches.values().map(OpenBatch::chunk_memory).sum()
    }

    /// Reads the partial texts of a bundle that a runner had claimed before.
    pub(super) fn resume(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.own_bundles.insert(bundle, BundleState::Resuming);
        let left = batch.waiting(bundle);
        let bundle = BundleId {
            batch: id.to_owned(),
            bundle,
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let partials = read_partials(&store, &bundle.batch, &left).await;
            let _ = events.send(Event::PartialsRead { bundle, partials }).await;
        });
    }

    /// Starts the runs of a bundle whose partial texts were read.
    pub(super) fn on_partials_read(&mut self, bundle: BundleId, partials: HashMap<u16, Partial>) {
        let BundleId { batch: id, bundle } = bundle;
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        if !matches!(batch.own_bundles.get(&bundle), Some(BundleState::Resuming)) {
            return;
        }
        if !partials.is_empty() {
            let count = partials.len();
            tracing::info!(
                batch = id,
                bundle,
                count,
                "continuing from saved partial texts"
            );
        }
        batch.partials.extend(partials);
        batch.own_bundles.insert(bundle, BundleState::Fetching);
        self.start(&id, bundle);
    }

    /// Reads the chunks of the bundle's unfinished items, except those read before.
    pub(super) fn fetch(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        let mut chunks: Vec<u16> = batch
            .unfinished(bundle)
            .iter()
            .map(|index| batch.head.items[usize::from(*index)].chunk)
            .collect();
        chunks.dedup();
        for chunk in chunks {
            if batch.chunks.contains_key(&chunk) || batch.fetching_chunks.contains(&chunk) {
                continue;
            }
            batch.fetching_chunks.push(chunk);
            let key = Key::new(BODIES, batch_part(id), chunk_key(chunk));
            let (store, events, batch) = (self.store.clone(), self.events.clone(), id.to_owned());
            tokio::spawn(async move {
                let items = store.row(&key).await.map(|row| {
                    let value = row.and_then(|row| row.value).unwrap_or_default();
                    decode::<Vec<Item>>("items", &value).unwrap_or_default()
                });
                let event = Event::ItemsRead {
                    batch,
                    chunk,
                    items,
                };
                let _ = events.send(event).await;
            });
        }
    }

    /// Keeps a chunk of items in memory and starts the bundles that it completes.
    pub(super) fn on_items_read(
        &mut self,
        id: &str,
        chunk: u16,
        items: Result<Vec<Item>, StoreError>,
    ) {
        let now = self.clock.now();
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.fetching_chunks.retain(|number| *number != chunk);
        match items {
            Ok(items) => {
                batch.chunks.insert(chunk, Chunk::new(items));
            }
            Err(error) => {
                tracing::info!(batch = id, chunk, %error, "items not read");
                self.retry_at = now + STORE_RETRY_DELAY;
                return;
            }
        }
        self.start_ready(id);
        if self.item_memory() > self.memory / ITEMS_SHARE {
            self.batches.values_mut().for_each(OpenBatch::drop_chunks);
        }
    }

    /// Starts the runs of a bundle if all its items are in memory; otherwise reads the
    /// missing ones.
    pub(super) fn start(&mut self, id: &str, bundle: u16) {
        let now = self.clock.now();
        let Some(batch) = self.batches.get(id) else {
            return;
        };
        let Some(route) = self.route_of(batch) else {
            return;
        };
        let left = batch.waiting(bundle);
        let found: Option<Vec<(u16, Item)>> = left
            .iter()
            .map(|index| {
                let place = &batch.head.items[usize::from(*index)];
                let chunk = batch.chunks.get(&place.chunk)?;
                let item = chunk.items.iter().find(|item| item.id == place.id)?;
                Some((*index, item.clone()))
            })
            .collect();
        let Some(items) = found else {
            if now >= self.retry_at {
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
        batch.own_bundles.insert(bundle, BundleState::Running);
        for (index, item) in items {
            let partial = batch.partials.remove(&index);
            let fingerprint = run_item::fingerprint(&head.host, &item);
            let handover = self.features.handover && self.drain.is_some();
            let progress = handover.then(|| Arc::new(Progress::default()));
            if let Some(progress) = &progress {
                batch.progress.insert(index, Arc::downgrade(progress));
            }
            let task = Task {
                batch: id.to_owned(),
                partial,
                progress,
                fingerprint,
                host: head.host.clone(),
                index,
                item,
                max_failures: route.max_attempts,
                priority: head.priority.or(route.priority),
                versions: VersionRule {
                    least: head.least_version,
                    single: route.single_version,
                },
                deadline: now + MAX_RUN_TIME.min(route.item_ttl),
                workspace: head.workspace.clone(),
            };
            let run = RunHandle::start(self.engine.clone(), task, self.events.clone());
            batch.running.insert(index, run);
        }
    }

    /// Runs the dropped items of this runner's bundles again, with the texts that were saved.
    /// The other items of a bundle may run for tens of seconds, and nobody else runs the dropped
    /// ones as long as this runner holds the bundle.
    pub(super) fn restart_dropped(&mut self) {
        if !self.engine_accepts_work() || self.leaving {
            return;
        }
        let mut dropped = Vec::new();
        for (id, batch) in self.batches.iter().filter(|(_, batch)| !batch.is_over()) {
            let bundles = batch.running_bundles().into_iter();
            let mine =
                bundles.filter(|bundle| batch.is_claimed_by(*bundle, &self.instance, self.token));
            let waiting = mine
                .filter(|bundle| !batch.handing.contains(bundle))
                .filter(|bundle| !batch.waiting(*bundle).is_empty());
            dropped.extend(waiting.map(|bundle| (id.clone(), bundle)));
        }
        for (id, bundle) in dropped {
            tracing::info!(
                batch = id,
                bundle,
                "running the dropped items of a bundle again"
            );
            self.resume(&id, bundle);
        }
    }

    /// Calls [`Self::start`] for each bundle in state [`BundleState::Fetching`].
    pub(super) fn start_ready(&mut self, id: &str) {
        let bundles = self.batches.get(id).map(OpenBatch::fetching_bundles);
        for bundle in bundles.unwrap_or_default() {
            self.start(id, bundle);
        }
    }
}

/// Reads the partial texts of some items. An item whose text can't be read starts from
/// the beginning.
async fn read_partials(store: &Store, batch: &str, items: &[u16]) -> HashMap<u16, Partial> {
    let reading = items.iter().map(|index| async move {
        let key = Key::new(PARTIALS, batch_part(batch), partial_key(*index));
        match store.row(&key).await {
            Ok(row) => {
                let value = row.and_then(|row| row.value)?;
                Some((*index, decode::<Partial>("partial", &value)?))
            }
            Err(error) => {
                tracing::info!(batch, index, %error, "partial text not read");
                None
            }
        }
    });
    let read = futures_util::future::join_all(reading).await;
    read.into_iter().flatten().collect()
}
