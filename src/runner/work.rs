//! The work loop: owns what this runner knows and does.

use super::{
    event::{Event, RING},
    heartbeats::Heartbeats,
    open_batch::{Held, OpenBatch},
    run_item::{Engine, ItemEnd}, //
};
use crate::{
    base::{Clock, Millis},
    batch::{HEARTBEATS, Heartbeat, Log, Sample, WORK, WorkKey, append, decode, encode, part_of},
    duty::{Context, Phase},
    platform::{EngineReport, Store},
    store::{Change, Followed, Following, Key, Outcome, Row, StoreError, Transaction, follow},
    view::Site, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::sync::{
    mpsc,
    watch, //
};

/// What this runner knows and does.
pub(super) struct Work {
    pub(super) batches: BTreeMap<String, OpenBatch>,
    pub(super) heartbeats: Heartbeats,
    /// No bundle is claimed before, as the store did not take the last claim.
    pub(super) claims_from: Millis,
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) instance: String,
    pub(super) leaving: bool,
    pub(super) order: Option<super::orders::Pending>,
    /// Rows of batches whose head was not seen yet.
    orphans: BTreeMap<String, Vec<Row>>,
    /// What the engine takes for an event, in ms; 0 before the first.
    pub(super) pace: f64,
    /// Runs that the pace is made of.
    paced: u32,
    pub(super) report: Option<(EngineReport, Millis)>,
    pub(super) retention: Millis,
    /// The engine's present life while it takes work.
    pub(super) server: watch::Sender<Option<String>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) slots: u32,
    pub(super) store: Store,
    /// Whether the store does not answer this runner.
    pub(super) store_away: bool,
    pub(super) swept: Millis,
    /// Names this life of the runner; the number under which it gives orders.
    pub(super) token: u64,
    heartbeat: HeartbeatState,
}

#[derive(Default)]
struct HeartbeatState {
    last: Heartbeat,
    sending: bool,
    sent: Millis,
}

/// How often the loop looks around when nothing happens.
const TICK: Millis = Millis(50);

/// The time between heartbeats.
const HEARTBEAT_EVERY: Millis = Millis(1_000);

/// A report this old says nothing of the engine any more.
const REPORT_FRESH: Millis = Millis(900);

/// The wait after a batch of changes in which more gather: a step's claims and
/// results come in hundreds, and each call for changes costs every runner.
const PACE: Millis = Millis(40);

/// The most results in one transaction: bounded by its size.
const APPEND_MOST: usize = 24;
const APPEND_BYTES: usize = 400 * 1024;

/// The wait before a write that failed is looked at again.
const WRITE_AGAIN: Millis = Millis(80);

/// The runs after which the engine's pace is told to others.
const PACED_LEAST: u32 = 8;

/// The weight of each new run in the engine's pace.
const PACE_WEIGHT: f64 = 0.15;

/// What a work loop begins with.
pub(super) struct Seed {
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) instance: String,
    pub(super) retention: Millis,
    pub(super) server: watch::Sender<Option<String>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) store: Store,
}

impl Work {
    /// Takes a number for this life, then works until the program has stopped.
    pub(super) async fn run(seed: Seed, context: Context) {
        let (events, mut ring) = mpsc::channel(RING);
        let first = first_heartbeat(&seed.store, &seed.instance, &seed.service);
        let token = tokio::select! {
            token = first => token,
            () = context.reached(Phase::Draining) => {
                context.drained();
                return;
            }
        };
        tracing::info!(instance = seed.instance, token, "runner has its number");
        let watching = super::engine_watch::watch(seed.engine.peer.clone(), events.clone());
        tokio::spawn(watching);
        tokio::spawn(follow_work(seed.store.clone(), events.clone()));

        let mut work = Self {
            batches: BTreeMap::new(),
            heartbeat: HeartbeatState::default(),
            heartbeats: Heartbeats::default(),
            claims_from: Millis(0),
            clock: seed.clock,
            engine: seed.engine,
            engine_address: seed.engine_address,
            events,
            instance: seed.instance,
            leaving: false,
            order: None,
            orphans: BTreeMap::new(),
            pace: 0.0,
            paced: 0,
            report: None,
            retention: seed.retention,
            server: seed.server,
            service: seed.service,
            site: seed.site,
            slots: 1,
            store: seed.store,
            store_away: false,
            swept: seed.clock.now(),
            token,
        };
        let mut tick = tokio::time::interval(TICK.as_duration());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = ring.recv() => {
                    work.take(event);
                    while let Ok(event) = ring.try_recv() {
                        work.take(event);
                    }
                }
                _ = tick.tick() => {}
                () = context.reached(Phase::Stopped) => return,
            }
            work.leaving = context.phase() >= Phase::Draining;
            work.plan();
            if work.leaving && work.is_idle() {
                context.drained();
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Appended {
                batch,
                log,
                outcome,
            } => self.appended(&batch, log, outcome),
            Event::HeartbeatWritten(outcome) => {
                self.heartbeat.sending = false;
                if let Err(error) = outcome {
                    tracing::debug!(%error, "heartbeat not written");
                }
            }
            Event::Claimed {
                claim,
                bundle,
                outcome,
            } => self.claimed(claim, bundle, outcome),
            Event::Fetched {
                batch,
                chunk,
                items,
            } => self.fetched(&batch, chunk, items),
            Event::ItemEnded { batch, index, end } => self.item_ended(&batch, index, end),
            Event::Ordered {
                answer,
                model,
                version,
            } => self.ordered(answer, &model, version),
            Event::Partials { bundle, partials } => self.resumed(bundle, partials),
            Event::Report(report) => {
                if let Some(report) = report {
                    self.report = Some((report, now));
                }
            }
            Event::Store(Followed::Changes { changes, .. }) => {
                for change in changes {
                    self.change(change, now);
                }
            }
            Event::Store(Followed::Lost) => self.store_away = true,
            Event::Store(Followed::Regained) => self.store_away = false,
        }
    }

    /// Does what is due.
    fn plan(&mut self) {
        let now = self.clock.now();
        if self.store_away {
            // No heartbeat can arrive, so none is late.
            self.heartbeats.excuse(now);
        }
        self.look_at_engine(now);
        self.append_results();
        self.plan_versions(now);
        self.plan_claims(now);
        self.plan_sweep(now);
        self.plan_heartbeat(now);
    }

    /// Whether the engine takes work by all that is known of it.
    pub(super) fn is_working(&self) -> bool {
        self.server.borrow().is_some()
    }

    fn look_at_engine(&mut self, now: Millis) {
        let fresh = self
            .report
            .as_ref()
            .is_some_and(|(_, at)| now.since(*at) < REPORT_FRESH);
        let server = self.site.server_at(self.engine_address);
        let server =
            server.filter(|server| fresh && !server.draining && server.service == self.service);
        if let Some(server) = &server {
            self.slots = server.slots.max(1);
        }
        let id = server.map(|server| server.id.clone());
        self.server.send_if_modified(|current| {
            let changed = *current != id;
            if changed {
                tracing::info!(engine = ?id, before = ?current, fresh, "engine takes work or not");
                current.clone_from(&id);
            }
            changed
        });
    }

    /// What the engine takes for an event, once enough runs have told: the
    /// first ones meet an engine that is filling up, and one odd run made
    /// others join its holder's bundles.
    pub(super) fn known_pace(&self) -> f64 {
        match self.paced >= PACED_LEAST {
            true => self.pace,
            false => 0.0,
        }
    }

    fn is_idle(&self) -> bool {
        let busy = |batch: &OpenBatch| !batch.running.is_empty() || !batch.results.is_empty();
        !self.batches.values().any(busy)
    }

    fn change(&mut self, change: Change, now: Millis) {
        match change {
            Change::Put {
                part,
                key,
                value,
                revision,
            } => self.put(&part, &key, &value, revision, now),
            Change::Removed { part, key } => {
                let Some(id) = part.strip_prefix("batch-") else {
                    return;
                };
                match WorkKey::parse(&key) {
                    Some(WorkKey::Head) => {
                        if let Some(mut batch) = self.batches.remove(id) {
                            batch.stop();
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

    fn put(&mut self, part: &str, key: &str, value: &[u8], revision: u64, now: Millis) {
        if part == HEARTBEATS {
            if let Some(heartbeat) = decode::<Heartbeat>("heartbeat", value) {
                self.heartbeats.take(key, heartbeat, now);
            }
            return;
        }
        let Some(id) = part.strip_prefix("batch-") else {
            return;
        };
        let known = self.batches.get_mut(id);
        match (WorkKey::parse(key), known) {
            (Some(WorkKey::Head), None) => {
                if let Some(head) = decode(key, value) {
                    self.batches
                        .insert(id.to_owned(), OpenBatch::new(head, now));
                    self.settle_orphans(id);
                    self.prefetch(id);
                }
            }
            (Some(WorkKey::Log), Some(batch)) => {
                if let Some(log) = decode::<Log>(key, value) {
                    let ended = log.ended && !batch.log.ended;
                    batch.set_log(log, revision);
                    if ended {
                        tracing::info!(batch = id, "batch ended, its runs are stopped");
                    }
                }
            }
            (Some(WorkKey::Claim(bundle)), Some(batch)) => {
                if let Some(claim) = decode(key, value) {
                    batch.set_claim(bundle, claim, revision, now);
                }
            }
            (Some(_), None) => self.orphan(id, key, value, revision),
            (Some(WorkKey::Head), Some(_)) | (None, _) => {}
        }
    }

    /// Rows of a batch can come before its head, as a listing orders its rows
    /// by key: they are taken once the head is there.
    fn orphan(&mut self, id: &str, key: &str, value: &[u8], revision: u64) {
        let row = Row {
            part: part_of(id),
            key: key.to_owned(),
            value: Some(value.to_vec().into()),
            revision,
        };
        self.orphans.entry(id.to_owned()).or_default().push(row);
    }

    fn settle_orphans(&mut self, id: &str) {
        let now = self.clock.now();
        for row in self.orphans.remove(id).unwrap_or_default() {
            let value = row.value.unwrap_or_default();
            self.put(&row.part, &row.key, &value, row.revision, now);
        }
    }

    fn item_ended(&mut self, batch_id: &str, index: u16, end: ItemEnd) {
        let Some(batch) = self.batches.get_mut(batch_id) else {
            return;
        };
        batch.running.remove(&index);
        match end {
            ItemEnd::Done { pace, sample } => {
                if let Some(pace) = pace {
                    self.paced += 1;
                    let old = if self.pace > 0.0 { self.pace } else { pace };
                    self.pace = old + PACE_WEIGHT * (pace - old);
                }
                if !batch.is_over() && !batch.log.has(index) {
                    batch.results.push((index, sample));
                }
            }
            ItemEnd::Dropped => {
                tracing::info!(
                    batch = batch_id,
                    index,
                    "run dropped: the engine takes no work"
                );
                batch.release_idle();
            }
        }
    }

    fn append_results(&mut self) {
        for (id, batch) in &mut self.batches {
            if batch.appending || batch.results.is_empty() || batch.log_revision == 0 {
                continue;
            }
            let mut bytes = 0;
            let fits = |(_, sample): &&(u16, Sample)| {
                bytes += sample.text.len();
                bytes <= APPEND_BYTES
            };
            let mut samples: Vec<(u16, Sample)> = batch
                .results
                .iter()
                .take(APPEND_MOST)
                .take_while(fits)
                .cloned()
                .collect();
            if samples.is_empty() {
                samples.extend(batch.results.first().cloned());
            }
            batch.appending = true;
            let (log, transaction) = append(id, &batch.log, batch.log_revision, &samples);
            let (store, events, batch) = (self.store.clone(), self.events.clone(), id.clone());
            tokio::spawn(async move {
                let outcome = transact_or_read(&store, &batch, &transaction).await;
                let event = Event::Appended {
                    batch,
                    log,
                    outcome,
                };
                let _ = events.send(event).await;
            });
        }
    }

    fn appended(&mut self, id: &str, log: Log, outcome: Result<Outcome, StoreError>) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.appending = false;
        match outcome {
            Ok(Outcome::Done { revision }) => {
                let (count, total) = (log.listed.len(), batch.head.items.len());
                let new = log.listed.iter().skip(batch.log.listed.len());
                let ids = new.map(|index| batch.head.items[usize::from(*index)].id.as_str());
                let items = ids.collect::<Vec<&str>>().join(" ");
                tracing::info!(batch = id, items, count, total, revision, "results listed");
                batch.set_log(log, revision);
            }
            Ok(Outcome::Conflict { rows }) => {
                for row in rows {
                    let log = row.value.and_then(|value| decode::<Log>("log", &value));
                    if let (Some(log), Some(WorkKey::Log)) = (log, WorkKey::parse(&row.key)) {
                        batch.set_log(log, row.revision);
                    }
                }
            }
            Err(error) => {
                let waiting = batch.results.len();
                tracing::warn!(batch = id, waiting, %error, "results wait for the store");
            }
        }
    }

    fn plan_heartbeat(&mut self, now: Millis) {
        let last = &self.heartbeat.last;
        let mut next = Heartbeat {
            leaving: self.leaving,
            loading: self.order.is_some() || self.report.as_ref().is_some_and(|(r, _)| r.busy),
            pace: self.known_pace(),
            sequence: last.sequence,
            service: self.service.clone(),
            token: self.token,
            weights: Vec::new(),
            working: self.is_working(),
        };
        let changed = (next.leaving, next.loading, next.working)
            != (last.leaving, last.loading, last.working);
        let due = now.since(self.heartbeat.sent) >= HEARTBEAT_EVERY || changed;
        if self.heartbeat.sending || !due {
            return;
        }
        next.sequence += 1;
        self.heartbeat.last = next.clone();
        self.heartbeat.sending = true;
        self.heartbeat.sent = now;
        self.heartbeats.take(&self.instance, next.clone(), now);
        let (store, events) = (self.store.clone(), self.events.clone());
        let transaction = heartbeat_write(&self.instance, &next);
        tokio::spawn(async move {
            let outcome = store.transact(&transaction).await;
            let _ = events.send(Event::HeartbeatWritten(outcome)).await;
        });
    }
}

/// Does an append. When its outcome is unknown, the log row tells: a late copy
/// of the write expects a revision that will be gone after the next one.
async fn transact_or_read(
    store: &Store,
    batch: &str,
    transaction: &Transaction,
) -> Result<Outcome, StoreError> {
    let error = match store.transact(transaction).await {
        Ok(outcome) => return Ok(outcome),
        Err(error) => error,
    };
    tokio::time::sleep(WRITE_AGAIN.as_duration()).await;
    let key = Key::new(WORK, part_of(batch), WorkKey::Log.to_string());
    match store.row(&key).await {
        Ok(Some(row)) => Ok(Outcome::Conflict { rows: vec![row] }),
        Ok(None) | Err(_) => Err(error),
    }
}

fn heartbeat_write(instance: &str, heartbeat: &Heartbeat) -> Transaction {
    Transaction {
        expect: Vec::new(),
        remove: Vec::new(),
        set: vec![(Key::new(WORK, HEARTBEATS, instance), encode(heartbeat))],
    }
}

/// Writes the first heartbeat of this life; its revision is higher than that of any
/// life before, on whatever instance, and becomes the life's number.
async fn first_heartbeat(store: &Store, instance: &str, service: &str) -> u64 {
    let heartbeat = Heartbeat {
        service: service.to_owned(),
        ..Heartbeat::default()
    };
    loop {
        match store.transact(&heartbeat_write(instance, &heartbeat)).await {
            Ok(Outcome::Done { revision }) => return revision,
            Ok(Outcome::Conflict { .. }) => {}
            Err(error) => tracing::warn!(%error, "no number for this life yet"),
        }
        tokio::time::sleep(WRITE_AGAIN.as_duration()).await;
    }
}

async fn follow_work(store: Store, events: mpsc::Sender<Event>) {
    let (sender, mut feed) = mpsc::channel(RING);
    let following = Following {
        pace: PACE,
        parts: true,
        table: WORK,
    };
    let following = follow(store, following, sender);
    let relay = async {
        while let Some(followed) = feed.recv().await {
            if events.send(Event::Store(followed)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(following, relay);
}

impl OpenBatch {
    /// Takes a newer claim; a bundle that another runner has taken over is
    /// still run here, as the first whole result wins.
    pub(super) fn set_claim(
        &mut self,
        bundle: u16,
        claim: crate::batch::Claim,
        revision: u64,
        now: Millis,
    ) {
        let newer = self
            .claims
            .get(&bundle)
            .is_none_or(|held| held.revision < revision);
        if newer {
            let held = Held {
                claim,
                revision,
                seen: now,
            };
            self.claims.insert(bundle, held);
        }
    }

    /// Gives up the bundles of which nothing runs and something is left.
    fn release_idle(&mut self) {
        let running = &self.running;
        let head = &self.head;
        let log = &self.log;
        self.mine.retain(|bundle, state| {
            let waits = !matches!(state, super::open_batch::Mine::Running);
            let items = head.bundles.get(usize::from(*bundle));
            let items = items.map_or(&[][..], |bundle| &bundle.items);
            let runs = items.iter().any(|index| running.contains_key(index));
            let open = items.iter().any(|index| !log.has(*index));
            waits || runs || !open
        });
    }
}
