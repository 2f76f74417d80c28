//! Measures how late the event loop of a gateway is.

use crate::{
    base::Clock,
    platform::Store,
    policy::loop_lag::{LoopLag, SAMPLE_INTERVAL}, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// The lag of the event loop that answers callers.
pub(super) struct LagWatch {
    clock: Clock,
    lag: Mutex<LoopLag>,
    /// Its clock decides which gateways have their turn.
    store: Store,
}

impl LagWatch {
    /// The state of the gateway `instance`, without a sample yet.
    pub(super) fn open(instance: &str, store: Store, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            lag: Mutex::new(LoopLag::new(instance, clock.now())),
            store,
        })
    }

    /// Measures the lag of the event loop that this runs on, until the program ends.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let due = self.clock.now() + SAMPLE_INTERVAL;
            tokio::time::sleep(SAMPLE_INTERVAL.as_duration()).await;
            let now = self.clock.now();
            let (lag, shared) = (now.since(due), self.store.now());
            metrics::gauge!("redwing_loop_lag_seconds").set(lag.0 as f64 / 1e3);
            let mut state = self.lag();
            let before = (state.is_overloaded(), state.is_ready(shared));
            state.record(lag, now, shared);
            let after = (state.is_overloaded(), state.is_ready(shared));
            drop(state);
            match after {
                _ if after == before => {}
                (false, true) => tracing::info!(lag = lag.0, "gateway no longer overloaded"),
                (_, ready) => tracing::warn!(lag = lag.0, ready, "gateway overloaded"),
            }
        }
    }

    /// Whether callers are asked to close their connections.
    pub(super) fn is_overloaded(&self) -> bool {
        self.lag().is_overloaded()
    }

    /// Whether the gateway is ready as far as its lag is concerned.
    pub(super) fn is_ready(&self) -> bool {
        self.lag().is_ready(self.store.now())
    }

    fn lag(&self) -> MutexGuard<'_, LoopLag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
