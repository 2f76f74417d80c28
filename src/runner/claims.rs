//! Takes bundles for this runner.

use super::{
    event::{BundleId, Event},
    offers::Standing,
    open_batch::{Mine, OpenBatch},
    work::Work, //
};
use crate::{
    base::Millis,
    batch::{Claim, WORK, WorkKey, decode, encode, part_of},
    policy::{
        claim_choice::{Holder, Offer, Runner, choose, is_assigned, usable_slots},
        pace::is_straggler, //
    },
    store::{Key, Outcome, StoreError, Transaction}, //
};
use std::sync::atomic::Ordering;

/// The wait after a claim that the store did not take. Without it a store that
/// refuses at once was asked 35,000 times in 16 s of outage by nine runners.
pub(super) const CLAIM_AGAIN: Millis = Millis(200);

impl Work {
    /// Takes bundles while the engine has room; `usual` is the usual pace of the
    /// service's engines, in ms an event.
    pub(super) fn plan_claims(&mut self, standing: &Standing, usual: f64, now: Millis) {
        if !self.is_working() || self.leaving {
            return;
        }
        // What is taken now would wait until a suspect has run alone.
        if self.engine.is_isolating() {
            return;
        }
        let ids: Vec<String> = self.batches.keys().cloned().collect();
        for id in &ids {
            self.start_fetching(id);
        }
        let held: usize = self.batches.values().map(OpenBatch::load).sum();
        // Items in quarantine take no place of the engine. Counted in, those of some
        // batches kept all others from running until they were given up.
        let load = held.saturating_sub(self.engine.waiting.load(Ordering::Relaxed));
        let mut room = usable_slots(self.slots, self.pace, usual).saturating_sub(load as u32);
        if room == 0 {
            return;
        }
        let place = standing.place;
        let home = standing.home.as_deref();
        let home = home.filter(|_| !is_straggler(self.pace, usual));
        let mut offers = self.offers(&ids, home, now);
        if self.away_since.is_some() {
            offers.retain(|offer| is_assigned(offer, place));
            offers.sort_by_key(|offer| (offer.due, offer.order));
            for offer in offers {
                if room > 0 {
                    room = room.saturating_sub(offer.remaining);
                    self.run_unclaimed(&ids[offer.batch], offer.bundle);
                }
            }
            return;
        }
        if now < self.claims_from {
            return;
        }
        let places = place.count as u32 * self.slots;
        self.line_up(&ids, &mut offers, places);
        let mut taker = Runner {
            place: standing.share,
            room,
            slower: self.kind.slower,
            yields: standing.yields,
        };
        while let Some(offer) = choose(&offers, taker).copied() {
            offers.retain(|other| (other.batch, other.bundle) != (offer.batch, offer.bundle));
            taker.room = taker.room.saturating_sub(offer.remaining);
            self.claim(&ids[offer.batch], &offer);
        }
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

    /// Takes the outcome of a claim: runs the bundle, or leaves it to its holder.
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
                    true => {
                        batch.reclaimed.insert(bundle);
                        self.resume(&id, bundle);
                    }
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
}
