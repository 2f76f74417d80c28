//! How the rollout duty brings engines to a trainer's newest weights.

use super::{
    command::Command,
    ownership,
    rollout::{Rollout, Told, TrainerKey},
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

/// The outcome of one order.
pub(super) struct Swapped {
    key: TrainerKey,
    result: Result<EngineState, Failure>,
    server: ServerKey,
}

/// The wait before an engine whose swap failed is ordered again.
const RETRY: Millis = Millis(500);

/// How long an order may take.
const ORDER_TIME: Millis = Millis(45_000);

/// How long a confirmed version counts before a report that shows another.
const CONFIRMED: Millis = Millis(2_500);

impl Rollout {
    /// Orders swaps for every trainer whose engines lag behind it.
    pub(super) fn tend_swaps(&mut self, now: Millis) {
        let keys: Vec<TrainerKey> = self.trainers.keys().cloned().collect();
        for key in keys {
            self.tend_swap(&key, now);
        }
    }

    /// Takes in the outcome of an order.
    pub(super) fn on_swapped(&mut self, swapped: Swapped) {
        let now = self.clock.now();
        let Some(trainer) = self.trainers.get_mut(&swapped.key) else {
            return;
        };
        let model = trainer.model.clone().unwrap_or_default();
        let swap = trainer.swaps.entry(swapped.server).or_default();
        swap.running = false;
        match swapped.result {
            Ok(state) => {
                swap.confirmed = state.version(&model).map(|version| (now, version));
            }
            Err(failure) => {
                swap.not_before = now + RETRY;
                swap.confirmed = None;
                tracing::warn!(model, detail = failure.detail, "swap failed");
                metrics::counter!("redwing_swaps_failed_total").increment(1);
            }
        }
    }

    fn tend_swap(&mut self, key: &TrainerKey, now: Millis) {
        let Some(settings) = self.rollout_settings(&key.0) else {
            return;
        };
        let pool = settings.pool.clone();
        let width = self
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
                // A report lags behind the order's own outcome.
                let confirmed = swap
                    .confirmed
                    .filter(|(at, _)| now.since(*at) < CONFIRMED)
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
        let chosen = wave::next(now, &engines, target, width);
        for server in &chosen {
            trainer.swaps.entry(*server).or_default().running = true;
        }
        for server in chosen {
            let order = Order {
                fence,
                kind: OrderKind::Load { version: target },
                lease: ownership::path(key),
                model: model.clone(),
            };
            let name = view.servers.iter().find(|one| one.key == server);
            tracing::info!(
                target: "decision",
                team = key.0,
                trainer = key.1,
                model,
                version = target.0,
                fence,
                chosen = name.map(|one| one.name.as_str()),
                lagging = engines.len(),
                reason = "oldest weights first",
                "swap"
            );
            self.spawn_order(key.clone(), server, order);
        }
    }

    fn spawn_order(&self, key: TrainerKey, server: ServerKey, order: Order) {
        let (told, traffic) = (self.told.clone(), self.traffic.clone());
        tokio::task::spawn_local(async move {
            let result = give(&traffic, server, order).await;
            let swapped = Swapped {
                key,
                result,
                server,
            };
            let _ = told.send(Told::Swapped(swapped)).await;
        });
    }
}

async fn give(
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
    match timeout(ORDER_TIME.as_duration(), outcome).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) | Err(_) => {
            let detail = "no outcome of the order";
            let cause = crate::base::Cause::LinkLost;
            Err(Failure::may_have_run(cause, detail))
        }
    }
}
