//! The work loop: owns what this runner knows and does.

use super::{
    event::{EVENT_CAPACITY, Event},
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
    policy::pace::Kind,
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
pub(super) struct WorkLoop {
    /// Since when the store does not answer this runner; `None` while it does.
    pub(super) outage_start: Option<Millis>,
    pub(super) batches: BTreeMap<String, OpenBatch>,
    pub(super) heartbeats: Heartbeats,
    /// No bundle is claimed before, as the store did not take the last claim.
    pub(super) retry_at: Millis,
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) instance: String,
    /// The model that this runner serves first.
    pub(super) home: Option<String>,
    /// The model is changed from then on, if it should be.
    pub(super) move_at: Millis,
    /// How fast the engine is among others.
    pub(super) kind: Kind,
    pub(super) leaving: bool,
    /// The engine's newest life that took work; `None` before the first.
    pub(super) last_incarnation: Option<Life>,
    /// The model whose weights the engine was ordered to take last.
    pub(super) ordered_model: Option<String>,
    pub(super) pending_order: Option<super::orders::PendingOrder>,
    /// Rows of batches whose head was not seen yet.
    pub(super) orphans: BTreeMap<String, Vec<Row>>,
    /// Models whose trainers were seen to keep two steps under way.
    pub(super) overlapping: HashSet<String>,
    /// What the engine takes for an event, in ms; 0 before enough is known.
    pub(super) pace: f64,
    pub(super) report: Option<(EngineReport, Millis)>,
    pub(super) retention: Millis,
    /// The engine's present life while it takes work.
    pub(super) incarnation: watch::Sender<Option<Life>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) slots: u32,
    pub(super) store: Store,
    pub(super) last_sweep: Millis,
    /// Names this life of the runner; the number under which it gives orders.
    pub(super) token: u64,
    pub(super) heartbeat: HeartbeatState,
}

/// How often the loop looks around when nothing happens.
const TICK_INTERVAL: Millis = Millis(50);

/// The wait after a batch of changes in which more gather: a step's claims and
/// results come in hundreds, and each call for changes costs every runner.
const CHANGES_DELAY: Millis = Millis(40);

/// What a work loop begins with.
pub(super) struct Setup {
    pub(super) clock: Clock,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) instance: String,
    pub(super) relay: Arc<Relay>,
    pub(super) retention: Millis,
    pub(super) incarnation: watch::Sender<Option<Life>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) store: Store,
}

impl WorkLoop {
    /// Takes a number for this life, then works until the program has stopped.
    pub(super) async fn run(setup: Setup, context: Context) {
        let (events, mut receiver) = mpsc::channel(EVENT_CAPACITY);
        let first = first_heartbeat(&setup.store, &setup.instance, &setup.service);
        let (token, home) = tokio::select! {
            first = first => first,
            () = context.reached(Phase::Draining) => {
                context.drained();
                return;
            }
        };
        tracing::info!(
            instance = setup.instance,
            token,
            ?home,
            "runner has its number"
        );
        let polling = super::engine_watch::poll_reports(setup.engine.peer.clone(), events.clone());
        tokio::spawn(polling);
        tokio::spawn(follow_work(setup.relay, events.clone()));

        let mut work = Self {
            outage_start: None,
            batches: BTreeMap::new(),
            heartbeat: HeartbeatState::default(),
            heartbeats: Heartbeats::default(),
            retry_at: Millis(0),
            clock: setup.clock,
            engine: setup.engine,
            engine_address: setup.engine_address,
            events,
            instance: setup.instance,
            home,
            move_at: Millis(0),
            kind: Kind::default(),
            leaving: false,
            last_incarnation: None,
            ordered_model: None,
            pending_order: None,
            orphans: BTreeMap::new(),
            overlapping: HashSet::new(),
            pace: 0.0,
            report: None,
            retention: setup.retention,
            incarnation: setup.incarnation,
            service: setup.service,
            site: setup.site,
            slots: 1,
            store: setup.store,
            last_sweep: setup.clock.now(),
            token,
        };
        let mut tick = tokio::time::interval(TICK_INTERVAL.as_duration());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = receiver.recv() => {
                    work.handle_event(event);
                    while let Ok(event) = receiver.try_recv() {
                        work.handle_event(event);
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

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::ResultsAppended {
                batch,
                count,
                log,
                outcome,
            } => self.on_results_appended(&batch, count, log, outcome),
            Event::HeartbeatWritten(outcome) => {
                self.heartbeat.sending = false;
                if let Err(error) = outcome {
                    tracing::debug!(%error, "heartbeat not written");
                }
            }
            Event::ClaimWritten {
                claim,
                bundle,
                outcome,
            } => self.on_claim_written(claim, bundle, outcome),
            Event::ItemsRead {
                batch,
                chunk,
                items,
            } => self.on_items_read(&batch, chunk, items),
            Event::ItemEnded { batch, index, end } => self.on_item_ended(&batch, index, end),
            Event::OrderAnswered {
                answer,
                model,
                version,
            } => self.on_order_answered(answer, &model, version),
            Event::PartialsRead { bundle, partials } => self.on_partials_read(bundle, partials),
            Event::Report(report) => {
                if let Some(report) = report {
                    self.report = Some((report, now));
                }
            }
            Event::Feed(Followed::Changes { changes, .. }) => {
                // Who hears of changes reaches the store, though its follower
                // tells so only after them: batches that came with the store's
                // return were run unclaimed, and half of their items twice.
                self.outage_start = None;
                for change in changes {
                    self.apply_change(change, now);
                }
            }
            Event::Feed(Followed::Lost) => self.outage_start = Some(now),
            Event::Feed(Followed::Regained) => self.outage_start = None,
        }
    }

    /// Does what is due.
    fn plan(&mut self) {
        let now = self.clock.now();
        if self.outage_start.is_some() {
            // No heartbeat can arrive, so none is late.
            self.heartbeats.reset_ages(now);
        }
        self.update_engine(now);
        let usual = self.update_pace(now);
        self.append_results();
        let standing = self.standing(now);
        self.update_home(&standing, now);
        self.plan_order(&standing, now);
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
    let (sender, mut feed) = mpsc::channel(EVENT_CAPACITY);
    let following = Following {
        backoff: BACKOFF_MOST,
        hold: HOLD,
        pace: CHANGES_DELAY,
        parts: true,
        table: WORK,
    };
    let following = follow(relay, following, sender);
    let forwarding = async {
        while let Some(followed) = feed.recv().await {
            if events.send(Event::Feed(followed)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(following, forwarding);
}
