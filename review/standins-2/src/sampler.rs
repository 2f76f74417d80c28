//! Stand-ins for samplers: one that answers calls, and a model sampler that streams events.

use crate::{
    http::{Reply, Request, Response, serve},
    json::Json,
    record::Record,
    site,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// How often a sampler writes its entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// A request that a sampler began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub method: String,
    pub target: String,
}

/// An order that a sampler received and did not reject as malformed.
#[derive(Clone, Debug)]
pub struct Order {
    pub holder: String,
    /// The status of the answer.
    pub status: u16,
    pub token: u64,
}

/// The weights of a model sampler, and the orders for them.
#[derive(Default)]
struct Weights {
    /// Until when the last order is being carried out, and the version that it brings.
    loading: Option<(Instant, u64)>,
    /// The versions that were named.
    named: Vec<u64>,
    orders: Vec<Order>,
    /// The number of accepted orders.
    sequence: u64,
    version: u64,
}

impl Weights {
    /// Ends a load whose time is over.
    fn settle(&mut self) {
        if let Some((until, version)) = self.loading
            && Instant::now() >= until
        {
            self.loading = None;
            self.version = version;
        }
    }
}

/// How long a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// What a sampler is, and how it works.
#[derive(Clone)]
pub struct About {
    pub address: SocketAddr,
    /// The events of each item, and the pause between them.
    pub events: usize,
    pub gap: Duration,
    pub id: String,
    /// Model and version; none for a service without models.
    pub model: Option<(String, u64)>,
    pub service: String,
    pub slots: u32,
    /// How long a call takes.
    pub work: Duration,
}

/// A running sampler.
#[derive(Clone)]
pub struct Sampler {
    pub about: About,
    runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<Mutex<u32>>,
    /// When it leaves; `None` while it doesn't drain.
    leaves: Arc<Mutex<Option<Instant>>>,
    weights: Arc<Mutex<Weights>>,
}

impl Sampler {
    /// Serves, and writes its entry into `store` every heartbeat.
    pub fn open(about: About, store: &Store, record: &Record) -> io::Result<Self> {
        let sampler = Self {
            about: about.clone(),
            runs: Arc::default(),
            running: Arc::default(),
            leaves: Arc::default(),
            weights: Arc::default(),
        };
        if let Some((_, version)) = &about.model {
            sampler.weights().version = *version;
        }
        let (served, noted) = (sampler.clone(), record.clone());
        serve(about.address, move |request, stream| {
            served.answer(request, stream, &noted)
        })?;
        let (store, told) = (store.clone(), sampler.clone());
        thread::spawn(move || {
            let mut beats = 0;
            loop {
                beats += 1;
                let models = told.models();
                // A sampler that drains has written that itself.
                if told.leaves().is_some() {
                    return;
                }
                store.put("servers", &about.id, &about.entry(&models, "ready", beats));
                thread::sleep(BEAT);
            }
        });
        Ok(sampler)
    }

    fn weights(&self) -> MutexGuard<'_, Weights> {
        let mut weights = self.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.settle();
        weights
    }

    /// Announces in `store` that it drains, goes on serving for `lasts`, and leaves. Returns when
    /// the store had its state.
    pub fn drain(&self, store: &Store, lasts: Duration) -> Instant {
        let entry = self.about.entry(&self.models(), "draining", 1_000_000);
        store.put("servers", &self.about.id, &entry);
        let at = Instant::now();
        *self.leaves() = Some(at + lasts);
        at
    }

    fn leaves(&self) -> MutexGuard<'_, Option<Instant>> {
        self.leaves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it has left.
    fn has_left(&self) -> bool {
        self.leaves().is_some_and(|at| Instant::now() >= at)
    }

    /// Lets orders bring this version, which a trainer has named.
    pub fn name_version(&self, version: u64) {
        self.weights().named.push(version);
    }

    /// The version of its weights.
    pub fn version(&self) -> u64 {
        self.weights().version
    }

    /// The orders that it received.
    pub fn orders(&self) -> Vec<Order> {
        self.weights().orders.clone()
    }

    fn models(&self) -> String {
        let version = self.version();
        let model = self.about.model.as_ref().map(|(name, _)| {
            format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
        });
        model.unwrap_or_default()
    }

    fn report(&self) -> String {
        let models = self.models();
        let weights = self.weights();
        let (busy, sequence) = (weights.loading.is_some(), weights.sequence);
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":{busy},\"sequence\":{sequence},\
             \"numWaiting\":0,\"numRunning\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}}"
        )
    }

    /// Answers an order as the pages say; fences aren't checked.
    fn order(&self, request: &Request, record: &Record) -> Response {
        let body = Json::read(&request.body).unwrap_or(Json::Null);
        let (holder, token) = (body.get("holder"), body.get("fencingToken"));
        let is_whole = matches!(holder, Json::Text(_)) && matches!(token, Json::Number(_));
        if !is_whole || body.get("operation").text() != "version" {
            return Response::new(400, &[], "");
        }
        let version = body.get("version").number();
        let expected = body.get("expectedRev");
        let mut weights = self.weights();
        let stale = matches!(expected, Json::Number(_)) && expected.number() != weights.sequence;
        let status = match () {
            () if !weights.named.contains(&version) => 400,
            () if weights.loading.is_some() || stale => 409,
            () if weights.version == version => 200,
            () => 202,
        };
        if status == 202 {
            weights.sequence += 1;
            weights.loading = Some((Instant::now() + LOAD_TIME, version));
        }
        let order = Order {
            holder: holder.text().to_owned(),
            status,
            token: token.number(),
        };
        record.line(&format!(
            "sampler {} gets an order: version {version}, holder {}, token {} -> {status}",
            self.about.id, order.holder, order.token
        ));
        weights.orders.push(order);
        Response::new(status, &[], "")
    }

    /// The requests that it began to run.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream, record: &Record) -> Reply {
        if self.has_left() {
            return Reply::Written(false);
        }
        if request.path() == "/redwingpond/report" {
            let body = self.report();
            let kind = [("Content-Type", "application/json")];
            return Reply::Whole(Response::new(200, &kind, body));
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.about.id {
            let id = [("X-Instance-Id", self.about.id.as_str())];
            return Reply::Whole(Response::new(421, &id, ""));
        }
        if request.path() == "/redwingpond/order" {
            return Reply::Whole(self.order(request, record));
        }
        let id = request.header("x-attempt-id");
        if id.is_empty() {
            return Reply::Whole(Response::new(400, &[("X-Not-Executed", "1")], ""));
        }
        let run = Run {
            at: Instant::now(),
            id: id.to_owned(),
            method: request.method.clone(),
            target: request.target.clone(),
        };
        record.line(&format!(
            "sampler {} of {} runs {} {} for {}",
            self.about.id, self.about.service, run.method, run.target, run.id
        ));
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        drop(runs);
        if self.about.model.is_some() || request.path().starts_with(site::STREAMS) {
            return Reply::Written(self.stream(request, stream, record).is_ok());
        }
        thread::sleep(self.about.work);
        let signature = format!("signed-{id}");
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Response-Signature", signature.as_str()),
        ];
        Reply::Whole(Response::new(200, &headers, format!("answer to {id}")))
    }

    /// Streams the events of an item after `Last-Event-Id`, once a slot is free.
    fn stream(&self, request: &Request, stream: &mut TcpStream, record: &Record) -> io::Result<()> {
        let id = request.header("x-attempt-id");
        loop {
            let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            if *running < self.about.slots {
                *running += 1;
                break;
            }
            drop(running);
            thread::sleep(Duration::from_millis(2));
        }
        let written = self.write_events(id, request.header("last-event-id"), stream, record);
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        written
    }

    fn write_events(
        &self,
        id: &str,
        after: &str,
        stream: &mut TcpStream,
        record: &Record,
    ) -> io::Result<()> {
        let version = self.version();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {id}\r\n\
             X-Weight-Versions: {version}\r\nX-Response-Signature: signed-{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let first = after.parse::<usize>().map_or(1, |after| after + 1);
        for event in first..=self.about.events {
            thread::sleep(self.about.gap);
            if self.has_left() {
                record_end(record, &self.about.id, id, event);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn record_end(record: &Record, sampler: &str, id: &str, event: usize) {
    record.line(&format!(
        "sampler {sampler} has left; the stream of {id} ends before event {event}"
    ));
}

/// The data of an event of the item `id`.
pub fn event_data(id: &str, event: usize) -> String {
    format!("{id}-{event}")
}

impl About {
    fn entry(&self, models: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"v1\",\
             \"batchSlots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{models}],\"sequence\":{sequence}}}",
            self.service, self.address, self.slots,
        )
    }
}
