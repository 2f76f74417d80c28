//! The settings that the fleet's processes are opened with.

use super::PoolKind;
use redwingpond::{
    base::Millis,
    policy::router::Policy,
    settings::{
        AgentSettings,
        Backend,
        BackendKind,
        CommonSettings,
        DrainSettings,
        EntrySettings,
        LogFormat, //
    },
};
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// The key of all in-process deployments.
pub(super) const KEY: &str = "loopback only";

/// Any port of the loopback address.
pub(super) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// What every process has.
pub(super) fn common(instance: &str, data_centre: &str, platform: SocketAddr) -> CommonSettings {
    CommonSettings {
        admin: loopback(),
        data_centre: data_centre.to_owned(),
        drain: DrainSettings {
            timeout: Millis(30_000),
            close_delay: Millis(500),
        },
        instance: instance.to_owned(),
        key: KEY.to_owned(),
        links: loopback(),
        log: LogFormat::Text,
        log_level: "warn".to_owned(),
        platform,
    }
}

/// An agent before `backend`.
pub(super) fn agent(
    common: CommonSettings,
    pool: &str,
    plan: &super::PoolPlan,
    address: SocketAddr,
    policy: Policy,
) -> AgentSettings {
    let kind = match plan.kind {
        PoolKind::Engine => BackendKind::Engine,
        PoolKind::Scorer | PoolKind::Service => BackendKind::Service,
    };
    AgentSettings {
        backend: Backend {
            address,
            capacity: plan.capacity,
            checks_fence: plan.checks_fence,
            kind,
            pool: pool.to_owned(),
            max_queued: plan.queue,
        },
        common,
        policy,
    }
}

/// An entry.
pub(super) fn entry(
    common: CommonSettings,
    policy: Policy,
    peers: Vec<SocketAddr>,
) -> EntrySettings {
    EntrySettings {
        callers: loopback(),
        common,
        distances: BTreeMap::new(),
        peers,
        policy,
    }
}
