//! The platform's metadata store: rows, transactions, listings and feeds.

use crate::{
    http::{self, Channel, Message},
    json::{self, Json},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Table, part and key.
type Name = (String, String, String);

/// The value in base64; `None` for a removed row.
type Value = Option<String>;

#[derive(Default)]
struct State {
    rows: BTreeMap<Name, (Value, u64)>,
    ver: u64,
}

struct Shared {
    changed: Condvar,
    is_down: AtomicBool,
    start: Instant,
    state: Mutex<State>,
}

/// A running store. It runs until the script ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The time of a transaction.
const TX_TIME: Duration = Duration::from_millis(4);

/// The most rows in one answer.
const MAX_ROWS: usize = 500;

/// `nowMs` at the start.
const FIRST_MS: u64 = 60_000;

impl Store {
    pub fn open() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
            start: Instant::now(),
            state: Mutex::default(),
        });
        let server = shared.clone();
        let address = http::serve(move |channel| server.serve(channel))?;
        Ok(Self { address, shared })
    }

    /// While the store is down, it answers nothing, and calls have no effect.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.store(is_down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Writes a row as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let value = crate::base64::encode(value.to_string().as_bytes());
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.shared.state();
        state.ver += 1;
        let ver = state.ver;
        state.rows.insert(name, (Some(value), ver));
        self.shared.changed.notify_all();
    }
}

impl Store {
    /// Removes a sampler's entry.
    pub fn remove_server(&self, id: &str) {
        let name = ("servers".to_owned(), String::new(), id.to_owned());
        let mut state = self.shared.state();
        state.ver += 1;
        let ver = state.ver;
        state.rows.insert(name, (None, ver));
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no call panics")
    }

    fn serve(&self, mut channel: Channel) {
        while let Some(request) = channel.next() {
            let answer = self.answer(&request);
            if self.is_down.load(Ordering::SeqCst) {
                // A channel on which an answer is lost delivers nothing further.
                while channel.next().is_some() {}
                return;
            }
            let (status, body) = answer;
            let headers = [("Content-Type", "application/json")];
            let bytes = http::response(status, &headers, body.to_string().as_bytes());
            if channel.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        if self.is_down.load(Ordering::SeqCst) {
            return (503, Json::Null);
        }
        let query = |name: &str| request.query(name).to_owned();
        match (request.method.as_str(), request.path()) {
            ("POST", "/redwingpond/rows-tx") => self.transact(&request.body),
            ("GET", "/redwingpond/rows-get") => {
                let limit = query("limit").parse().unwrap_or(MAX_ROWS);
                self.list(&query("table"), &query("part"), &query("from"), limit)
            }
            ("GET", "/redwingpond/rows-parts") => {
                let state = self.state();
                let rows = state.rows.iter().filter(|(_, (value, _))| value.is_some());
                let mut parts: Vec<&String> = rows
                    .filter(|((table, ..), _)| *table == query("table"))
                    .map(|((_, part, _), _)| part)
                    .collect();
                parts.dedup();
                let parts = parts
                    .into_iter()
                    .filter(|part| **part > query("startAfter"));
                let parts = json::list(parts.map(|part| json::text(part.as_str())));
                let more = Json::Bool(false);
                (
                    200,
                    self.with_clock(vec![("parts", parts), ("hasMore", more)], state.ver),
                )
            }
            ("GET", "/redwingpond/rows-feed") => {
                let after = query("startAfter").parse().unwrap_or(0);
                let wait = query("waitMs").parse().unwrap_or(0);
                self.feed(&query("table"), after, Duration::from_millis(wait))
            }
            _ => (404, Json::Null),
        }
    }

    fn with_clock(&self, mut fields: Vec<(&str, Json)>, ver: u64) -> Json {
        let now = FIRST_MS + self.start.elapsed().as_millis() as u64;
        fields.push(("ver", json::number(ver)));
        fields.push(("nowMs", json::number(now)));
        let fields = fields.into_iter();
        Json::Table(fields.map(|(key, value)| (key.to_owned(), value)).collect())
    }

    fn transact(&self, body: &[u8]) -> (u16, Json) {
        let Some(wire) = Json::parse(body) else {
            return (400, Json::Null);
        };
        thread::sleep(TX_TIME);
        let mut state = self.state();
        let holds = |row: &Json| {
            let found = state
                .rows
                .get(&name(row))
                .filter(|(value, _)| value.is_some());
            found.map_or(0, |(_, ver)| *ver) == row.get("ver").number()
        };
        let expected = wire.get("expectedRev").list();
        if !expected.iter().all(holds) {
            let known = expected.iter().filter_map(|row| {
                let row = name(row);
                let (value, ver) = state.rows.get(&row)?;
                value.as_ref()?;
                Some(record(&row, value, *ver))
            });
            let records = json::list(known.collect::<Vec<_>>());
            return (412, self.with_clock(vec![("records", records)], state.ver));
        }
        state.ver += 1;
        let ver = state.ver;
        for row in wire.get("setKeys").list() {
            let value = row.get("value").text().to_owned();
            state.rows.insert(name(row), (Some(value), ver));
        }
        for row in wire.get("remove").list() {
            state.rows.insert(name(row), (None, ver));
        }
        self.changed.notify_all();
        (200, self.with_clock(Vec::new(), ver))
    }

    fn list(&self, table: &str, part: &str, from: &str, limit: usize) -> (u16, Json) {
        let state = self.state();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let rows = state.rows.range(first..);
        let rows = rows.take_while(|((of, in_part, _), _)| of == table && in_part == part);
        let rows: Vec<_> = rows.filter(|(_, (value, _))| value.is_some()).collect();
        let limit = limit.min(MAX_ROWS);
        let more = rows.len() > limit;
        let rows = rows.into_iter().take(limit);
        let records = json::list(rows.map(|(name, (value, ver))| record(name, value, *ver)));
        let fields = vec![("records", records), ("hasMore", Json::Bool(more))];
        (200, self.with_clock(fields, state.ver))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let changed =
                |(name, (_, ver)): &(&Name, &(Value, u64))| name.0 == table && *ver > after;
            let mut rows: Vec<_> = state.rows.iter().filter(changed).collect();
            rows.sort_by_key(|(_, (_, ver))| *ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() || self.is_down.load(Ordering::SeqCst) {
                let records = rows.into_iter();
                let records =
                    json::list(records.map(|(name, (value, ver))| record(name, value, *ver)));
                return (200, self.with_clock(vec![("records", records)], state.ver));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .expect("no call panics")
                .0;
        }
    }
}

fn name(row: &Json) -> Name {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn record((table, part, key): &Name, value: &Value, ver: u64) -> Json {
    let last = match value {
        Some(value) => ("value", json::text(value.as_str())),
        None => ("deleted", Json::Bool(true)),
    };
    json::table([
        ("table", json::text(table.as_str())),
        ("part", json::text(part.as_str())),
        ("key", json::text(key.as_str())),
        ("ver", json::number(ver)),
        last,
    ])
}
