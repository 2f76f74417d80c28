//! The duty that owns the links to agents and all calls in progress.

use super::{
    call::{AttemptKey, Call, CallKey, OpenAttempt},
    command::{Command, Reply},
    directory::Directory,
    request_ids::RequestIds,
    server::{Server, ServerKey},
    view::{ServerView, View}, //
};
use crate::{
    base::{Failure, Millis, RequestId},
    duty::{self, Context, Duty, DutyError, Phase, SupervisorMessage},
    policy::{
        admission::Admission,
        ledger::Ledger,
        retry_budget::RetryBudget, //
    },
    settings::EntrySettings,
    wire::{EngineState, FromAgent, Hello, LinkEvent, Report, Slot, ToAgent}, //
};
use ractor::ActorRef;
use slotmap::{
    Key,
    KeyData,
    SlotMap, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval}, //
};

/// An event on the link to an agent.
pub(super) type TrafficEvent = LinkEvent<ServerKey, FromAgent, ToAgent>;

/// An order to an engine whose outcome is not known yet.
pub(super) struct PendingOrder {
    pub(super) reply: oneshot::Sender<Result<EngineState, Failure>>,
    pub(super) server: ServerKey,
}

/// The state of the traffic duty.
pub(super) struct Traffic {
    pub(super) admission: Admission,
    pub(super) attempts: SlotMap<AttemptKey, OpenAttempt>,
    /// By team and pool.
    pub(super) retry_budgets: HashMap<(String, String), RetryBudget>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) context: Context,
    pub(super) hello: Hello,
    pub(super) call_keys: HashMap<RequestId, CallKey>,
    /// Receives the events of all links; cloned into the task of each link.
    pub(super) inbox: mpsc::Sender<TrafficEvent>,
    pub(super) request_ids: RequestIds,
    pub(super) ledger: Ledger,
    pub(super) orders: HashMap<Slot, PendingOrder>,
    /// Queries to agents for a request's account.
    pub(super) queries: HashMap<Slot, super::explain::PendingQuery>,
    pub(super) servers: SlotMap<ServerKey, Server>,
    pub(super) settings: EntrySettings,
    /// Increases with every call that is routed, and with every slot for a query or an
    /// order.
    pub(super) sequence: u64,
    view: watch::Sender<Arc<View>>,
    /// When the last view was sent.
    view_sent: Millis,
}

/// How often deadlines are checked.
const TICK_INTERVAL: Millis = Millis(25);

/// How often the rollout duty gets a new view.
const VIEW_INTERVAL: Millis = Millis(100);

/// The most link events that may wait; while the queue is full, links are not read.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// The number of requests whose accounts are kept, for operators to look up.
const MAX_ACCOUNTS: usize = 20_000;

/// What the traffic duty starts with.
pub(super) struct TrafficInputs {
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) hello: Hello,
    pub(super) request_ids: RequestIds,
    pub(super) settings: EntrySettings,
    pub(super) view: watch::Sender<Arc<View>>,
}

impl TrafficInputs {
    /// Starts the duty.
    pub(super) fn spawn(self, supervisor: &ActorRef<SupervisorMessage>) -> Result<Duty, DutyError> {
        duty::spawn("traffic", supervisor, move |context| run(context, self))
    }
}

/// Runs the duty until the program stops.
async fn run(context: Context, inputs: TrafficInputs) {
    let TrafficInputs {
        mut commands,
        mut directory,
        hello,
        request_ids,
        settings,
        view,
    } = inputs;
    let (inbox, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut traffic = Traffic::new(context.clone(), settings, hello, request_ids, inbox, view);
    let mut tick = interval(TICK_INTERVAL.as_duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    directory.mark_changed();

    loop {
        tokio::select! {
            Some(event) = events.recv() => traffic.on_event(event),
            Some(command) = commands.recv() => traffic.on_command(command),
            Ok(()) = directory.changed() => {
                let directory = directory.borrow_and_update().clone();
                traffic.on_directory(&directory);
            }
            _ = tick.tick() => traffic.on_tick(),
            () = context.reached(Phase::Stopped) => break,
        }
    }

    let cut = traffic.calls.len();
    if cut > 0 {
        tracing::error!(cut, "calls cut off by the stop");
        metrics::counter!("redwing_stop_cut_total").increment(cut as u64);
    }
}

impl Traffic {
    fn new(
        context: Context,
        settings: EntrySettings,
        hello: Hello,
        request_ids: RequestIds,
        inbox: mpsc::Sender<TrafficEvent>,
        view: watch::Sender<Arc<View>>,
    ) -> Self {
        Self {
            admission: Admission::default(),
            attempts: SlotMap::with_key(),
            retry_budgets: HashMap::new(),
            calls: SlotMap::with_key(),
            context,
            hello,
            call_keys: HashMap::new(),
            inbox,
            request_ids,
            ledger: Ledger::new(MAX_ACCOUNTS),
            orders: HashMap::new(),
            queries: HashMap::new(),
            servers: SlotMap::with_key(),
            settings,
            sequence: 0,
            view,
            view_sent: Millis(0),
        }
    }

    /// Executes a command of another duty.
    fn on_command(&mut self, command: Command) {
        match command {
            Command::Body {
                request,
                bytes,
                last,
            } => self.forward_body(request, bytes, last),
            Command::Credit { request, bytes } => {
                self.send_to_current(request, |slot| ToAgent::Credit { slot, bytes });
            }
            Command::Delivered(requests) => self.record_delivered(&requests),
            Command::Explain(request, reply) => self.explain(request, reply),
            Command::Order {
                order,
                reply,
                server,
            } => self.send_order(server, order, reply),
            Command::Start(new) => self.admit_call(*new),
            Command::View(reply) => {
                let _ = reply.send(self.view());
            }
        }
    }

    /// Applies an event of a link.
    fn on_event(&mut self, event: TrafficEvent) {
        match event {
            LinkEvent::Down { link, reason } => self.on_link_down(link, reason),
            LinkEvent::Message { link, message } => self.on_message(link, message),
            LinkEvent::Up { link, sender, .. } => {
                if let Some(server) = self.servers.get_mut(link) {
                    let name = &server.instance.name;
                    tracing::info!(server = name, "link to agent opened");
                    server.link = Some(sender);
                    server.report = Report::default();
                }
            }
        }
    }

    /// Applies a message from an agent.
    fn on_message(&mut self, server: ServerKey, message: FromAgent) {
        match message {
            FromAgent::Account { slot, account } => self.on_account(slot, account),
            FromAgent::Ordered { slot, result } => {
                if let Some(order) = self.orders.remove(&slot) {
                    let _ = order.reply.send(result);
                }
            }
            FromAgent::Report(report) => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.record_report(self.context.clock.now(), report);
                }
            }
            message => {
                let Some(slot) = message.slot() else {
                    return;
                };
                // A late message has the slot of an attempt that has ended. The key is of an
                // old generation or belongs to another server, so no attempt matches.
                let key = AttemptKey::from(KeyData::from_ffi(slot.0));
                match self.attempts.get(key) {
                    Some(attempt) if attempt.server == server => {
                        self.on_call_message(key, attempt.call, message);
                    }
                    Some(_) | None => metrics::counter!("redwing_late_answers_total").increment(1),
                }
            }
        }
    }

    /// Checks deadlines and query timeouts, sends a new view, and reports when the calls
    /// have drained.
    fn on_tick(&mut self) {
        let now = self.context.clock.now();
        self.check_calls(now);
        self.expire_queries(now);
        if now.since(self.view_sent) >= VIEW_INTERVAL {
            self.view_sent = now;
            self.view.send_replace(Arc::new(self.view()));
            self.remove_unlisted();
        }
        if self.context.phase() >= Phase::Draining && self.calls.is_empty() {
            self.context.mark_drained();
        }
    }

    /// The fleet as this entry sees it now.
    fn view(&self) -> View {
        let servers = self.servers.iter().map(|(key, server)| ServerView {
            in_flight: server.in_flight,
            key,
            linked: server.link.is_some(),
            name: server.instance.name.clone(),
            out: server.health.is_open(),
            pool: server.instance.pool.clone().unwrap_or_default(),
            report: server.report.clone(),
        });
        View {
            calls: self.calls.len(),
            servers: servers.collect(),
        }
    }

    /// Sends an order to a server's agent; its outcome goes to `reply`.
    fn send_order(
        &mut self,
        server: ServerKey,
        order: crate::wire::Order,
        reply: oneshot::Sender<Result<EngineState, Failure>>,
    ) {
        let slot = self.next_slot();
        let sent = self.servers.get(server).is_some_and(|server| {
            let link = server.link.as_ref();
            link.is_some_and(|link| link.try_send(ToAgent::Order { slot, order }))
        });
        if sent {
            self.orders.insert(slot, PendingOrder { reply, server });
        } else {
            let detail = "no link to the server";
            let failure = Failure::not_run(crate::base::Cause::NoServer, detail);
            let _ = reply.send(Err(failure));
        }
    }

    /// A new slot for a query or an order. Queries and orders have tables of their own, so
    /// a slot that equals the slot of an attempt is not mistaken for it.
    pub(super) fn next_slot(&mut self) -> Slot {
        self.sequence += 1;
        Slot(u64::MAX - self.sequence)
    }

    /// Sends a message to the agent that has the request now, if any.
    pub(super) fn send_to_current(
        &self,
        request: RequestId,
        message: impl FnOnce(Slot) -> ToAgent,
    ) {
        let call = self
            .call_keys
            .get(&request)
            .and_then(|key| self.calls.get(*key));
        let Some(key) = call.and_then(|call| call.current) else {
            return;
        };
        let server = self.attempts.get(key).map(|attempt| attempt.server);
        let server = server.and_then(|server| self.servers.get(server));
        if let Some(link) = server.and_then(|server| server.link.as_ref()) {
            let _ = link.try_send(message(Slot(key.data().as_ffi())));
        }
    }

    /// Sends a reply to a call; false if the call or its caller is gone, or if too many
    /// replies wait.
    pub(super) fn reply_to(&self, call: CallKey, reply: Reply) -> bool {
        self.calls.get(call).is_some_and(|call| call.reply(reply))
    }
}
