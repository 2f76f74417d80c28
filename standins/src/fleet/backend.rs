//! The stand-in backend server that an agent serves.

use super::{
    PoolKind,
    PoolPlan, //
};
use crate::{
    engine::{Engine, Tuning},
    scorer::Scorer,
    service::Service, //
};
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

/// A stand-in backend server of any kind.
pub enum Backend {
    Engine(Engine),
    Scorer(Scorer),
    Service(Service),
}

impl Backend {
    /// Starts a backend server of the plan's kind; engines download weights from the platform
    /// at `weights`.
    pub async fn open(plan: &PoolPlan, weights: SocketAddr) -> io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let time = Duration::from_millis(plan.service_ms);
        Ok(match plan.kind {
            PoolKind::Engine => {
                let tuning = Tuning {
                    checks_fence: plan.checks_fence,
                    max_batch: plan.capacity as usize,
                    weights: Some(weights),
                    ..Tuning::default()
                };
                Self::Engine(Engine::open(address, tuning).await?)
            }
            PoolKind::Scorer => Self::Scorer(Scorer::open(address, time).await?),
            PoolKind::Service => Self::Service(Service::open(address, time).await?),
        })
    }

    /// The address at which the backend server listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Scorer(scorer) => scorer.address,
            Self::Service(service) => service.address,
        }
    }
}
