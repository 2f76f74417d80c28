//! What is certain about the engine's weights, and when they may be changed.

use crate::{
    base::{Failure, Millis, WeightVersion},
    engine::EngineClient,
    wire::EngineState, //
};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};
use tokio::sync::{
    Mutex,
    RwLock,
    watch, //
};

/// The engine's latest answer about its state.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfirmedState {
    /// Failed questions in a row.
    pub(super) failures: u32,
    pub(super) state: Arc<EngineState>,
    /// Counts answers. What was received before answer `n` came was received
    /// before question `n + 1` was asked.
    pub(super) answers: u64,
}

/// How often the engine is asked for its state.
pub(super) const POLL_INTERVAL: Millis = Millis(250);

/// Unanswered questions after which the engine counts as unusable.
pub(super) const FAILURE_LIMIT: u32 = 2;

/// Guards the engine's weights.
///
/// # Invariants
///
/// While any generation of a model holds the model's lock for reading, this
/// agent has no order for that model under way. So an order that came from
/// here never changes weights under a generation.
pub(super) struct EngineAccess {
    pub(super) client: EngineClient,
    confirmed: watch::Sender<ConfirmedState>,
    locks: RefCell<HashMap<String, Rc<RwLock<()>>>>,
    /// One order at a time.
    pub(super) order_lock: Mutex<()>,
    /// The model whose generations are to step aside.
    pub(super) paused_model: watch::Sender<Option<String>>,
}

impl EngineAccess {
    pub(super) fn new(client: EngineClient) -> Self {
        Self {
            confirmed: watch::channel(ConfirmedState::default()).0,
            client,
            locks: RefCell::default(),
            order_lock: Mutex::default(),
            paused_model: watch::channel(None).0,
        }
    }

    /// Asks the engine now, and tells all who watch.
    pub(super) async fn refresh_state(&self) -> Result<Arc<EngineState>, Failure> {
        let answer = self.client.fetch_state().await;
        self.confirmed.send_modify(|confirmed| match &answer {
            Ok(state) => {
                confirmed.failures = 0;
                confirmed.answers += 1;
                if *confirmed.state != *state {
                    confirmed.state = Arc::new(state.clone());
                }
            }
            Err(_) => confirmed.failures += 1,
        });
        answer.map(|_| self.confirmed.borrow().state.clone())
    }

    /// The lock of `model`: read by generations, written by orders.
    pub(super) fn model_lock(&self, model: &str) -> Rc<RwLock<()>> {
        let mut locks = self.locks.borrow_mut();
        locks.entry(model.to_owned()).or_default().clone()
    }

    /// Asks again and again.
    pub(super) async fn poll_state(&self) {
        loop {
            let _ = self.refresh_state().await;
            tokio::time::sleep(POLL_INTERVAL.as_duration()).await;
        }
    }

    /// The latest state.
    pub(super) fn state(&self) -> Arc<EngineState> {
        self.confirmed.borrow().state.clone()
    }

    /// Whether the engine answers.
    pub(super) fn is_usable(&self) -> bool {
        let confirmed = self.confirmed.borrow();
        confirmed.answers > 0 && confirmed.failures < FAILURE_LIMIT
    }

    /// The latest answers as they come.
    pub(super) fn subscribe(&self) -> watch::Receiver<ConfirmedState> {
        self.confirmed.subscribe()
    }
}

/// Whether nothing happened to `model` between the two states.
pub(super) fn is_unchanged(before: &EngineState, after: &EngineState, model: &str) -> bool {
    before.boot == after.boot && before.models.get(model) == after.models.get(model)
}

/// The version that `before` and `after` enclose, if they do.
pub(super) fn version_between(
    before: &EngineState,
    after: &EngineState,
    model: &str,
) -> Option<WeightVersion> {
    match is_unchanged(before, after, model) {
        true => before.version(model),
        false => None,
    }
}
