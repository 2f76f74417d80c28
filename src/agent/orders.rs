//! Checks orders and carries them out.

use super::{
    link_listener::LinkKey,
    run_order::run_order,
    work::Worker, //
};
use crate::{
    base::{Cause, Failure, Fence, WeightVersion},
    policy::{
        fences::{FenceCheck, Fences},
        lease::{LEASE_PREFIX, Lease}, //
    },
    table::{EntityTag, PlatformClient, Row},
    wire::{EngineState, FromAgent, Order, OrderKind, Slot}, //
};
use std::{
    cell::RefCell,
    rc::Rc, //
};

impl Worker {
    /// Starts a task that checks the order, carries it out and sends the outcome.
    pub(super) fn on_order(&mut self, link: LinkKey, slot: Slot, order: Order) {
        let Some(sender) = self.links.get(&link).map(|state| state.sender.clone()) else {
            return;
        };
        let engine_access = self.engine_access.clone();
        let fences = self.fences.clone();
        let platform = self.platform.clone();
        let server = self.settings.common.instance.clone();
        tokio::task::spawn_local(async move {
            let (model, kind, fence) = (order.model.clone(), order.kind.clone(), order.fence);
            let result: Result<EngineState, Failure> = async {
                check_fence(&fences, &platform, &order).await?;
                let Some(engine_access) = engine_access else {
                    let detail = "a plain service takes no orders";
                    return Err(Failure::not_run(Cause::BadRequest, detail));
                };
                run_order(&engine_access, &fences, order).await
            }
            .await;
            tracing::info!(
                target: "decision",
                server,
                model,
                order = ?kind,
                fence,
                done = result.is_ok(),
                why = result.as_ref().err().map(|failure| failure.cause.word()),
                "order carried out or refused"
            );
            sender.send(FromAgent::Ordered { slot, result }).await;
        });
    }
}

/// Fails if a newer order of the same lease is known.
async fn check_fence(
    fences: &Rc<RefCell<Fences>>,
    platform: &PlatformClient,
    order: &Order,
) -> Result<(), Failure> {
    let version = match order.kind {
        OrderKind::Load { version } => version,
        OrderKind::Role { .. } | OrderKind::Unload => WeightVersion::default(),
    };
    let check = fences
        .borrow_mut()
        .check(&order.lease, order.fence, version);
    let check = match check {
        FenceCheck::Unknown => {
            // An agent that has just started knows no fencing token, and its engine may
            // not check any. An old order of an owner that was paused past the end of its
            // lease could then pass. So the newest tokens are read from the rows of the
            // leases, all of them, because the engine may have seen the highest of any
            // lease. If they can't be read, the order fails.
            let lease_epochs = lease_epochs(platform).await?;
            let mut fences = fences.borrow_mut();
            fences.learn(&order.lease, 1);
            for (lease, epoch) in lease_epochs {
                fences.learn(&lease, epoch.max(1));
            }
            fences.check(&order.lease, order.fence, version)
        }
        FenceCheck::Pass | FenceCheck::Stale(_) => check,
    };
    match check {
        FenceCheck::Pass => Ok(()),
        FenceCheck::Unknown | FenceCheck::Stale(_) => {
            let detail = format!("order {} is overtaken by a newer one", order.fence);
            Err(Failure::not_run(Cause::StaleFence, detail))
        }
    }
}

/// Reads the path and the epoch of each trainer's lease from the table.
async fn lease_epochs(platform: &PlatformClient) -> Result<Vec<(String, Fence)>, Failure> {
    let listing = platform.list(LEASE_PREFIX, &mut EntityTag::default()).await;
    let listing = listing.map_err(|error| Failure::not_run(Cause::StoreDown, error.to_string()))?;
    let rows = listing.map(|listing| listing.rows).unwrap_or_default();
    let epoch = |(path, row): (String, Row)| {
        let lease: Lease = serde_json::from_str(&row.value)
            .map_err(|error| Failure::not_run(Cause::StoreDown, error.to_string()))?;
        Ok((path, lease.epoch))
    };
    rows.into_iter().map(epoch).collect()
}
