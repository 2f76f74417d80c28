//! How a stand-in engine carries out orders.

use super::{
    handle::Inner,
    state::Model, //
};
use crate::client::Client;
use hyper::{
    Method,
    StatusCode, //
};
use redwingpond::wire::{
    Order,
    OrderKind, //
};
use std::time::Duration;

/// How long a copy from the weight store may take.
const COPY_TIMEOUT: Duration = Duration::from_secs(60);

impl Inner {
    /// Carries out an order; returns the status of the answer.
    pub(super) async fn execute_order(&self, order: Order) -> StatusCode {
        {
            let mut state = self.state();
            if self.tuning.checks_fence && order.fence < state.fence {
                return StatusCode::CONFLICT;
            }
            state.fence = state.fence.max(order.fence);
        }
        match order.kind {
            OrderKind::Load { version } => self.load_model(&order.model, version.0).await,
            OrderKind::Role { .. } => StatusCode::OK,
            OrderKind::Unload => {
                self.state().models.remove(&order.model);
                StatusCode::OK
            }
        }
    }

    /// Copies and swaps in a version. The model can't generate during the swap; a
    /// failed swap leaves mixed weights.
    async fn load_model(&self, model: &str, version: u64) -> StatusCode {
        if !self.copy_weights(model, version).await {
            return StatusCode::BAD_GATEWAY;
        }
        let boot = {
            let mut state = self.state();
            let known = state.models.contains_key(model);
            if !known && state.models.len() >= self.tuning.max_models {
                return StatusCode::INSUFFICIENT_STORAGE;
            }
            let entry = state.models.entry(model.to_owned()).or_default();
            entry.loading = true;
            entry.loads += 1;
            state.boot
        };
        tokio::time::sleep(Duration::from_millis(self.tuning.swap_ms)).await;

        let mut state = self.state();
        if state.boot != boot {
            return StatusCode::BAD_GATEWAY;
        }
        let failed = state.faults.fail_swaps > 0;
        state.faults.fail_swaps = state.faults.fail_swaps.saturating_sub(1);
        let entry: &mut Model = state.models.entry(model.to_owned()).or_default();
        entry.loading = false;
        entry.version = (!failed).then_some(version);
        match failed {
            true => StatusCode::INTERNAL_SERVER_ERROR,
            false => StatusCode::OK,
        }
    }

    /// Copies weights from the weight store, which limits the number of concurrent
    /// copies; false if the copy failed or the store has no such version.
    async fn copy_weights(&self, model: &str, version: u64) -> bool {
        let Some(store) = self.tuning.weights else {
            return true;
        };
        let path = format!("/weights/{model}/{version}");
        let answer = Client::default()
            .call(Method::GET, store, &path, &[], "", COPY_TIMEOUT)
            .await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}
