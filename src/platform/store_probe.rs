//! Finds out when a store that is away answers again.

use super::store::Store;
use crate::{
    base::Millis,
    net::{Answer, Peer},
    store::StoreError, //
};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use http_body_util::Full;
use hyper::Request;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use tokio::sync::Notify;

/// A table that has no rows, for questions whether the store answers.
pub(super) const PROBE_TABLE: &str = "probes";

/// The question of a probe.
const PROBE_PATH: &str = "/redwingpond/rows-get?table=probes&part=&limit=1";

/// How often a store that is away is asked whether it is back. Results that are due
/// wait for it, and trainers read them half a second later.
const PROBE_INTERVAL: Millis = Millis(120);

/// How long a probe may take: a slow store takes sixty times as long as usual.
const PROBE_TIMEOUT: Millis = Millis(500);

/// Probes under way at once.
const MAX_CONCURRENT_PROBES: usize = 4;

/// How often this process asks a store that is away.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    wake: Notify,
    /// The time between two probes, in ms; 0 for [`PROBE_INTERVAL`].
    interval_ms: AtomicU64,
}

impl ProbeSchedule {
    /// Waits until a probe is due.
    async fn wait_due(&self) {
        let interval = match self.interval_ms.load(Ordering::Relaxed) {
            0 => PROBE_INTERVAL,
            interval_ms => Millis(interval_ms),
        };
        tokio::select! {
            () = self.wake.notified() => {}
            () = tokio::time::sleep(interval.as_duration()) => {}
        }
    }
}

impl Store {
    /// From now on a store that is away is asked once in `interval`: another process tells
    /// this one when it is back, and all together would ask for more than it takes.
    pub fn set_probe_interval(&self, interval: Millis) {
        self.probe_schedule
            .interval_ms
            .store(interval.0, Ordering::Relaxed);
    }

    /// From now on a store that is away is asked as often as helps.
    pub fn reset_probe_interval(&self) {
        self.probe_schedule.interval_ms.store(0, Ordering::Relaxed);
    }

    /// The store may be back.
    pub fn probe_now(&self) {
        if self.reach.is_away() {
            self.probe_schedule.wake.notify_one();
        }
    }

    /// Takes what a call showed of the store, and has it probed once it is away.
    pub(super) fn record_result(&self, result: &Result<Answer, StoreError>) {
        let unanswered = matches!(result, Err(StoreError::Unknown { .. }));
        if !unanswered {
            self.reach.answer();
        } else if self.reach.miss() {
            tracing::warn!("the store is away: it is probed");
            tokio::spawn(self.clone().probe());
        }
    }

    /// Waits at most `within` for a store that is away.
    pub(super) async fn wait_reachable(&self, within: Millis) -> Result<(), StoreError> {
        let back = tokio::time::timeout(within.as_duration(), self.reach.back());
        back.await.map_err(|_| StoreError::Away)
    }

    /// Asks the store over new connections, one soon after the other, until it answers.
    async fn probe(self) {
        let mut probes = FuturesUnordered::new();
        probes.push(self.probe_once());
        let mut due = std::pin::pin!(self.probe_schedule.wait_due());
        while self.reach.is_away() {
            tokio::select! {
                () = &mut due => {
                    if probes.len() < MAX_CONCURRENT_PROBES {
                        probes.push(self.probe_once());
                    }
                    due.set(self.probe_schedule.wait_due());
                }
                Some(answered) = probes.next() => {
                    if answered {
                        self.peer.forget_connections();
                        self.reach.answer();
                    }
                }
            }
        }
        tracing::info!("the store answers again");
    }

    async fn probe_once(&self) -> bool {
        let peer = Peer::open(self.peer.address(), self.clock);
        let request = Request::builder()
            .uri(PROBE_PATH)
            .header("host", self.peer.address().to_string())
            .body(Full::new(Bytes::new()));
        match request {
            Ok(request) => peer.call(request, PROBE_TIMEOUT).await.is_ok(),
            Err(error) => {
                tracing::error!(%error, "a probe can't be made");
                false
            }
        }
    }
}
