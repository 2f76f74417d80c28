//! The duty that owns the queue and the backend server.

use super::{
    accounts::Query,
    engine_access::EngineAccess,
    job::{Job, JobEnd, JobKey},
    link_listener::LinkKey,
    run_call::{self, ServiceClient}, //
};
use crate::{
    base::{Cause, Failure, Millis, RequestId},
    duty::{Context, Phase},
    engine::EngineClient,
    policy::{
        agent_queue::AgentQueue,
        claims::SeenKeys,
        fences::Fences,
        ledger::Ledger, //
    },
    settings::{AgentSettings, BackendKind},
    table::PlatformClient,
    wire::{FromAgent, Link, LinkEvent, Report, Slot, ToAgent}, //
};
use slotmap::SlotMap;
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval}, //
};

/// What the links tell the work duty.
pub(super) type WorkEvent = LinkEvent<LinkKey, ToAgent, FromAgent>;

/// A link and the streams on it.
pub(super) struct LinkState {
    pub(super) sender: Link<FromAgent>,
    pub(super) slots: HashMap<Slot, JobKey>,
}

/// All that the work duty owns.
pub(super) struct Worker {
    pub(super) seen_keys: SeenKeys,
    pub(super) context: Context,
    pub(super) job_ends: mpsc::Sender<JobEnd>,
    pub(super) fences: Rc<RefCell<Fences>>,
    /// Present before a model engine.
    pub(super) engine_access: Option<Rc<EngineAccess>>,
    pub(super) jobs: SlotMap<JobKey, Job>,
    /// When the drain began.
    drain_started: Option<Millis>,
    pub(super) ledger: Ledger,
    pub(super) links: HashMap<LinkKey, LinkState>,
    pub(super) platform: PlatformClient,
    pub(super) queue: AgentQueue<JobKey>,
    last_report: (Millis, Report),
    pub(super) service: ServiceClient,
    pub(super) service_time: f64,
    pub(super) settings: AgentSettings,
    pub(super) turn: u64,
}

/// How often deadlines are looked at.
const TICK_INTERVAL: Millis = Millis(25);

/// The least and the most time between two reports. A report takes the place
/// of a beat, see `docs/CAPACITY.md` for what both cost.
const MIN_REPORT_INTERVAL: Millis = Millis(1_000);
const MAX_REPORT_INTERVAL: Millis = Millis(2_000);

/// How long a request key is remembered, and how many are.
const KEY_RETENTION: Millis = Millis(600_000);
const MAX_KEYS: usize = 100_000;

/// The accounts kept for the support engineer.
const MAX_ACCOUNTS: usize = 10_000;

/// The ends of jobs that may wait; a full ring holds up only ended jobs.
const MAX_WAITING_ENDS: usize = 256;

/// Runs until the program stops.
pub(super) async fn run(
    context: Context,
    settings: AgentSettings,
    mut inbox: mpsc::Receiver<WorkEvent>,
    mut queries: mpsc::Receiver<Query>,
    usable: Arc<AtomicBool>,
) {
    let (job_ends, mut ended_jobs) = mpsc::channel(MAX_WAITING_ENDS);
    let mut worker = Worker::new(context.clone(), settings, job_ends);
    if let Some(engine_access) = worker.engine_access.clone() {
        tokio::task::spawn_local(async move { engine_access.poll_state().await });
    }
    let mut tick = interval(TICK_INTERVAL.as_duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);

    loop {
        tokio::select! {
            Some(event) = inbox.recv() => worker.on_event(event),
            Some(end) = ended_jobs.recv() => worker.on_job_end(end),
            Some(query) = queries.recv() => worker.on_query(query),
            _ = tick.tick() => {
                worker.on_tick();
                usable.store(worker.is_usable(), Ordering::Relaxed);
            }
            () = context.reached(Phase::Stopped) => break,
        }
    }

    let cut = worker.jobs.len();
    if cut > 0 {
        tracing::error!(cut, "the stop cut off requests");
        metrics::counter!("redwing_stop_cut_total").increment(cut as u64);
    }
}

impl Worker {
    fn new(context: Context, settings: AgentSettings, job_ends: mpsc::Sender<JobEnd>) -> Self {
        let backend = &settings.backend;
        let engine = backend.kind == BackendKind::Engine;
        Self {
            seen_keys: SeenKeys::new(KEY_RETENTION, MAX_KEYS),
            context,
            job_ends,
            fences: Rc::default(),
            engine_access: engine
                .then(|| Rc::new(EngineAccess::new(EngineClient::open(backend.address)))),
            jobs: SlotMap::with_key(),
            drain_started: None,
            ledger: Ledger::new(MAX_ACCOUNTS),
            links: HashMap::new(),
            platform: PlatformClient::open(settings.common.platform),
            queue: AgentQueue::new(settings.policy, backend.capacity, backend.queue),
            last_report: (Millis(0), Report::default()),
            service: run_call::client(),
            service_time: 0.0,
            settings,
            turn: 0,
        }
    }

    /// Whether the backend server can take work. A plain service is taken to
    /// be usable until calls to it fail, which its callers judge.
    pub(super) fn is_usable(&self) -> bool {
        self.engine_access
            .as_ref()
            .is_none_or(|engine_access| engine_access.is_usable())
    }

    fn on_event(&mut self, event: WorkEvent) {
        match event {
            LinkEvent::Down { link, reason } => self.on_down(link, reason),
            LinkEvent::Message { link, message } => self.on_message(link, message),
            LinkEvent::Up {
                hello,
                link,
                sender,
            } => {
                tracing::info!(entry = hello.instance, "link up");
                let _ = sender.try_send(FromAgent::Report(self.report()));
                let slots = HashMap::new();
                self.links.insert(link, LinkState { sender, slots });
            }
        }
    }

    fn on_message(&mut self, link: LinkKey, message: ToAgent) {
        // The stop is looked at before each message, not only at the next tick:
        // until then an agent that was told to stop took new requests.
        if self.drain_started.is_none() && self.context.phase() >= Phase::Draining {
            self.drain(self.context.clock.now());
        }
        match message {
            ToAgent::Cancel { slot } => self.cancel(link, slot),
            ToAgent::Credit { slot, bytes } => {
                if let Some(job) = self.job(link, slot) {
                    job.io.add_credit(bytes);
                }
            }
            ToAgent::Data { slot, bytes, last } => self.on_data(link, slot, bytes, last),
            ToAgent::Order { slot, order } => self.on_order(link, slot, order),
            ToAgent::Query { slot, request } => {
                let account = self.ledger.account(request).cloned();
                self.send_to(link, FromAgent::Account { slot, account });
            }
            ToAgent::Revoke {
                attempt,
                slot,
                request,
            } => self.revoke(link, slot, request, attempt),
            ToAgent::Start(start) => self.start(link, start),
        }
    }

    fn on_query(&mut self, query: Query) {
        match query {
            Query::Account(id, reply) => {
                let _ = reply.send(self.ledger.account(id).cloned());
            }
            Query::Report(reply) => {
                let _ = reply.send(self.report());
            }
        }
    }

    fn on_down(&mut self, link: LinkKey, reason: &'static str) {
        tracing::info!(reason, "link down");
        let Some(state) = self.links.remove(&link) else {
            return;
        };
        for key in state.slots.into_values() {
            self.abandon(key);
        }
    }

    fn on_tick(&mut self) {
        let now = self.context.clock.now();
        if self.context.phase() >= Phase::Draining {
            self.drain(now);
        }
        self.shed(now);
        self.expire(now);
        self.report_if_due(now);
    }

    /// Tells all entries at once, refuses what still comes, and ends only
    /// after the leave time.
    ///
    /// An agent that ended as soon as it was idle would take requests with it
    /// that entries had sent before they knew: their links would break, and
    /// calls that never ran would be told as `may_have_run`.
    fn drain(&mut self, now: Millis) {
        let began = match self.drain_started {
            Some(began) => began,
            None => {
                self.queue.drain();
                self.report_now(now);
                self.drain_started = Some(now);
                now
            }
        };
        let left = now.since(began) >= self.settings.common.drain.leave;
        if left && self.queue.is_idle() {
            self.context.drained();
        }
    }

    fn report_if_due(&mut self, now: Millis) {
        let since = now.since(self.last_report.0);
        if since < MIN_REPORT_INTERVAL {
            return;
        }
        let report = self.report();
        if since < MAX_REPORT_INTERVAL && report == self.last_report.1 {
            return;
        }
        self.report_now(now);
    }

    fn report_now(&mut self, now: Millis) {
        let report = self.report();
        for state in self.links.values() {
            let _ = state.sender.try_send(FromAgent::Report(report.clone()));
        }
        self.last_report = (now, report);
    }

    fn report(&self) -> Report {
        let engine = self
            .engine_access
            .as_ref()
            .map(|engine_access| engine_access.state());
        Report {
            capacity: self.settings.backend.capacity,
            draining: self.context.phase() >= Phase::Draining,
            engine: engine.map(|state| (*state).clone()).unwrap_or_default(),
            queued: self.queue.queued() as u32,
            running: self.queue.running(),
            service_time: Millis(self.service_time.round() as u64),
            usable: self.is_usable(),
        }
    }

    fn revoke(&mut self, link: LinkKey, slot: Slot, request: RequestId, attempt: u8) {
        if let Some(item) = self.queue.revoke(request, attempt) {
            let detail = "the request was revoked before it started";
            self.refuse(item.key, Failure::not_run(Cause::Cancelled, detail));
            return;
        }
        // Running: its own end will tell. Unknown: it never came, and the
        // tombstone refuses a late copy, so that `NotRun` stays true.
        if self.job(link, slot).is_none() && self.ledger.account(request).is_none() {
            let failure = Failure::not_run(Cause::Cancelled, "the request never arrived");
            self.send_to(link, FromAgent::Failed { slot, failure });
        }
    }

    pub(super) fn job(&mut self, link: LinkKey, slot: Slot) -> Option<&mut Job> {
        let key = *self.links.get(&link)?.slots.get(&slot)?;
        self.jobs.get_mut(key)
    }

    pub(super) fn send_to(&self, link: LinkKey, message: FromAgent) {
        if let Some(state) = self.links.get(&link) {
            let _ = state.sender.try_send(message);
        }
    }
}
