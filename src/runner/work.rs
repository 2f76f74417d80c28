//! The work loop: owns what this runner knows and does.

use super::{
    event::{Event, RING},
    heartbeat::{HeartbeatState, first_heartbeat},
    heartbeats::Heartbeats,
    open_batch::OpenBatch,
    run_item::Engine, //
};
use crate::{
    base::{Clock, Millis},
    batch::WORK,
    duty::{Context, Phase},
    platform::{EngineReport, Store},
    policy::pace::EngineKind,
    relay::{BACKOFF_MOST, Followed, Following, HOLD, Relay, follow},
    routing::Life,
    store::Row,
    view::Site, //
};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc, //
};
use tokio::sync::{
    mpsc,
    watch, //
};

/// What this runner knows and does.
pub(super) struct Work {
    /// Since when the store does not answer this runner; `None` while it does.
    pub(super) away_since: Option<Millis>,
    pub(super) batches: BTreeMap<String, OpenBatch>,
    pub(super) heartbeats: Heartbeats,
    /// No bundle is claimed before, as the store did not take the last claim.
    pub(super) claims_from: Millis,
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) instance: String,
    /// The model that this runner serves first.
    pub(super) home: Option<String>,
    /// The model is changed from then on, if it should be.
    pub(super) moves_from: Millis,
    /// How fast the engine is among others.
    pub(super) kind: EngineKind,
    pub(super) leaving: bool,
    /// The engine's newest life that took work; `None` before the first.
    pub(super) life: Option<Life>,
    /// The model whose weights the engine was ordered to take last.
    pub(super) changed: Option<String>,
    pub(super) order: Option<super::orders::Pending>,
    /// Rows of batches whose head was not seen yet.
    pub(super) orphans: BTreeMap<String, Vec<Row>>,
    /// Models whose trainers were seen to keep two steps under way.
    pub(super) overlapping: HashSet<String>,
    /// What the engine takes for an event, in ms; 0 before enough is known.
    pub(super) pace: f64,
    pub(super) report: Option<(EngineReport, Millis)>,
    pub(super) retention: Millis,
    /// The engine's present life while it takes work.
    pub(super) server: watch::Sender<Option<Life>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) slots: u32,
    pub(super) store: Store,
    pub(super) swept: Millis,
    /// Names this life of the runner; the number under which it gives orders.
    pub(super) token: u64,
    pub(super) heartbeat: HeartbeatState,
}

/// How often the loop looks around when nothing happens.
const TICK: Millis = Millis(50);

/// The wait after a batch of changes in which more gather: a step's claims and
/// results come in hundreds, and each call for changes costs every runner.
const PACE: Millis = Millis(40);

/// What a work loop begins with.
pub(super) struct Seed {
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) instance: String,
    pub(super) relay: Arc<Relay>,
    pub(super) retention: Millis,
    pub(super) server: watch::Sender<Option<Life>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) store: Store,
}

impl Work {
    /// Takes a number for this life, then works until the program has stopped.
    pub(super) async fn run(seed: Seed, context: Context) {
        let (events, mut ring) = mpsc::channel(RING);
        let first = first_heartbeat(&seed.store, &seed.instance, &seed.service);
        let (token, home) = tokio::select! {
            first = first => first,
            () = context.reached(Phase::Draining) => {
                context.drained();
                return;
            }
        };
        tracing::info!(
            instance = seed.instance,
            token,
            ?home,
            "runner has its number"
        );
        let watching = super::engine_watch::watch(seed.engine.peer.clone(), events.clone());
        tokio::spawn(watching);
        tokio::spawn(follow_work(seed.relay, events.clone()));

        let mut work = Self {
            away_since: None,
            batches: BTreeMap::new(),
            heartbeat: HeartbeatState::default(),
            heartbeats: Heartbeats::default(),
            claims_from: Millis(0),
            clock: seed.clock,
            engine: seed.engine,
            engine_address: seed.engine_address,
            events,
            instance: seed.instance,
            home,
            moves_from: Millis(0),
            kind: EngineKind::default(),
            leaving: false,
            life: None,
            changed: None,
            order: None,
            orphans: BTreeMap::new(),
            overlapping: HashSet::new(),
            pace: 0.0,
            report: None,
            retention: seed.retention,
            server: seed.server,
            service: seed.service,
            site: seed.site,
            slots: 1,
            store: seed.store,
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
                count,
                log,
                outcome,
            } => self.appended(&batch, count, log, outcome),
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
                // Who hears of changes reaches the store, though its follower
                // tells so only after them: batches that came with the store's
                // return were run unclaimed, and half of their items twice.
                self.away_since = None;
                for change in changes {
                    self.change(change, now);
                }
            }
            Event::Store(Followed::Lost) => self.away_since = Some(now),
            Event::Store(Followed::Regained) => self.away_since = None,
        }
    }

    /// Does what is due.
    fn plan(&mut self) {
        let now = self.clock.now();
        if self.away_since.is_some() {
            // No heartbeat can arrive, so none is late.
            self.heartbeats.excuse(now);
        }
        self.look_at_engine(now);
        let usual = self.look_at_pace(now);
        self.append_results();
        let standing = self.standing(now);
        self.settle_home(&standing, now);
        self.plan_versions(&standing, now);
        self.plan_claims(&standing, usual, now);
        self.plan_sweep(now);
        self.plan_heartbeat(now);
    }

    fn is_idle(&self) -> bool {
        let busy = |batch: &OpenBatch| !batch.running.is_empty() || !batch.results.is_empty();
        !self.batches.values().any(busy)
    }
}

async fn follow_work(relay: Arc<Relay>, events: mpsc::Sender<Event>) {
    let (sender, mut feed) = mpsc::channel(RING);
    let following = Following {
        backoff: BACKOFF_MOST,
        hold: HOLD,
        pace: PACE,
        parts: true,
        table: WORK,
    };
    let following = follow(relay, following, sender);
    let telling = async {
        while let Some(followed) = feed.recv().await {
            if events.send(Event::Store(followed)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(following, telling);
}
