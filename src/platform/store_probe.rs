//! Finds out when a store that is away answers again.

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

/// A table that has no rows, for questions whether the store answers.
pub(super) const PROBES: &str = "probes";

/// The question of a probe.
const PROBE: &str = "/redwingpond/rows-get?table=probes&part=&limit=1";

/// How often a store that is away is asked whether it is back. Results that are due
/// wait for it, and trainers read them half a second later.
const PROBE_EVERY: Millis = Millis(120);

/// How long a probe may take: a slow store takes sixty times as long as usual.
const PROBE_WITHIN: Millis = Millis(500);

/// Probes under way at once.
const PROBES_MOST: usize = 4;

/// How often this process asks a store that is away.
#[derive(Debug, Default)]
pub(super) struct ProbePace {
    now: Notify,
    /// The time between two probes, in ms; 0 for [`PROBE_EVERY`].
    seldom: AtomicU64,
}

impl ProbePace {
    /// Waits until a probe is due.
    async fn due(&self) {
        let every = match self.seldom.load(Ordering::Relaxed) {
            0 => PROBE_EVERY,
            seldom => Millis(seldom),
        };
        tokio::select! {
            () = self.now.notified() => {}
            () = tokio::time::sleep(every.as_duration()) => {}
        }
    }
}

impl Store {
    /// From now on a store that is away is asked once in `every`: another process tells
    /// this one when it is back, and all together would ask for more than it takes.
    pub fn probe_seldom(&self, every: Millis) {
        self.pace.seldom.store(every.0, Ordering::Relaxed);
    }

    /// From now on a store that is away is asked as often as helps.
    pub fn probe_often(&self) {
        self.pace.seldom.store(0, Ordering::Relaxed);
    }

    /// The store may be back.
    pub fn probe_now(&self) {
        if self.reach.is_unreachable() {
            self.pace.now.notify_one();
        }
    }

    /// Takes what a call showed of the store, and has it probed once it is away.
    pub(super) fn note(&self, result: &Result<FullResponse, StoreError>) {
        let silent = matches!(result, Err(StoreError::Unknown { .. }));
        if !silent {
            self.reach.record_answer();
        } else if self.reach.record_miss() {
            tracing::warn!("the store is away: it is probed");
            tokio::spawn(self.clone().probe());
        }
    }

    /// Waits at most `within` for a store that is away.
    pub(super) async fn wait_back(&self, within: Millis) -> Result<(), StoreError> {
        let back = tokio::time::timeout(within.as_duration(), self.reach.wait_reachable());
        back.await.map_err(|_| StoreError::Away)
    }

    /// Asks the store over new connections, one soon after the other, until it answers.
    async fn probe(self) {
        let mut probes = FuturesUnordered::new();
        probes.push(self.probe_once());
        let mut due = std::pin::pin!(self.pace.due());
        while self.reach.is_unreachable() {
            tokio::select! {
                () = &mut due => {
                    if probes.len() < PROBES_MOST {
                        probes.push(self.probe_once());
                    }
                    due.set(self.pace.due());
                }
                Some(answered) = probes.next() => {
                    if answered {
                        self.peer.forget_connections();
                        self.reach.record_answer();
                    }
                }
            }
        }
        tracing::info!("the store answers again");
    }

    async fn probe_once(&self) -> bool {
        let peer = Peer::open(self.peer.address(), self.clock);
        let request = Request::builder()
            .uri(PROBE)
            .header("host", self.peer.address().to_string())
            .body(Full::new(Bytes::new()));
        match request {
            Ok(request) => peer.call(request, PROBE_WITHIN).await.is_ok(),
            Err(error) => {
                tracing::error!(%error, "a probe can't be made");
                false
            }
        }
    }
}
