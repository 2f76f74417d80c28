//! Counts this gateway's requests and writes the counts to the store.

use super::{
    clocks::SyncedClock,
    rows::GatewayIncarnation, //
};
use crate::{
    base::{Clock, Millis},
    batch::encode,
    platform::Store,
    policy::usage::{Tally, Windows},
    store::Transaction, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::sync::Notify;

/// This gateway's counts of requests, by workspace and window.
pub struct Counter {
    pub(super) gateway: GatewayIncarnation,
    clock: Clock,
    pub(super) synced_clock: SyncedClock,
    request_counted: Notify,
    store: Store,
    tally: Mutex<Tally>,
    pub(super) windows: Windows,
}

/// The delay between a counted request and its write, so that one write covers several
/// requests. It is short, as a gateway that is killed loses the counts it has not written.
const BATCH_DELAY: Millis = Millis(50);

/// The minimum time between two writes of a busy gateway.
const MIN_WRITE_INTERVAL: Millis = Millis(1_000);

/// How often windows that are over are closed.
const CLOSE_INTERVAL: Millis = Millis(250);

/// How often the clock is synchronised with the other gateways.
const CLOCK_SYNC_INTERVAL: Millis = Millis(5_000);

/// The delay after a failed call to the store.
const RETRY_DELAY: Millis = Millis(200);

impl Counter {
    /// Creates the counter with nothing counted, for the gateway `instance`.
    pub fn open(instance: &str, clock: Clock, store: Store, windows: Windows) -> Arc<Self> {
        let gateway = GatewayIncarnation {
            instance: instance.to_owned(),
            started: clock.now(),
        };
        let synced_clock = SyncedClock::new(clock, store.clone());
        let tally = Tally::new(windows, clock.wall());
        Arc::new(Self {
            gateway,
            clock,
            synced_clock,
            request_counted: Notify::new(),
            store,
            tally: Mutex::new(tally),
            windows,
        })
    }

    /// Counts a request of `workspace` that was sent at `sent`, by the local clock, and that a
    /// server began to run.
    pub fn count_request(&self, workspace: &str, sent: Millis) {
        let ago = self.clock.now().since(sent);
        let began = self.synced_clock.now() - ago;
        self.tally().record(workspace, began);
        self.request_counted.notify_one();
    }

    /// Closes windows, writes their counts to the store and keeps the clock synchronised, until
    /// the program ends.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().sync_clock());
        loop {
            let next = tokio::time::timeout(
                CLOSE_INTERVAL.as_duration(),
                self.request_counted.notified(),
            )
            .await;
            if next.is_ok() {
                tokio::time::sleep(BATCH_DELAY.as_duration()).await;
            }
            self.tally().close(self.synced_clock.now());
            if self.store_counts().await {
                tokio::time::sleep((MIN_WRITE_INTERVAL - BATCH_DELAY).as_duration()).await;
            }
        }
    }

    async fn sync_clock(self: Arc<Self>) {
        loop {
            let wait = match self.synced_clock.synchronise(&self.gateway).await {
                Ok(()) => CLOCK_SYNC_INTERVAL,
                Err(error) => {
                    tracing::debug!(%error, "clock not synchronised, retrying");
                    RETRY_DELAY
                }
            };
            tokio::time::sleep(wait.as_duration()).await;
        }
    }

    /// Writes the counts that the store doesn't have yet. Returns whether there were any.
    async fn store_counts(&self) -> bool {
        let mut any = false;
        loop {
            let next = self
                .tally()
                .unwritten()
                .map(|(window, part)| (window, part.clone()));
            let Some((window, part)) = next else {
                return any;
            };
            let row = (self.gateway.count_key(window), encode(&part));
            let transaction = Transaction {
                set: vec![row],
                ..Transaction::default()
            };
            match self.store.transact(&transaction).await {
                Ok(_) => self.tally().set_written(window, &part),
                Err(error) => {
                    tracing::debug!(window, %error, "counts not written, retrying");
                    tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                }
            }
            any = true;
        }
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
