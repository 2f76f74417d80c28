//! Entry point for calls: chooses a server for each attempt, sends the request and records
//! the outcome for later choices.

use super::{
    Call,
    CallOutcome,
    StreamAttempt,
    StreamOutcome,
    attempt::{
        AttemptOutcome, FULL_REASON, NO_CONNECTION_REASON, SILENCE_REASON, WITHDRAWN_REASON,
        failure_reason,
    },
    call_run::CallRun,
    crash_check::{QUARANTINE_REASON, RETRY_AFTER_QUARANTINE},
    gate::{Gate, Unsent},
    permit::Permit,
    server_records::ServerRecords, //
};
use crate::{
    base::{Clock, Millis, stable_hash},
    duty::{RETRY_AFTER_STOPPING, Shutdown},
    net::{AnswerBudget, CallError, Exchange, FullResponse, Matching, Peer},
    platform::{self, check_answer, is_refusal},
    policy::{
        connection_limit::max_open,
        freshness::RETRY_AFTER_STALE_CONFIG,
        load_features::LoadFeatures,
        retry_budget::RetryBudget,
        server_choice::{Candidate, choose, choose_uneven},
        server_limit::ServerLimit,
        typical::TypicalLatency, //
    },
    routing::{RouteKind, Server, ServerIncarnation},
    usage::Counter,
    view::{Conditions, Crashes, Site}, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak}, //
};

/// Sends calls to backend servers and records how the servers perform. Shared by all calls
/// of a process.
pub struct Dispatcher {
    /// The data centre of this process.
    pub(super) data_centre: String,
    pub(crate) crashes: Arc<Crashes>,
    pub(super) load: LoadControl,
    pub(super) shutdown: Arc<Shutdown>,
    /// This dispatcher itself, for crash checks that outlive their call.
    pub(super) weak_self: Weak<Self>,
    pub(super) site: Arc<Site>,
    state: Mutex<State>,
    /// Counts each workspace's attempts that may have run; `None` where usage is not counted.
    usage: Option<Arc<Counter>>,
}

/// The behaviour under load, and what other instances tell of theirs.
#[derive(Clone)]
pub struct LoadControl {
    /// The memory for the servers' answers.
    pub answers: Arc<AnswerBudget>,
    pub conditions: Arc<Conditions>,
    pub features: LoadFeatures,
}

/// What this process has observed of servers and services, and the servers' HTTP clients.
pub(super) struct State {
    pub(super) servers: ServerRecords,
    /// The retry budget that hedged attempts are paid from.
    pub(super) budget: RetryBudget,
    /// The calls of each service that run or wait, while they are counted.
    pub(super) gates: HashMap<String, Gate>,
    pub(super) limits: HashMap<ServerIncarnation, ServerLimit>,
    pub(super) peers: HashMap<SocketAddr, Peer>,
    /// The incarnation that each limited peer was opened for.
    pub(super) peer_incarnations: HashMap<SocketAddr, ServerIncarnation>,
    pub(super) unsent: Unsent,
    /// Each service's typical latency.
    typical_latency: HashMap<String, TypicalLatency>,
}

impl State {
    /// The HTTP client of `server`, unless it was opened for an earlier incarnation: its
    /// connections may all be dead and hold every place.
    pub(super) fn current_peer(&self, server: &Server) -> Option<&Peer> {
        let opened_for = self.peer_incarnations.get(&server.address);
        let is_current = opened_for.is_none_or(|known| *known == server.incarnation);
        self.peers.get(&server.address).filter(|_| is_current)
    }

    pub(super) fn typical_latency(&self, service: &str) -> f64 {
        let known = self.typical_latency.get(service).copied();
        known.unwrap_or_default().value()
    }
}

/// An attempt's server, and when the request was sent.
pub(super) struct SentAttempt {
    /// Counts the attempt at the server; `None` if attempts are not counted.
    pub(super) permit: Option<Permit>,
    pub(super) sent_at: Millis,
    pub(super) server: Arc<Server>,
}

/// How many attempts of a call may fail without running before it is given up, as all
/// servers are probably full; a stream is given up after one more. Such attempts don't count
/// towards the route's limit.
pub(super) const MAX_ATTEMPTS_NOT_RUN: u32 = 3;

/// How much one success adds to the retry budget that hedged attempts are paid from.
/// Retries after a failure are limited by the route instead.
const HEDGES_PER_SUCCESS: f64 = 0.3;

/// How much longer than its call an attempt may last. The call's deadline then passes
/// first, so that a server that was given too little time is not recorded as failed.
const ATTEMPT_GRACE: Millis = Millis(250);

/// The target latency of a route that has none, as a multiple of the typical latency of its
/// service.
const TARGET_FACTOR: f64 = 4.0;

/// The reason for refusing a call whose key may have been revoked.
pub(super) const STALE_REASON: &str = "configuration-not-confirmed";

/// The reason for refusing a call that may not end before the process does.
pub(super) const STOPPING_REASON: &str = "stopping";

/// The retry delay for a call that all servers refused: about the duration of one call,
/// after which a slot is likely to be free.
pub(super) const RETRY_AFTER_FULL: Millis = Millis(60);

/// The retry delay for a call whose service has no known server: servers announce
/// themselves within a second or two.
pub(super) const RETRY_AFTER_NO_SERVER: Millis = Millis(300);

impl Dispatcher {
    /// A dispatcher for a process in `data_centre`.
    pub fn new(
        site: Arc<Site>,
        crashes: Arc<Crashes>,
        data_centre: &str,
        usage: Option<Arc<Counter>>,
        load: LoadControl,
        shutdown: Arc<Shutdown>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            crashes,
            load,
            shutdown,
            data_centre: data_centre.to_owned(),
            weak_self: weak_self.clone(),
            site,
            state: Mutex::new(State {
                servers: ServerRecords::default(),
                budget: RetryBudget::new(HEDGES_PER_SUCCESS),
                gates: HashMap::new(),
                limits: HashMap::new(),
                peers: HashMap::new(),
                peer_incarnations: HashMap::new(),
                unsent: Unsent::new(),
                typical_latency: HashMap::new(),
            }),
            usage,
        })
    }

    /// Runs `call` until it is answered, fails or reaches its deadline. Dropping the future
    /// closes the connections of its attempts, which tells their servers to stop.
    pub async fn run(&self, call: &Call) -> CallOutcome {
        let now = self.site.now();
        if call.deadline <= now {
            return CallOutcome::TimedOut;
        }
        let left = call.deadline - now;
        let run = CallRun::new(self, call);
        match tokio::time::timeout(left.as_duration(), run.run()).await {
            Ok(outcome) => outcome,
            Err(_) => CallOutcome::TimedOut,
        }
    }

    /// Runs `call` until a server begins to answer. The call goes to another server only if
    /// the request did not run at the one before.
    pub async fn open_stream(self: &Arc<Self>, call: &Call) -> StreamOutcome {
        let mut tried = Vec::new();
        let mut reason = "no-server";
        let trial = self.claim_trial(call).await;
        for _ in 0..=MAX_ATTEMPTS_NOT_RUN {
            // The caller reopens its stream each time a server crashes, so a request that
            // crashes servers has to be stopped here.
            if self.is_barred(call, trial.is_some() && tried.is_empty()) {
                return StreamOutcome::NotRun {
                    reason: QUARANTINE_REASON.to_owned(),
                    wait: RETRY_AFTER_QUARANTINE,
                };
            }
            if self.is_config_stale(call) {
                return StreamOutcome::NotRun {
                    reason: STALE_REASON.to_owned(),
                    wait: RETRY_AFTER_STALE_CONFIG,
                };
            }
            if !self.shutdown.admits(call.deadline) {
                return StreamOutcome::NotRun {
                    reason: STOPPING_REASON.to_owned(),
                    wait: RETRY_AFTER_STOPPING,
                };
            }
            let Some(server) = self.choose_server(call, &tried) else {
                break;
            };
            tried.push(server.incarnation.clone());
            let sent_at = self.site.now();
            let left = call.deadline.since(sent_at);
            let peer = self.server_peer(&server);
            let request = Self::request(call, &server, left);
            let sent = SentAttempt {
                permit: self.count_sent(call, &server, true),
                sent_at,
                server: server.clone(),
            };
            let attempt = StreamAttempt::open(self, call.fingerprint, sent);
            let may_send = || self.may_send(call, &server);
            let response = peer.open_stream(request, left, &may_send).await;
            let error = match response {
                Ok(response) if is_refusal(response.status, &response.headers) => {
                    attempt.record_reply();
                    reason = "server-full";
                    continue;
                }
                Ok(response) => {
                    self.count_usage(call, sent_at);
                    return StreamOutcome::Opened(Box::new(response), attempt);
                }
                Err(error) => error,
            };
            attempt.fail(&error).await;
            let (request, server) = (call.fingerprint, &server.incarnation.id);
            tracing::info!(call = call.id, %request, server, %error, "stream not opened");
            reason = failure_reason(&error);
            if error.verdict().may_have_run() {
                self.count_usage(call, sent_at);
                let reason = failure_reason(&error).to_owned();
                return StreamOutcome::Lost { reason };
            }
        }
        let wait = match tried.is_empty() {
            true => RETRY_AFTER_NO_SERVER,
            false => RETRY_AFTER_FULL,
        };
        let reason = reason.to_owned();
        StreamOutcome::NotRun { reason, wait }
    }

    /// Whether `call` carries a key and the configuration has not been confirmed recently
    /// enough to rely on the key still being valid. Checked before each attempt: the call may
    /// have waited, or this process may have been suspended, since the call arrived.
    pub(super) fn is_config_stale(&self, call: &Call) -> bool {
        call.workspace.is_some() && !self.site.is_config_fresh()
    }

    /// The earlier of `deadline` and the end of the work of a stopping process.
    pub fn clip_deadline(&self, deadline: Millis) -> Millis {
        self.shutdown.clip(deadline)
    }

    /// The clock of call deadlines.
    pub fn clock(&self) -> Clock {
        self.site.clock
    }

    /// Whether `call` may be sent to `server`, which was chosen for it, at this moment.
    fn may_send(&self, call: &Call, server: &Server) -> bool {
        self.is_in_service(server)
            && !self.is_config_stale(call)
            && self.shutdown.admits(call.deadline)
    }

    /// The HTTP request for an attempt of `call` at `server`, with `left` until the deadline.
    fn request(call: &Call, server: &Server, left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        match call.path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => tracing::warn!(path = call.path, %error, "invalid request path"),
        }
        *request.headers_mut() = call.headers.clone();
        platform::set_deadline(request.headers_mut(), left);
        platform::set_expected_server(request.headers_mut(), &server.incarnation.id);
        platform::set_priority(request.headers_mut(), call.priority());
        let workspace = call.workspace.as_ref();
        let workspace = workspace.map(|workspace| workspace.name.as_str());
        platform::set_workspace(request.headers_mut(), workspace);
        request
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses the server for the next attempt of `call`; `tried` are the servers of the
    /// earlier attempts.
    pub(super) fn choose_server(
        &self,
        call: &Call,
        tried: &[ServerIncarnation],
    ) -> Option<Arc<Server>> {
        let service = call.route.service_of(&call.id)?;
        let now = self.site.now();
        let servers = self.serving(service);
        let typical = self.typical_latency(service);
        let state = self.state();
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| {
                let tried = tried.contains(&server.incarnation);
                let peer = state.current_peer(server);
                Candidate {
                    connected: peer.is_some_and(Peer::is_connected),
                    ..state
                        .servers
                        .candidate(server, &self.data_centre, tried, typical, now)
                }
            })
            .collect();
        let spread = stable_hash(&[call.id.as_bytes()]);
        let uneven = self.load.features.uneven;
        let target = call.route.target_latency;
        let target = target.unwrap_or(Millis((TARGET_FACTOR * typical) as u64));
        let target = target.min(call.deadline.since(now));
        let chosen = match uneven {
            true => choose_uneven(&candidates, spread, target)?,
            false => choose(&candidates, spread)?,
        };
        let server = servers.get(chosen).cloned()?;
        let Candidate {
            in_flight,
            latency,
            observed,
            reported,
            trusted,
            ..
        } = candidates[chosen];
        let observed = uneven.then_some(tracing::field::debug(observed));
        let (id, latency, of) = (&server.incarnation.id, latency as u64, candidates.len());
        tracing::info!(
            call = call.id,
            request = %call.fingerprint,
            server = id,
            service,
            in_flight,
            latency,
            ?reported,
            observed,
            trusted,
            of,
            "server chosen"
        );
        Some(server)
    }

    /// The HTTP client of `address`, which all calls share.
    pub(super) fn peer(&self, address: SocketAddr) -> Peer {
        let mut state = self.state();
        let (clock, answers) = (self.site.clock, &self.load.answers);
        let peer = state.peers.entry(address);
        peer.or_insert_with(|| {
            let matching = Matching::Id(platform::ATTEMPT_ID);
            let peer = Peer::open_as("server", matching, address, clock);
            peer.checked(check_answer).for_callers(answers.clone())
        })
        .clone()
    }

    /// As [`Dispatcher::peer`], with the present limit on connections to `server` if these are
    /// limited. An incarnation of the server gets none of its predecessor's connections: those
    /// to a machine that lost power would hold all places until they time out.
    pub(super) fn server_peer(&self, server: &Server) -> Peer {
        if !self.load.features.connections {
            return self.peer(server.address);
        }
        let now = self.site.now();
        let callers = self.load.conditions.callers(&server.service, now);
        let config = self.site.config();
        let service = config.as_ref();
        let service = service.and_then(|config| config.service(&server.service));
        let accepted = service.and_then(|service| service.max_connections);
        {
            let mut state = self.state();
            let (address, incarnation) = (server.address, &server.incarnation);
            let before = state.peer_incarnations.get(&address);
            if before != Some(incarnation) {
                state.peer_incarnations.insert(address, incarnation.clone());
                state.peers.remove(&address);
            }
        }
        let peer = self.peer(server.address);
        peer.set_max_open(max_open(accepted, callers));
        peer
    }

    /// Sends `call` to the server of `sent`; returns `sent` with the response or the error.
    pub(super) async fn send(
        &self,
        call: &Call,
        mut sent: SentAttempt,
    ) -> (SentAttempt, Result<FullResponse, CallError>) {
        let left = call.deadline.since(self.site.now());
        let request = Self::request(call, &sent.server, left);
        {
            let mut state = self.state();
            state
                .servers
                .begin_call(&sent.server.incarnation, sent.sent_at);
            state
                .servers
                .add_pending(&sent.server.incarnation, call.fingerprint);
        }
        let timeout = left + ATTEMPT_GRACE;
        let peer = self.server_peer(&sent.server);
        if let Some(permit) = &mut sent.permit {
            permit.mark_sent();
        }
        let mut guard = InFlightGuard {
            call,
            dispatcher: self,
            completed: false,
            sent: &sent,
        };
        let exchange = Exchange {
            fresh_only: call.route.kind != RouteKind::Safe,
            may_send: &|| self.may_send(call, &sent.server),
            // A refusal's head says all that is used of it.
            needs_body: |status, headers| !is_refusal(status, headers),
            timeout,
        };
        let answer = peer.exchange(request, exchange).await;
        guard.completed = true;
        drop(guard);
        // Refusals report the load as well; without `uneven` they are not read.
        let refusal = answer.as_ref().ok().filter(|answer| {
            self.load.features.uneven && is_refusal(answer.status, &answer.headers)
        });
        if let Some(load) = refusal.and_then(|answer| platform::server_load(&answer.headers)) {
            let (server, now) = (&sent.server.incarnation, self.site.now());
            self.state().servers.record_load(server, now, load);
        }
        (sent, answer)
    }

    /// Counts an attempt that may have run towards the workspace's usage.
    pub(super) fn count_usage(&self, call: &Call, sent_at: Millis) {
        if let (Some(usage), Some(workspace)) = (&self.usage, &call.workspace) {
            usage.count_request(&workspace.name, sent_at);
        }
    }

    /// Records what an attempt's outcome shows about its server.
    pub(super) fn record_outcome(&self, call: &Call, sent: &SentAttempt, attempt: &AttemptOutcome) {
        if attempt.may_have_run() {
            self.count_usage(call, sent.sent_at);
        }
        let now = self.site.now();
        let taken = now.since(sent.sent_at).0 as f64;
        let server = &sent.server.incarnation;
        let mut state = self.state();
        let may_be_running =
            state
                .servers
                .record_outcome(server, call.fingerprint, sent.sent_at, attempt, now);
        self.record_at_limit(&mut state, sent, attempt, now);
        if may_be_running {
            self.check_later(&sent.server, call.fingerprint);
        }
        match attempt {
            AttemptOutcome::Answered(answer) => {
                if let Some(load) = platform::server_load(&answer.headers) {
                    state.servers.record_load(server, now, load);
                }
                if answer.status.is_server_error() {
                    state.servers.record_error(server, now);
                    return;
                }
                state.budget.record_success();
                let service = state.typical_latency.entry(sent.server.service.clone());
                let average = service.or_default();
                let typical = average.value();
                average.record(taken);
                state.servers.record_success(server, now, typical, taken);
            }
            AttemptOutcome::Failed {
                reason,
                server_fault,
                ..
            } => {
                let breaker_opened = *server_fault && state.servers.record_failure(server, now);
                drop(state);
                if breaker_opened {
                    let silent = matches!(*reason, SILENCE_REASON | NO_CONNECTION_REASON);
                    self.report_failures(server, silent, now);
                }
                let (request, call) = (call.fingerprint, &call.id);
                let (server, taken) = (&server.id, taken as u64);
                tracing::info!(call, %request, server, reason, taken, "attempt failed");
                if breaker_opened {
                    tracing::warn!(
                        server,
                        reason,
                        "circuit breaker opened after consecutive failures"
                    );
                }
            }
        }
    }

    /// Records what an attempt's outcome shows about the room at its server.
    fn record_at_limit(
        &self,
        state: &mut State,
        sent: &SentAttempt,
        attempt: &AttemptOutcome,
        now: Millis,
    ) {
        if sent.permit.is_none() {
            return;
        }
        let server = &sent.server;
        let typical = state.typical_latency(&server.service);
        let Some(limit) = state.limits.get_mut(&server.incarnation) else {
            return;
        };
        match attempt {
            AttemptOutcome::Answered(answer) => {
                let load = platform::server_load(&answer.headers);
                limit.record_answer(sent.sent_at, load, now);
                state.gate(&server.service).queue.record_answer(now);
                self.clear_condition(state, server, now);
            }
            AttemptOutcome::Failed {
                load,
                reason: FULL_REASON,
                ..
            } => {
                limit.record_refusal(sent.sent_at, now);
                self.report_condition(state, server, now);
                if let Some(load) = load {
                    let server = &server.incarnation;
                    state.servers.record_load(server, now, *load);
                }
            }
            AttemptOutcome::Failed {
                reason: SILENCE_REASON | NO_CONNECTION_REASON | WITHDRAWN_REASON,
                ..
            } => limit.record_abandoned(sent.sent_at, typical, now),
            AttemptOutcome::Failed { .. } => limit.record_reply(now),
        }
    }

    /// The typical latency of calls to `service`, in ms.
    pub(super) fn typical_latency(&self, service: &str) -> f64 {
        self.state().typical_latency(service)
    }
}

/// Keeps an attempt counted as in flight until dropped.
struct InFlightGuard<'a> {
    call: &'a Call,
    dispatcher: &'a Dispatcher,
    /// Whether the attempt got a response or an error, rather than being dropped before.
    completed: bool,
    sent: &'a SentAttempt,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.dispatcher.site.now();
        let server = &self.sent.server.incarnation;
        let mut state = self.dispatcher.state();
        state.servers.end_call(server);
        if !self.completed {
            self.dispatcher.count_usage(self.call, self.sent.sent_at);
            // Another server was faster, or the caller disconnected. The time waited is a
            // lower bound of this server's latency.
            let waited = now.since(self.sent.sent_at).0 as f64;
            let typical = state.typical_latency(&self.sent.server.service);
            state
                .servers
                .record_min_latency(server, now, typical, waited);
            if let Some(limit) = state.limits.get_mut(server) {
                limit.record_abandoned(self.sent.sent_at, typical, now);
                let server = &self.sent.server;
                self.dispatcher.report_condition(&mut state, server, now);
            }
            if state.servers.abandon(server, self.call.fingerprint, now) {
                self.dispatcher
                    .check_later(&self.sent.server, self.call.fingerprint);
            }
        }
    }
}
