//! A plain backend server.

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
    duty::{Answer, text}, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        OnceLock,
        PoisonError,
        atomic::{AtomicU32, Ordering}, //
    },
};
use tokio::sync::watch;

/// How a plain server behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlainFault {
    /// It runs the request and answers 500, under its own seal.
    Fails,
    /// It runs the request, then answers with another request's id.
    Foreign,
    /// It turns every request away.
    Full,
    /// It runs the request and never answers.
    Mute,
    #[default]
    None,
    /// It runs the request, then cuts the connection.
    Reset,
    /// It runs the request until its time is over and answers 504.
    TimesOut,
}

/// What a server is told of who asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// The caller's key; no server may see it.
    pub key: Option<String>,
    pub request: String,
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

/// A running server; dropping it ends it.
pub struct PlainServer {
    pub address: SocketAddr,
    pub id: String,
    inner: Arc<Inner>,
    _server: Server,
}

struct Inner {
    clock: Clock,
    /// The body of requests that end it once they have run.
    fatal_body: Mutex<Option<Bytes>>,
    fault: Mutex<PlainFault>,
    /// Its present life.
    incarnation: Mutex<String>,
    /// Requests that it works on now.
    open_requests: AtomicU32,
    /// The ids of the requests that it ran, and when.
    runs: Mutex<Vec<(String, Millis)>>,
    /// Who asked for each of them.
    identities: Mutex<Vec<RequestIdentity>>,
    /// Brings it down and up; set once it listens.
    switch: OnceLock<Arc<watch::Sender<bool>>>,
    service_time: Mutex<Millis>,
}

impl PlainServer {
    /// Opens a server on a free port.
    pub async fn open(id: &str) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            clock: Clock::open(),
            fatal_body: Mutex::default(),
            fault: Mutex::default(),
            incarnation: Mutex::new(id.to_owned()),
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
            _server: server,
        })
    }

    /// Sets how it behaves from now on.
    pub fn set_fault(&self, fault: PlainFault) {
        *lock(&self.inner.fault) = fault;
    }

    /// Lets each request with this body end the server.
    pub fn set_fatal_body(&self, body: &str) {
        *lock(&self.inner.fatal_body) = Some(Bytes::copy_from_slice(body.as_bytes()));
    }

    /// Ends it, with all that it is working on.
    pub fn crash(&self) {
        self.inner.set_online(false);
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.inner.switch.get().is_some_and(|up| *up.borrow())
    }

    /// Starts it again after its end, as another life.
    pub fn restart(&self, incarnation: &str) {
        incarnation.clone_into(&mut lock(&self.inner.incarnation));
        self.inner.set_online(true);
    }

    /// Sets what a request takes from now on.
    pub fn set_service_time(&self, service_time: Millis) {
        *lock(&self.inner.service_time) = service_time;
    }

    /// Requests that it works on now.
    pub fn open_requests(&self) -> u32 {
        self.inner.open_requests.load(Ordering::Relaxed)
    }

    /// How often it ran the request called `id`.
    pub fn runs_of(&self, id: &str) -> usize {
        let runs = lock(&self.inner.runs);
        runs.iter().filter(|(run, _)| run == id).count()
    }

    /// How many requests it ran whose ids begin with `prefix`.
    pub fn runs_with_prefix(&self, prefix: &str) -> usize {
        let runs = lock(&self.inner.runs);
        runs.iter()
            .filter(|(run, _)| run.starts_with(prefix))
            .count()
    }

    /// Who asked for the requests that it ran.
    pub fn identities(&self) -> Vec<RequestIdentity> {
        lock(&self.inner.identities).clone()
    }

    /// All requests that it ran.
    pub fn run_count(&self) -> usize {
        lock(&self.inner.runs).len()
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a>(&'a AtomicU32);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Inner {
    /// Ends the server after `work`, whether the request's caller waits or not.
    fn crash_after(self: &Arc<Self>, service_time: Millis) {
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(service_time.as_duration()).await;
            server.set_online(false);
        });
    }

    fn set_online(&self, up: bool) {
        if let Some(switch) = self.switch.get() {
            switch.send_replace(up);
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let expected = head.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != lock(&self.incarnation).as_str()) {
            return Ok(text(StatusCode::MISDIRECTED_REQUEST, "text/plain", ""));
        }
        let fault = *lock(&self.fault);
        if fault == PlainFault::Full {
            let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
            let value = HeaderValue::from_static("1");
            answer.headers_mut().insert("x-not-executed", value);
            return Ok(answer);
        }
        let id = head.headers.get("x-attempt-id").cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static(""));
        let name = id.to_str().unwrap_or_default().to_owned();
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
            PlainFault::Reset => return Err(io::Error::other("reset on command")),
            PlainFault::Fails
            | PlainFault::Foreign
            | PlainFault::Full
            | PlainFault::None
            | PlainFault::TimesOut => {}
        }
        let status = match fault {
            PlainFault::Fails => StatusCode::INTERNAL_SERVER_ERROR,
            PlainFault::TimesOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::OK,
        };
        let mut answer = text(status, "text/plain", body);
        let headers = answer.headers_mut();
        let echoed = match fault {
            PlainFault::Foreign => HeaderValue::from_static("another"),
            _ => id,
        };
        headers.insert("x-attempt-id", echoed);
        let seal = HeaderValue::try_from(format!("seal-{name}"));
        headers.insert("x-response-signature", seal.map_err(io::Error::other)?);
        Ok(answer)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
