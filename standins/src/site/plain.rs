//! A stand-in for a backend server without a model: it echoes the request's body.

use crate::server::Server;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    body::Incoming,
    header::HeaderValue, //
};
use redwingpond::{
    base::{Clock, Millis},
    duty::{Answer, text},
    platform::ATTEMPT_ID, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        OnceLock,
        PoisonError,
        atomic::{AtomicU32, AtomicUsize, Ordering}, //
    },
};
use tokio::sync::{
    Notify,
    watch, //
};

/// How a plain server misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlainFault {
    /// Runs the request and answers 500 with a valid signature.
    Fails,
    /// Runs the request and answers with the id of another request.
    Foreign,
    /// Refuses every request without running it.
    Full,
    /// Runs the request and never answers.
    Mute,
    #[default]
    None,
    /// Runs the request and closes the connection without an answer.
    Reset,
    /// Runs the request and answers 504, as if its time had run out.
    TimesOut,
}

/// The room of a server with slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// The requests that may wait for a slot; others are refused.
    pub queue: u32,
    /// The requests that run at once.
    pub slots: u32,
}

/// The requests of a server with slots.
#[derive(Debug, Default)]
struct Load {
    /// `None` while all requests run at once and no load is reported.
    capacity: Option<Capacity>,
    refused: u32,
    running: u32,
    waiting: u32,
}

impl Load {
    /// The value of the load header.
    fn report(&self) -> Option<HeaderValue> {
        let slots = self.capacity?.slots;
        HeaderValue::try_from(format!("{},{},{slots}", self.running, self.waiting)).ok()
    }
}

/// The headers of a received request that say who sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// The caller's API key, which gateways must never forward.
    pub key: Option<String>,
    /// The id of the request.
    pub request: String,
    /// The workspace that the gateway names.
    pub workspace: Option<String>,
}

impl RequestIdentity {
    pub(super) fn of(request: &str, headers: &HeaderMap) -> Self {
        let value = |name: &str| {
            let value = headers.get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        Self {
            key: value("x-api-key"),
            request: request.to_owned(),
            workspace: value("x-tenant"),
        }
    }
}

/// A running plain backend server; dropping it stops it.
pub struct PlainServer {
    pub address: SocketAddr,
    /// The id of the first incarnation.
    pub id: String,
    inner: Arc<Inner>,
    server: Server,
}

struct Inner {
    clock: Clock,
    /// A request with this body crashes the server when its service time is over.
    fatal_body: Mutex<Option<Bytes>>,
    fault: Mutex<PlainFault>,
    /// The number of further requests that are run and answered with 500.
    failing: AtomicU32,
    /// The id of the current incarnation.
    incarnation: Mutex<String>,
    load: Mutex<Load>,
    /// What calls are answered with; `None` for their own body.
    reply: Mutex<Option<Bytes>>,
    /// Larger bodies are answered with 413.
    max_body: AtomicUsize,
    /// Notified when a slot becomes free.
    slot_freed: Notify,
    /// The number of requests in progress.
    open_requests: AtomicU32,
    /// The ids of the requests that were run, and when each started.
    runs: Mutex<Vec<(String, Millis)>>,
    /// The identity headers of each of these requests.
    identities: Mutex<Vec<RequestIdentity>>,
    /// Takes the server down (false) or up (true); set once it listens.
    switch: OnceLock<Arc<watch::Sender<bool>>>,
    service_time: Mutex<Millis>,
}

impl PlainServer {
    /// Starts a server on a free port.
    pub async fn open(id: &str) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            clock: Clock::open(),
            fatal_body: Mutex::default(),
            fault: Mutex::default(),
            failing: AtomicU32::new(0),
            incarnation: Mutex::new(id.to_owned()),
            load: Mutex::default(),
            reply: Mutex::default(),
            max_body: AtomicUsize::new(usize::MAX),
            slot_freed: Notify::new(),
            open_requests: AtomicU32::new(0),
            runs: Mutex::default(),
            identities: Mutex::default(),
            switch: OnceLock::new(),
            service_time: Mutex::new(Millis(5)),
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

    /// The number of connections that were opened to the server.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Sets the server's behaviour from now on.
    pub fn set_fault(&self, fault: PlainFault) {
        *lock(&self.inner.fault) = fault;
    }

    /// Makes the server run the next `count` requests and answer them with 500.
    pub fn fail_next(&self, count: u32) {
        self.inner.failing.store(count, Ordering::Relaxed);
    }

    /// Sets the server's room from now on; requests that run already keep running.
    pub fn set_capacity(&self, capacity: Capacity) {
        lock(&self.inner.load).capacity = Some(capacity);
        self.inner.slot_freed.notify_waiters();
    }

    /// The number of requests that the server refused for lack of room.
    pub fn refused(&self) -> u32 {
        lock(&self.inner.load).refused
    }

    /// Makes each request with this body crash the server.
    pub fn set_fatal_body(&self, body: &str) {
        *lock(&self.inner.fatal_body) = Some(Bytes::copy_from_slice(body.as_bytes()));
    }

    /// Takes the server down; its requests in progress get no answer.
    pub fn crash(&self) {
        self.inner.set_online(false);
    }

    /// Whether the server is up.
    pub fn is_up(&self) -> bool {
        self.inner.switch.get().is_some_and(|up| *up.borrow())
    }

    /// Starts the server again after a crash, as the incarnation with this id.
    pub fn restart(&self, incarnation: &str) {
        incarnation.clone_into(&mut lock(&self.inner.incarnation));
        self.inner.set_online(true);
    }

    /// Sets the time that a request takes from now on.
    pub fn set_service_time(&self, service_time: Millis) {
        *lock(&self.inner.service_time) = service_time;
    }

    /// Answers all calls with `bytes` bytes, or with their own body.
    pub fn set_reply(&self, bytes: Option<usize>) {
        *lock(&self.inner.reply) = bytes.map(|bytes| vec![b'r'; bytes].into());
    }

    /// Runs requests with bodies of more than `bytes`, and answers them with 413.
    pub fn refuse_larger(&self, bytes: usize) {
        self.inner.max_body.store(bytes, Ordering::Relaxed);
    }

    /// The number of requests in progress.
    pub fn open_requests(&self) -> u32 {
        self.inner.open_requests.load(Ordering::Relaxed)
    }

    /// How many times the request with this id was run.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = lock(&self.inner.runs);
        runs.iter().filter(|(run, _)| run == id).count()
    }

    /// The number of runs of requests whose ids begin with `prefix`.
    pub fn runs_with_prefix(&self, prefix: &str) -> usize {
        let runs = lock(&self.inner.runs);
        runs.iter()
            .filter(|(run, _)| run.starts_with(prefix))
            .count()
    }

    /// The identity headers of all requests that were run.
    pub fn identities(&self) -> Vec<RequestIdentity> {
        lock(&self.inner.identities).clone()
    }

    /// The number of runs of all requests.
    pub fn run_count(&self) -> usize {
        lock(&self.inner.runs).len()
    }
}

/// Decrements the count of open requests when it is dropped.
struct OpenRequest<'a>(&'a AtomicU32);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that waits for a slot or has one, until it is dropped.
struct Slot<'a> {
    inner: &'a Inner,
    running: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut load = lock(&self.inner.load);
        match self.running {
            true => load.running -= 1,
            false => load.waiting -= 1,
        }
        drop(load);
        self.inner.slot_freed.notify_waiters();
    }
}

impl Inner {
    /// Waits for a slot; `None` if there is no room to wait.
    async fn take_slot(&self) -> Option<Slot<'_>> {
        let mut slot = {
            let mut load = lock(&self.load);
            let full = load
                .capacity
                .is_some_and(|room| load.running >= room.slots && load.waiting >= room.queue);
            if full {
                load.refused += 1;
                return None;
            }
            load.waiting += 1;
            Slot {
                inner: self,
                running: false,
            }
        };
        loop {
            let freed = self.slot_freed.notified();
            {
                let mut load = lock(&self.load);
                if load.capacity.is_none_or(|room| load.running < room.slots) {
                    load.waiting -= 1;
                    load.running += 1;
                    slot.running = true;
                    return Some(slot);
                }
            }
            freed.await;
        }
    }

    /// The refusal of a request that is not run.
    fn refusal(&self) -> Answer {
        let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
        let value = HeaderValue::from_static("1");
        answer.headers_mut().insert("x-not-executed", value);
        let load = lock(&self.load).report();
        let load = load.map(|load| ("x-server-load", load));
        if let Some((name, value)) = load {
            answer.headers_mut().insert(name, value);
        }
        answer
    }

    /// Takes the server down after `service_time`, even if the caller disconnects before.
    fn crash_after(self: &Arc<Self>, service_time: Millis) {
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(service_time.as_duration()).await;
            server.set_online(false);
        });
    }

    /// Takes the server down (false) or up (true).
    fn set_online(&self, up: bool) {
        if let Some(switch) = self.switch.get() {
            switch.send_replace(up);
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let id = request.headers().get(ATTEMPT_ID).cloned();
        let mut answer = self.serve(request).await?;
        echo_id(&mut answer, id);
        Ok(answer)
    }

    /// Runs or refuses a request.
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let expected = head.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != lock(&self.incarnation).as_str()) {
            return Ok(text(StatusCode::MISDIRECTED_REQUEST, "text/plain", ""));
        }
        let fault = *lock(&self.fault);
        if fault == PlainFault::Full {
            return Ok(self.refusal());
        }
        let Some(_slot) = self.take_slot().await else {
            return Ok(self.refusal());
        };
        let id = head.headers.get(ATTEMPT_ID);
        let name = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let name = name.to_owned();
        lock(&self.runs).push((name.clone(), self.clock.now()));
        lock(&self.identities).push(RequestIdentity::of(&name, &head.headers));
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        let _open = OpenRequest(&self.open_requests);
        let service_time = *lock(&self.service_time);
        if lock(&self.fatal_body).as_ref() == Some(&body) {
            self.crash_after(service_time);
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(service_time.as_duration()).await;
        match fault {
            PlainFault::Mute => std::future::pending::<()>().await,
            PlainFault::Reset => return Err(io::Error::other("reset by an injected fault")),
            PlainFault::Fails
            | PlainFault::Foreign
            | PlainFault::Full
            | PlainFault::None
            | PlainFault::TimesOut => {}
        }
        let failing = self
            .failing
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                count.checked_sub(1)
            });
        let status = match fault {
            _ if failing.is_ok() => StatusCode::INTERNAL_SERVER_ERROR,
            PlainFault::Fails => StatusCode::INTERNAL_SERVER_ERROR,
            PlainFault::TimesOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::OK,
        };
        let reply = lock(&self.reply).clone().unwrap_or_else(|| body.clone());
        let too_large = body.len() > self.max_body.load(Ordering::Relaxed);
        let mut answer = match too_large {
            true => text(StatusCode::PAYLOAD_TOO_LARGE, "text/plain", "too large"),
            false => text(status, "text/plain", reply),
        };
        let headers = answer.headers_mut();
        if fault == PlainFault::Foreign {
            headers.insert(ATTEMPT_ID, HeaderValue::from_static("another"));
        }
        if let Some(load) = lock(&self.load).report() {
            headers.insert("x-server-load", load);
        }
        let seal = HeaderValue::try_from(format!("seal-{name}"));
        headers.insert("x-response-signature", seal.map_err(io::Error::other)?);
        Ok(answer)
    }
}

/// Adds the id of the answered request, if it has one, to an answer without an id.
pub(super) fn echo_id(answer: &mut Answer, id: Option<HeaderValue>) {
    if let Some(id) = id {
        answer.headers_mut().entry(ATTEMPT_ID).or_insert(id);
    }
}

/// Locks a mutex, even if a thread panicked while holding it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
