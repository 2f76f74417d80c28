//! Runs calls: one attempt after another, or beside another, until one is answered.

use super::{
    Call,
    CallEnd,
    StreamEnd,
    Watched,
    attempt::{Attempt, is_refusal},
    book::Book,
    look::{QUARANTINE, WAIT_QUARANTINE},
    run::Run, //
};
use crate::{
    base::{Clock, Millis, stable_hash},
    net::{Answer, CallError, Peer},
    platform,
    policy::{
        freshness::STALE_RETRY_AFTER,
        retry_budget::RetryBudget,
        server_choice::{Candidate, choose},
        typical::TypicalLatency, //
    },
    routing::{Kind, Life, Server},
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
    home: String,
    pub(crate) crashes: Arc<Crashes>,
    /// For the looks that outlast their call.
    pub(super) me: Weak<Self>,
    pub(super) site: Arc<Site>,
    state: Mutex<State>,
    /// Counts what callers' requests begin; `None` where nobody asks for that.
    usage: Option<Arc<Counter>>,
}

pub(super) struct State {
    pub(super) book: Book,
    pub(super) budget: RetryBudget,
    peers: HashMap<SocketAddr, Peer>,
    /// What a service's answers take.
    services: HashMap<String, TypicalLatency>,
}

impl State {
    fn typical(&self, service: &str) -> f64 {
        let known = self.services.get(service).copied();
        known.unwrap_or_default().value()
    }
}

/// An attempt's server and when it was sent.
#[derive(Clone)]
pub(super) struct Sent {
    pub(super) at: Millis,
    pub(super) server: Arc<Server>,
}

/// Refusals by full servers don't count as attempts, but a call that was
/// refused this often isn't sent on: all servers are full.
pub(super) const REFUSALS_MOST: u32 = 3;

/// The share of successes that pays for second attempts beside slow first
/// ones. Second attempts after a failure are bounded by the route.
const HEDGE_SHARE: f64 = 0.3;

/// How much longer than a call its attempts may last. The call's own end comes
/// first then: it is no failure of a server that was given too little time.
const AFTER_END: Millis = Millis(250);

/// Why a call is refused whose key may have been taken away.
pub(super) const STALE: &str = "configuration-not-confirmed";

/// When a call that no server took is worth asking again: about what one call
/// takes, so that a slot is likely to be free.
pub(super) const WAIT_FULL: Millis = Millis(60);

/// When a call for which no server is known is worth asking again: servers
/// announce themselves within a second or two.
pub(super) const WAIT_NO_SERVER: Millis = Millis(300);

impl Caller {
    /// A caller in the data centre `home`.
    pub fn new(
        site: Arc<Site>,
        crashes: Arc<Crashes>,
        home: &str,
        usage: Option<Arc<Counter>>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            crashes,
            home: home.to_owned(),
            me: me.clone(),
            site,
            state: Mutex::new(State {
                book: Book::default(),
                budget: RetryBudget::new(HEDGE_SHARE),
                peers: HashMap::new(),
                services: HashMap::new(),
            }),
            usage,
        })
    }

    /// Runs `call` to its end. Dropping the future closes the connections of
    /// its attempts, which tells their servers to stop.
    pub async fn run(&self, call: &Call) -> CallEnd {
        let now = self.site.now();
        if call.until <= now {
            return CallEnd::TimedOut;
        }
        let left = call.until - now;
        let run = Run::new(self, call);
        match tokio::time::timeout(left.as_duration(), run.run()).await {
            Ok(end) => end,
            Err(_) => CallEnd::TimedOut,
        }
    }

    /// Runs `call` until a server begins to answer. It is sent on to another
    /// server only when one says that it did not run it.
    pub async fn open_stream(self: &Arc<Self>, call: &Call) -> StreamEnd {
        let mut tried = Vec::new();
        let mut reason = "no-server";
        let trial = self.take_trial(call).await;
        for _ in 0..=REFUSALS_MOST {
            // Its caller opens a stream anew after each end of a server.
            if self.is_barred(call, trial.is_some() && tried.is_empty()) {
                return StreamEnd::NotRun {
                    reason: QUARANTINE.to_owned(),
                    wait: WAIT_QUARANTINE,
                };
            }
            if self.is_stale(call) {
                return StreamEnd::NotRun {
                    reason: STALE.to_owned(),
                    wait: STALE_RETRY_AFTER,
                };
            }
            let Some(server) = self.pick(call, &tried) else {
                break;
            };
            tried.push(server.life.clone());
            let at = self.site.now();
            let left = call.until.since(at);
            let peer = self.peer(server.address);
            let request = Self::request(call, &server, left);
            let sent = Sent {
                at,
                server: server.clone(),
            };
            let watched = Watched::open(self, call.fingerprint, sent);
            let opened = peer.open_stream(request, left).await;
            let error = match opened {
                Ok(opened) if is_refusal(opened.status, &opened.headers) => {
                    watched.replied();
                    reason = "server-full";
                    continue;
                }
                Ok(opened) => {
                    self.count(call, at);
                    return StreamEnd::Opened(Box::new(opened), watched);
                }
                Err(error) => error,
            };
            watched.failed(&error).await;
            let (request, server) = (call.fingerprint, &server.life.id);
            tracing::info!(call = call.id, %request, server, %error, "stream not opened");
            reason = "no-connection";
            if error.verdict().may_have_run() {
                self.count(call, at);
                let reason = "connection-broke".to_owned();
                return StreamEnd::Lost { reason };
            }
        }
        let wait = match tried.is_empty() {
            true => WAIT_NO_SERVER,
            false => WAIT_FULL,
        };
        let reason = reason.to_owned();
        StreamEnd::NotRun { reason, wait }
    }

    /// Whether `call` shows a key of which the store has not told for too long
    /// whether it still holds. Looked at before each attempt: the call may have
    /// waited, or this process have been frozen, since it came.
    pub(super) fn is_stale(&self, call: &Call) -> bool {
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
        platform::set_instance(request.headers_mut(), &server.life.id);
        platform::set_priority(request.headers_mut(), call.priority());
        let workspace = call.workspace.as_ref();
        let workspace = workspace.map(|workspace| workspace.name.as_str());
        platform::set_workspace(request.headers_mut(), workspace);
        request
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn pick(&self, call: &Call, tried: &[Life]) -> Option<Arc<Server>> {
        let service = call.route.service_of(&call.id)?;
        let now = self.site.now();
        let mut servers: Vec<Arc<Server>> =
            self.site.directory().serving(service).cloned().collect();
        servers.sort_by(|a, b| a.life.id.cmp(&b.life.id));
        let usual = self.typical(service);
        let state = self.state();
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| {
                let tried = tried.contains(&server.life);
                let peer = state.peers.get(&server.address);
                Candidate {
                    connected: peer.is_some_and(Peer::is_connected),
                    ..state.book.candidate(server, &self.home, tried, usual, now)
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
        let (id, latency, of) = (&server.life.id, latency as u64, candidates.len());
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

    pub(super) async fn send(&self, call: &Call, sent: Sent) -> (Sent, Result<Answer, CallError>) {
        let left = call.until.since(self.site.now());
        let request = Self::request(call, &sent.server, left);
        {
            let mut state = self.state();
            state.book.begin(&sent.server.life, sent.at);
            state.book.ask(&sent.server.life, call.fingerprint);
        }
        let mut running = Running {
            call,
            caller: self,
            done: false,
            sent: &sent,
        };
        let within = left + AFTER_END;
        let peer = self.peer(sent.server.address);
        let answer = match call.route.kind {
            Kind::Safe => peer.call(request, within).await,
            Kind::Batch | Kind::Stream { .. } | Kind::Unsafe => {
                peer.call_once(request, within).await
            }
        };
        running.done = true;
        drop(running);
        (sent, answer)
    }

    /// Counts an attempt that a server has begun, or may have.
    pub(super) fn count(&self, call: &Call, sent: Millis) {
        if let (Some(usage), Some(workspace)) = (&self.usage, &call.workspace) {
            usage.note(&workspace.name, sent);
        }
    }

    /// Notes what an attempt showed of its server.
    pub(super) fn learn(&self, call: &Call, sent: &Sent, attempt: &Attempt) {
        if attempt.may_have_run() {
            self.count(call, sent.at);
        }
        let now = self.site.now();
        let taken = now.since(sent.at).0 as f64;
        let server = &sent.server.life;
        let mut state = self.state();
        let open = state
            .book
            .settle(server, call.fingerprint, sent.at, attempt, now);
        if open {
            self.look_later(&sent.server, call.fingerprint);
        }
        match attempt {
            Attempt::Answered(answer) => {
                if let Some(load) = platform::server_load(&answer.headers) {
                    state.book.report(server, now, load);
                }
                if answer.status.is_server_error() {
                    return;
                }
                state.budget.record_success();
                let service = state.services.entry(sent.server.service.clone());
                let typical = service.or_default();
                let usual = typical.value();
                typical.note(taken);
                state.book.succeed(server, now, usual, taken);
            }
            Attempt::Failed {
                reason,
                server_fault,
                ..
            } => {
                let out = *server_fault && state.book.fail(server, now);
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
    pub(super) fn typical(&self, service: &str) -> f64 {
        self.state().typical(service)
    }
}

/// Counts an attempt as under way until it is dropped.
struct Running<'a> {
    call: &'a Call,
    caller: &'a Caller,
    /// Whether it ended by itself.
    done: bool,
    sent: &'a Sent,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.caller.site.now();
        let server = &self.sent.server.life;
        let mut state = self.caller.state();
        state.book.end(server);
        if !self.done {
            self.caller.count(self.call, self.sent.at);
            // Another server was faster, or the caller left: the time waited
            // says how slow this one is at least.
            let waited = now.since(self.sent.at).0 as f64;
            let usual = state.typical(&self.sent.server.service);
            state.book.lag(server, now, usual, waited);
            if state.book.leave(server, self.call.fingerprint, now) {
                self.caller
                    .look_later(&self.sent.server, self.call.fingerprint);
            }
        }
    }
}
