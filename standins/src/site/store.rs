//! A stand-in for the users' store, with its HTTP interface.

use super::{
    Outage,
    Rows,
    StoreFaults,
    rows::{Change, RowKey}, //
};
use crate::server::Server;
use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};
use http_body_util::BodyExt;
use hyper::{
    Method,
    Request,
    StatusCode,
    body::Incoming, //
};
use percent_encoding::percent_decode_str;
use redwingpond::{
    base::{Clock, Millis},
    batch::{WORK, WorkKey},
    duty::{Answer, text}, //
};
use serde::Deserialize;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicU64, Ordering}, //
    },
};
use tokio::sync::watch;

/// A running store; dropping it stops the server.
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    _server: Server,
}

/// One address of the store, with its own faults.
struct Inner {
    faults: Mutex<StoreFaults>,
    shared: Arc<Shared>,
}

/// What all addresses of a store have in common.
struct Shared {
    /// Counts up to wake held feed requests, after a write or a change of the faults.
    changed: watch::Sender<u64>,
    clock: Clock,
    /// GET requests received.
    reads: AtomicU64,
    rows: Mutex<Rows>,
    /// Transactions received.
    writes: AtomicU64,
}

/// The body of a transaction request.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTransaction {
    expected_rev: Vec<WireKey>,
    remove: Vec<WireKey>,
    set_keys: Vec<WireKey>,
}

/// A row in a transaction: `value` if the row is set, `ver` if its revision is expected.
#[derive(Deserialize)]
struct WireKey {
    key: String,
    part: String,
    table: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
}

impl WireKey {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

impl WireTransaction {
    /// Whether the transaction writes a runner's claim.
    fn sets_claim(&self) -> bool {
        let mut rows = self.set_keys.iter().filter(|row| row.table == WORK);
        rows.any(|row| matches!(WorkKey::parse(&row.key), Some(WorkKey::Claim(_))))
    }
}

impl Store {
    /// Starts an empty store on a free port.
    pub async fn open() -> io::Result<Self> {
        Self::open_address(Arc::new(Shared {
            changed: watch::Sender::new(0),
            clock: Clock::open(),
            reads: AtomicU64::new(0),
            rows: Mutex::default(),
            writes: AtomicU64::new(0),
        }))
        .await
    }

    /// Opens another address of the same store, with faults of its own: the store may fail for
    /// some machines only.
    pub async fn open_another(&self) -> io::Result<Self> {
        Self::open_address(self.inner.shared.clone()).await
    }

    async fn open_address(shared: Arc<Shared>) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            faults: Mutex::default(),
            shared,
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::open_shared(address, &inner, answer).await?;
        Ok(Self {
            address: server.address,
            inner,
            _server: server,
        })
    }

    /// Replaces the store's faults from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.inner.faults) = faults;
        self.inner.notify_feeds();
    }

    /// Forgets the history of changes; feeds that need it are answered with 410.
    pub fn forget_history(&self) {
        lock(&self.inner.shared.rows).forget_history();
    }

    /// Writes a row with a JSON value as operators and backend servers do, regardless of
    /// the faults; `None` removes the row.
    pub fn put(&self, table: &str, key: &str, value: Option<&serde_json::Value>) {
        let value = value.map(|value| BASE64_STANDARD.encode(value.to_string()));
        self.write(table, "", key, value);
    }

    /// Writes a row with `value` unchanged, even if it isn't valid base64.
    pub fn put_raw(&self, table: &str, key: &str, value: &str) {
        self.write(table, "", key, Some(value.to_owned()));
    }

    /// Writes a row of a part as another runner or gateway would.
    pub fn put_row(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        self.write(table, part, key, Some(BASE64_STANDARD.encode(value)));
    }

    /// Removes a row of a part as another runner would.
    pub fn remove_row(&self, table: &str, part: &str, key: &str) {
        self.write(table, part, key, None);
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        // A transaction without expected revisions can't fail.
        let _ = lock(&self.inner.shared.rows).transact(&[], vec![(row_key, value)]);
        self.inner.notify_feeds();
    }

    /// The value of a row; `None` if there is none or its value isn't valid base64.
    pub fn row(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        let row = lock(&self.inner.shared.rows).row(&row_key)?;
        BASE64_STANDARD.decode(row.value?).ok()
    }

    /// The number of rows in a part, over all tables.
    pub fn rows_in_part(&self, part: &str) -> usize {
        lock(&self.inner.shared.rows).rows_in_part(part)
    }

    /// The number of rows in a part of `table`.
    pub fn rows_in_table(&self, table: &str, part: &str) -> usize {
        lock(&self.inner.shared.rows).rows_in_table(table, part)
    }

    /// The number of GET requests so far, answered or not.
    pub fn reads(&self) -> u64 {
        self.inner.shared.reads.load(Ordering::Relaxed)
    }

    /// The number of transactions executed or delayed so far.
    pub fn writes(&self) -> u64 {
        self.inner.shared.writes.load(Ordering::Relaxed)
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Answer> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let query: HashMap<String, String> = head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| {
                (
                    name.to_owned(),
                    percent_decode_str(value).decode_utf8_lossy().into_owned(),
                )
            })
            .collect();
        if head.method == Method::GET {
            self.shared.reads.fetch_add(1, Ordering::Relaxed);
        }
        let faults = *lock(&self.faults);
        if let Some(answer) = self.outage_answer().await? {
            return Ok(answer);
        }
        tokio::time::sleep(faults.delay.as_duration()).await;

        let get = |name: &str| query.get(name).map_or("", String::as_str);
        match (head.method, head.uri.path()) {
            (Method::POST, "/redwingpond/rows-tx") => self.transact(&body, faults).await,
            (Method::GET, "/redwingpond/rows-get") => {
                let limit = get("limit").parse().unwrap_or(500);
                let rows = lock(&self.shared.rows);
                let (found, more) = rows.list(get("table"), get("part"), get("from"), limit);
                Ok(self.listing(StatusCode::OK, &rows, &found, more))
            }
            (Method::GET, "/redwingpond/rows-parts") => {
                let rows = lock(&self.shared.rows);
                let parts = rows.parts(get("table"));
                let now = self.shared.clock.now().0;
                let body = serde_json::json!(
                    {"parts": parts, "hasMore": false, "ver": rows.revision, "nowMs": now}
                );
                Ok(text(StatusCode::OK, "application/json", body.to_string()))
            }
            (Method::GET, "/redwingpond/rows-feed") => {
                let after = get("startAfter").parse().unwrap_or(0);
                let max_wait = get("waitMs").parse().unwrap_or(0);
                let found = self.feed(get("table"), after, Millis(max_wait)).await;
                // An outage that began meanwhile also applies to held requests.
                Ok(self.outage_answer().await?.unwrap_or(found))
            }
            _ => Ok(status(404)),
        }
    }

    /// The answer during an outage; `None` if there is no outage.
    async fn outage_answer(&self) -> io::Result<Option<Answer>> {
        let outage = lock(&self.faults).outage;
        match outage {
            Outage::Busy => Ok(Some(status(503))),
            Outage::None => Ok(None),
            Outage::Reset => Err(io::Error::other("reset by an injected fault")),
            Outage::Silent => std::future::pending().await,
        }
    }

    /// Executes a transaction request as the faults at its arrival demand.
    async fn transact(self: Arc<Self>, body: &[u8], faults: StoreFaults) -> io::Result<Answer> {
        let wire: WireTransaction = serde_json::from_slice(body).map_err(io::Error::other)?;
        let count = self.shared.writes.fetch_add(1, Ordering::Relaxed) + 1;
        let due = |every: u64| count.is_multiple_of(every.max(1));
        if let Some((_, delay)) = faults.late_writes.filter(|(every, _)| due(*every)) {
            tokio::spawn(async move {
                tokio::time::sleep(delay.as_duration()).await;
                self.apply(&wire);
            });
            return std::future::pending().await;
        }
        let answer = self.execute(&wire);
        let is_lost = answer.status() == StatusCode::OK && wire.sets_claim() && self.lose_claim();
        self.notify_feeds();
        if is_lost {
            return Err(io::Error::other("reset by an injected fault"));
        }
        match faults.lost_answers.is_some_and(due) {
            true => std::future::pending().await,
            false => Ok(answer),
        }
    }

    /// Whether the answer to a claim that was just stored is lost; the store then fails.
    fn lose_claim(&self) -> bool {
        let mut faults = lock(&self.faults);
        let Some((count, outage)) = faults.lost_claim else {
            return false;
        };
        let is_lost = count <= 1;
        faults.lost_claim = (!is_lost).then_some((count - 1, outage));
        if is_lost {
            faults.outage = outage;
        }
        is_lost
    }

    /// Applies a transaction and wakes held feed requests.
    fn apply(&self, wire: &WireTransaction) {
        self.execute(wire);
        self.notify_feeds();
    }

    /// Applies a transaction; answers 412 with the expected rows if one of them has changed.
    fn execute(&self, wire: &WireTransaction) -> Answer {
        let expected: Vec<(RowKey, u64)> = wire
            .expected_rev
            .iter()
            .map(|key| (key.row_key(), key.ver))
            .collect();
        let set = wire
            .set_keys
            .iter()
            .map(|key| (key.row_key(), key.value.clone()));
        let removed = wire.remove.iter().map(|key| (key.row_key(), None));
        let changes = set.chain(removed).collect();
        let mut rows = lock(&self.shared.rows);
        match rows.transact(&expected, changes) {
            Ok(_) => self.listing(StatusCode::OK, &rows, &[], false),
            Err(found) => self.listing(StatusCode::PRECONDITION_FAILED, &rows, &found, false),
        }
    }

    /// Answers with the changes of a table after a revision; waits up to `max_wait` for one.
    async fn feed(&self, table: &str, after: u64, max_wait: Millis) -> Answer {
        let deadline = self.shared.clock.now() + max_wait;
        let mut changed = self.shared.changed.subscribe();
        loop {
            {
                let rows = lock(&self.shared.rows);
                match rows.changes(table, after) {
                    None => return status(410),
                    Some(found) if !found.is_empty() => {
                        return self.listing(StatusCode::OK, &rows, &found, false);
                    }
                    Some(_) => {}
                }
            }
            let left = deadline.since(self.shared.clock.now());
            let unreachable = lock(&self.faults).outage != Outage::None;
            if left == Millis(0) || unreachable {
                return self.listing(StatusCode::OK, &lock(&self.shared.rows), &[], false);
            }
            let _ = tokio::time::timeout(left.as_duration(), changed.changed()).await;
        }
    }

    /// An answer with rows, as JSON.
    fn listing(&self, status: StatusCode, rows: &Rows, found: &[Change], more: bool) -> Answer {
        let records: Vec<serde_json::Value> = found.iter().map(record).collect();
        let now = self.shared.clock.now().0;
        let body = serde_json::json!(
            {"records": records, "hasMore": more, "ver": rows.revision, "nowMs": now}
        );
        text(status, "application/json", body.to_string())
    }

    /// Wakes held feed requests.
    fn notify_feeds(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

/// A row or its removal, as JSON.
fn record(change: &Change) -> serde_json::Value {
    let (table, part, key) = &change.key;
    let mut record = serde_json::json!(
        {"table": table, "part": part, "key": key, "ver": change.revision}
    );
    match &change.value {
        Some(value) => record["value"] = value.clone().into(),
        None => record["deleted"] = true.into(),
    }
    record
}

/// An empty JSON answer with a status.
fn status(code: u16) -> Answer {
    let status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    text(status, "application/json", "{}")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
