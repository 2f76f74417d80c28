//! The client of the platform's table.

use super::{
    store_probe::{PROBES, ProbePace},
    store_wire::{
        WireKey,
        WireListing,
        WireTransaction,
        rows,
        wire_key, //
    },
};
use crate::{
    base::{Clock, Millis},
    net::{Answer, CallError, Peer, Reach},
    policy::patience::AdaptiveTimeout,
    store::{Key, Listing, Outcome, Row, StoreError, Transaction}, //
};
use base64::{
    Engine,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError}, //
};

/// A client of the table; clones share their connections.
#[derive(Clone)]
pub struct Store {
    pub(super) clock: Clock,
    patience: Arc<Mutex<AdaptiveTimeout>>,
    pub(super) pace: Arc<ProbePace>,
    pub(super) peer: Peer,
    pub(super) reach: Arc<Reach>,
    /// The store's clock as read last, and when that was.
    time: Arc<Mutex<Option<(Millis, Millis)>>>,
}

/// The most rows in one answer of the store.
pub const ROWS_MOST: usize = 500;

/// What a call for changes may take beyond the time that the store holds it.
const FEED_SLACK: Millis = Millis(600);

impl Store {
    /// A client of the store at `address`.
    pub fn open(address: SocketAddr, clock: Clock) -> Self {
        Self {
            clock,
            pace: Arc::default(),
            patience: Arc::default(),
            peer: Peer::open(address, clock),
            reach: Arc::default(),
            time: Arc::default(),
        }
    }

    /// Whether the store does not answer this process.
    pub fn is_away(&self) -> bool {
        self.reach.is_away()
    }

    /// The store's clock, by the last answer; the local one before any.
    pub fn now(&self) -> Millis {
        let now = self.clock.now();
        let time = self.time.lock().unwrap_or_else(PoisonError::into_inner);
        match *time {
            Some((store, local)) => store + now.since(local),
            None => now,
        }
    }

    /// Does `transaction`, whose rows share one part.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] when it may have been done, or may be done later.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Outcome, StoreError> {
        let expected = transaction.expect.iter().map(|(key, revision)| WireKey {
            ver: Some(*revision),
            ..wire_key(key)
        });
        let set = transaction.set.iter().map(|(key, value)| WireKey {
            value: Some(BASE64_STANDARD.encode(value)),
            ..wire_key(key)
        });
        let wire = WireTransaction {
            expected_rev: expected.collect(),
            remove: transaction.remove.iter().map(wire_key).collect(),
            set_keys: set.collect(),
        };
        let body = serde_json::to_vec(&wire).map_err(|error| StoreError::Answer {
            message: error.to_string(),
        })?;
        let path = "/redwingpond/rows-tx";
        let answer = self.prompt(Method::POST, path, body).await?;
        let wire: WireListing = self.read(&answer)?;
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Ok(Outcome::Conflict {
                rows: rows(wire.records),
            }),
            _ => Ok(Outcome::Done { revision: wire.ver }),
        }
    }

    /// The rows of `part` from the key `from` on, as many as one answer holds.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store did not answer, or said why it can't.
    pub async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        most: usize,
    ) -> Result<Listing, StoreError> {
        let mut path = format!("/redwingpond/rows-get?table={table}&part={part}&limit={most}");
        if !from.is_empty() {
            path.push_str("&from=");
            path.push_str(from);
        }
        let answer = self.prompt(Method::GET, &path, Vec::new()).await?;
        self.listing(&answer)
    }

    /// The row that `key` names.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn row(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let listing = self.rows(key.table, &key.part, &key.key, 1).await?;
        Ok(listing.rows.into_iter().find(|row| row.key == key.key))
    }

    /// Asks whether the store answers this process; waits a while for one that is away.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn ask(&self) -> Result<(), StoreError> {
        self.rows(PROBES, "", "", 1).await.map(|_| ())
    }

    /// All rows of `part`, over as many calls as it takes. The revision is that
    /// of the first call, from which its changes can be followed.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn whole_part(&self, table: &str, part: &str) -> Result<Listing, StoreError> {
        let mut whole = self.rows(table, part, "", ROWS_MOST).await?;
        while whole.more {
            // The next answer begins with the last row of this one, which
            // takes its place.
            let Some(last) = whole.rows.pop() else {
                break;
            };
            let next = self.rows(table, part, &last.key, ROWS_MOST).await?;
            whole.more = next.more && next.rows.len() > 1;
            whole.rows.extend(next.rows);
        }
        Ok(whole)
    }

    /// The parts of `table`, and the revision before they were read.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn parts(&self, table: &str) -> Result<(Vec<String>, u64), StoreError> {
        let mut all: Vec<String> = Vec::new();
        let mut revision = u64::MAX;
        loop {
            let mut path = format!("/redwingpond/rows-parts?table={table}");
            if let Some(last) = all.last() {
                path.push_str("&startAfter=");
                path.push_str(last);
            }
            let answer = self.prompt(Method::GET, &path, Vec::new()).await?;
            let wire: WireListing = self.read(&answer)?;
            revision = revision.min(wire.ver);
            let last = wire.parts.is_empty();
            all.extend(wire.parts);
            if last || !wire.has_more {
                return Ok((all, revision));
            }
        }
    }

    /// The rows of `table` that changed after the revision `after`, waited for
    /// at most `hold`.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryLost`] when the store no longer keeps them.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        hold: Millis,
    ) -> Result<Listing, StoreError> {
        // The first answer after an outage tells that it is over: it must not wait for
        // a change.
        let hold = match self.reach.is_away() {
            true => Millis(0),
            false => hold,
        };
        self.wait_back(FEED_SLACK).await?;
        let path = format!(
            "/redwingpond/rows-feed?table={table}&startAfter={after}&waitMs={}",
            hold.0
        );
        let within = hold + FEED_SLACK;
        let answer = self.call(Method::GET, &path, Vec::new(), within).await?;
        self.listing(&answer)
    }

    /// A call that the store answers at once, as far as it can.
    async fn prompt(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, StoreError> {
        let within = self.patience().timeout(self.clock.now());
        self.wait_back(within).await?;
        let began = self.clock.now();
        let result = self.call(method, path, body, within).await;
        let now = self.clock.now();
        let taken = now.since(began);
        // A connection that is refused or breaks at once tells nothing.
        match &result {
            Ok(_) => self.patience().note(now, taken),
            Err(_) if taken >= within => self.patience().note_timeout(),
            Err(_) => {}
        }
        result
    }

    fn patience(&self) -> MutexGuard<'_, AdaptiveTimeout> {
        self.patience.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        within: Millis,
    ) -> Result<Answer, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.peer.address().to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::Answer {
                message: error.to_string(),
            })?;
        let returns = self.reach.returns();
        let result = tokio::select! {
            answer = self.peer.call(request, within) => {
                let result = outcome(answer);
                self.note(&result);
                result
            }
            () = self.reach.returned_since(returns) => {
                let address = self.peer.address();
                let source = CallError::Timeout { address, within };
                Err(StoreError::Unknown { source })
            }
        };
        let outcome = match &result {
            Ok(_) => "done",
            Err(StoreError::Unknown { .. }) => "unknown",
            Err(_) => "refused",
        };
        metrics::counter!("redwing_store_calls_total", "outcome" => outcome).increment(1);
        result
    }

    fn listing(&self, answer: &Answer) -> Result<Listing, StoreError> {
        let wire: WireListing = self.read(answer)?;
        Ok(Listing {
            rows: rows(wire.records),
            more: wire.has_more,
            revision: wire.ver,
        })
    }

    fn read(&self, answer: &Answer) -> Result<WireListing, StoreError> {
        let value: WireListing =
            serde_json::from_slice(&answer.body).map_err(|error| StoreError::Answer {
                message: error.to_string(),
            })?;
        let local = self.clock.now();
        let mut time = self.time.lock().unwrap_or_else(PoisonError::into_inner);
        *time = Some((Millis(value.now_ms.max(0.0) as u64), local));
        Ok(value)
    }
}

fn outcome(answer: Result<Answer, CallError>) -> Result<Answer, StoreError> {
    let answer = answer.map_err(|source| StoreError::Unknown { source })?;
    let status = answer.status.as_u16();
    match status {
        200 | 412 => Ok(answer),
        410 => Err(StoreError::HistoryLost),
        429 | 503 => Err(StoreError::NotDone { status }),
        _ => {
            let body = String::from_utf8_lossy(&answer.body);
            let body: String = body.chars().take(200).collect();
            tracing::error!(status, body, "the store refused a call");
            Err(StoreError::Refused { status })
        }
    }
}
