//! Carries out one order at the model engine.

use super::engine_access::EngineAccess;
use crate::{
    base::{Cause, Failure, Millis},
    policy::fences::Fences,
    wire::{EngineState, Order, OrderKind}, //
};
use std::cell::RefCell;

/// How many times the engine is asked for its state after an order, until the state shows
/// the result.
const MAX_CONFIRM_POLLS: u32 = 40;

/// The delay between two requests for the state.
const CONFIRM_POLL_INTERVAL: Millis = Millis(100);

/// Sends the order to the engine while no generation of its model runs, and returns the
/// state that the engine confirms afterwards.
///
/// The engine's answer to the order does not decide: it can be lost, or report success
/// before all weights are loaded. Only the state shows the result.
pub(super) async fn run_order(
    engine_access: &EngineAccess,
    fences: &RefCell<Fences>,
    order: Order,
) -> Result<EngineState, Failure> {
    let _order_guard = engine_access.order_lock.lock().await;
    // INVARIANT: a checked order was recorded, so this is not below the order's own fence.
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

/// Polls the engine's state until it shows the result of the order. Returns the state if
/// the order was carried out; `None` if it was not or the state did not show it in time.
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

/// Whether the state shows that the order was carried out; `None` while it does not show
/// the result: the model is absent, or its weights are not all of one version.
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
