//! The work loop: the runner's state, changed only by one task in response to events.

use super::{
    event::{EVENT_CAPACITY, Event, ReceivedReport},
    handover::HandoverState,
    heartbeat::{HeartbeatState, first_heartbeat},
    heartbeats::Heartbeats,
    open_batch::OpenBatch,
    postponed::Postponed,
    run_handle::RunHandle,
    run_item::Engine, //
};
use crate::{
    base::{Clock, Millis},
    batch::WORK,
    duty::{Context, Phase},
    platform::Store,
    policy::{load_features::LoadFeatures, pace::EngineKind},
    relay::{DEFAULT_HOLD, FollowEvent, FollowOptions, MAX_BACKOFF, Relay, follow},
    routing::ServerIncarnation,
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

/// The runner's state and its event loop.
pub(super) struct WorkLoop {
    /// When the store became unreachable for this runner; `None` while it answers.
    pub(super) outage_start: Option<Millis>,
    /// The batches in the store, by id.
    pub(super) batches: BTreeMap<String, OpenBatch>,
    pub(super) heartbeats: Heartbeats,
    /// No bundle is claimed and no items are read again before this time, because the last
    /// such request to the store failed.
    pub(super) retry_at: Millis,
    pub(super) clock: Clock,
    /// The runs whose streams are read to their end for nobody.
    pub(super) drained_runs: Vec<RunHandle>,
    /// How long an engine serves after it was announced as draining; `None` if unknown.
    pub(super) drain: Option<Millis>,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    /// Sends events to this loop.
    pub(super) events: mpsc::Sender<Event>,
    /// The behaviour under load that is on.
    pub(super) features: LoadFeatures,
    pub(super) handover: HandoverState,
    pub(super) instance: String,
    /// This runner's home model; `None` until it has one.
    pub(super) home: Option<String>,
    /// An existing home model does not change before this time.
    pub(super) home_until: Millis,
    /// The engine's kind: usual or slower, compared with the other engines of the service.
    pub(super) kind: EngineKind,
    /// Whether this runner is shutting down and claims nothing new.
    pub(super) leaving: bool,
    /// The last incarnation of the engine that accepted work; `None` before the first.
    pub(super) last_incarnation: Option<ServerIncarnation>,
    /// The model of the last order to load weights.
    pub(super) ordered_model: Option<String>,
    /// The last order, while the reports may not show its effect yet.
    pub(super) pending_order: Option<super::orders::PendingOrder>,
    /// The memory limit of this process, in bytes.
    pub(super) memory: usize,
    /// Rows of batches whose head was not seen yet, by batch id.
    pub(super) orphans: BTreeMap<String, Vec<Row>>,
    /// Models whose trainers were seen to keep two steps in progress.
    pub(super) overlapping: HashSet<String>,
    /// The engine's pace, in ms per event; 0 before enough is known.
    pub(super) pace: f64,
    /// Batches that wait until there is memory for them.
    pub(super) postponed: Postponed,
    /// The engine's last report.
    pub(super) report: Option<ReceivedReport>,
    /// How long a finished batch must stay readable.
    pub(super) retention: Millis,
    /// The engine's current incarnation; `None` while it accepts no work.
    pub(super) incarnation: watch::Sender<Option<ServerIncarnation>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    /// The items that the engine can run at once.
    pub(super) slots: u32,
    pub(super) store: Store,
    pub(super) last_sweep: Millis,
    /// Identifies this incarnation of the runner; also the fencing token of its orders.
    pub(super) token: u64,
    pub(super) heartbeat: HeartbeatState,
}

/// How often the loop plans when no event arrives.
const TICK_INTERVAL: Millis = Millis(50);

/// The wait after a batch of changes from the store, in which more accumulate: a step's
/// claims and results come in hundreds, and every runner pays for each call.
const CHANGES_DELAY: Millis = Millis(40);

/// The dependencies and settings of a new work loop.
pub(super) struct Setup {
    pub(super) clock: Clock,
    pub(super) drain: Option<Millis>,
    pub(super) engine: Engine,
    pub(super) engine_address: SocketAddr,
    pub(super) features: LoadFeatures,
    pub(super) instance: String,
    /// The memory limit of this process, in bytes.
    pub(super) memory: usize,
    pub(super) relay: Arc<Relay>,
    pub(super) retention: Millis,
    pub(super) incarnation: watch::Sender<Option<ServerIncarnation>>,
    pub(super) service: String,
    pub(super) site: Arc<Site>,
    pub(super) store: Store,
}

impl WorkLoop {
    /// Gets a token for this incarnation, then runs the loop until the program stops.
    pub(super) async fn run(setup: Setup, context: Context) {
        let (events, mut receiver) = mpsc::channel(EVENT_CAPACITY);
        let first = first_heartbeat(&setup.store, &setup.instance, &setup.service);
        let (token, home) = tokio::select! {
            first = first => first,
            () = context.reached(Phase::Draining) => {
                context.mark_drained();
                return;
            }
        };
        tracing::info!(
            instance = setup.instance,
            engine = %setup.engine_address,
            token,
            ?home,
            "runner got its token"
        );
        let polling =
            super::engine_watch::poll_reports(setup.engine_address, setup.clock, events.clone());
        tokio::spawn(polling);
        tokio::spawn(follow_work(setup.relay, events.clone()));

        let mut work = Self {
            outage_start: None,
            batches: BTreeMap::new(),
            heartbeat: HeartbeatState::default(),
            heartbeats: Heartbeats::default(),
            retry_at: Millis(0),
            clock: setup.clock,
            drained_runs: Vec::new(),
            drain: setup.drain,
            engine: setup.engine,
            engine_address: setup.engine_address,
            events,
            features: setup.features,
            handover: HandoverState::default(),
            instance: setup.instance,
            home,
            home_until: Millis(0),
            kind: EngineKind::default(),
            leaving: false,
            last_incarnation: None,
            ordered_model: None,
            pending_order: None,
            memory: setup.memory,
            orphans: BTreeMap::new(),
            overlapping: HashSet::new(),
            pace: 0.0,
            postponed: Postponed::default(),
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
                context.mark_drained();
            }
        }
    }

    /// Applies an event to the state.
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
            Event::BatchRead { batch, rows } => self.on_batch_read(&batch, rows),
            Event::HandoverEnded(end) => self.on_handover_ended(end),
            Event::ItemEnded { batch, index, end } => self.on_item_ended(&batch, index, end),
            Event::OrderAnswered {
                answer,
                model,
                version,
            } => self.on_order_answered(answer, &model, version),
            Event::PartialsRead { bundle, partials } => self.on_partials_read(bundle, partials),
            Event::Report(received) => {
                if received.is_some() {
                    self.report = received;
                }
            }
            Event::Feed(FollowEvent::Changes { changes, .. }) => {
                // Changes show that the store is reachable, although the follower
                // reports that only after them. Otherwise batches that arrived with the
                // store's return were run without claims, and half of their items twice.
                self.outage_start = None;
                for change in changes {
                    self.apply_change(change, now);
                }
            }
            Event::Feed(FollowEvent::Disconnected) => self.outage_start = Some(now),
            Event::Feed(FollowEvent::Reconnected) => self.outage_start = None,
        }
    }

    /// Starts all actions that are due.
    fn plan(&mut self) {
        let now = self.clock.now();
        if self.outage_start.is_some() {
            // Heartbeats can't arrive, so a missing one does not mean a dead runner.
            self.heartbeats.reset_ages(now);
        }
        self.update_engine(now);
        let usual = self.update_pace(now);
        self.plan_handover(now);
        self.open_postponed(now);
        self.append_results();
        let standing = self.standing(now);
        self.update_home(&standing, now);
        self.plan_order(&standing, now);
        self.restart_dropped();
        self.plan_claims(&standing, usual, now);
        self.plan_releases(now);
        self.settle_stopped_runs(usual);
        self.plan_sweep(now);
        self.plan_heartbeat(now);
    }

    /// Whether no run is in progress and no result waits to be listed.
    fn is_idle(&self) -> bool {
        let busy = |batch: &OpenBatch| !batch.running.is_empty() || !batch.results.is_empty();
        !self.batches.values().any(busy)
    }
}

/// Follows the work table and passes its changes to the work loop.
async fn follow_work(relay: Arc<Relay>, events: mpsc::Sender<Event>) {
    let (sender, mut feed) = mpsc::channel(EVENT_CAPACITY);
    let following = FollowOptions {
        max_backoff: MAX_BACKOFF,
        hold: DEFAULT_HOLD,
        batch_delay: CHANGES_DELAY,
        has_parts: true,
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
