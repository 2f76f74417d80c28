//! The duty `work`: owns the request queue and all traffic with the backend server.

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
        fences::Fences,
        ledger::Ledger, //
        seen_keys::SeenKeys,
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

/// An event of a link, as the work duty receives it.
pub(super) type WorkEvent = LinkEvent<LinkKey, ToAgent, FromAgent>;

/// An open link and the jobs of its streams.
pub(super) struct LinkState {
    pub(super) sender: Link<FromAgent>,
    pub(super) slots: HashMap<Slot, JobKey>,
}

/// The state of the work duty.
pub(super) struct Worker {
    /// The request keys of non-idempotent requests.
    pub(super) seen_keys: SeenKeys,
    pub(super) context: Context,
    /// Cloned for each job's task, which reports its end.
    pub(super) job_ends: mpsc::Sender<JobEnd>,
    pub(super) fences: Rc<RefCell<Fences>>,
    /// Present if the backend server is a model engine.
    pub(super) engine_access: Option<Rc<EngineAccess>>,
    pub(super) jobs: SlotMap<JobKey, Job>,
    /// When the drain began; `None` before.
    drain_started: Option<Millis>,
    /// The accounts of recent requests.
    pub(super) ledger: Ledger,
    pub(super) links: HashMap<LinkKey, LinkState>,
    pub(super) platform: PlatformClient,
    pub(super) queue: AgentQueue<JobKey>,
    /// The last report to the entries, and when it was sent.
    last_report: (Millis, Report),
    /// The HTTP client for a plain service.
    pub(super) service: ServiceClient,
    /// The moving average of the time from start to end of a job, in ms.
    pub(super) service_time: f64,
    pub(super) settings: AgentSettings,
    /// The number of jobs started from the queue, which decides the next priority.
    pub(super) turn: u64,
}

/// How often deadlines are checked.
const TICK_INTERVAL: Millis = Millis(25);

/// The minimum time between two regular reports. A report also takes the place of a
/// heartbeat; `docs/CAPACITY.md` has the cost of both.
const MIN_REPORT_INTERVAL: Millis = Millis(1_000);

/// The time after which a report is sent even if it has not changed.
const MAX_REPORT_INTERVAL: Millis = Millis(2_000);

/// How long a request key is kept.
const KEY_RETENTION: Millis = Millis(600_000);

/// The number of request keys that are kept at most.
const MAX_KEYS: usize = 100_000;

/// The number of accounts kept for operators' queries.
const MAX_ACCOUNTS: usize = 10_000;

/// The most ends of jobs that may wait for the work duty; a full queue delays only the
/// tasks of jobs that have ended.
const MAX_QUEUED_ENDS: usize = 256;

/// Runs the work duty until the program stops. Keeps `usable` up to date for the readiness
/// check.
pub(super) async fn run(
    context: Context,
    settings: AgentSettings,
    mut inbox: mpsc::Receiver<WorkEvent>,
    mut queries: mpsc::Receiver<Query>,
    usable: Arc<AtomicBool>,
) {
    let (job_ends, mut ended_jobs) = mpsc::channel(MAX_QUEUED_ENDS);
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
        tracing::error!(cut, "requests cut off by the stop");
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
            queue: AgentQueue::new(settings.policy, backend.capacity, backend.max_queued),
            last_report: (Millis(0), Report::default()),
            service: run_call::client(),
            service_time: 0.0,
            settings,
            turn: 0,
        }
    }

    /// Whether the backend server can run requests. A plain service always counts as
    /// usable here: the entries judge it by the calls that fail.
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
                tracing::info!(entry = hello.instance, "link opened");
                let _ = sender.try_send(FromAgent::Report(self.report()));
                let slots = HashMap::new();
                self.links.insert(link, LinkState { sender, slots });
            }
        }
    }

    /// Acts on a message of an entry.
    fn on_message(&mut self, link: LinkKey, message: ToAgent) {
        // Checked before each message too, because until the next tick a stopping agent
        // would accept new requests.
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
            ToAgent::Start(start) => self.on_start(link, start),
        }
    }

    /// Answers a query of the admin duty.
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

    /// Abandons the jobs of a closed link.
    fn on_down(&mut self, link: LinkKey, reason: &'static str) {
        tracing::info!(reason, "link closed");
        let Some(state) = self.links.remove(&link) else {
            return;
        };
        for key in state.slots.into_values() {
            self.abandon(key);
        }
    }

    /// Drains the agent if the program stops, ends jobs that can't meet their deadlines, and
    /// sends a report if one is due.
    fn on_tick(&mut self) {
        let now = self.context.clock.now();
        if self.context.phase() >= Phase::Draining {
            self.drain(now);
        }
        self.shed(now);
        self.expire(now);
        self.report_if_due(now);
    }

    /// Drains the agent: reports the drain to all entries, refuses further requests, and
    /// confirms the drain when no request is left, but not before a delay.
    ///
    /// Without the delay, an idle agent would stop while requests are on the way that
    /// entries sent before they got the report. Their links would break, and calls that
    /// never ran would be reported as `may_have_run`.
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
        let delay_passed = now.since(began) >= self.settings.common.drain.close_delay;
        if delay_passed && self.queue.is_idle() {
            self.context.mark_drained();
        }
    }

    /// Sends a report if the last one is old enough, and the report has changed or the
    /// maximum interval has passed.
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

    /// Sends a report to all entries.
    fn report_now(&mut self, now: Millis) {
        let report = self.report();
        for state in self.links.values() {
            let _ = state.sender.try_send(FromAgent::Report(report.clone()));
        }
        self.last_report = (now, report);
    }

    /// The agent's current load and state.
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

    /// Cancels a request that has not started, and sends the outcome to the entry.
    fn revoke(&mut self, link: LinkKey, slot: Slot, request: RequestId, attempt: u8) {
        if let Some(item) = self.queue.revoke(request, attempt) {
            let detail = "the request was revoked before it started";
            self.refuse(item.key, Failure::not_run(Cause::Cancelled, detail));
            return;
        }
        // A running request needs no answer here: its own end is the answer. An unknown
        // one has never arrived, and the queue now keeps a tombstone that refuses a copy
        // that arrives later, so `NotRun` stays true.
        if self.job(link, slot).is_none() && self.ledger.account(request).is_none() {
            let failure = Failure::not_run(Cause::Cancelled, "the request never arrived");
            self.send_to(link, FromAgent::Failed { slot, failure });
        }
    }

    /// The job of a stream.
    pub(super) fn job(&mut self, link: LinkKey, slot: Slot) -> Option<&mut Job> {
        let key = *self.links.get(&link)?.slots.get(&slot)?;
        self.jobs.get_mut(key)
    }

    /// Queues a message on a link; dropped if the link is gone or its queue is full.
    pub(super) fn send_to(&self, link: LinkKey, message: FromAgent) {
        if let Some(state) = self.links.get(&link) {
            let _ = state.sender.try_send(message);
        }
    }
}
