//! Takes bundles, reads their items and starts their runs.

use super::{
    event::{BundleId, Event},
    open_batch::{Mine, OpenBatch},
    run_item::{self, Task},
    work::Work, //
};
use crate::{
    base::Millis,
    batch::{
        BODIES, Claim, Item, PARTIALS, Partial, WORK, WorkKey, chunk_of, decode, encode, part_of,
        partial_key,
    },
    platform::Store,
    policy::{
        claim_choice::{Holder, Offer, Place, capacity, choose, is_mine_by_rule, is_slow},
        model_share::{Demand, deal}, //
    },
    routing::Route,
    store::{Key, Outcome, StoreError, Transaction}, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// The wait after a claim that the store did not take. Without it a store that
/// refuses at once was asked 35,000 times in 16 s of outage by nine runners.
const CLAIM_AGAIN: Millis = Millis(200);

/// The most that one run of an item may take before the engine may stop it.
const RUN_MOST: Millis = Millis(30_000);

impl Work {
    /// The model that this runner serves first, and its place among those that
    /// serve the same. All runners work it out alike from heartbeats and batches.
    pub(super) fn place(&self, now: Millis) -> (Option<String>, Place) {
        let mut runners = self.heartbeats.working(&self.service, now);
        if !runners.contains(&self.instance) {
            runners.push(self.instance.clone());
        }
        let demands = self.demands();
        let rank = runners.iter().position(|name| *name == self.instance);
        let rank = rank.unwrap_or_default();
        let dealt = deal(&demands, runners.len());
        let Some(mine) = dealt.get(rank).copied() else {
            let count = runners.len();
            return (None, Place { count, rank });
        };
        let same = |model: &&usize| **model == mine;
        let place = Place {
            count: dealt.iter().filter(same).count(),
            rank: dealt[..rank].iter().filter(same).count(),
        };
        (Some(demands[mine].model.clone()), place)
    }

    /// What each model's last batch asked for.
    fn demands(&self) -> Vec<Demand> {
        let config = self.site.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let models = service.map_or(&[][..], |service| &service.models);
        let mut demands: Vec<Demand> = models
            .iter()
            .map(|model| {
                let batches = self.batches.values().map(|batch| &batch.head);
                let last = batches
                    .filter(|head| head.model == model.name)
                    .max_by_key(|head| head.step);
                Demand {
                    model: model.name.clone(),
                    work: last.map_or(1.0, |head| head.items.len() as f64),
                }
            })
            .collect();
        demands.sort_by(|a, b| a.model.cmp(&b.model));
        demands
    }

    /// The route of a batch, if its items may run on this engine.
    pub(super) fn route_of(&self, batch: &OpenBatch) -> Option<Arc<Route>> {
        let config = self.site.config()?;
        let route = config.route(&batch.head.host, &batch.head.path)?;
        route.serves(&self.service).then(|| route.clone())
    }

    /// The version that this runner's engine holds of `model`.
    pub(super) fn held(&self, model: &str) -> Option<u64> {
        let (report, _) = self.report.as_ref()?;
        let weights = report.weights.iter().find(|held| held.model == model)?;
        Some(weights.version)
    }

    /// Takes bundles while the engine has room.
    pub(super) fn plan_claims(&mut self, now: Millis) {
        if !self.is_working() || self.leaving {
            return;
        }
        let ids: Vec<String> = self.batches.keys().cloned().collect();
        for id in &ids {
            self.start_fetching(id);
        }
        let load: usize = self.batches.values().map(OpenBatch::load).sum();
        let usual = self.heartbeats.usual_pace(&self.service);
        let mut room = capacity(self.slots, self.known_pace(), usual).saturating_sub(load as u32);
        if room == 0 {
            return;
        }
        let (home, place) = self.place(now);
        let home = home.filter(|_| !is_slow(self.known_pace(), usual));
        let mut offers = self.offers(&ids, home.as_deref(), now);
        if self.store_away {
            offers.retain(|offer| is_mine_by_rule(offer, place));
            offers.sort_by_key(|offer| (offer.due, offer.order));
            for offer in offers {
                if room > 0 {
                    room = room.saturating_sub(offer.left);
                    self.run_unclaimed(&ids[offer.batch], offer.bundle);
                }
            }
            return;
        }
        if now < self.claims_from {
            return;
        }
        while let Some(offer) = choose(&offers, place, room).copied() {
            offers.retain(|other| (other.batch, other.bundle) != (offer.batch, offer.bundle));
            room = room.saturating_sub(offer.left);
            self.claim(&ids[offer.batch], &offer);
        }
    }

    fn offers(&self, ids: &[String], home: Option<&str>, now: Millis) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (number, id) in ids.iter().enumerate() {
            let Some(batch) = self.batches.get(id) else {
                continue;
            };
            if batch.is_over() || batch.log_revision == 0 {
                continue;
            }
            let Some(route) = self.route_of(batch) else {
                continue;
            };
            let loaded = self.held(&batch.head.model);
            let loaded = loaded.is_some_and(|held| held >= batch.head.least_version);
            for bundle in 0..batch.head.bundles.len() as u16 {
                let left = batch.left(bundle).len() as u32;
                if left == 0 || batch.mine.contains_key(&bundle) {
                    continue;
                }
                let Some(holder) = self.holder(batch, bundle, now) else {
                    continue;
                };
                offers.push(Offer {
                    age: now.since(batch.seen),
                    batch: number,
                    due: batch.seen + route.results_due,
                    bundle,
                    order: batch.order_of(bundle),
                    holder,
                    home: home == Some(batch.head.model.as_str()),
                    left,
                    loaded,
                });
            }
        }
        offers
    }

    /// Who runs `bundle`; `None` when this runner has joined it before.
    fn holder(&self, batch: &OpenBatch, bundle: u16, now: Millis) -> Option<Holder> {
        let Some(held) = batch.claims.get(&bundle) else {
            return Some(Holder::Nobody);
        };
        let claim = &held.claim;
        if claim.holder == self.instance {
            return Some(Holder::Nobody);
        }
        if !self.store_away && !self.heartbeats.works(&claim.holder, claim.token, now) {
            return Some(Holder::Nobody);
        }
        if claim.second.as_deref() == Some(&self.instance) {
            return None;
        }
        let theirs = self.heartbeats.pace(&claim.holder);
        let mine = self.known_pace();
        let pace = match mine > 0.0 && theirs > 0.0 {
            true => theirs / mine,
            false => 1.0,
        };
        Some(Holder::Held {
            joinable: claim.second.is_none(),
            pace,
            since: now.since(held.seen),
        })
    }

    /// Runs a bundle without a claim, as the store can't take one. Its results
    /// wait here until the store is back: on a day with 12 s of outages this
    /// is what lets steps that were accepted before finish in time.
    fn run_unclaimed(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        tracing::info!(
            batch = id,
            bundle,
            "runs a bundle unclaimed: the store is away"
        );
        batch.mine.insert(bundle, Mine::Fetching);
        self.start(id, bundle);
    }

    /// Reads the items of the bundles that are this runner's by the rule, so
    /// that it can run them also while the store is away.
    pub(super) fn prefetch(&mut self, id: &str) {
        let now = self.clock.now();
        let (home, place) = self.place(now);
        let Some(batch) = self.batches.get(id) else {
            return;
        };
        if home.as_ref() != Some(&batch.head.model) || !self.is_working() {
            return;
        }
        let bundles = 0..batch.head.bundles.len() as u16;
        let mine: Vec<u16> = bundles
            .filter(|bundle| usize::from(batch.order_of(*bundle)) % place.count == place.rank)
            .collect();
        for bundle in mine {
            self.fetch(id, bundle);
        }
    }

    fn claim(&mut self, id: &str, offer: &Offer) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        let held = batch.claims.get(&offer.bundle);
        let revision = held.map_or(0, |held| held.revision);
        let claim = match (offer.holder, held) {
            (Holder::Held { pace, since, .. }, Some(held)) => {
                let (holder, bundle) = (&held.claim.holder, offer.bundle);
                let since = since.0;
                tracing::info!(
                    batch = id,
                    bundle,
                    holder,
                    pace,
                    since,
                    "joins a late bundle"
                );
                Claim {
                    second: Some(self.instance.clone()),
                    ..held.claim.clone()
                }
            }
            _ => {
                let before = held.map(|held| held.claim.holder.as_str());
                let (bundle, age) = (offer.bundle, offer.age.0);
                tracing::info!(batch = id, bundle, ?before, age, "takes a bundle");
                Claim {
                    at: self.store.now(),
                    holder: self.instance.clone(),
                    second: None,
                    token: self.token,
                }
            }
        };
        batch.mine.insert(offer.bundle, Mine::Claiming);
        let key = Key::new(WORK, part_of(id), WorkKey::Claim(offer.bundle).to_string());
        let transaction = Transaction {
            expect: vec![(key.clone(), revision)],
            remove: Vec::new(),
            set: vec![(key, encode(&claim))],
        };
        let bundle = BundleId {
            batch: id.to_owned(),
            bundle: offer.bundle,
        };
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let outcome = store.transact(&transaction).await;
            let event = Event::Claimed {
                claim,
                bundle,
                outcome,
            };
            let _ = events.send(event).await;
        });
        self.fetch(id, offer.bundle);
    }

    pub(super) fn claimed(
        &mut self,
        claim: Claim,
        bundle: BundleId,
        outcome: Result<Outcome, StoreError>,
    ) {
        let now = self.clock.now();
        let BundleId { batch: id, bundle } = bundle;
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        if !batch.mine.contains_key(&bundle) {
            return;
        }
        match outcome {
            Ok(Outcome::Done { revision }) => {
                let begun = batch.claims.contains_key(&bundle);
                batch.set_claim(bundle, claim, revision, now);
                match begun {
                    true => self.resume(&id, bundle),
                    false => {
                        batch.mine.insert(bundle, Mine::Fetching);
                        self.start(&id, bundle);
                    }
                }
            }
            Ok(Outcome::Conflict { rows }) => {
                let mut ours = false;
                for row in rows {
                    let held = row.value.and_then(|value| decode::<Claim>("claim", &value));
                    let Some(held) = held else {
                        batch.claims.remove(&bundle);
                        continue;
                    };
                    // The answer to an earlier try of the same claim was lost.
                    ours |= held.is_same_run(&claim);
                    batch.set_claim(bundle, held, row.revision, now);
                }
                if ours {
                    batch.mine.insert(bundle, Mine::Fetching);
                    self.start(&id, bundle);
                } else {
                    batch.mine.remove(&bundle);
                }
            }
            Err(error) => {
                tracing::info!(batch = id, bundle, %error, "claim not known to be written");
                batch.mine.remove(&bundle);
                self.claims_from = now + CLAIM_AGAIN;
            }
        }
    }

    /// Reads what earlier runs have left of a bundle that was claimed before.
    fn resume(&mut self, id: &str, bundle: u16) {
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
    fn fetch(&mut self, id: &str, bundle: u16) {
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

    /// Starts the bundles whose items are here, and reads the items of others.
    fn start_fetching(&mut self, id: &str) {
        let bundles = self.batches.get(id).map(OpenBatch::fetching_bundles);
        for bundle in bundles.unwrap_or_default() {
            self.start(id, bundle);
        }
    }

    /// Starts the runs of a bundle once all its items are here.
    fn start(&mut self, id: &str, bundle: u16) {
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
                host: head.host.clone(),
                index,
                item,
                least_version: head.least_version,
                most_failures: route.attempts,
                single_version: route.single_version,
                until: now + RUN_MOST.min(route.item_ttl),
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
