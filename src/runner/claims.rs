//! Chooses bundles for this runner and claims them in the store.

use super::{
    event::{BundleId, Event},
    offers::Standing,
    open_batch::BundleState,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Claim, WORK, WorkKey, batch_part, decode, encode},
    policy::{
        claim_choice::{Holder, Offer, Runner, choose, declined_run, is_assigned, usable_slots},
        pace::is_straggler,
        second_run::SecondRun, //
    },
    store::{Key, StoreError, Transaction, TransactionOutcome}, //
};

/// The wait after a failed claim or read in the store. Without it, nine runners sent
/// 35,000 requests in a 16 s outage to a store that refused each one immediately.
pub(super) const STORE_RETRY_DELAY: Millis = Millis(200);

impl WorkLoop {
    /// Claims bundles while the engine has free slots. While the store is unreachable,
    /// runs the bundles that are assigned to this runner, without new claims. `usual` is
    /// the usual pace of the service's engines, in ms per event.
    pub(super) fn plan_claims(&mut self, standing: &Standing, usual: f64, now: Millis) {
        if !self.engine_accepts_work() || self.leaving {
            return;
        }
        let ids: Vec<String> = self.batches.keys().cloned().collect();
        for id in &ids {
            self.start_ready(id);
        }
        let mut room = usable_slots(self.slots, self.pace, usual).saturating_sub(self.load());
        if room == 0 {
            return;
        }
        let place = standing.model_place;
        let home = standing.home.as_deref();
        let home = home.filter(|_| !is_straggler(self.pace, usual));
        let mut offers = self.offers(&ids, home, standing.rank, now);
        if self.outage_start.is_some() {
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
        if now < self.retry_at {
            return;
        }
        let slots = place.count as u32 * self.slots;
        self.set_start_order(&ids, &mut offers, slots);
        let mut runner = Runner {
            place: standing.kind_place,
            room,
            slower: self.kind.slower,
            yields: standing.yields,
        };
        while let Some(offer) = choose(&offers, runner).copied() {
            offers.retain(|other| (other.batch, other.bundle) != (offer.batch, offer.bundle));
            runner.room = runner.room.saturating_sub(offer.remaining);
            self.claim(&ids[offer.batch], &offer);
        }
        for offer in &offers {
            if let Some(run) = declined_run(offer, runner) {
                self.record_declined(&ids[offer.batch], offer, run);
            }
        }
    }

    /// Logs and counts a second run that would gain too little, once for each bundle.
    fn record_declined(&mut self, id: &str, offer: &Offer, run: SecondRun) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        let Holder::Held { pace, since, .. } = offer.holder else {
            return;
        };
        if !batch.declined.insert(offer.bundle) {
            return;
        }
        let (bundle, since) = (offer.bundle, since.0);
        let (holder_rest, own_rest) = (run.holder_rest.0, run.own_rest.0);
        tracing::info!(
            batch = id,
            bundle,
            pace,
            since,
            holder_rest,
            own_rest,
            "second run not worth it"
        );
        metrics::counter!("redwing_second_runs_total", "outcome" => "declined").increment(1);
    }

    /// Runs a bundle without a claim while the store is unreachable. The results stay in
    /// memory until it is back. Without such runs, on a day with 12 s of outages, steps
    /// that were accepted before an outage would not finish in time.
    fn run_unclaimed(&mut self, id: &str, bundle: u16) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        tracing::info!(
            batch = id,
            bundle,
            "running a bundle without a claim: the store is unreachable"
        );
        batch.own_bundles.insert(bundle, BundleState::Fetching);
        self.start(id, bundle);
    }

    /// Writes a claim on the offered bundle, or joins its holder as the second runner,
    /// and reads the bundle's items meanwhile.
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
                    "joining the holder of a late bundle"
                );
                if self.features.uneven {
                    metrics::counter!("redwing_second_runs_total", "outcome" => "joined")
                        .increment(1);
                }
                Claim {
                    second: Some(self.instance.clone()),
                    ..held.claim.clone()
                }
            }
            _ => {
                let before = held.map(|held| held.claim.holder.as_str());
                let (bundle, age) = (offer.bundle, offer.age.0);
                tracing::info!(batch = id, bundle, ?before, age, "claiming a bundle");
                Claim {
                    holder: self.instance.clone(),
                    second: None,
                    token: self.token,
                }
            }
        };
        batch
            .own_bundles
            .insert(offer.bundle, BundleState::Claiming);
        let key = Key::new(
            WORK,
            batch_part(id),
            WorkKey::Claim(offer.bundle).to_string(),
        );
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
            let event = Event::ClaimWritten {
                claim,
                bundle,
                outcome,
            };
            let _ = events.send(event).await;
        });
        self.fetch(id, offer.bundle);
    }

    /// Runs the bundle if the claim was written or may have been; otherwise leaves it to its
    /// holder. If an unknown claim was not written, another runner may run the bundle as well, and
    /// the first complete results count.
    pub(super) fn on_claim_written(
        &mut self,
        claim: Claim,
        bundle: BundleId,
        outcome: Result<TransactionOutcome, StoreError>,
    ) {
        let now = self.clock.now();
        let BundleId { batch: id, bundle } = bundle;
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        if !batch.own_bundles.contains_key(&bundle) {
            return;
        }
        match outcome {
            Ok(TransactionOutcome::Done { revision }) => {
                let begun = batch.claims.contains_key(&bundle);
                batch.set_claim(bundle, claim, revision, now);
                self.start_claimed(&id, bundle, begun);
            }
            Ok(TransactionOutcome::Conflict { rows }) => {
                let mut ours = false;
                for row in rows {
                    let held = row.value.and_then(|value| decode::<Claim>("claim", &value));
                    let Some(held) = held else {
                        batch.claims.remove(&bundle);
                        continue;
                    };
                    // The claim was written by an earlier attempt whose answer was lost.
                    ours |= held.is_same_claim(&claim);
                    batch.set_claim(bundle, held, row.revision, now);
                }
                if ours {
                    batch.own_bundles.insert(bundle, BundleState::Fetching);
                    self.start(&id, bundle);
                } else {
                    batch.own_bundles.remove(&bundle);
                }
            }
            Err(error) => {
                self.retry_at = now + STORE_RETRY_DELAY;
                // The other runners leave the bundle to this one if the claim was written. Without
                // the items it would only take the slots of bundles that can run.
                let runs = !error.is_not_done() && batch.has_items(bundle);
                tracing::info!(batch = id, bundle, runs, %error, "claim not answered");
                if runs {
                    let begun = batch.claims.contains_key(&bundle);
                    self.start_claimed(&id, bundle, begun);
                } else {
                    batch.own_bundles.remove(&bundle);
                }
            }
        }
    }

    /// Starts the runs of a claimed bundle. If another runner had `begun` it, they continue from
    /// the texts that it saved, which can't be read while the store is unreachable.
    fn start_claimed(&mut self, id: &str, bundle: u16, begun: bool) {
        if begun && !self.store.is_unreachable() {
            self.resume(id, bundle);
            return;
        }
        if let Some(batch) = self.batches.get_mut(id) {
            batch.own_bundles.insert(bundle, BundleState::Fetching);
            self.start(id, bundle);
        }
    }
}
