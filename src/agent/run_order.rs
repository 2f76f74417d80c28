//! One order to the model engine.

use super::engine_access::EngineAccess;
use crate::{
    base::{Cause, Failure, Millis},
    policy::fences::Fences,
    wire::{EngineState, Order, OrderKind}, //
};
use std::cell::RefCell;

/// How long after an order the engine is asked until its state is certain.
const MAX_CONFIRM_POLLS: u32 = 40;

/// The wait between two such questions.
const CONFIRM_POLL_INTERVAL: Millis = Millis(100);

/// Gives the order to the engine while no generation of its model runs, and
/// returns the state that the engine confirms afterwards.
///
/// The engine's answer to the order proves nothing: it can be lost, or tell
/// of success before all of the weights are there. Only the state counts.
pub(super) async fn run_order(
    engine_access: &EngineAccess,
    fences: &RefCell<Fences>,
    order: Order,
) -> Result<EngineState, Failure> {
    let _one = engine_access.order_lock.lock().await;
    // INVARIANT: an order that passed was noted, so this is no lower than its own.
    let fence = fences.borrow().highest();
    let order = &Order { fence, ..order };
    engine_access
        .paused_model
        .send_replace(Some(order.model.clone()));
    let lock = engine_access.model_lock(&order.model);
    let guard = lock.write().await;
    engine_access.paused_model.send_replace(None);

    let answer = engine_access.client.send_order(order).await;
    let confirmed_state = confirm_order(engine_access, order).await;
    drop(guard);
    match (answer, confirmed_state) {
        (_, Some(state)) => Ok(state),
        (Err(failure), None) => Err(failure),
        (Ok(()), None) => {
            let detail = "the engine did the order but does not confirm it";
            Err(Failure::may_have_run(Cause::VersionUncertain, detail))
        }
    }
}

/// The engine's state once it shows that the order was done.
async fn confirm_order(engine_access: &EngineAccess, order: &Order) -> Option<EngineState> {
    for _ in 0..MAX_CONFIRM_POLLS {
        if let Ok(state) = engine_access.refresh_state().await {
            match is_done(&state, order) {
                Some(true) => return Some((*state).clone()),
                Some(false) => return None,
                None => {}
            }
        }
        tokio::time::sleep(CONFIRM_POLL_INTERVAL.as_duration()).await;
    }
    None
}

/// Whether the state shows the order done, or shows it not done; `None` while
/// the weights are in motion.
fn is_done(state: &EngineState, order: &Order) -> Option<bool> {
    match &order.kind {
        OrderKind::Load { version } => {
            let model = state.models.get(&order.model)?;
            model.version.map(|confirmed| confirmed == *version)
        }
        OrderKind::Role { .. } => Some(true),
        OrderKind::Unload => Some(!state.models.contains_key(&order.model)),
    }
}
