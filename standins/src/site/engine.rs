//! A stand-in for the users' engines: it runs items, accepts weight orders and answers
//! report requests.

use super::{
    RequestIdentity,
    plain::echo_id, //
};
use crate::server::Server;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    body::{Frame, Incoming},
    header::HeaderValue, //
};
use redwingpond::{
    base::{Clock, Millis},
    duty::{Answer, text},
    platform::ATTEMPT_ID, //
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError}, //
};
use tokio::sync::watch;

/// Faults that a test injects into an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// `n`: each run is cut off in the middle of the n-th event that it sends.
    pub cut_after: Option<u64>,
    /// A cut run ends its response normally instead of breaking the connection; only the
    /// incomplete last event shows the cut.
    pub cut_cleanly: bool,
    /// The ids of items whose next run breaks off after some of its events, once each.
    pub broken_items: Vec<String>,
    /// The engine goes down one event time after it starts a run with this body.
    pub fatal_body: Option<String>,
    /// The ids of items that are answered with 500.
    pub failing_items: Vec<String>,
    /// The ids of items whose next run is answered with 500, once for each entry.
    pub failing_runs: Vec<String>,
    /// The ids of items whose next run begins with two events that have the last number there is,
    /// once for each entry.
    pub last_numbers: Vec<String>,
    /// The ids of items whose next run is refused, once for each entry.
    pub refused_runs: Vec<String>,
    /// The ids of items that are answered with 422.
    pub rejected_items: Vec<String>,
    /// The ids of items whose next run breaks off after its last event, once each.
    pub unended_items: Vec<String>,
    /// Orders get no answer and are applied after this delay.
    pub order_delay: Option<Millis>,
}

/// One run of an item, as the engine recorded it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The identity headers of the request.
    pub identity: RequestIdentity,
    /// When the request arrived, by the engine's clock.
    pub at: Millis,
    /// The last event that an earlier attempt delivered, if the run resumes after it.
    pub after: Option<u64>,
    /// The id of the item.
    pub item: String,
    /// The weight version at the start of the run.
    pub version: u64,
}

/// A running engine; dropping it stops the server.
pub struct Engine {
    pub address: SocketAddr,
    /// The id of the first incarnation.
    pub id: String,
    inner: Arc<Inner>,
    server: Server,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    /// Takes the engine down (false) or up (true); set once the server listens.
    switch: OnceLock<Arc<watch::Sender<bool>>>,
}

struct State {
    /// The time between two events of a run.
    event_time: Millis,
    /// The number of complete events sent in all runs.
    events: u64,
    /// The number of events of the text of each item, up to the last one sent.
    events_of: HashMap<String, u64>,
    faults: EngineFaults,
    /// The number of runs whose last event was sent.
    ended_runs: usize,
    /// When the current incarnation started, in Unix ms.
    started_at: Millis,
    /// The id of the current incarnation.
    incarnation: String,
    /// When the current load of weights ends.
    loading_until: Millis,
    model: String,
    /// The accepted orders: holder, fencing token and weight version.
    orders: Vec<(String, u64, u64)>,
    /// Of each order that arrived, the number of accepted orders that it expects, and the
    /// number at its arrival.
    expected_orders: Vec<(u64, u64)>,
    /// The number of runs in progress in the current incarnation.
    running: usize,
    runs: Vec<Run>,
    version: u64,
    /// The ordered version that is loaded once all runs have ended.
    waiting_version: Option<u64>,
}

impl State {
    /// Whether an order is being carried out.
    fn is_busy(&self, now: Millis) -> bool {
        now < self.loading_until || self.waiting_version.is_some()
    }

    fn load(&mut self, version: u64, now: Millis) {
        self.loading_until = now + LOAD_TIME;
        self.version = version;
    }
}

/// When the first incarnation of every engine started, in Unix ms.
const FIRST_START: u64 = 1_764_720_000_000;

/// The time between the last event of a run and the break of its connection.
const LAST_EVENT_DELAY: Millis = Millis(100);

/// The duration of a weight load.
const LOAD_TIME: Millis = Millis(150);

impl Engine {
    /// Starts an engine with one model on a free port.
    pub async fn open(id: &str, model: &str) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            clock: Clock::open(),
            state: Mutex::new(State {
                event_time: Millis(5),
                events: 0,
                events_of: HashMap::new(),
                faults: EngineFaults::default(),
                ended_runs: 0,
                started_at: Millis(FIRST_START),
                incarnation: id.to_owned(),
                loading_until: Millis(0),
                model: model.to_owned(),
                orders: Vec::new(),
                expected_orders: Vec::new(),
                running: 0,
                runs: Vec::new(),
                version: 1,
                waiting_version: None,
            }),
            switch: OnceLock::new(),
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::open_shared(address, &inner, answer).await?;
        let switch = server.switch();
        inner.switch.get_or_init(|| switch);
        Ok(Self {
            address: server.address,
            id: id.to_owned(),
            inner,
            server,
        })
    }

    /// The switch that takes the engine down (false) or up (true).
    pub fn switch(&self) -> Arc<watch::Sender<bool>> {
        self.server.switch()
    }

    /// Replaces the engine's faults from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.state().faults = faults;
    }

    /// Sets the time between two events from now on.
    pub fn set_event_time(&self, event_time: Millis) {
        self.inner.state().event_time = event_time;
    }

    /// Restarts the engine as a new incarnation with `model` and without its orders. The
    /// id `incarnation` may be the previous one. Runs of the previous incarnation never
    /// send anything again, and their connections stay open, as after a power failure.
    pub fn restart(&self, incarnation: &str, model: &str) {
        let mut state = self.inner.state();
        state.started_at = state.started_at + Millis(1);
        incarnation.clone_into(&mut state.incarnation);
        model.clone_into(&mut state.model);
        state.orders.clear();
        state.expected_orders.clear();
        state.running = 0;
        state.waiting_version = None;
    }

    /// Changes the weight version at once. Runs continue under it, as if a late order of an
    /// earlier holder were carried out.
    pub fn set_version(&self, version: u64) {
        self.inner.state().version = version;
    }

    /// When the current incarnation started, in Unix ms.
    pub fn started_at(&self) -> Millis {
        self.inner.state().started_at
    }

    /// All recorded runs, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.inner.state().runs.clone()
    }

    /// The number of connections that were opened to the engine.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// The number of runs whose last event was sent.
    pub fn ended_runs(&self) -> usize {
        self.inner.state().ended_runs
    }

    /// The number of complete events sent so far, in all runs.
    pub fn events(&self) -> u64 {
        self.inner.state().events
    }

    /// The number of events of the text of `item`, up to the last one that was sent here.
    pub fn events_of(&self, item: &str) -> u64 {
        let state = self.inner.state();
        state.events_of.get(item).copied().unwrap_or(0)
    }

    /// The accepted orders of the current incarnation: holder, fencing token and version.
    pub fn orders(&self) -> Vec<(String, u64, u64)> {
        self.inner.state().orders.clone()
    }

    /// Of each order that arrived at the current incarnation, the number of accepted orders that
    /// it expects, and the number at its arrival.
    pub fn expected_orders(&self) -> Vec<(u64, u64)> {
        self.inner.state().expected_orders.clone()
    }

    /// The current time of the engine's clock.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// The current weight version.
    pub fn version(&self) -> u64 {
        self.inner.state().version
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let id = request.headers().get(ATTEMPT_ID).cloned();
        let mut answer = self.serve(request).await?;
        echo_id(&mut answer, id);
        Ok(answer)
    }

    /// Runs or refuses a request, or answers one of the engine's own paths.
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let expected = header(&head.headers, "x-expect-instance");
        let incarnation = self.state().incarnation.clone();
        if expected.is_some_and(|expected| expected != incarnation) {
            let mut answer = text(StatusCode::MISDIRECTED_REQUEST, "text/plain", "");
            let incarnation = incarnation.parse().map_err(io::Error::other)?;
            answer.headers_mut().insert("x-instance-id", incarnation);
            return Ok(answer);
        }
        match (head.method, head.uri.path()) {
            (Method::GET, "/redwingpond/report") => Ok(self.report()),
            (Method::POST, "/redwingpond/order") => self.receive_order(&body).await,
            (Method::POST, _) => Ok(self.run(&head.headers, &body)),
            _ => Ok(text(StatusCode::NOT_FOUND, "text/plain", "")),
        }
    }

    /// The engine's report: its model, its start, and the number of orders accepted.
    fn report(&self) -> Answer {
        let now = self.clock.now();
        let state = self.state();
        let body = serde_json::json!({
            "stage": "both",
            "born": state.started_at.0,
            "models": [{"name": state.model, "version": state.version, "adapters": []}],
            "busy": state.is_busy(now),
            "sequence": state.orders.len(),
            "numWaiting": 0,
            "numRunning": 0,
        });
        text(StatusCode::OK, "application/json", body.to_string())
    }

    /// Applies an order at once and answers it, unless orders are delayed.
    async fn receive_order(self: Arc<Self>, body: &[u8]) -> io::Result<Answer> {
        let wire: serde_json::Value = serde_json::from_slice(body).map_err(io::Error::other)?;
        let delay = self.state().faults.order_delay;
        if let Some(delay) = delay {
            tokio::spawn(async move {
                tokio::time::sleep(delay.as_duration()).await;
                self.apply_order(&wire);
            });
            return std::future::pending().await;
        }
        let code = self.apply_order(&wire);
        Ok(text(code, "text/plain", ""))
    }

    /// Starts to load the ordered version and answers 202. Answers 409 if another load is in
    /// progress or the number of accepted orders isn't the expected one, and 200 if the engine
    /// has the version already. An order in mode `wait` lets the runs end before the load.
    fn apply_order(&self, wire: &serde_json::Value) -> StatusCode {
        let now = self.clock.now();
        let mut state = self.state();
        let version = wire["version"].as_u64().unwrap_or(0);
        let expected = wire["expectedRev"].as_u64();
        let accepted = state.orders.len() as u64;
        let conflicts = expected.is_some_and(|expected| expected != accepted);
        state
            .expected_orders
            .extend(expected.map(|expected| (expected, accepted)));
        if state.is_busy(now) || conflicts {
            return StatusCode::CONFLICT;
        }
        if version == state.version {
            return StatusCode::OK;
        }
        let holder = wire["holder"].as_str().unwrap_or_default().to_owned();
        let fence = wire["fencingToken"].as_u64().unwrap_or(0);
        state.orders.push((holder, fence, version));
        match wire["mode"] == "wait" && state.running > 0 {
            true => state.waiting_version = Some(version),
            false => state.load(version, now),
        }
        StatusCode::ACCEPTED
    }

    /// Starts the run of an item; the body is its number of events.
    fn run(self: Arc<Self>, headers: &HeaderMap, body: &[u8]) -> Answer {
        let item = header(headers, ATTEMPT_ID.as_str()).unwrap_or_default();
        let after = header(headers, "last-event-id").and_then(|after| after.parse().ok());
        let events: u64 = String::from_utf8_lossy(body).trim().parse().unwrap_or(1);
        let now = self.clock.now();
        let mut state = self.state();
        if state.faults.rejected_items.contains(&item) {
            return signed_failure(StatusCode::UNPROCESSABLE_ENTITY);
        }
        if take(&mut state.faults.refused_runs, &item) || state.is_busy(now) {
            let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "");
            answer
                .headers_mut()
                .insert("x-not-executed", "1".parse().expect("a digit is a header"));
            return answer;
        }
        let version = state.version;
        state.runs.push(Run {
            identity: RequestIdentity::of(&item, headers),
            after,
            at: now,
            item: item.clone(),
            version,
        });
        let fails = take(&mut state.faults.failing_runs, &item);
        if fails || state.faults.failing_items.contains(&item) {
            return signed_failure(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let fatal = state.faults.fatal_body.as_ref();
        let fatal = fatal.is_some_and(|fatal| fatal.as_bytes() == body);
        let event_time = state.event_time;
        let cut_after = state.faults.cut_after;
        let cut_cleanly = state.faults.cut_cleanly;
        let started_at = state.started_at;
        state.running += 1;
        drop(state);
        let open = OpenRun {
            engine: self.clone(),
            started_at,
        };
        if fatal {
            let engine = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(event_time.as_duration()).await;
                if let Some(switch) = engine.switch.get() {
                    switch.send_replace(false);
                }
            });
        }

        let first = after.map_or(0, |after: u64| after + 1);
        let run = RunStream {
            started_at,
            cut_at: cut_after.map(|cut| first + cut),
            engine: self,
            events,
            item,
            next: first,
            cut_cleanly,
            version,
            _open: open,
        };
        let frames = stream::unfold(run, RunStream::next_frame);
        let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = answer.headers_mut();
        let version = version.to_string();
        headers.insert(
            "x-weight-versions",
            version.parse().expect("digits are a header"),
        );
        headers.insert(
            "x-response-signature",
            "engine".parse().expect("letters are a header"),
        );
        answer
    }
}

/// Counts a run as in progress until this is dropped.
struct OpenRun {
    engine: Arc<Inner>,
    /// The start of the incarnation that executes the run.
    started_at: Millis,
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let now = self.engine.clock.now();
        let mut state = self.engine.state();
        if state.started_at != self.started_at {
            return;
        }
        state.running -= 1;
        if state.running == 0
            && let Some(version) = state.waiting_version.take()
        {
            state.load(version, now);
        }
    }
}

/// A run whose remaining events are still to be sent.
struct RunStream {
    /// The start of the incarnation that executes the run.
    started_at: Millis,
    /// The event before this one is sent only in part. The field then takes that event's own
    /// number, at which the response ends.
    cut_at: Option<u64>,
    engine: Arc<Inner>,
    /// The total number of events.
    events: u64,
    item: String,
    /// The next event to be sent.
    next: u64,
    /// See [`EngineFaults::cut_cleanly`].
    cut_cleanly: bool,
    /// The weight version last sent to the receiver.
    version: u64,
    _open: OpenRun,
}

impl RunStream {
    /// Whether the run breaks off here, see [`EngineFaults::broken_items`] and
    /// [`EngineFaults::unended_items`].
    fn is_broken_off(&self) -> bool {
        let mut state = self.engine.state();
        let faults = &mut state.faults;
        let items = match self.next {
            0 => return false,
            next if next < self.events => &mut faults.broken_items,
            _ => &mut faults.unended_items,
        };
        take(items, &self.item)
    }

    /// Sends the next event, or the part of it up to the cut; `None` ends the response.
    async fn next_frame(mut self) -> Option<(io::Result<Frame<Bytes>>, Self)> {
        if self.next >= self.events {
            if self.is_broken_off() {
                // The last event is sent before the connection breaks.
                tokio::time::sleep(LAST_EVENT_DELAY.as_duration()).await;
                return Some((Err(broken_off()), self));
            }
            self.engine.state().ended_runs += 1;
            return None;
        }
        let (event_time, version) = {
            let state = self.engine.state();
            (state.event_time, state.version)
        };
        tokio::time::sleep(event_time.as_duration()).await;
        if self.engine.state().started_at != self.started_at {
            std::future::pending::<()>().await;
        }
        if self.is_broken_off() {
            return Some((Err(broken_off()), self));
        }
        if take(&mut self.engine.state().faults.last_numbers, &self.item) {
            let event = format!("id: {}\ndata: odd\n\n", u64::MAX);
            return Some((Ok(Frame::data(event.repeat(2).into())), self));
        }
        if self.cut_at == Some(self.next + 1) {
            self.cut_at = Some(self.next);
            let torn = Bytes::from(format!("id: {}\ndata: torn", self.next));
            return Some((Ok(Frame::data(torn)), self));
        }
        if self.cut_at == Some(self.next) && self.cut_cleanly {
            return None;
        }
        if self.cut_at == Some(self.next) {
            return Some((
                Err(io::Error::other("response cut off by an injected fault")),
                self,
            ));
        }
        let changed = match version == self.version {
            true => String::new(),
            false => format!("x-weight-versions: {version}\n"),
        };
        self.version = version;
        let (id, item) = (self.next, &self.item);
        let event = format!("{changed}id: {id}\ndata: {item}-{id}\n\n");
        self.next += 1;
        let mut state = self.engine.state();
        state.events += 1;
        state.events_of.insert(self.item.clone(), self.next);
        drop(state);
        Some((Ok(Frame::data(event.into())), self))
    }
}

/// Removes the first entry `item`; returns whether there was one.
fn take(items: &mut Vec<String>, item: &str) -> bool {
    let found = items.iter().position(|entry| entry == item);
    found.map(|found| items.remove(found)).is_some()
}

/// The error of a response that breaks off.
fn broken_off() -> io::Error {
    io::Error::other("response broken off by an injected fault")
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// The answer to a run that failed.
fn signed_failure(status: StatusCode) -> Answer {
    let mut answer = text(status, "text/plain", "");
    let signature = HeaderValue::from_static("seal-failure");
    answer
        .headers_mut()
        .insert("x-response-signature", signature);
    answer
}
