//! The stand-in platform's handle and its HTTP interface.

use super::{
    Faults,
    Table,
    weights::Weights, //
};
use crate::server::{
    Server,
    read_body, //
    read_json,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method,
    Request,
    StatusCode,
    body::Incoming,
    header::{ETAG, HeaderValue, IF_NONE_MATCH}, //
};
use redwingpond::{
    base::Clock,
    duty::{Answer, json, text},
    table::{Instance, Transaction, Write}, //
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration, //
};

/// The numbers of requests by kind, including failed and repeated writes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    pub list_reads: u64,
    pub object_reads: u64,
    pub object_writes: u64,
    pub table_reads: u64,
    pub table_writes: u64,
}

/// A running platform; dropping it stops it.
pub struct Platform {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    _server: Server,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    weights: Weights,
}

#[derive(Default)]
struct State {
    counts: Counts,
    faults: Faults,
    /// The versions of the instance list, oldest first, each with the time of its
    /// change in milliseconds.
    instance_lists: VecDeque<(u64, BTreeMap<String, Instance>)>,
    objects: BTreeMap<String, Bytes>,
    table: Table,
}

/// How long a request hangs during an outage before its connection is closed.
const OUTAGE_HANG: Duration = Duration::from_millis(300);

impl Platform {
    /// Starts a platform whose weight store runs up to `max_copies` copies at once,
    /// each taking `copy_time`.
    pub async fn open(
        address: SocketAddr,
        max_copies: usize,
        copy_time: Duration,
    ) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            clock: Clock::open(),
            state: Mutex::default(),
            weights: Weights::new(max_copies, copy_time),
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let server = Server::open_shared(address, &inner, answer).await?;
        Ok(Self {
            address: server.address,
            inner,
            _server: server,
        })
    }

    /// The numbers of requests so far.
    pub fn counts(&self) -> Counts {
        self.inner.state().counts
    }

    /// Writes settings at an operator's path, over any existing ones.
    pub fn apply(&self, path: &str, value: &str) {
        let mut state = self.inner.state();
        let path = format!("{}{path}", redwingpond::settings::SETTINGS_PREFIX);
        let expect = state.table.get(&path).map_or(0, |row| row.version);
        let token = format!("standin-{path}-{expect}");
        let value = Some(value.to_owned());
        let writes = vec![Write {
            expect,
            path,
            value,
        }];
        state.table.transact(Transaction { token, writes });
    }

    /// Publishes a model's weights.
    pub fn publish(&self, model: &str, version: u64) {
        self.inner.weights.publish(model, version);
    }

    /// Adds an instance to the list, or replaces it.
    pub fn put_instance(&self, instance: Instance) {
        self.inner.update_instances(|list| {
            list.insert(instance.name.clone(), instance);
        });
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.inner.update_instances(|list| {
            list.remove(name);
        });
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.state().faults = faults;
    }
}

impl Inner {
    async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        if let Some(rest) = path.strip_prefix("/admin/") {
            return self.answer_admin(&parts.method, rest, body).await;
        }
        if let Some(rest) = path.strip_prefix("/weights/") {
            return Ok(self.answer_weights(&parts.method, rest).await);
        }

        let faults = self.state().faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            tokio::time::sleep(OUTAGE_HANG).await;
            return Err(io::Error::other("connection closed by an injected outage"));
        }
        let body = read_body(body).await?;
        let has_etag = path == "/instances" || path == "/table";
        let answer = self.answer_store(&parts.method, &path, &query, body)?;
        match has_etag && parts.method == Method::GET {
            true => with_etag(answer, parts.headers.get(IF_NONE_MATCH)).await,
            false => Ok(answer),
        }
    }

    async fn answer_admin(
        &self,
        method: &Method,
        path: &str,
        body: Incoming,
    ) -> io::Result<Answer> {
        match (method, path) {
            (&Method::GET, "counts") => return Ok(json(StatusCode::OK, &self.state().counts)),
            (&Method::POST, "faults") => {
                let faults = read_json(body).await?;
                self.state().faults = faults;
            }
            (&Method::POST, "instances") => {
                let instance: Instance = read_json(body).await?;
                self.update_instances(|list| {
                    list.insert(instance.name.clone(), instance);
                });
            }
            (&Method::DELETE, path) => {
                let name = path.strip_prefix("instances/").unwrap_or_default();
                self.update_instances(|list| {
                    list.remove(name);
                });
            }
            _ => return Ok(plain(StatusCode::NOT_FOUND, "no such admin call\n")),
        }
        Ok(plain(StatusCode::OK, "ok\n"))
    }

    async fn answer_weights(&self, method: &Method, path: &str) -> Answer {
        let parsed = path.rsplit_once('/').and_then(|(model, version)| {
            let version = version.parse().ok()?;
            Some((model, version))
        });
        let Some((model, version)) = parsed else {
            return plain(StatusCode::BAD_REQUEST, "expected MODEL/VERSION\n");
        };
        if method == Method::PUT {
            self.weights.publish(model, version);
            return plain(StatusCode::CREATED, "ok\n");
        }
        match self.weights.copy(model, version).await {
            true => plain(StatusCode::OK, "ok\n"),
            false => plain(StatusCode::NOT_FOUND, "no such weights\n"),
        }
    }

    fn answer_store(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> io::Result<Answer> {
        let mut state = self.state();
        if path == "/instances" {
            state.counts.list_reads += 1;
            let lag = state.faults.lag_ms;
            let list = state.instances_at(self.clock.now().0.saturating_sub(lag));
            return Ok(json(StatusCode::OK, &list));
        }
        if let Some(key) = path.strip_prefix("/objects/") {
            return Ok(state.answer_object(method, key, body));
        }
        match (method, path) {
            (&Method::POST, "/table") => {
                let transaction = serde_json::from_slice(&body).map_err(io::Error::other)?;
                state.counts.table_writes += 1;
                let outcome = state.table.transact(transaction);
                if state.faults.lose_answers > 0 {
                    state.faults.lose_answers -= 1;
                    return Err(io::Error::other("answer dropped by an injected fault"));
                }
                Ok(json(StatusCode::OK, &outcome))
            }
            (&Method::GET, "/table") => {
                state.counts.table_reads += 1;
                let prefix = query.strip_prefix("prefix=").unwrap_or_default();
                Ok(json(StatusCode::OK, &state.table.list(prefix)))
            }
            (&Method::GET, path) => {
                state.counts.table_reads += 1;
                let row = path.strip_prefix("/table/");
                match row.and_then(|path| state.table.get(path)) {
                    Some(row) => Ok(json(StatusCode::OK, row)),
                    None => Ok(plain(StatusCode::NOT_FOUND, "no such row\n")),
                }
            }
            _ => Ok(plain(StatusCode::NOT_FOUND, "no such resource\n")),
        }
    }

    /// Adds a changed version of the instance list, and keeps the latest 1,024 for reads that
    /// [`Faults::lag_ms`] delays.
    fn update_instances(&self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        let now = self.clock.now().0;
        let mut state = self.state();
        let latest = state.instance_lists.back();
        let mut list = latest.map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        state.instance_lists.push_back((now, list));
        if state.instance_lists.len() > 1_024 {
            state.instance_lists.pop_front();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// The instance list as it was at `at`.
    fn instances_at(&self, at: u64) -> Vec<Instance> {
        let mut lists = self.instance_lists.iter().rev();
        let list = lists.find(|(since, _)| *since <= at);
        list.map(|(_, list)| list.values().cloned().collect())
            .unwrap_or_default()
    }

    fn answer_object(&mut self, method: &Method, key: &str, body: Bytes) -> Answer {
        if method == Method::PUT {
            self.counts.object_writes += 1;
            if self.objects.contains_key(key) {
                return plain(StatusCode::CONFLICT, "there is one\n");
            }
            self.objects.insert(key.to_owned(), body);
            return plain(StatusCode::CREATED, "ok\n");
        }
        self.counts.object_reads += 1;
        match self.objects.get(key) {
            Some(object) => text(StatusCode::OK, "application/octet-stream", object.clone()),
            None => plain(StatusCode::NOT_FOUND, "no such object\n"),
        }
    }
}

/// Adds an `ETag` that hashes the content, or answers 304 if the client already has it.
async fn with_etag(answer: Answer, known: Option<&HeaderValue>) -> io::Result<Answer> {
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let tag = format!("\"{:016x}\"", redwingpond::base::stable_hash(&[&body]));
    let tag = HeaderValue::from_str(&tag).map_err(io::Error::other)?;
    let mut answer = match known == Some(&tag) {
        true => plain(StatusCode::NOT_MODIFIED, ""),
        false => text(parts.status, "application/json", body),
    };
    answer.headers_mut().insert(ETAG, tag);
    Ok(answer)
}

fn plain(status: StatusCode, body: &'static str) -> Answer {
    text(status, "text/plain", body)
}
