//! Runs calls: one attempt after another, or beside another, until one is answered.

use super::{
    Call,
    CallEnd,
    StreamEnd,
    attempt::{Attempt, is_refusal, judge},
    book::Book, //
};
use crate::{
    base::{Clock, Millis, Verdict, stable_hash},
    net::{Answer, CallError, Peer},
    platform,
    policy::{
        retry_budget::RetryBudget,
        server_choice::{Candidate, choose, hedge_after},
        typical::Typical, //
    },
    routing::{Kind, Server},
    view::Site, //
};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use http_body_util::Full;
use hyper::Request;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError}, //
};

/// Sends calls to backend servers and keeps what it learns of them.
pub struct Caller {
    /// The caller's data centre.
    home: String,
    site: Arc<Site>,
    state: Mutex<State>,
}

struct State {
    book: Book,
    budget: RetryBudget,
    peers: HashMap<SocketAddr, Peer>,
    /// What a service's answers take.
    services: HashMap<String, Typical>,
}

/// An attempt's server and when it was sent.
struct Sent {
    at: Millis,
    server: Arc<Server>,
}

/// Refusals by full servers don't count as attempts, but a call that was
/// refused this often isn't sent on: all servers are full.
const REFUSALS_MOST: u32 = 3;

/// The share of successes that pays for second attempts beside slow first
/// ones. Second attempts after a failure are bounded by the route.
const HEDGE_SHARE: f64 = 0.3;

/// How much longer than a call its attempts may last. The call's own end comes
/// first then: it is no failure of a server that was given too little time.
const AFTER_END: Millis = Millis(250);

/// When a call that no server took is worth asking again: about what one call
/// takes, so that a slot is likely to be free.
const WAIT_FULL: Millis = Millis(60);

/// When a call for which no server is known is worth asking again: servers
/// announce themselves within a second or two.
const WAIT_NO_SERVER: Millis = Millis(300);

impl Caller {
    /// A caller in the data centre `home`.
    pub fn new(site: Arc<Site>, home: &str) -> Self {
        Self {
            home: home.to_owned(),
            site,
            state: Mutex::new(State {
                book: Book::default(),
                budget: RetryBudget::new(HEDGE_SHARE),
                peers: HashMap::new(),
                services: HashMap::new(),
            }),
        }
    }

    /// Runs `call` to its end. Dropping the future closes the connections of
    /// its attempts, which tells their servers to stop.
    pub async fn run(&self, call: &Call) -> CallEnd {
        let now = self.site.now();
        if call.until <= now {
            return CallEnd::TimedOut;
        }
        let left = call.until - now;
        let run = Run {
            call,
            caller: self,
            failures: 0,
            hedged: false,
            ran: 0,
            refusals: 0,
            tried: Vec::new(),
            last: "no-server",
        };
        match tokio::time::timeout(left.as_duration(), run.run()).await {
            Ok(end) => end,
            Err(_) => CallEnd::TimedOut,
        }
    }

    /// Runs `call` until a server begins to answer. It is sent on to another
    /// server only when one says that it did not run it.
    pub async fn open_stream(&self, call: &Call) -> StreamEnd {
        let mut tried = Vec::new();
        let mut reason = "no-server";
        for _ in 0..=REFUSALS_MOST {
            let Some(server) = self.pick(call, &tried) else {
                break;
            };
            tried.push(server.id.clone());
            let at = self.site.now();
            let left = call.until.since(at);
            let peer = self.peer(server.address);
            let request = Self::request(call, &server, left);
            let opened = peer.open_stream(request, left).await;
            let error = match opened {
                Ok(opened) if is_refusal(opened.status, &opened.headers) => {
                    reason = "server-full";
                    continue;
                }
                Ok(opened) => return StreamEnd::Opened(opened),
                Err(error) => error,
            };
            tracing::info!(call = call.id, server = server.id, %error, "stream not opened");
            reason = "no-connection";
            if error.verdict().may_have_run() {
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
        platform::set_instance(request.headers_mut(), &server.id);
        request
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pick(&self, call: &Call, tried: &[String]) -> Option<Arc<Server>> {
        let service = call.route.service_of(&call.id)?;
        let now = self.site.now();
        let mut servers: Vec<Arc<Server>> =
            self.site.directory().serving(service).cloned().collect();
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        let state = self.state();
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| {
                let tried = tried.contains(&server.id);
                state.book.candidate(server, &self.home, tried, now)
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
        let (id, latency, of) = (&server.id, latency as u64, candidates.len());
        tracing::info!(
            call = call.id,
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

    fn peer(&self, address: SocketAddr) -> Peer {
        let mut state = self.state();
        let clock = self.site.clock;
        let peer = state.peers.entry(address);
        peer.or_insert_with(|| Peer::open(address, clock)).clone()
    }

    async fn send(&self, call: &Call, sent: Sent) -> (Sent, Result<Answer, CallError>) {
        let left = call.until.since(self.site.now());
        let request = Self::request(call, &sent.server, left);
        self.state().book.begin(&sent.server.id, sent.at);
        let mut running = Running {
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

    /// Notes what an attempt showed of its server.
    fn learn(&self, call: &Call, sent: &Sent, attempt: &Attempt) {
        let now = self.site.now();
        let taken = now.since(sent.at).0 as f64;
        let server = &sent.server.id;
        let mut state = self.state();
        match attempt {
            Attempt::Answered(answer) => {
                if let Some(load) = platform::server_load(&answer.headers) {
                    state.book.report(server, now, load);
                }
                if answer.status.is_server_error() {
                    return;
                }
                state.book.succeed(server, now, taken);
                state.budget.succeed();
                let service = state.services.entry(sent.server.service.clone());
                service.or_default().note(taken);
            }
            Attempt::Failed {
                reason,
                server_fault,
                ..
            } => {
                let out = *server_fault && state.book.fail(server, now);
                drop(state);
                let (call, taken) = (&call.id, taken as u64);
                tracing::info!(call, server, reason, taken, "attempt failed");
                if out {
                    tracing::warn!(server, reason, "server distrusted after failures in a row");
                }
            }
        }
    }

    fn typical(&self, service: &str) -> f64 {
        let state = self.state();
        state
            .services
            .get(service)
            .copied()
            .unwrap_or_default()
            .value()
    }
}

/// Counts an attempt as under way until it is dropped.
struct Running<'a> {
    caller: &'a Caller,
    /// Whether it ended by itself.
    done: bool,
    sent: &'a Sent,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.caller.site.now();
        let server = &self.sent.server.id;
        let mut state = self.caller.state();
        state.book.end(server);
        if !self.done {
            // Another server was faster, or the caller left: the time waited
            // says how slow this one is at least.
            let waited = now.since(self.sent.at).0 as f64;
            state.book.lag(server, now, waited);
        }
    }
}

/// One call's attempts.
struct Run<'a> {
    call: &'a Call,
    caller: &'a Caller,
    /// Servers that answered that they failed.
    failures: u32,
    /// Whether another server was asked beside a slow one.
    hedged: bool,
    /// Why the last attempt failed.
    last: &'static str,
    /// Attempts that may have run.
    ran: u32,
    /// Attempts that did not.
    refusals: u32,
    tried: Vec<String>,
}

impl Run<'_> {
    async fn run(mut self) -> CallEnd {
        let call = self.call;
        let caller = self.caller;
        let mut under_way = FuturesUnordered::new();
        let mut kept: Option<Answer> = None;
        loop {
            if under_way.is_empty() {
                let Some(sent) = self.next() else {
                    return self.end(kept);
                };
                under_way.push(caller.send(call, sent));
            }
            let hedge = sleep_or_never(self.hedge_wait(under_way.len()));
            let (sent, outcome) = tokio::select! {
                Some(done) = under_way.next() => done,
                () = hedge => {
                    if let Some(sent) = self.hedge() {
                        under_way.push(caller.send(call, sent));
                    }
                    continue;
                }
            };
            let attempt = judge(&call.id, outcome);
            caller.learn(call, &sent, &attempt);
            match attempt {
                Attempt::Answered(answer) if self.is_final(&answer) => {
                    let failures = self.failures + u32::from(answer.status.is_server_error());
                    return CallEnd::Answered { answer, failures };
                }
                Attempt::Answered(answer) => {
                    self.failures += 1;
                    self.ran += 1;
                    kept = Some(answer);
                }
                Attempt::Failed {
                    reason, verdict, ..
                } => {
                    self.last = reason;
                    match verdict {
                        Verdict::NotRun => self.refusals += 1,
                        Verdict::MayHaveRun | Verdict::Ran => self.ran += 1,
                    }
                }
            }
        }
    }

    /// The server for another attempt, if the call may have one.
    fn next(&mut self) -> Option<Sent> {
        let repeatable = self.is_idempotent() || self.ran == 0;
        let allowed = repeatable
            && self.refusals < REFUSALS_MOST
            && self.ran + self.pending() < self.call.route.attempts;
        if !allowed {
            return None;
        }
        let server = self.caller.pick(self.call, &self.tried)?;
        if self.tried.contains(&server.id) && self.refusals > 0 {
            return None;
        }
        self.tried.push(server.id.clone());
        let at = self.caller.site.now();
        Some(Sent { at, server })
    }

    /// Attempts that are under way.
    fn pending(&self) -> u32 {
        self.tried.len() as u32 - self.ran - self.refusals
    }

    /// How long the attempt under way may stay silent before another server is
    /// asked beside it; `None` for good.
    fn hedge_wait(&self, under_way: usize) -> Option<Millis> {
        let wanted = under_way == 1 && self.is_idempotent() && !self.hedged;
        if !wanted || self.pending() + self.ran >= self.call.route.attempts {
            return None;
        }
        let service = self.call.route.service_of(&self.call.id)?;
        let typical = self.caller.typical(service);
        let left = self.call.until.since(self.caller.site.now());
        Some(hedge_after(typical, left))
    }

    /// The server to ask beside a slow one, if successes have paid for it.
    fn hedge(&mut self) -> Option<Sent> {
        self.hedged = true;
        let paid = self.caller.state().budget.spend();
        let sent = paid.then(|| self.next()).flatten()?;
        let (call, server) = (&self.call.id, &sent.server.id);
        tracing::info!(call, server, "asked beside a slow server");
        Some(sent)
    }

    fn is_idempotent(&self) -> bool {
        self.call.route.kind == Kind::Safe
    }

    /// Whether `answer` is handed on, or another server should be asked: a
    /// server's own failure may not be another's.
    fn is_final(&self, answer: &Answer) -> bool {
        !answer.status.is_server_error() || !self.is_idempotent()
    }

    fn end(&self, kept: Option<Answer>) -> CallEnd {
        let failures = self.failures;
        if let Some(answer) = kept {
            return CallEnd::Answered { answer, failures };
        }
        let reason = self.last.to_owned();
        match (self.ran, self.tried.is_empty()) {
            (0, true) => CallEnd::NotRun {
                reason,
                wait: WAIT_NO_SERVER,
            },
            (0, false) => CallEnd::NotRun {
                reason,
                wait: WAIT_FULL,
            },
            _ => CallEnd::Lost { failures, reason },
        }
    }
}

async fn sleep_or_never(wait: Option<Millis>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait.as_duration()).await,
        None => std::future::pending().await,
    }
}
