//! A stand-in for the platform's metadata store: rows with conditions, listings and the feed.

use crate::{
    http::{Reply, Request, Response, serve},
    json::{Json, quote},
};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    /// The present rows: value in base64, and version.
    rows: BTreeMap<Name, (String, u64)>,
    /// Version, name and value of each change; no value for a removal.
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
    /// When the reading and writing calls of the last second came.
    reads: VecDeque<Instant>,
    writes: VecDeque<Instant>,
}

/// The rates of the site file: reading and writing calls a second of all nodes together.
#[derive(Clone, Copy)]
pub struct Rates {
    pub reads: usize,
    pub writes: usize,
}

/// How long a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// The most rows, and about the most bytes, of one answer.
const MOST_ROWS: usize = 500;
const MOST_BYTES: usize = 1_000_000;

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Rows>, Condvar)>,
    begun: Instant,
    rates: Rates,
}

impl Store {
    /// Serves an empty store at `address`.
    pub fn open(address: SocketAddr, rates: Rates) -> io::Result<Self> {
        let store = Self {
            inner: Arc::default(),
            begun: Instant::now(),
            rates,
        };
        let served = store.clone();
        serve(address, move |request, _| {
            Reply::Whole(served.answer(request))
        })?;
        Ok(store)
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.inner.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator or a sampler does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = crate::json::base64(text.as_bytes());
        self.rows().change(vec![(name, Some(value))]);
        self.inner.1.notify_all();
    }

    /// The parts of `table`.
    pub fn parts(&self, table: &str) -> Vec<String> {
        let rows = self.rows();
        let mut parts: Vec<String> = Vec::new();
        for (of, part, _) in rows.rows.keys() {
            if of == table && parts.last() != Some(part) {
                parts.push(part.clone());
            }
        }
        parts
    }

    fn answer(&self, request: &Request) -> Response {
        let reads = request.method == "GET";
        if !self.rows().admit(reads, self.rates) {
            return Response::new(429, &[], "");
        }
        thread::sleep(CALL_TIME);
        match request.path() {
            "/redwingpond/rows-tx" => self.transact(request),
            "/redwingpond/rows-get" => self.read(request),
            "/redwingpond/rows-parts" => self.list_parts(request),
            "/redwingpond/rows-feed" => self.feed(request),
            _ => Response::new(404, &[], ""),
        }
    }

    fn respond(&self, status: u16, version: u64, rest: &str) -> Response {
        let now = self.begun.elapsed().as_millis() + 1_000_000;
        let body = format!("{{\"ver\":{version},\"nowMs\":{now}{rest}}}");
        Response::new(status, &[("Content-Type", "application/json")], body)
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(body) = Json::read(&request.body) else {
            return Response::new(400, &[], "");
        };
        let name = |row: &Json| -> Name {
            (
                row.get("table").text().to_owned(),
                row.get("part").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let expected = body.get("expectedRev").list();
        let mut rows = self.rows();
        let current = |rows: &Rows, row: &Json| rows.rows.get(&name(row)).map_or(0, |row| row.1);
        if expected
            .iter()
            .any(|row| current(&rows, row) != row.get("ver").number())
        {
            let found = expected.iter().filter_map(|row| {
                let name = name(row);
                let (value, version) = rows.rows.get(&name)?.clone();
                Some(record(&name, Some(&value), version))
            });
            let found: Vec<String> = found.collect();
            let rest = format!(",\"records\":[{}]", found.join(","));
            return self.respond(412, rows.version, &rest);
        }
        let set = body.get("setKeys").list().iter();
        let set = set.map(|row| (name(row), Some(row.get("value").text().to_owned())));
        let remove = body.get("remove").list().iter();
        let remove = remove.map(|row| (name(row), None));
        let changes: Vec<_> = set.chain(remove).collect();
        rows.change(changes);
        let version = rows.version;
        drop(rows);
        self.inner.1.notify_all();
        self.respond(200, version, "")
    }

    fn read(&self, request: &Request) -> Response {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let limit = request.query("limit").parse().unwrap_or(MOST_ROWS);
        let rows = self.rows();
        let first = (table.clone(), part.clone(), from);
        let mut found = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (name, (value, version)) in rows.rows.range(first..) {
            if (&name.0, &name.1) != (&table, &part) || (!to.is_empty() && name.2 >= to) {
                break;
            }
            if found.len() >= limit.min(MOST_ROWS) || bytes + value.len() > MOST_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            found.push(record(name, Some(value), *version));
        }
        let rest = format!(",\"records\":[{}],\"hasMore\":{more}", found.join(","));
        self.respond(200, rows.version, &rest)
    }

    fn list_parts(&self, request: &Request) -> Response {
        let after = request.query("startAfter");
        let all = self.parts(&request.query("table"));
        let mut left = all.into_iter().filter(|part| *part > after);
        let parts: Vec<String> = left.by_ref().take(1_000).map(|part| quote(&part)).collect();
        let more = left.next().is_some();
        let rest = format!(",\"parts\":[{}],\"hasMore\":{more}", parts.join(","));
        self.respond(200, self.rows().version, &rest)
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.query("table");
        let after: u64 = request.query("startAfter").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows();
        loop {
            let begin = rows.history.partition_point(|change| change.0 <= after);
            let changes = rows.history[begin..].iter();
            let mut latest: BTreeMap<&Name, (u64, &Option<String>)> = BTreeMap::new();
            for (version, name, value) in changes.filter(|change| change.1.0 == table) {
                latest.insert(name, (*version, value));
            }
            let mut latest: Vec<_> = latest.into_iter().collect();
            latest.sort_by_key(|(_, (version, _))| *version);
            let left = until.saturating_duration_since(Instant::now());
            if !latest.is_empty() || left.is_zero() {
                let records: Vec<String> = latest
                    .iter()
                    .map(|(name, (version, value))| record(name, value.as_ref(), *version))
                    .collect();
                let rest = format!(",\"records\":[{}]", records.join(","));
                return self.respond(200, rows.version, &rest);
            }
            let waited = self.inner.1.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn record(name: &Name, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = (quote(&name.0), quote(&name.1), quote(&name.2));
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"ver\":{version}}}")
}

impl Rows {
    /// Applies changes as one transaction.
    fn change(&mut self, changes: Vec<(Name, Option<String>)>) {
        self.version += 1;
        for (name, value) in changes {
            match &value {
                Some(value) => {
                    let row = (value.clone(), self.version);
                    self.rows.insert(name.clone(), row);
                }
                None => {
                    if self.rows.remove(&name).is_none() {
                        continue;
                    }
                }
            }
            self.history.push((self.version, name, value));
        }
    }

    /// Whether a call is within its rate.
    fn admit(&mut self, reads: bool, rates: Rates) -> bool {
        let now = Instant::now();
        let (calls, most) = match reads {
            true => (&mut self.reads, rates.reads),
            false => (&mut self.writes, rates.writes),
        };
        while calls
            .front()
            .is_some_and(|at| now - *at > Duration::from_secs(1))
        {
            calls.pop_front();
        }
        let admitted = calls.len() < most;
        if admitted {
            calls.push_back(now);
        }
        admitted
    }
}
