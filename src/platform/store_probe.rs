//! Probes an unreachable store until it answers again.

use super::store::Store;
use crate::{
    base::Millis,
    net::{FullResponse, Peer},
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

/// A table without rows, read to check whether the store answers.
pub(super) const PROBE_TABLE: &str = "probes";

/// The path and query of a probe.
const PROBE_PATH: &str = "/redwingpond/rows-get?table=probes&part=&limit=1";

/// The default time between two probes. Results that are due wait until the store is
/// reachable again, and trainers read them up to half a second after that.
const PROBE_INTERVAL: Millis = Millis(120);

/// How long a probe may take; a slow store takes sixty times as long as usual.
const PROBE_TIMEOUT: Millis = Millis(500);

/// The maximum number of probes in flight.
const MAX_CONCURRENT_PROBES: usize = 4;

/// When this process sends the next probe to an unreachable store.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    /// Notified to send a probe at once.
    wake: Notify,
    /// The time between two probes, in ms; 0 for [`PROBE_INTERVAL`].
    interval_ms: AtomicU64,
}

impl ProbeSchedule {
    /// Waits until the next probe is due.
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
    /// Sets the time between two probes while another process will report that the store
    /// is reachable again. All processes probing at the default interval would send more
    /// calls than the store accepts.
    pub fn set_probe_interval(&self, interval: Millis) {
        self.probe_schedule
            .interval_ms
            .store(interval.0, Ordering::Relaxed);
    }

    /// Returns to the default time between two probes.
    pub fn reset_probe_interval(&self) {
        self.probe_schedule.interval_ms.store(0, Ordering::Relaxed);
    }

    /// Probes an unreachable store at once, as it may be reachable again.
    pub fn probe_now(&self) {
        if self.reach.is_unreachable() {
            self.probe_schedule.wake.notify_one();
        }
    }

    /// Records whether the store answered a call, and starts probing when it becomes
    /// unreachable.
    pub(super) fn record_result(&self, result: &Result<FullResponse, StoreError>) {
        let unanswered = matches!(result, Err(StoreError::Unknown { .. }));
        if !unanswered {
            self.reach.record_answer();
        } else if self.reach.record_miss() {
            tracing::warn!("store is unreachable; probing it");
            tokio::spawn(self.clone().probe());
        }
    }

    /// Waits until the store is reachable, at most for `within`.
    pub(super) async fn wait_reachable(&self, within: Millis) -> Result<(), StoreError> {
        let recovered = tokio::time::timeout(within.as_duration(), self.reach.wait_reachable());
        recovered.await.map_err(|_| StoreError::Unreachable)
    }

    /// Sends probes until the store is reachable again, without waiting for earlier probes.
    /// Each uses a new connection; once one is answered, the connections from before the
    /// outage are dropped.
    async fn probe(self) {
        let mut probes = FuturesUnordered::new();
        probes.push(self.probe_once());
        let mut due = std::pin::pin!(self.probe_schedule.wait_due());
        while self.reach.is_unreachable() {
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
                        self.reach.record_answer();
                    }
                }
            }
        }
        tracing::info!("store is reachable again");
    }

    /// Sends one probe; true when the store answers it.
    async fn probe_once(&self) -> bool {
        let peer = Peer::open(self.peer.address(), self.clock);
        let request = Request::builder()
            .uri(PROBE_PATH)
            .header("host", self.peer.address().to_string())
            .body(Full::new(Bytes::new()));
        match request {
            Ok(request) => peer.call(request, PROBE_TIMEOUT).await.is_ok(),
            Err(error) => {
                tracing::error!(%error, "probe request could not be built");
                false
            }
        }
    }
}
