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

/// The question of a probe: the rows of a table that has none.
const PROBE: &str = "/redwingpond/rows-get?table=probes&part=&limit=1";

/// How often a store that is away is asked whether it is back. Results that are due
/// wait for it, and trainers read them half a second later.
const PROBE_EVERY: Millis = Millis(120);

/// How long a probe may take: a slow store takes sixty times as long as usual.
const PROBE_WITHIN: Millis = Millis(500);

/// Probes under way at once.
const PROBES_MOST: usize = 4;

impl Store {
    /// Takes what a call showed of the store, and has it probed once it is away.
    pub(super) fn note(&self, result: &Result<Answer, StoreError>) {
        let silent = matches!(result, Err(StoreError::Unknown { .. }));
        if !silent {
            self.reach.answer();
        } else if self.reach.miss() {
            tracing::warn!("the store is away: it is probed");
            tokio::spawn(self.clone().probe());
        }
    }

    /// Waits at most `within` for a store that is away.
    pub(super) async fn wait_back(&self, within: Millis) -> Result<(), StoreError> {
        let back = tokio::time::timeout(within.as_duration(), self.reach.back());
        back.await.map_err(|_| StoreError::Away)
    }

    /// Asks the store over new connections, one soon after the other, until it answers.
    async fn probe(self) {
        let mut tick = tokio::time::interval(PROBE_EVERY.as_duration());
        let mut probes = FuturesUnordered::new();
        while self.reach.is_away() {
            tokio::select! {
                _ = tick.tick() => {
                    if probes.len() < PROBES_MOST {
                        probes.push(self.probe_once());
                    }
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
