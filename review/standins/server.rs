//! Model samplers and plain samplers. Each writes its answers to the socket itself, so that it
//! can repeat or break them off.

use crate::{
    http::{self, Channel, Message, Server},
    json::{self, Json},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How samplers go wrong in a script.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// For [`TROUBLE_TIME`] from the first answer on, a second copy of each n-th answer arrives
    /// late: where the next answer on that channel is expected.
    ExtraLate(u64),
    /// While an order waits for the runs to finish, one answer of all samplers is broken off
    /// after a whole event.
    BreakOff,
}

/// Whether a sampler has broken off an answer.
static HAS_BROKEN_OFF: AtomicBool = AtomicBool::new(false);

/// How long samplers repeat answers.
const TROUBLE_TIME: Duration = Duration::from_secs(10);

/// Chooses the answers that are repeated late.
struct Repeats {
    count: AtomicU64,
    first: OnceLock<Instant>,
    trouble: Trouble,
}

impl Repeats {
    fn new(trouble: Trouble) -> Self {
        Self {
            count: AtomicU64::new(0),
            first: OnceLock::new(),
            trouble,
        }
    }

    /// Counts an answer; returns whether it is repeated.
    fn is_due(&self) -> bool {
        let Trouble::ExtraLate(every) = self.trouble else {
            return false;
        };
        let first = *self.first.get_or_init(Instant::now);
        let count = self.count.fetch_add(1, Ordering::SeqCst) + 1;
        first.elapsed() < TROUBLE_TIME && count.is_multiple_of(every)
    }
}

/// What a model sampler is like.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    pub slots: usize,
    /// The time between two events of a stream.
    pub event_time: Duration,
    pub trouble: Trouble,
}

/// The time that a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// A model sampler with one model. An item's body is the number of its events.
pub struct Engine {
    pub address: SocketAddr,
    /// The present lifetime; `None` while the sampler is down.
    current: Option<(Arc<Inner>, Server)>,
    /// How often it has started.
    lifetimes: u32,
    model: String,
    name: String,
    options: EngineOptions,
    record: Record,
    runs: Runs,
}

/// One run of an item at a model sampler.
#[derive(Clone, Debug)]
pub struct Run {
    pub began: Instant,
    /// `None` while it goes on.
    pub ended: Option<Instant>,
    pub is_whole: bool,
    pub item: String,
}

/// The runs at all model samplers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Inner {
    changed: Condvar,
    id: String,
    model: String,
    options: EngineOptions,
    record: Record,
    repeats: Repeats,
    runs: Runs,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Whether an order has been accepted and is not complete.
    is_busy: bool,
    /// The orders accepted.
    orders: u64,
    running: usize,
    version: u64,
}

impl Engine {
    pub fn open(
        name: &str,
        model: &str,
        options: EngineOptions,
        record: &Record,
        runs: &Runs,
    ) -> io::Result<Self> {
        let mut engine = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            current: None,
            lifetimes: 0,
            model: model.to_owned(),
            name: name.to_owned(),
            options,
            record: record.clone(),
            runs: runs.clone(),
        };
        engine.start(1)?;
        Ok(engine)
    }

    /// Starts a lifetime with its own id, at the same address.
    fn start(&mut self, version: u64) -> io::Result<()> {
        self.lifetimes += 1;
        let inner = Arc::new(Inner {
            changed: Condvar::new(),
            id: format!("{}{:02x}", self.name, self.lifetimes),
            model: self.model.clone(),
            options: self.options,
            record: self.record.clone(),
            repeats: Repeats::new(self.options.trouble),
            runs: self.runs.clone(),
            state: Mutex::new(State {
                version,
                ..State::default()
            }),
        });
        let handler = inner.clone();
        let server = http::serve_at(self.address, move |channel| handler.serve(channel))?;
        self.address = server.address;
        self.current = Some((inner, server));
        Ok(())
    }

    /// Ends the lifetime; returns its id and the version that it held.
    pub fn crash(&mut self) -> Option<(String, u64)> {
        let (inner, server) = self.current.take()?;
        server.stop();
        self.record.line(&format!("{}: crashes", inner.id));
        let version = inner.state().version;
        Some((inner.id.clone(), version))
    }

    /// Starts again after a crash, with the version that it held.
    pub fn restart(&mut self, version: u64, store: &Store, service: &str) -> io::Result<()> {
        self.start(version)?;
        self.announce(store, service);
        Ok(())
    }

    /// Writes the sampler's entry to the store.
    pub fn announce(&self, store: &Store, service: &str) {
        if let Some((inner, _)) = &self.current {
            let (models, slots) = (inner.models(), self.options.slots);
            announce(store, &inner.id, service, self.address, slots, models);
            self.record.line(&format!("{}: serves", inner.id));
        }
    }
}

/// Writes a sampler's entry to the store.
fn announce(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    slots: usize,
    models: Json,
) {
    let entry = json::table([
        ("service", json::text(service)),
        ("address", json::text(address.to_string())),
        ("zone", json::text("hall")),
        ("version", json::text("v1")),
        ("batchSlots", json::number(slots as u64)),
        ("state", json::text("ready")),
        ("coldRemainingMs", json::number(0)),
        ("stage", json::text("both")),
        ("models", models),
        ("sequence", json::number(1)),
    ]);
    store.put("servers", id, &entry);
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no run panics")
    }

    fn models(&self) -> Json {
        let version = self.state().version;
        json::list([json::table([
            ("name", json::text(self.model.as_str())),
            ("version", json::number(version)),
            ("adapters", json::list([])),
        ])])
    }

    fn serve(self: &Arc<Self>, mut channel: Channel) {
        // The copy of the channel's last answer that arrives late.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = channel.next() {
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("X-Instance-Id", self.id.as_str())];
                if channel.send(&http::response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let answered = match (request.method.as_str(), request.path()) {
                ("GET", "/redwingpond/report") => self.report(&mut channel),
                ("POST", "/redwingpond/order") => self.order(&mut channel, &request),
                _ => {
                    if let Some(copy) = extra.take() {
                        let item = request.header("x-attempt-id").unwrap_or_default();
                        let text =
                            format!("{}: late second answer, before that of {item}", self.id);
                        self.record.line(&text);
                        if channel.send(&copy).is_err() {
                            return;
                        }
                    }
                    self.run(&mut channel, &request, &mut extra)
                }
            };
            if !answered {
                let _ = channel.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn report(&self, channel: &mut Channel) -> bool {
        let models = self.models();
        let state = self.state();
        let report = json::table([
            ("stage", json::text("both")),
            ("models", models),
            ("busy", Json::Bool(state.is_busy)),
            ("sequence", json::number(state.orders)),
            ("numWaiting", json::number(0)),
            ("numRunning", json::number(state.running as u64)),
            ("kvUsed", json::number(0)),
            ("kvTotal", json::number(90_000)),
            ("handles", json::number(0)),
        ]);
        drop(state);
        let headers = [("Content-Type", "application/json")];
        let bytes = http::response(200, &headers, report.to_string().as_bytes());
        channel.send(&bytes).is_ok()
    }

    /// Takes an order to change the version. It waits for the runs to finish first, if it says
    /// so.
    fn order(self: &Arc<Self>, channel: &mut Channel, request: &Message) -> bool {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        let version = order.get("version").number();
        let expected = order.get("expectedRev");
        let mut state = self.state();
        let has_changed = !expected.is_null() && expected.number() != state.orders;
        let status = match (state.is_busy || has_changed, version == state.version) {
            (true, _) => 409,
            (false, true) => 200,
            (false, false) => 202,
        };
        self.record
            .line(&format!("{}: order {order} answered {status}", self.id));
        if status == 202 {
            state.orders += 1;
            state.is_busy = true;
            let (inner, waits) = (self.clone(), order.get("mode").text() == "wait");
            thread::spawn(move || inner.load(version, waits));
        }
        drop(state);
        channel.send(&http::response(status, &[], b"")).is_ok()
    }

    fn load(&self, version: u64, waits: bool) {
        let mut state = self.state();
        while waits && state.running > 0 {
            state = self.changed.wait(state).expect("no run panics");
        }
        drop(state);
        thread::sleep(LOAD_TIME);
        let mut state = self.state();
        state.version = version;
        state.is_busy = false;
        self.record
            .line(&format!("{}: holds version {version}", self.id));
    }

    /// Runs an item. Returns whether the channel goes on.
    fn run(&self, channel: &mut Channel, request: &Message, extra: &mut Option<Vec<u8>>) -> bool {
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let mut state = self.state();
        if state.is_busy || state.running >= self.options.slots {
            drop(state);
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
            return channel.send(&http::response(503, &headers, b"")).is_ok();
        }
        state.running += 1;
        drop(state);
        let number = self.begin_run(&id);
        let whole = self.stream(channel, request, &id);
        self.end_run(number, whole.is_some());
        let mut state = self.state();
        state.running -= 1;
        drop(state);
        self.changed.notify_all();
        let Some(answer) = whole else {
            return false;
        };
        if self.repeats.is_due() {
            *extra = Some(answer);
        }
        true
    }

    fn begin_run(&self, item: &str) -> usize {
        let mut runs = self.runs.lock().expect("no run panics");
        runs.push(Run {
            began: Instant::now(),
            ended: None,
            is_whole: false,
            item: item.to_owned(),
        });
        runs.len() - 1
    }

    fn end_run(&self, number: usize, is_whole: bool) {
        let mut runs = self.runs.lock().expect("no run panics");
        runs[number].ended = Some(Instant::now());
        runs[number].is_whole = is_whole;
    }

    /// Sends the events of an item; returns the whole answer if it was sent.
    fn stream(&self, channel: &mut Channel, request: &Message, id: &str) -> Option<Vec<u8>> {
        let events: u64 = String::from_utf8_lossy(&request.body).trim().parse().ok()?;
        let after = request
            .header("last-event-id")
            .and_then(|after| after.parse().ok());
        let first = after.map_or(1, |after: u64| after + 1);
        let version = self.state().version;
        self.record.line(&format!(
            "{}: runs {id} from event {first} of {events} under version {version}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Response-Signature: 3e1b.07.{id}\r\nX-Weight-Versions: {version}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut answer = head.into_bytes();
        channel.send(&answer).ok()?;
        for event in first..=events {
            thread::sleep(self.options.event_time);
            if self.breaks_off(event) {
                self.record.line(&format!(
                    "{}: breaks {id} off before event {event}",
                    self.id
                ));
                return None;
            }
            let part = http::chunk(format!("id: {event}\ndata: {id} event {event}\n\n").as_bytes());
            channel.send(&part).ok()?;
            answer.extend_from_slice(&part);
        }
        let end = http::chunk(b"");
        channel.send(&end).ok()?;
        answer.extend_from_slice(&end);
        self.record
            .line(&format!("{}: has sent {id} whole", self.id));
        Some(answer)
    }

    fn breaks_off(&self, event: u64) -> bool {
        let due = self.options.trouble == Trouble::BreakOff && self.state().is_busy && event > 1;
        due && !HAS_BROKEN_OFF.swap(true, Ordering::SeqCst)
    }
}

/// A plain sampler, which counts its runs.
pub struct Plain {
    pub address: SocketAddr,
    options: PlainOptions,
    id: String,
    runs: Arc<Mutex<HashMap<String, u64>>>,
}

/// What a plain sampler is like.
#[derive(Clone, Copy, Debug)]
pub struct PlainOptions {
    /// How many requests wait for a slot; others are turned away.
    pub queue: usize,
    pub slots: usize,
    pub trouble: Trouble,
    pub work: Duration,
}

impl Plain {
    pub fn open(id: &str, options: PlainOptions, record: &Record) -> io::Result<Self> {
        let runs: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
        let server = PlainServer {
            changed: Condvar::new(),
            id: id.to_owned(),
            load: Mutex::default(),
            options,
            record: record.clone(),
            repeats: Repeats::new(options.trouble),
            runs: runs.clone(),
        };
        let address = http::serve(move |channel| server.serve(channel))?;
        let id = id.to_owned();
        Ok(Self {
            address,
            options,
            id,
            runs,
        })
    }

    pub fn announce(&self, store: &Store, service: &str) {
        let models = json::list([]);
        announce(
            store,
            &self.id,
            service,
            self.address,
            self.options.slots,
            models,
        );
    }

    /// How often each request has run here.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().expect("no run panics").clone()
    }
}

/// The requests at a plain sampler.
#[derive(Clone, Copy, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct PlainServer {
    changed: Condvar,
    id: String,
    load: Mutex<Load>,
    options: PlainOptions,
    record: Record,
    repeats: Repeats,
    runs: Arc<Mutex<HashMap<String, u64>>>,
}

impl PlainServer {
    fn serve(&self, mut channel: Channel) {
        // The copy of the channel's last answer that arrives late.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = channel.next() {
            let id = request.header("x-attempt-id").unwrap_or_default();
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("X-Instance-Id", self.id.as_str())];
                if channel.send(&http::response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if let Some(copy) = extra.take() {
                let text = format!("{}: late second answer, before that of {id}", self.id);
                self.record.line(&text);
                if channel.send(&copy).is_err() {
                    return;
                }
            }
            let answer = match self.enter() {
                true => self.run(&request, id),
                false => self.turn_away(id),
            };
            if channel.send(&answer).is_err() {
                return;
            }
            if self.repeats.is_due() {
                extra = Some(answer);
            }
        }
    }

    /// Waits for a slot; false if too many wait already.
    fn enter(&self) -> bool {
        let mut load = self.load.lock().expect("no run panics");
        if load.running >= self.options.slots {
            if load.waiting >= self.options.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.options.slots {
                load = self.changed.wait(load).expect("no run panics");
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn load_header(&self) -> String {
        let load = *self.load.lock().expect("no run panics");
        format!("{},{},{}", load.running, load.waiting, self.options.slots)
    }

    fn turn_away(&self, id: &str) -> Vec<u8> {
        self.record
            .line(&format!("{}: is full, turns {id} away", self.id));
        let load = self.load_header();
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Not-Executed", "1"),
            ("X-Server-Load", load.as_str()),
        ];
        http::response(503, &headers, b"")
    }

    fn run(&self, request: &Message, id: &str) -> Vec<u8> {
        let mut runs = self.runs.lock().expect("no run panics");
        *runs.entry(id.to_owned()).or_default() += 1;
        drop(runs);
        self.record.line(&format!("{}: runs {id}", self.id));
        thread::sleep(self.options.work);
        let load = self.load_header();
        self.load.lock().expect("no run panics").running -= 1;
        self.changed.notify_one();
        let signature = format!("3e1b.07.{id}");
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Response-Signature", signature.as_str()),
            ("X-Server-Load", load.as_str()),
        ];
        let body = format!("{} {id}", request.target);
        http::response(200, &headers, body.as_bytes())
    }
}
