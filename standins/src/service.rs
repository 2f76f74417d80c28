//! A stand-in for a plain HTTP service, which counts the calls that it ran.
//!
//! | request | answer |
//! |---|---|
//! | any method at `/echo` | streams the request's body back |
//! | any method at `/work` | `{run, key, body}` after the service time |
//! | `GET /bytes/N` | N bytes |
//! | `POST /admin/faults` | sets the faults |
//! | `GET /admin/runs` | the number of runs of each request key and request id |

use crate::server::{
    Server,
    read_body, //
    read_json,
};
use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use redwingpond::duty::{
    Answer,
    json,
    text, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration, //
};
use tokio::sync::watch;

/// Faults that a service injects on request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to the service time of `/work`.
    pub delay_ms: u64,
    /// How many of the next calls to `/work` run but get no answer: the
    /// connection is closed instead. A call to `/echo` uses one up as well.
    pub lose_answers: u32,
}

/// How often each request key and each request id ran.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Runs {
    pub keys: HashMap<String, u32>,
    pub requests: HashMap<String, u32>,
}

/// A running service; dropping it stops it.
pub struct Service {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    server: Server,
}

struct Inner {
    service_time: Duration,
    state: Mutex<(Faults, Runs)>,
}

/// The answer of `/work`.
#[derive(Serialize)]
struct WorkResult {
    body: String,
    key: Option<String>,
    /// How often the request key, or without one the request id, has run.
    run: u32,
}

impl Service {
    /// Listens at `address`; `/work` takes `service_time`.
    pub async fn open(address: SocketAddr, service_time: Duration) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            service_time,
            state: Mutex::default(),
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let server = Server::open_shared(address, &inner, answer).await?;
        Ok(Self {
            address: server.address,
            inner,
            server,
        })
    }

    /// The runs so far.
    pub fn runs(&self) -> Runs {
        self.inner.state().1.clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.state().0 = faults;
    }

    /// The switch that takes the service down and brings it back.
    pub fn switch(&self) -> Arc<watch::Sender<bool>> {
        self.server.switch()
    }
}

impl Inner {
    async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let (parts, body) = request.into_parts();
        let header = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        match parts.uri.path() {
            "/admin/faults" => {
                let faults = read_json(body).await?;
                self.state().0 = faults;
                Ok(text(StatusCode::OK, "text/plain", "ok\n"))
            }
            "/admin/runs" => Ok(json(StatusCode::OK, &self.state().1)),
            "/echo" => {
                self.record_run(header("redwing-request-key"), header("redwing-request-id"));
                Ok(Response::new(body.map_err(io::Error::other).boxed_unsync()))
            }
            "/work" => {
                let body = read_body(body).await?;
                let key = header("redwing-request-key");
                let (run, faults) = self.record_run(key.clone(), header("redwing-request-id"));
                let time = self.service_time + Duration::from_millis(faults.delay_ms);
                if !time.is_zero() {
                    tokio::time::sleep(time).await;
                }
                if faults.lose_answers > 0 {
                    return Err(io::Error::other("answer dropped by an injected fault"));
                }
                let body = String::from_utf8_lossy(&body).into_owned();
                Ok(json(StatusCode::OK, &WorkResult { body, key, run }))
            }
            path => {
                let size = path.strip_prefix("/bytes/").and_then(|n| n.parse().ok());
                match size {
                    Some(size) => Ok(text(StatusCode::OK, "text/plain", vec![b'x'; size])),
                    None => Ok(text(StatusCode::NOT_FOUND, "text/plain", "no such path\n")),
                }
            }
        }
    }

    /// Counts a run; returns how often the key, or without one the request, has
    /// run, and the faults for this call.
    fn record_run(&self, key: Option<String>, request: Option<String>) -> (u32, Faults) {
        let mut state = self.state();
        let faults = state.0;
        state.0.lose_answers = faults.lose_answers.saturating_sub(1);
        let mut run = 0;
        if let Some(request) = request {
            let count = state.1.requests.entry(request).or_default();
            *count += 1;
            run = *count;
        }
        if let Some(key) = key {
            let count = state.1.keys.entry(key).or_default();
            *count += 1;
            run = *count;
        }
        (run, faults)
    }

    fn state(&self) -> MutexGuard<'_, (Faults, Runs)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
