//! Runs calls: one attempt after another, or beside another, until one is answered.

use super::{
    Call,
    CallOutcome,
    StreamAttempt,
    StreamOutcome,
    attempt::{AttemptOutcome, is_refusal},
    call_run::CallRun, //
    crash_check::{QUARANTINE_REASON, RETRY_AFTER_QUARANTINE},
    server_records::ServerRecords,
};
use crate::{
    base::{Clock, Millis, stable_hash},
    net::{CallError, FullResponse, Peer},
    platform,
    policy::{
        freshness::WAIT_STALE,
        retry_budget::RetryBudget,
        server_choice::{Candidate, choose},
        typical::Typical, //
    },
    routing::{RouteKind, Server, ServerIncarnation},
    usage::Counter,
    view::{Crashes, Site}, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak}, //
};

/// Sends calls to backend servers and keeps what it learns of them.
pub struct Caller {
    /// The caller's data centre.
    data_centre: String,
    pub(crate) crashes: Arc<Crashes>,
    /// For the looks that outlast their call.
    pub(super) weak_self: Weak<Self>,
    pub(super) site: Arc<Site>,
    state: Mutex<State>,
    /// Counts what callers' requests begin; `None` where nobody asks for that.
    usage: Option<Arc<Counter>>,
}

pub(super) struct State {
    pub(super) servers: ServerRecords,
    pub(super) budget: RetryBudget,
    peers: HashMap<SocketAddr, Peer>,
    /// What a service's answers take.
    typical_latency: HashMap<String, Typical>,
}

impl State {
    fn typical_latency(&self, service: &str) -> f64 {
        let known = self.typical_latency.get(service).copied();
        known.unwrap_or_default().value()
    }
}

/// An attempt's server and when it was sent.
#[derive(Clone)]
pub(super) struct SentAttempt {
    pub(super) sent_at: Millis,
    pub(super) server: Arc<Server>,
}

/// Refusals by full servers don't count as attempts, but a call that was
/// refused this often isn't sent on: all servers are full.
pub(super) const MAX_REFUSALS: u32 = 3;

/// The share of successes that pays for second attempts beside slow first
/// ones. Second attempts after a failure are bounded by the route.
const HEDGES_PER_SUCCESS: f64 = 0.3;

/// How much longer than a call its attempts may last. The call's own end comes
/// first then: it is no failure of a server that was given too little time.
const ATTEMPT_GRACE: Millis = Millis(250);

/// Why a call is refused whose key may have been taken away.
pub(super) const STALE_REASON: &str = "configuration-not-confirmed";

/// When a call that no server took is worth asking again: about what one call
/// takes, so that a slot is likely to be free.
pub(super) const RETRY_AFTER_FULL: Millis = Millis(60);

/// When a call for which no server is known is worth asking again: servers
/// announce themselves within a second or two.
pub(super) const RETRY_AFTER_NO_SERVER: Millis = Millis(300);

impl Caller {
    /// A caller in the data centre `home`.
    pub fn new(
        site: Arc<Site>,
        crashes: Arc<Crashes>,
        data_centre: &str,
        usage: Option<Arc<Counter>>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            crashes,
            data_centre: data_centre.to_owned(),
            weak_self: weak_self.clone(),
            site,
            state: Mutex::new(State {
                servers: ServerRecords::default(),
                budget: RetryBudget::new(HEDGES_PER_SUCCESS),
                peers: HashMap::new(),
                typical_latency: HashMap::new(),
            }),
            usage,
        })
    }

    /// Runs `call` to its end. Dropping the future closes the connections of
    /// its attempts, which tells their servers to stop.
    pub async fn run(&self, call: &Call) -> CallOutcome {
        let now = self.site.now();
        if call.deadline <= now {
            return CallOutcome::TimedOut;
        }
        let left = call.deadline - now;
        let run = CallRun::new(self, call);
        match tokio::time::timeout(left.as_duration(), run.run()).await {
            Ok(end) => end,
            Err(_) => CallOutcome::TimedOut,
        }
    }

    /// Runs `call` until a server begins to answer. It is sent on to another
    /// server only when one says that it did not run it.
    pub async fn open_stream(self: &Arc<Self>, call: &Call) -> StreamOutcome {
        let mut tried = Vec::new();
        let mut reason = "no-server";
        let trial = self.take_trial(call).await;
        for _ in 0..=MAX_REFUSALS {
            // Its caller opens a stream anew after each end of a server.
            if self.is_barred(call, trial.is_some() && tried.is_empty()) {
                return StreamOutcome::NotRun {
                    reason: QUARANTINE_REASON.to_owned(),
                    wait: RETRY_AFTER_QUARANTINE,
                };
            }
            if self.is_config_stale(call) {
                return StreamOutcome::NotRun {
                    reason: STALE_REASON.to_owned(),
                    wait: WAIT_STALE,
                };
            }
            let Some(server) = self.choose_server(call, &tried) else {
                break;
            };
            tried.push(server.incarnation.clone());
            let sent_at = self.site.now();
            let left = call.deadline.since(sent_at);
            let peer = self.peer(server.address);
            let request = Self::request(call, &server, left);
            let sent = SentAttempt {
                sent_at,
                server: server.clone(),
            };
            let watched = StreamAttempt::open(self, call.fingerprint, sent);
            let opened = peer.open_stream(request, left).await;
            let error = match opened {
                Ok(opened) if is_refusal(opened.status, &opened.headers) => {
                    watched.record_reply();
                    reason = "server-full";
                    continue;
                }
                Ok(opened) => {
                    self.count_usage(call, sent_at);
                    return StreamOutcome::Opened(Box::new(opened), watched);
                }
                Err(error) => error,
            };
            watched.fail(&error).await;
            let (request, server) = (call.fingerprint, &server.incarnation.id);
            tracing::info!(call = call.id, %request, server, %error, "stream not opened");
            reason = "no-connection";
            if error.verdict().may_have_run() {
                self.count_usage(call, sent_at);
                let reason = "connection-broke".to_owned();
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

    /// Whether `call` shows a key of which the store has not told for too long
    /// whether it still holds. Looked at before each attempt: the call may have
    /// waited, or this process have been frozen, since it came.
    pub(super) fn is_config_stale(&self, call: &Call) -> bool {
        call.workspace.is_some() && !self.site.is_fresh()
    }

    /// The clock that calls are measured by.
    pub fn clock(&self) -> Clock {
        self.site.clock
    }

    fn request(call: &Call, server: &Server, left: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        match call.path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => tracing::warn!(path = call.path, %error, "not a path"),
        }
        *request.headers_mut() = call.headers.clone();
        platform::set_deadline(request.headers_mut(), left);
        platform::set_instance(request.headers_mut(), &server.incarnation.id);
        platform::set_priority(request.headers_mut(), call.priority());
        let workspace = call.workspace.as_ref();
        let workspace = workspace.map(|workspace| workspace.name.as_str());
        platform::set_workspace(request.headers_mut(), workspace);
        request
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn choose_server(
        &self,
        call: &Call,
        tried: &[ServerIncarnation],
    ) -> Option<Arc<Server>> {
        let service = call.route.service_of(&call.id)?;
        let now = self.site.now();
        let mut servers: Vec<Arc<Server>> =
            self.site.directory().serving(service).cloned().collect();
        servers.sort_by(|a, b| a.incarnation.id.cmp(&b.incarnation.id));
        let usual = self.typical_latency(service);
        let state = self.state();
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| {
                let tried = tried.contains(&server.incarnation);
                let peer = state.peers.get(&server.address);
                Candidate {
                    connected: peer.is_some_and(Peer::is_connected),
                    ..state
                        .servers
                        .candidate(server, &self.data_centre, tried, usual, now)
                }
            })
            .collect();
        let spread = stable_hash(&[call.id.as_bytes()]);
        let chosen = choose(&candidates, spread)?;
        let server = servers.get(chosen).cloned()?;
        let Candidate {
            in_flight,
            latency,
            reported,
            trusted,
            ..
        } = candidates[chosen];
        let (id, latency, of) = (&server.incarnation.id, latency as u64, candidates.len());
        tracing::info!(
            call = call.id,
            request = %call.fingerprint,
            server = id,
            service,
            in_flight,
            latency,
            ?reported,
            trusted,
            of,
            "server chosen"
        );
        Some(server)
    }

    pub(super) fn peer(&self, address: SocketAddr) -> Peer {
        let mut state = self.state();
        let clock = self.site.clock;
        let peer = state.peers.entry(address);
        peer.or_insert_with(|| Peer::open(address, clock)).clone()
    }

    pub(super) async fn send(
        &self,
        call: &Call,
        sent: SentAttempt,
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
        let mut running = InFlightGuard {
            call,
            caller: self,
            completed: false,
            sent: &sent,
        };
        let within = left + ATTEMPT_GRACE;
        let peer = self.peer(sent.server.address);
        let answer = match call.route.kind {
            RouteKind::Safe => peer.call(request, within).await,
            RouteKind::Batch | RouteKind::Stream { .. } | RouteKind::Unsafe => {
                peer.call_once(request, within).await
            }
        };
        running.completed = true;
        drop(running);
        (sent, answer)
    }

    /// Counts an attempt that a server has begun, or may have.
    pub(super) fn count_usage(&self, call: &Call, sent_at: Millis) {
        if let (Some(usage), Some(workspace)) = (&self.usage, &call.workspace) {
            usage.note(&workspace.name, sent_at);
        }
    }

    /// Notes what an attempt showed of its server.
    pub(super) fn record_outcome(&self, call: &Call, sent: &SentAttempt, attempt: &AttemptOutcome) {
        if attempt.may_have_run() {
            self.count_usage(call, sent.sent_at);
        }
        let now = self.site.now();
        let taken = now.since(sent.sent_at).0 as f64;
        let server = &sent.server.incarnation;
        let mut state = self.state();
        let open =
            state
                .servers
                .record_outcome(server, call.fingerprint, sent.sent_at, attempt, now);
        if open {
            self.check_later(&sent.server, call.fingerprint);
        }
        match attempt {
            AttemptOutcome::Answered(answer) => {
                if let Some(load) = platform::server_load(&answer.headers) {
                    state.servers.record_load(server, now, load);
                }
                if answer.status.is_server_error() {
                    return;
                }
                state.budget.succeed();
                let service = state.typical_latency.entry(sent.server.service.clone());
                let typical = service.or_default();
                let usual = typical.value();
                typical.note(taken);
                state.servers.record_success(server, now, usual, taken);
            }
            AttemptOutcome::Failed {
                reason,
                server_fault,
                ..
            } => {
                let out = *server_fault && state.servers.record_failure(server, now);
                drop(state);
                let (request, call) = (call.fingerprint, &call.id);
                let (server, taken) = (&server.id, taken as u64);
                tracing::info!(call, %request, server, reason, taken, "attempt failed");
                if out {
                    tracing::warn!(server, reason, "server distrusted after failures in a row");
                }
            }
        }
    }

    /// What calls to `service` usually take, in ms.
    pub(super) fn typical_latency(&self, service: &str) -> f64 {
        self.state().typical_latency(service)
    }
}

/// Counts an attempt as under way until it is dropped.
struct InFlightGuard<'a> {
    call: &'a Call,
    caller: &'a Caller,
    /// Whether it ended by itself.
    completed: bool,
    sent: &'a SentAttempt,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.caller.site.now();
        let server = &self.sent.server.incarnation;
        let mut state = self.caller.state();
        state.servers.end_call(server);
        if !self.completed {
            self.caller.count_usage(self.call, self.sent.sent_at);
            // Another server was faster, or the caller left: the time waited
            // says how slow this one is at least.
            let waited = now.since(self.sent.sent_at).0 as f64;
            let usual = state.typical_latency(&self.sent.server.service);
            state.servers.record_min_latency(server, now, usual, waited);
            if state.servers.abandon(server, self.call.fingerprint, now) {
                self.caller
                    .check_later(&self.sent.server, self.call.fingerprint);
            }
        }
    }
}
