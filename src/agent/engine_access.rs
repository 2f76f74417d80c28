//! Access to the engine: its confirmed state, and the locks that keep weights from
//! changing during a generation.

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

/// The engine's last confirmed state.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfirmedState {
    /// Requests for the state that have failed since the last answer.
    pub(super) failures: u32,
    /// The state in the last answer; the default before the first one.
    pub(super) state: Arc<EngineState>,
    /// The number of answers so far. The poll asks again only after an answer, so tokens
    /// received before its answer `n` were received before it asked for answer `n + 1`.
    pub(super) answers: u64,
}

/// The delay between an answer about the engine's state and the next request for it.
pub(super) const POLL_INTERVAL: Millis = Millis(250);

/// The number of successive failed requests for the state from which the engine counts as
/// unusable.
pub(super) const FAILURE_THRESHOLD: u32 = 2;

/// Coordinates generations and orders at the engine.
///
/// # Invariants
///
/// A generation holds its model's lock for reading; an order holds it for writing while it
/// is carried out. So an order from this agent never changes the weights of a model during
/// a generation.
pub(super) struct EngineAccess {
    pub(super) client: EngineClient,
    /// Updated after each request for the state.
    confirmed: watch::Sender<ConfirmedState>,
    /// The locks of [`Self::model_lock`], by model.
    locks: RefCell<HashMap<String, Rc<RwLock<()>>>>,
    /// Held by the order that is carried out, so that there is one at a time.
    pub(super) order_lock: Mutex<()>,
    /// The model whose generations must release its lock for an order.
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

    /// Asks the engine for its state and publishes the answer or the failure to all
    /// subscribers.
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

    /// The lock of `model`, which generations take for reading and orders for writing.
    pub(super) fn model_lock(&self, model: &str) -> Rc<RwLock<()>> {
        let mut locks = self.locks.borrow_mut();
        locks.entry(model.to_owned()).or_default().clone()
    }

    /// Asks the engine for its state at intervals, without end.
    pub(super) async fn poll_state(&self) {
        loop {
            let _ = self.refresh_state().await;
            tokio::time::sleep(POLL_INTERVAL.as_duration()).await;
        }
    }

    /// The last confirmed state.
    pub(super) fn state(&self) -> Arc<EngineState> {
        self.confirmed.borrow().state.clone()
    }

    /// Whether the engine has answered and has not failed [`FAILURE_THRESHOLD`] times in a row
    /// since.
    pub(super) fn is_usable(&self) -> bool {
        let confirmed = self.confirmed.borrow();
        confirmed.answers > 0 && confirmed.failures < FAILURE_THRESHOLD
    }

    /// Notifies of each answer and each failure.
    pub(super) fn subscribe(&self) -> watch::Receiver<ConfirmedState> {
        self.confirmed.subscribe()
    }
}

/// Whether the engine was not restarted and began no load of `model` between the two
/// states.
pub(super) fn is_unchanged(before: &EngineState, after: &EngineState, model: &str) -> bool {
    before.boot == after.boot && before.models.get(model) == after.models.get(model)
}

/// The weight version that `model` had all the time between `before` and `after`; `None`
/// if it changed or is not certain.
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
