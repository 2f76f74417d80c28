//! Hands the long texts of a leaving engine over to other runners.
//!
//! Their events so far are saved and their bundles are released. Only then do the runs stop
//! here: if anything fails, they go on until the engine ends.

use super::{
    engine_state::MAX_REPORT_AGE,
    event::{BundleId, Event},
    open_batch::{BundleState, OpenBatch},
    progress::Progress,
    text::save_transaction,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::Claim,
    platform::Store,
    policy::handover::{LeavingText, texts_to_hand},
    store::{StoreError, Transaction, TransactionOutcome}, //
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Weak}, //
};

/// The handovers from the engine's current incarnation.
#[derive(Debug, Default)]
pub(super) struct HandoverState {
    /// Whether a handover has failed. The other runners then take all bundles over, as from
    /// an engine that has ended.
    failed: bool,
    /// When this runner first saw that the engine is draining.
    started: Option<Millis>,
}

/// The outcome of the handover of a bundle's long texts.
pub(super) struct HandoverEnd {
    pub(super) bundle: BundleId,
    /// The revision of the released claim; `None` if the bundle was not released.
    released: Option<u64>,
    /// The items whose texts were saved.
    saved: Vec<u16>,
}

/// A running item whose text may be handed over.
struct RunningItem {
    bundle: BundleId,
    index: u16,
    progress: Arc<Progress>,
}

/// How long a handover waits for the next event of a text, with which it gets a copy. A
/// straggler has an event every 160 ms.
const EVENT_TIMEOUT: Millis = Millis(300);

/// How long a handover waits for each answer of the store.
const WRITE_TIMEOUT: Millis = Millis(500);

impl WorkLoop {
    /// Starts the handover of all texts that won't end before the draining engine does.
    pub(super) fn plan_handover(&mut self, now: Millis) {
        let Some(drain) = self.drain.filter(|_| self.features.handover) else {
            return;
        };
        if !self.is_engine_draining() {
            self.handover = HandoverState::default();
            return;
        }
        let started = *self.handover.started.get_or_insert(now);
        if self.outage_start.is_some() || self.handover.failed {
            return;
        }
        let items = self.items_to_weigh();
        let texts: Vec<LeavingText> = items.iter().map(|item| self.leaving_text(item)).collect();
        let left = (started + drain).since(now);
        let mut by_bundle: Vec<Vec<&RunningItem>> = Vec::new();
        let mut places = BTreeMap::new();
        for index in texts_to_hand(&texts, left) {
            let item = &items[index];
            let key = (&item.bundle.batch, item.bundle.bundle);
            let place = *places.entry(key).or_insert_with(|| {
                let (rest, pace) = (texts[index].rest().0, self.pace);
                let (batch, bundle) = key;
                tracing::info!(
                    batch,
                    bundle,
                    rest,
                    pace,
                    left = left.0,
                    "handing texts over"
                );
                by_bundle.push(Vec::new());
                by_bundle.len() - 1
            });
            by_bundle[place].push(item);
        }
        for items in by_bundle {
            self.hand_over(&items);
        }
    }

    /// Whether this runner keeps its bundles although its engine accepts no work: the engine
    /// is draining, and the texts that remain will end in time.
    pub(super) fn keeps_bundles(&self, now: Millis) -> bool {
        let (Some(started), Some(drain)) = (self.handover.started, self.drain) else {
            return false;
        };
        let report = self.report.as_ref();
        let answers = report.is_some_and(|report| now.since(report.received_at) < MAX_REPORT_AGE);
        answers && !self.handover.failed && now < started + drain
    }

    /// Whether the last engine that accepted work is announced as draining.
    fn is_engine_draining(&self) -> bool {
        let directory = self.site.directory();
        let last = self.last_incarnation.as_ref();
        let known = last.and_then(|last| directory.get(&last.id));
        !self.engine_accepts_work() && known.is_some_and(|server| server.draining)
    }

    /// The running items of the bundles that only this runner holds.
    fn items_to_weigh(&self) -> Vec<RunningItem> {
        let mut items = Vec::new();
        for (id, batch) in &self.batches {
            for (bundle, state) in &batch.own_bundles {
                let held = batch.claims.get(bundle);
                let alone = held.is_some_and(|held| held.claim.second.is_none())
                    && batch.is_claimed_by(*bundle, &self.instance, self.token);
                let running = matches!(state, BundleState::Running);
                if !running || !alone || batch.handing.contains(bundle) {
                    continue;
                }
                for index in batch.unfinished(*bundle) {
                    let run = batch.running.contains_key(&index);
                    let progress = batch.progress.get(&index).and_then(Weak::upgrade);
                    if let Some(progress) = progress.filter(|_| run) {
                        items.push(RunningItem {
                            bundle: BundleId {
                                batch: id.clone(),
                                bundle: *bundle,
                            },
                            index,
                            progress,
                        });
                    }
                }
            }
        }
        items
    }

    fn leaving_text(&self, item: &RunningItem) -> LeavingText {
        let batch = self.batches.get(&item.bundle.batch);
        let expected = batch.map_or(0, |batch| batch.longest_expected(&[item.index]));
        LeavingText {
            events: item.progress.events(),
            expected_ms: f64::from(expected) * self.engine.rate().token_ms(),
            pace: self.pace,
        }
    }

    /// Saves the texts of these items of one bundle and releases the bundle.
    fn hand_over(&mut self, items: &[&RunningItem]) {
        let Some(bundle) = items.first().map(|item| item.bundle.clone()) else {
            return;
        };
        let Some(release) = self.release_transaction(&bundle.batch, bundle.bundle) else {
            return;
        };
        if let Some(batch) = self.batches.get_mut(&bundle.batch) {
            batch.handing.insert(bundle.bundle);
        }
        let texts: Vec<(u16, Arc<Progress>)> = items
            .iter()
            .map(|item| (item.index, item.progress.clone()))
            .collect();
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let saving = texts.iter().map(|(index, progress)| async {
                let saved = save(&store, &bundle.batch, *index, progress).await;
                saved.then_some(*index)
            });
            let saved = futures_util::future::join_all(saving).await;
            let saved: Vec<u16> = saved.into_iter().flatten().collect();
            let released = match saved.is_empty() {
                true => None,
                false => write(&store, &release).await,
            };
            let end = HandoverEnd {
                bundle,
                released,
                saved,
            };
            let _ = events.send(Event::HandoverEnded(end)).await;
        });
    }

    /// Stops the runs whose texts were saved, if the bundle was released.
    pub(super) fn on_handover_ended(&mut self, end: HandoverEnd) {
        let now = self.clock.now();
        let HandoverEnd {
            bundle: BundleId { batch: id, bundle },
            released,
            saved,
        } = end;
        let count = saved.len();
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        batch.handing.remove(&bundle);
        let Some(revision) = released else {
            tracing::info!(batch = id, bundle, count, "texts not handed over");
            metrics::counter!("redwing_handovers_total", "outcome" => "failed").increment(1);
            self.handover.failed = true;
            return;
        };
        tracing::info!(batch = id, bundle, count, "texts handed over");
        metrics::counter!("redwing_handovers_total", "outcome" => "released").increment(1);
        batch.set_claim(bundle, Claim::released(), revision, now);
        batch.cut_runs(&saved);
        for idle in batch.release_idle() {
            self.give_back(&id, idle);
        }
    }
}

impl OpenBatch {
    /// Cuts the runs of these items, so that their engine stops them at once.
    fn cut_runs(&mut self, items: &[u16]) {
        for index in items {
            if let Some(run) = self.running.remove(index) {
                run.cut();
            }
        }
    }
}

/// Saves the text of an item as of its next event. Returns whether the store has all events
/// up to then, or there was no event to save.
async fn save(store: &Store, batch: &str, index: u16, progress: &Progress) -> bool {
    let text = progress.request_text();
    if progress.is_unchanged() {
        return true;
    }
    let Ok(Ok(text)) = tokio::time::timeout(EVENT_TIMEOUT.as_duration(), text).await else {
        return false;
    };
    match save_transaction(batch, index, &text) {
        Some(transaction) => write(store, &transaction).await.is_some(),
        None => false,
    }
}

/// Writes `transaction` and returns its revision; `None` if it was not written, or no answer
/// came within [`WRITE_TIMEOUT`].
async fn write(store: &Store, transaction: &Transaction) -> Option<u64> {
    let written = store.transact(transaction);
    let outcome: Result<Result<TransactionOutcome, StoreError>, _> =
        tokio::time::timeout(WRITE_TIMEOUT.as_duration(), written).await;
    match outcome {
        Ok(Ok(TransactionOutcome::Done { revision })) => Some(revision),
        Ok(Ok(TransactionOutcome::Conflict { .. }) | Err(_)) | Err(_) => None,
    }
}
