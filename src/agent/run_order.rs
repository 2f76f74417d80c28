//! One order to the model engine.

use super::gate::Gate;
use crate::{
    base::{Cause, Failure, Millis},
    policy::fences::Fences,
    wire::{EngineState, Order, OrderKind}, //
};
use std::cell::RefCell;

/// How long after an order the engine is asked until its state is certain.
const SETTLE: u32 = 40;

/// The wait between two such questions.
const SETTLE_WAIT: Millis = Millis(100);

/// Gives the order to the engine while no generation of its model runs, and
/// returns the state that the engine confirms afterwards.
///
/// The engine's answer to the order proves nothing: it can be lost, or tell
/// of success before all of the weights are there. Only the state counts.
pub(super) async fn run_order(
    gate: &Gate,
    fences: &RefCell<Fences>,
    order: Order,
) -> Result<EngineState, Failure> {
    let _one = gate.orders.lock().await;
    // INVARIANT: an order that passed was noted, so this is no lower than its own.
    let fence = fences.borrow().highest();
    let order = &Order { fence, ..order };
    gate.pausing.send_replace(Some(order.model.clone()));
    let lock = gate.lock(&order.model);
    let guard = lock.write().await;
    gate.pausing.send_replace(None);

    let answer = gate.engine.send_order(order).await;
    let settled = settle(gate, order).await;
    drop(guard);
    match (answer, settled) {
        (_, Some(state)) => Ok(state),
        (Err(failure), None) => Err(failure),
        (Ok(()), None) => {
            let detail = "the engine did the order but does not confirm it";
            Err(Failure::may_have_run(Cause::VersionUncertain, detail))
        }
    }
}

/// The engine's state once it shows that the order was done.
async fn settle(gate: &Gate, order: &Order) -> Option<EngineState> {
    for _ in 0..SETTLE {
        if let Ok(state) = gate.confirm().await {
            match verdict(&state, order) {
                Some(true) => return Some((*state).clone()),
                Some(false) => return None,
                None => {}
            }
        }
        tokio::time::sleep(SETTLE_WAIT.as_duration()).await;
    }
    None
}

/// Whether the state shows the order done, or shows it not done; `None` while
/// the weights are in motion.
fn verdict(state: &EngineState, order: &Order) -> Option<bool> {
    match &order.kind {
        OrderKind::Load { version } => {
            let model = state.models.get(&order.model)?;
            model.version.map(|confirmed| confirmed == *version)
        }
        OrderKind::Role { .. } => Some(true),
        OrderKind::Unload => Some(!state.models.contains_key(&order.model)),
    }
}
