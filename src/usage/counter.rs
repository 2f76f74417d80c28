//! Counts what this gateway's requests begin, and keeps it in the store.

use super::{
    clocks::Clocks,
    rows::Author, //
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

/// This gateway's count of requests, by workspace and window.
pub struct Counter {
    pub(super) author: Author,
    clock: Clock,
    pub(super) clocks: Clocks,
    counted: Notify,
    store: Store,
    tally: Mutex<Tally>,
    pub(super) windows: Windows,
}

/// The wait after a first request, in which more gather. A gateway that is killed
/// takes what it has not written with it.
const GATHER: Millis = Millis(50);

/// The least time between two writes of a busy gateway.
const PACE: Millis = Millis(1_000);

/// How often windows are closed.
const TICK: Millis = Millis(250);

/// How often the clocks are compared.
const CLOCKS_EVERY: Millis = Millis(5_000);

/// The wait after a write that the store did not take.
const AGAIN: Millis = Millis(200);

impl Counter {
    /// Nothing is counted yet; `instance` names the gateway.
    pub fn open(instance: &str, clock: Clock, store: Store, windows: Windows) -> Arc<Self> {
        let author = Author {
            instance: instance.to_owned(),
            started: clock.now(),
        };
        let clocks = Clocks::new(clock, store.clone());
        let tally = Tally::new(windows, clock.wall());
        Arc::new(Self {
            author,
            clock,
            clocks,
            counted: Notify::new(),
            store,
            tally: Mutex::new(tally),
            windows,
        })
    }

    /// A request of `workspace` was sent at `sent` to a server that began to run it.
    pub fn note(&self, workspace: &str, sent: Millis) {
        let ago = self.clock.now().since(sent);
        let began = self.clocks.now() - ago;
        self.tally().note(workspace, began);
        self.counted.notify_one();
    }

    /// Keeps the count in the store for good.
    pub async fn keep(self: Arc<Self>) {
        tokio::spawn(self.clone().keep_clocks());
        loop {
            let next = tokio::time::timeout(TICK.as_duration(), self.counted.notified()).await;
            if next.is_ok() {
                tokio::time::sleep(GATHER.as_duration()).await;
            }
            self.tally().close(self.clocks.now());
            if self.write().await {
                tokio::time::sleep((PACE - GATHER).as_duration()).await;
            }
        }
    }

    async fn keep_clocks(self: Arc<Self>) {
        loop {
            let wait = match self.clocks.settle(&self.author).await {
                Ok(()) => CLOCKS_EVERY,
                Err(error) => {
                    tracing::debug!(%error, "clocks are not compared");
                    AGAIN
                }
            };
            tokio::time::sleep(wait.as_duration()).await;
        }
    }

    /// Writes what the store does not have yet; whether there was anything.
    async fn write(&self) -> bool {
        let mut any = false;
        loop {
            let next = self
                .tally()
                .unwritten()
                .map(|(window, part)| (window, part.clone()));
            let Some((window, part)) = next else {
                return any;
            };
            let row = (self.author.count_key(window), encode(&part));
            let write = Transaction {
                set: vec![row],
                ..Transaction::default()
            };
            match self.store.transact(&write).await {
                Ok(_) => self.tally().set_written(window, &part),
                Err(error) => {
                    tracing::debug!(window, %error, "use is not written yet");
                    tokio::time::sleep(AGAIN.as_duration()).await;
                }
            }
            any = true;
        }
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
