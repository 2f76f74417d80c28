//! Lets calls through to servers with room, and makes the others wait for their turn.

use super::{
    Call,
    Dispatcher,
    dispatcher::{STOPPING_REASON, State},
    permit::Permit,
    server_view::{View, choose_view, supply}, //
};
use crate::{
    base::{Millis, stable_hash},
    duty::RETRY_AFTER_STOPPING,
    policy::{
        call_queue::{
            Admission,
            CallQueue,
            REASON_LOST,
            Urgency,
            WaitingCall,
            may_connect, //
        },
        server_limit::{Room, ServerLimit}, //
    },
    routing::{Server, ServerIncarnation},
    view::Conditions, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};
use tokio::{
    runtime::Handle,
    sync::oneshot, //
};

/// The calls of one service.
#[derive(Default)]
pub(super) struct Gate {
    /// The number of the last call.
    last_id: u64,
    /// The names of the workspaces with running or waiting calls, by their hashes.
    pub(super) names: HashMap<u64, String>,
    pub(super) queue: CallQueue,
    /// Whether a task looks at the queue regularly.
    watched: bool,
    waiters: HashMap<u64, Waiter>,
}

/// A call that waits for its turn.
struct Waiter {
    /// The servers at which it failed.
    avoid: Vec<ServerIncarnation>,
    sender: oneshot::Sender<Turn>,
}

/// How a call's wait ends.
enum Turn {
    Granted(Permit),
    Refused(Refusal),
}

/// Why a call is not sent, and what this was decided from.
#[derive(Debug)]
pub(super) struct Refusal {
    /// The calls ahead of it.
    ahead: u32,
    /// The expected time until its turn.
    expected: Millis,
    pub(super) reason: &'static str,
    /// The servers that are expected to answer.
    servers: u32,
    /// After what time the caller may return.
    pub(super) wait: Millis,
    /// How long the call has waited.
    waited: Millis,
}

/// The calls that are granted a server but not yet sent, by server. They will use the idle
/// connections that are still in the pool.
pub(super) type Unsent = HashMap<ServerIncarnation, u32>;

/// The longest time between two looks at a queue with waiting calls. It bounds the delay with
/// which a server that appears or leaves, or a connection that becomes idle, is noticed.
const MAX_LOOK_INTERVAL: Millis = Millis(20);

/// The shortest such time; it bounds the processor time of the looks.
const MIN_LOOK_INTERVAL: Millis = Millis(2);

/// How long before its deadline a waiting call is refused at the latest. After the deadline it
/// would be answered as one that may have run.
const REFUSAL_MARGIN: Millis = Millis(5);

/// The number of limits above which those of servers that were sent no call lately are
/// dropped.
const LIMITS_CLEANUP_THRESHOLD: usize = 4_096;

/// How long a server is sent no call until its limit may be dropped.
const MAX_LIMIT_IDLE: Millis = Millis(60_000);

/// The time between two checks whether a hedged attempt is due while other calls wait.
const HEDGE_CHECK_INTERVAL: Millis = Millis(50);

/// The priority of calls without one; servers take the same.
const DEFAULT_PRIORITY: u32 = 5;

/// The reason for refusing a waiting call whose time is over.
const REASON_EXPIRED: &str = "waited-too-long";

impl Dispatcher {
    /// Whether calls are counted by server and workspace.
    fn counts_calls(&self) -> bool {
        self.load.features.queue || self.load.features.conditions
    }

    /// The call that [`Dispatcher::wait_turn`] takes, as of now.
    pub(super) fn waiting_call(&self, call: &Call, service: &str) -> WaitingCall {
        let now = self.site.now();
        let target = call.route.target_latency;
        let name = workspace_name(call);
        let workspace = stable_hash(&[name.as_bytes()]);
        let mut state = self.state();
        let gate = state.gate(service);
        gate.last_id += 1;
        let returned = gate.queue.is_return(call.deadline.since(now));
        WaitingCall {
            admitted: false,
            deadline: call.deadline,
            id: gate.last_id,
            priority: call.priority().unwrap_or(DEFAULT_PRIORITY),
            queued_at: now,
            returned,
            servers: 0,
            spread: stable_hash(&[call.id.as_bytes()]),
            target: target.map_or(call.deadline, |target| call.deadline.min(now + target)),
            urgency: call.urgency,
            workspace,
        }
    }

    /// Waits until a server may get `call`. A call that was admitted before keeps its `place`
    /// and is refused only if no server can serve it. Servers in `avoid` are used only if no
    /// other is expected to answer.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the call would be answered too late; nothing was sent.
    pub(super) async fn wait_turn(
        &self,
        call: &Call,
        service: &str,
        place: &mut WaitingCall,
        avoid: &[ServerIncarnation],
    ) -> Result<Permit, Refusal> {
        let servers = self.serving(service);
        // Calls that wait go first, for instance where a pause has just ended.
        self.look_at(service, &servers);
        let begun = self.site.now();
        let receiver = {
            let mut state = self.state();
            let now = self.site.now();
            let views = self.views(&mut state, service, &servers, now);
            if let Some(index) = self.pick(&mut state, service, &views, place, avoid, now) {
                let server = &views[index].server;
                // If the server refuses it, it returns to this place.
                place.admitted = true;
                return Ok(self.grant(&mut state, service, server, call, place, now));
            }
            let typical = state.typical_latency(service);
            let supply = supply(&views, place.urgency, typical, now);
            let gate = state.gate(service);
            let name = workspace_name(call).to_owned();
            gate.names.insert(place.workspace, name);
            let elsewhere = gate.elsewhere(self.conditions(), service, now);
            let elsewhere = |workspace| elsewhere.get(&workspace).copied().unwrap_or(0);
            match gate.queue.decide(place, supply, &elsewhere, now) {
                Admission::Refuse {
                    ahead,
                    expected,
                    reason,
                    retry_after: wait,
                } => {
                    return Err(Refusal {
                        ahead,
                        expected,
                        reason,
                        servers: supply.servers,
                        wait,
                        waited: Millis(0),
                    });
                }
                Admission::Wait { ahead, expected } => {
                    let (call, expected) = (&call.id, expected.0);
                    tracing::info!(call, service, ahead, expected, "call queued");
                }
            }
            place.servers = supply.servers;
            place.admitted = true;
            gate.queue.push(*place, now);
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter {
                avoid: avoid.to_vec(),
                sender,
            };
            gate.waiters.insert(place.id, waiter);
            gate.show_waiting(service);
            self.watch(service, gate);
            receiver
        };
        self.share_demand(service);
        let guard = WaitGuard {
            dispatcher: self,
            id: place.id,
            service,
        };
        let left = (call.deadline - REFUSAL_MARGIN).since(self.site.now());
        let refused = |reason, wait, waited| Refusal {
            ahead: 0,
            expected: Millis(0),
            reason,
            servers: place.servers,
            wait,
            waited,
        };
        let turn = tokio::select! {
            biased;
            turn = tokio::time::timeout(left.as_duration(), receiver) => Some(turn),
            () = self.shutdown.refuses(call.deadline) => None,
        };
        drop(guard);
        let waited = self.site.now().since(begun);
        metrics::histogram!("redwing_queue_seconds", "service" => service.to_owned())
            .record(waited.0 as f64 / 1e3);
        match turn {
            Some(Ok(Ok(Turn::Granted(permit)))) => {
                let (id, waited) = (&call.id, waited.0);
                let server = &permit.server.incarnation.id;
                tracing::info!(call = id, service, server, waited, "call dequeued");
                Ok(permit)
            }
            Some(Ok(Ok(Turn::Refused(refusal)))) => Err(Refusal { waited, ..refusal }),
            Some(Ok(Err(_)) | Err(_)) => {
                let wait = self.retry_after(service, place);
                Err(refused(REASON_EXPIRED, wait, waited))
            }
            None => Err(refused(STOPPING_REASON, RETRY_AFTER_STOPPING, waited)),
        }
    }

    /// Waits until a hedged attempt of `call` is due after `delay`, can be paid for and has a
    /// server; `None` if there is none. `tried` are the servers of its attempts. While other
    /// calls wait, a second attempt is made only if the first is at a silent server.
    pub(super) async fn hedge_turn(
        &self,
        call: &Call,
        service: &str,
        mut place: WaitingCall,
        tried: Vec<ServerIncarnation>,
        delay: Millis,
    ) -> Option<Permit> {
        tokio::time::sleep(delay.as_duration()).await;
        while !self.may_hedge(service, &tried) {
            tokio::time::sleep(HEDGE_CHECK_INTERVAL.as_duration()).await;
        }
        if !self.state().budget.spend() {
            return None;
        }
        let turn = self.wait_turn(call, service, &mut place, &tried).await;
        turn.ok()
    }

    /// Whether no call of `service` waits, or the last server in `tried` is silent.
    fn may_hedge(&self, service: &str, tried: &[ServerIncarnation]) -> bool {
        let mut state = self.state();
        if state.gate(service).queue.waiting() == 0 {
            return true;
        }
        let now = self.site.now();
        let typical = state.typical_latency(service);
        let limit = tried.last().and_then(|server| state.limits.get(server));
        limit.is_some_and(|limit| limit.is_silent(typical, now))
    }

    /// Counts a call or stream that is sent to `server` without waiting for a turn; `None` if
    /// calls are not counted.
    pub(super) fn count_sent(
        &self,
        call: &Call,
        server: &Arc<Server>,
        is_stream: bool,
    ) -> Option<Permit> {
        if !self.counts_calls() {
            return None;
        }
        let now = self.site.now();
        let name = workspace_name(call);
        let workspace = stable_hash(&[name.as_bytes()]);
        let mut state = self.state();
        let callers = self.callers(&server.service, now);
        let limit = state.limit(server, callers);
        match is_stream {
            true => limit.begin_stream(),
            false => limit.begin(now),
        }
        let gate = state.gate(&server.service);
        gate.names.insert(workspace, name.to_owned());
        gate.queue.begin(workspace, call.urgency);
        drop(state);
        self.share_demand(&server.service);
        Some(Permit {
            dispatcher: self.weak_self.clone(),
            is_stream,
            server: server.clone(),
            unsent: false,
            urgency: call.urgency,
            workspace,
        })
    }

    /// After what time the caller of a call that servers refused may return.
    pub(super) fn retry_after(&self, service: &str, place: &WaitingCall) -> Millis {
        let servers = self.serving(service);
        let mut state = self.state();
        let now = self.site.now();
        let views = self.views(&mut state, service, &servers, now);
        let typical = state.typical_latency(service);
        let supply = supply(&views, place.urgency, typical, now);
        let queue = &mut state.gate(service).queue;
        queue.retry_after(place, supply, &|_| 0, now)
    }

    /// Looks at the queue of `service`: sends the calls whose turn it is, and refuses those
    /// that can't be served any more. Returns the time until the next look, or `None` if no
    /// call waits.
    pub(super) fn look(&self, service: &str) -> Option<Millis> {
        let servers = self.serving(service);
        self.look_at(service, &servers)
    }

    fn look_at(&self, service: &str, servers: &[Arc<Server>]) -> Option<Millis> {
        let mut turns = Vec::new();
        let next = {
            let mut state = self.state();
            let now = self.site.now();
            match state.gates.get(service) {
                Some(gate) if gate.queue.waiting() > 0 => {}
                _ => return None,
            }
            self.refuse_hopeless(&mut state, service, servers, now, &mut turns);
            self.grant_turns(&mut state, service, servers, now, &mut turns);
            let views = self.views(&mut state, service, servers, now);
            let opens_at = views
                .iter()
                .filter_map(|view| match view.room(Urgency::Interactive, now) {
                    Room::Paused { until } => Some(until.since(now)),
                    _ => None,
                })
                .min();
            let next = opens_at.unwrap_or(MAX_LOOK_INTERVAL);
            let gate = state.gate(service);
            gate.show_waiting(service);
            (gate.queue.waiting() > 0).then(|| next.clamp(MIN_LOOK_INTERVAL, MAX_LOOK_INTERVAL))
        };
        if !turns.is_empty() {
            self.share_demand(service);
        }
        for (sender, turn) in turns {
            // A permit whose call was dropped is released when the turn is.
            let _ = sender.send(turn);
        }
        next
    }

    /// Removes the waiting calls that can't be served any more.
    fn refuse_hopeless(
        &self,
        state: &mut State,
        service: &str,
        servers: &[Arc<Server>],
        now: Millis,
        turns: &mut Vec<(oneshot::Sender<Turn>, Turn)>,
    ) {
        let views = self.views(state, service, servers, now);
        let typical = state.typical_latency(service);
        let supply = supply(&views, Urgency::Interactive, typical, now);
        let gate = state.gate(service);
        for call in gate.queue.take_hopeless(supply, &|_| 0, now) {
            let (servers, waited) = (supply.servers, now.since(call.queued_at));
            let wait = gate.queue.retry_after(&call, supply, &|_| 0, now);
            let reason = match supply.servers < call.servers {
                true => REASON_LOST,
                false => REASON_EXPIRED,
            };
            if let Some(waiter) = gate.waiters.remove(&call.id) {
                let refusal = Refusal {
                    ahead: 0,
                    expected: Millis(0),
                    reason,
                    servers,
                    wait,
                    waited,
                };
                turns.push((waiter.sender, Turn::Refused(refusal)));
            }
        }
    }

    /// Removes the waiting calls whose turn it is, and counts them at their servers.
    fn grant_turns(
        &self,
        state: &mut State,
        service: &str,
        servers: &[Arc<Server>],
        now: Millis,
        turns: &mut Vec<(oneshot::Sender<Turn>, Turn)>,
    ) {
        loop {
            let views = self.views(state, service, servers, now);
            let is_free = |view: &View| view.room(Urgency::Interactive, now) == Room::Free;
            if !views.iter().any(is_free) {
                return;
            }
            let elsewhere = state
                .gate(service)
                .elsewhere(self.conditions(), service, now);
            let elsewhere = |workspace| elsewhere.get(&workspace).copied().unwrap_or(0);
            let typical = state.typical_latency(service);
            let State { gates, unsent, .. } = &mut *state;
            let Some(gate) = gates.get_mut(service) else {
                return;
            };
            let running = gate.queue.running();
            let waiters = &gate.waiters;
            let uneven = self.load.features.uneven;
            let mut picked = None;
            let fits = |call: &WaitingCall| {
                let avoid = waiters.get(&call.id).map(|waiter| waiter.avoid.as_slice());
                let connect = may_connect(call, running, typical, now);
                let avoid = avoid.unwrap_or_default();
                picked = choose_view(&views, unsent, call, avoid, connect, uneven, now);
                picked.is_some()
            };
            let call = gate.queue.pop(&elsewhere, fits, now);
            let (Some(call), Some(index)) = (call, picked) else {
                return;
            };
            let Some(waiter) = gate.waiters.remove(&call.id) else {
                continue;
            };
            let server = &views[index].server;
            let permit = self.begin(state, service, server, &call, now);
            turns.push((waiter.sender, Turn::Granted(permit)));
        }
    }

    /// Chooses the server for a call that may be sent now.
    fn pick(
        &self,
        state: &mut State,
        service: &str,
        views: &[View],
        place: &WaitingCall,
        avoid: &[ServerIncarnation],
        now: Millis,
    ) -> Option<usize> {
        let typical = state.typical_latency(service);
        let gate = state.gate(service);
        if !gate.queue.allows(place.urgency) {
            return None;
        }
        let connect = may_connect(place, gate.queue.running(), typical, now);
        let uneven = self.load.features.uneven;
        choose_view(views, &state.unsent, place, avoid, connect, uneven, now)
    }

    /// Counts `call` at `server`, where it is about to be sent.
    fn grant(
        &self,
        state: &mut State,
        service: &str,
        server: &Arc<Server>,
        call: &Call,
        place: &WaitingCall,
        now: Millis,
    ) -> Permit {
        let name = workspace_name(call).to_owned();
        state.gate(service).names.insert(place.workspace, name);
        self.begin(state, service, server, place, now)
    }

    /// Starts a task that looks at the queue of `service` until no call waits.
    fn watch(&self, service: &str, gate: &mut Gate) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if std::mem::replace(&mut gate.watched, true) {
            return;
        }
        let (dispatcher, service) = (self.weak_self.clone(), service.to_owned());
        runtime.spawn(async move {
            let mut interval = MIN_LOOK_INTERVAL;
            loop {
                tokio::time::sleep(interval.as_duration()).await;
                let Some(dispatcher) = dispatcher.upgrade() else {
                    return;
                };
                if let Some(next) = dispatcher.look(&service) {
                    interval = next;
                    continue;
                }
                // Checked and cleared under one lock: a call that comes now starts a new task.
                let mut state = dispatcher.state();
                let gate = state.gate(&service);
                if gate.queue.waiting() == 0 {
                    gate.watched = false;
                    return;
                }
            }
        });
    }

    /// The servers of `service` that accept calls, by id.
    pub(super) fn serving(&self, service: &str) -> Vec<Arc<Server>> {
        let mut servers: Vec<Arc<Server>> =
            self.site.directory().serving(service).cloned().collect();
        servers.sort_by(|a, b| a.incarnation.id.cmp(&b.incarnation.id));
        servers
    }
}

impl State {
    /// The calls of `service`.
    pub(super) fn gate(&mut self, service: &str) -> &mut Gate {
        self.gates.entry(service.to_owned()).or_default()
    }

    /// The limit of `server`, which `callers` processes call.
    pub(super) fn limit(&mut self, server: &Server, callers: u32) -> &mut ServerLimit {
        let limit = self
            .limits
            .entry(server.incarnation.clone())
            .or_insert_with(|| ServerLimit::new(server.slots, callers));
        limit.update_callers(callers);
        limit
    }

    /// Drops the limits of servers that were sent no call lately, once there are many.
    pub(super) fn clean_limits(&mut self, now: Millis) {
        if self.limits.len() <= LIMITS_CLEANUP_THRESHOLD {
            return;
        }
        let unused = |limit: &ServerLimit| {
            let idle = |at| now.since(at) > MAX_LIMIT_IDLE;
            limit.in_flight() == 0 && limit.last_sent().is_none_or(idle)
        };
        self.limits.retain(|_, limit| !unused(limit));
    }

    /// Stops counting a call that is granted `server` but not sent.
    pub(super) fn end_unsent(&mut self, server: &ServerIncarnation) {
        if let Some(count) = self.unsent.get_mut(server) {
            *count -= 1;
            if *count == 0 {
                self.unsent.remove(server);
            }
        }
    }
}

impl Gate {
    /// Updates the metric of waiting calls.
    fn show_waiting(&self, service: &str) {
        let waiting = f64::from(self.queue.waiting());
        metrics::gauge!("redwing_calls_waiting", "service" => service.to_owned()).set(waiting);
    }

    /// The running calls of each known workspace at other instances.
    fn elsewhere(
        &self,
        conditions: Option<&Conditions>,
        service: &str,
        now: Millis,
    ) -> HashMap<u64, u32> {
        let Some(conditions) = conditions else {
            return HashMap::new();
        };
        let names = self.names.iter();
        names
            .map(|(hash, name)| (*hash, conditions.running_elsewhere(service, name, now)))
            .collect()
    }
}

impl Refusal {
    /// Counts and logs the refusal of `call`.
    pub(super) fn record(&self, call: &Call, service: &str) {
        let reason = self.reason;
        let label = service.to_owned();
        metrics::counter!("redwing_calls_refused_total", "service" => label, "reason" => reason)
            .increment(1);
        let message = match self.waited {
            Millis(0) => "call refused at arrival",
            _ => "waiting call refused",
        };
        tracing::info!(
            call = call.id,
            service,
            reason,
            ahead = self.ahead,
            expected = self.expected.0,
            servers = self.servers,
            waited = self.waited.0,
            wait = self.wait.0,
            message
        );
    }
}

/// Removes a call from the queue when its wait ends, also if its caller has left.
struct WaitGuard<'a> {
    dispatcher: &'a Dispatcher,
    id: u64,
    service: &'a str,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state();
        let gate = state.gate(self.service);
        if gate.waiters.remove(&self.id).is_some() {
            gate.queue.remove(self.id);
            gate.show_waiting(self.service);
        }
    }
}

/// The name of the call's workspace; calls without a workspace count as one.
fn workspace_name(call: &Call) -> &str {
    let workspace = call.workspace.as_ref();
    workspace.map_or("", |workspace| workspace.name.as_str())
}
