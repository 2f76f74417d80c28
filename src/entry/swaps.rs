//! How the rollout duty swaps engines to a trainer's newest weights.

use super::{
    command::Command,
    ownership,
    rollout::{Rollout, TaskReport, TrainerKey},
    server::ServerKey, //
};
use crate::{
    base::{Failure, Millis},
    policy::wave::{self, Engine},
    wire::{EngineState, Order, OrderKind}, //
};
use tokio::{
    sync::oneshot,
    time::timeout, //
};

/// The outcome of one order to swap.
pub(super) struct SwapResult {
    key: TrainerKey,
    result: Result<EngineState, Failure>,
    server: ServerKey,
}

/// The delay before an engine whose swap has failed gets another order.
const SWAP_RETRY_DELAY: Millis = Millis(500);

/// How long to wait for the outcome of an order.
const ORDER_TIMEOUT: Millis = Millis(45_000);

/// How long the version confirmed by an order takes precedence over an older one in the
/// engine's reports.
const CONFIRMATION_LIFETIME: Millis = Millis(2_500);

impl Rollout {
    /// Orders swaps for every trainer whose engines have weights older than the version that
    /// the trainer has named.
    pub(super) fn order_swaps(&mut self, now: Millis) {
        let keys: Vec<TrainerKey> = self.trainers.keys().cloned().collect();
        for key in keys {
            self.order_trainer_swaps(&key, now);
        }
    }

    /// Records the outcome of an order.
    pub(super) fn on_swap_result(&mut self, outcome: SwapResult) {
        let now = self.clock.now();
        let Some(trainer) = self.trainers.get_mut(&outcome.key) else {
            return;
        };
        let model = trainer.model.clone().unwrap_or_default();
        let swap = trainer.swaps.entry(outcome.server).or_default();
        swap.running = false;
        match outcome.result {
            Ok(state) => {
                swap.confirmed = state.version(&model).map(|version| (now, version));
            }
            Err(failure) => {
                swap.not_before = now + SWAP_RETRY_DELAY;
                swap.confirmed = None;
                tracing::warn!(
                    model,
                    detail = failure.detail,
                    "order to swap weights failed"
                );
                metrics::counter!("redwing_swaps_failed_total").increment(1);
            }
        }
    }

    /// Orders the swaps that may start now for one trainer.
    fn order_trainer_swaps(&mut self, key: &TrainerKey, now: Millis) {
        let Some(settings) = self.rollout_settings(&key.0) else {
            return;
        };
        let pool = settings.pool.clone();
        let max_swaps = self
            .directory
            .shared
            .pools
            .get(&pool)
            .map_or(1, |p| p.max_swaps);
        let view = self.view.clone();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        let (Some(fence), Some(model)) = (trainer.epoch(), trainer.model.clone()) else {
            return;
        };

        let engines: Vec<Engine<ServerKey>> = view
            .pool(&pool)
            .filter(|server| server.report.usable)
            .map(|server| {
                let swap = trainer.swaps.entry(server.key).or_default();
                let reported = server.report.engine.version(&model);
                // Reports lag behind the outcomes of orders.
                let confirmed = swap
                    .confirmed
                    .filter(|(confirmed_at, _)| now.since(*confirmed_at) < CONFIRMATION_LIFETIME)
                    .map(|(_, version)| version);
                Engine {
                    key: server.key,
                    not_before: swap.not_before,
                    swapping: swap.running,
                    version: confirmed.max(reported),
                }
            })
            .collect();
        let target = trainer.version;
        let chosen = wave::next(now, &engines, target, max_swaps);
        for server in &chosen {
            trainer.swaps.entry(*server).or_default().running = true;
        }
        for server in chosen {
            let order = Order {
                fence,
                kind: OrderKind::Load { version: target },
                lease: ownership::lease_path(key),
                model: model.clone(),
            };
            let chosen_view = view.servers.iter().find(|view| view.key == server);
            tracing::info!(
                target: "decision",
                team = key.0,
                trainer = key.1,
                model,
                version = target.0,
                fence,
                chosen = chosen_view.map(|view| view.name.as_str()),
                // All usable engines of the pool, also those that have the target version.
                lagging = engines.len(),
                reason = "oldest weights first",
                "swap of weights ordered"
            );
            self.spawn_order(key.clone(), server, order);
        }
    }

    /// Starts a task that sends an order and reports its outcome.
    fn spawn_order(&self, key: TrainerKey, server: ServerKey, order: Order) {
        let (reports, traffic) = (self.reports.clone(), self.traffic.clone());
        tokio::task::spawn_local(async move {
            let result = send_order(&traffic, server, order).await;
            let swap = SwapResult {
                key,
                result,
                server,
            };
            let _ = reports.send(TaskReport::Swap(swap)).await;
        });
    }
}

/// Sends an order and waits for its outcome.
async fn send_order(
    traffic: &tokio::sync::mpsc::Sender<Command>,
    server: ServerKey,
    order: Order,
) -> Result<EngineState, Failure> {
    let (reply, outcome) = oneshot::channel();
    let command = Command::Order {
        order,
        reply,
        server,
    };
    let _ = traffic.send(command).await;
    match timeout(ORDER_TIMEOUT.as_duration(), outcome).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) | Err(_) => {
            let detail = "no outcome of the order";
            let cause = crate::base::Cause::LinkLost;
            Err(Failure::may_have_run(cause, detail))
        }
    }
}
