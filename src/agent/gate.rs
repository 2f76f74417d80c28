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
pub(super) struct Confirmed {
    /// Failed questions in a row.
    pub(super) failures: u32,
    pub(super) state: Arc<EngineState>,
    /// Counts answers. What was received before answer `n` came was received
    /// before question `n + 1` was asked.
    pub(super) turn: u64,
}

/// How often the engine is asked for its state.
pub(super) const POLL: Millis = Millis(250);

/// Unanswered questions after which the engine counts as unusable.
pub(super) const FAILURES_OUT: u32 = 2;

/// Guards the engine's weights.
///
/// # Invariants
///
/// While any generation of a model holds the model's lock for reading, this
/// agent has no order for that model under way. So an order that came from
/// here never changes weights under a generation.
pub(super) struct Gate {
    pub(super) engine: EngineClient,
    confirmed: watch::Sender<Confirmed>,
    locks: RefCell<HashMap<String, Rc<RwLock<()>>>>,
    /// One order at a time.
    pub(super) orders: Mutex<()>,
    /// The model whose generations are to step aside.
    pub(super) pausing: watch::Sender<Option<String>>,
}

impl Gate {
    pub(super) fn new(engine: EngineClient) -> Self {
        Self {
            confirmed: watch::channel(Confirmed::default()).0,
            engine,
            locks: RefCell::default(),
            orders: Mutex::default(),
            pausing: watch::channel(None).0,
        }
    }

    /// Asks the engine now, and tells all who watch.
    pub(super) async fn confirm(&self) -> Result<Arc<EngineState>, Failure> {
        let answer = self.engine.fetch_state().await;
        self.confirmed.send_modify(|confirmed| match &answer {
            Ok(state) => {
                confirmed.failures = 0;
                confirmed.turn += 1;
                if *confirmed.state != *state {
                    confirmed.state = Arc::new(state.clone());
                }
            }
            Err(_) => confirmed.failures += 1,
        });
        answer.map(|_| self.confirmed.borrow().state.clone())
    }

    /// The lock of `model`: read by generations, written by orders.
    pub(super) fn lock(&self, model: &str) -> Rc<RwLock<()>> {
        let mut locks = self.locks.borrow_mut();
        locks.entry(model.to_owned()).or_default().clone()
    }

    /// Asks again and again.
    pub(super) async fn poll(&self) {
        loop {
            let _ = self.confirm().await;
            tokio::time::sleep(POLL.as_duration()).await;
        }
    }

    /// The latest state.
    pub(super) fn state(&self) -> Arc<EngineState> {
        self.confirmed.borrow().state.clone()
    }

    /// Whether the engine answers.
    pub(super) fn usable(&self) -> bool {
        let confirmed = self.confirmed.borrow();
        confirmed.turn > 0 && confirmed.failures < FAILURES_OUT
    }

    /// The latest answers as they come.
    pub(super) fn watch(&self) -> watch::Receiver<Confirmed> {
        self.confirmed.subscribe()
    }
}

/// Whether nothing happened to `model` between the two states.
pub(super) fn unchanged(before: &EngineState, after: &EngineState, model: &str) -> bool {
    before.boot == after.boot && before.models.get(model) == after.models.get(model)
}

/// The version that `before` and `after` enclose, if they do.
pub(super) fn enclosed(
    before: &EngineState,
    after: &EngineState,
    model: &str,
) -> Option<WeightVersion> {
    match unchanged(before, after, model) {
        true => before.version(model),
        false => None,
    }
}
