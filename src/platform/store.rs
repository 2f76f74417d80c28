//! The client of the platform's store.

use super::{
    excerpt::excerpt,
    store_probe::{PROBE_TABLE, ProbeSchedule},
    store_wire::{
        WireKey,
        WireListing,
        WireTransaction,
        query_value,
        read_listing,
        rows,
        wire_key, //
    },
};
use crate::{
    base::{Clock, Millis},
    net::{CallError, FullResponse, Peer, Reachability},
    policy::adaptive_timeout::AdaptiveTimeout,
    store::{Key, Listing, Row, StoreError, Transaction, TransactionOutcome}, //
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

/// A client of the store. Clones share their connections, and what their calls show of the
/// store: whether it is reachable, its latency and its clock.
#[derive(Clone)]
pub struct Store {
    pub(super) clock: Clock,
    call_timeout: Arc<Mutex<AdaptiveTimeout>>,
    pub(super) probe_schedule: Arc<ProbeSchedule>,
    pub(super) peer: Peer,
    pub(super) reach: Arc<Reachability>,
    /// The store's clock in its latest answer, and the local time when it arrived.
    latest_time: Arc<Mutex<Option<(Millis, Millis)>>>,
}

/// The maximum number of rows that the store returns in one answer.
pub const MAX_READ_ROWS: usize = 500;

/// How much longer a call for changes may take than the store is asked to wait.
const FEED_TIMEOUT_MARGIN: Millis = Millis(600);

impl Store {
    /// Creates a client of the store at `address`.
    pub fn open(address: SocketAddr, clock: Clock) -> Self {
        Self {
            clock,
            probe_schedule: Arc::default(),
            call_timeout: Arc::default(),
            peer: Peer::open(address, clock),
            reach: Arc::default(),
            latest_time: Arc::default(),
        }
    }

    /// Whether the store is unreachable from this process.
    pub fn is_unreachable(&self) -> bool {
        self.reach.is_unreachable()
    }

    /// The present time by the store's clock, extrapolated from its latest answer; the
    /// local time before the first answer.
    pub fn now(&self) -> Millis {
        let now = self.clock.now();
        let time = self
            .latest_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match *time {
            Some((store, local)) => store + now.since(local),
            None => now,
        }
    }

    /// Executes `transaction`, whose rows must all have the same part.
    ///
    /// # Errors
    ///
    /// Unless [`StoreError::is_not_done`], the transaction may have taken effect, or may
    /// do so later.
    pub async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
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
        let body = serde_json::to_vec(&wire).map_err(|error| StoreError::InvalidMessage {
            message: error.to_string(),
        })?;
        let path = "/redwingpond/rows-tx";
        let answer = self.call_adaptive(Method::POST, path, body).await?;
        let wire: WireListing = self.decode_answer(&answer)?;
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Ok(TransactionOutcome::Conflict {
                rows: rows(wire.records),
            }),
            _ => Ok(TransactionOutcome::Done { revision: wire.ver }),
        }
    }

    /// Reads the rows of `part` from the key `from` on: at most `limit`, and no more than the
    /// store returns in one answer.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the store did not answer or refused the call.
    pub async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        limit: usize,
    ) -> Result<Listing, StoreError> {
        let part = query_value(part);
        let mut path = format!("/redwingpond/rows-get?table={table}&part={part}&limit={limit}");
        if !from.is_empty() {
            path.push_str("&from=");
            path.extend(query_value(from));
        }
        let answer = self.call_adaptive(Method::GET, &path, Vec::new()).await?;
        self.listing(&answer)
    }

    /// Reads the row at `key`.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn row(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let listing = self.rows(key.table, &key.part, &key.key, 1).await?;
        Ok(listing.rows.into_iter().find(|row| row.key == key.key))
    }

    /// Checks that the store answers this process. While the store is unreachable, waits for
    /// it up to the timeout of a call.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn check_reachable(&self) -> Result<(), StoreError> {
        self.rows(PROBE_TABLE, "", "", 1).await.map(|_| ())
    }

    /// Reads all rows of `part` in as many calls as needed. The listing has the revision of
    /// the first answer: a reader that follows the changes after that revision misses none.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn whole_part(&self, table: &str, part: &str) -> Result<Listing, StoreError> {
        let mut whole = self.rows(table, part, "", MAX_READ_ROWS).await?;
        while whole.more {
            // The next answer starts with this last row again, possibly changed.
            let Some(last) = whole.rows.pop() else {
                break;
            };
            let next = self.rows(table, part, &last.key, MAX_READ_ROWS).await?;
            whole.more = next.more && next.rows.len() > 1;
            whole.rows.extend(next.rows);
        }
        Ok(whole)
    }

    /// Reads the names of all parts of `table`, and the revision before they were read.
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
                path.extend(query_value(last));
            }
            let answer = self.call_adaptive(Method::GET, &path, Vec::new()).await?;
            let wire: WireListing = self.decode_answer(&answer)?;
            revision = revision.min(wire.ver);
            let last = wire.parts.is_empty();
            all.extend(wire.parts);
            if last || !wire.has_more {
                return Ok((all, revision));
            }
        }
    }

    /// Reads the rows of `table` that changed after the revision `after`. Without such
    /// rows, the store waits for a change, at most for `hold`.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryLost`] when the store no longer keeps these changes.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        hold: Millis,
    ) -> Result<Listing, StoreError> {
        // The first answer after an outage shows that the outage is over, so it must not
        // be delayed until something changes.
        let hold = match self.reach.is_unreachable() {
            true => Millis(0),
            false => hold,
        };
        self.wait_reachable(FEED_TIMEOUT_MARGIN).await?;
        let path = format!(
            "/redwingpond/rows-feed?table={table}&startAfter={after}&waitMs={}",
            hold.0
        );
        let within = hold + FEED_TIMEOUT_MARGIN;
        let answer = self.call(Method::GET, &path, Vec::new(), within).await?;
        self.listing(&answer)
    }

    /// Sends a call that the store answers without waiting. The timeout follows the
    /// latency of earlier calls.
    async fn call_adaptive(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<FullResponse, StoreError> {
        let within = self.call_timeout().timeout(self.clock.now());
        self.wait_reachable(within).await?;
        let started = self.clock.now();
        let result = self.call(method, path, body, within).await;
        let now = self.clock.now();
        let taken = now.since(started);
        // A connection that is refused or breaks before the timeout says nothing about
        // the store's latency.
        match &result {
            Ok(_) => self.call_timeout().record(now, taken),
            Err(_) if taken >= within => self.call_timeout().record_timeout(),
            Err(_) => {}
        }
        result
    }

    fn call_timeout(&self) -> MutexGuard<'_, AdaptiveTimeout> {
        self.call_timeout
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a call and records its result. A call that is still open when an outage ends
    /// is given up, as its connection may be dead.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        within: Millis,
    ) -> Result<FullResponse, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.peer.address().to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::InvalidMessage {
                message: error.to_string(),
            })?;
        let recoveries = self.reach.recoveries();
        let result = tokio::select! {
            answer = self.peer.call(request, within) => {
                let result = classify_answer(answer);
                self.record_result(&result);
                result
            }
            () = self.reach.wait_recovery_after(recoveries) => {
                let address = self.peer.address();
                let source = CallError::Timeout { address, timeout: within };
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

    /// Decodes an answer as a listing of rows.
    fn listing(&self, answer: &FullResponse) -> Result<Listing, StoreError> {
        let wire: WireListing = self.decode_answer(answer)?;
        Ok(Listing {
            rows: rows(wire.records),
            more: wire.has_more,
            revision: wire.ver,
        })
    }

    /// Decodes an answer, and records the store's clock from it.
    fn decode_answer(&self, answer: &FullResponse) -> Result<WireListing, StoreError> {
        let value = read_listing(&answer.body).map_err(|error| StoreError::InvalidMessage {
            message: excerpt(&error),
        })?;
        let local = self.clock.now();
        let mut time = self
            .latest_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *time = Some((Millis(value.now_ms.max(0.0) as u64), local));
        Ok(value)
    }
}

/// Turns answers with an error status into errors.
fn classify_answer(answer: Result<FullResponse, CallError>) -> Result<FullResponse, StoreError> {
    let answer = answer.map_err(|source| StoreError::Unknown { source })?;
    let status = answer.status.as_u16();
    match status {
        200 | 412 => Ok(answer),
        410 => Err(StoreError::HistoryLost),
        429 | 503 => Err(StoreError::NotDone { status }),
        _ => {
            let body = String::from_utf8_lossy(&answer.body);
            let body: String = body.chars().take(200).collect();
            tracing::error!(status, body, "store refused a call");
            Err(StoreError::Refused { status })
        }
    }
}
