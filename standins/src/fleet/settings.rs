//! The settings of the fleet's entries and agents.

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
        InstanceLimits,
        LogFormat, //
    },
};
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// The key that secures the links of in-process deployments.
pub(super) const LINK_KEY: &str = "loopback only";

/// The loopback address with a port that the system chooses.
pub(super) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The settings that entries and agents have in common.
pub(super) fn common(instance: &str, data_centre: &str, platform: SocketAddr) -> CommonSettings {
    CommonSettings {
        admin: loopback(),
        data_centre: data_centre.to_owned(),
        drain: DrainSettings {
            timeout: Millis(30_000),
            close_delay: Millis(500),
        },
        instance: instance.to_owned(),
        key: LINK_KEY.to_owned(),
        links: loopback(),
        log: LogFormat::Text,
        log_level: "warn".to_owned(),
        platform,
    }
}

/// The settings of an agent for the backend server at `address`.
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

/// The settings of an entry.
pub(super) fn entry(
    common: CommonSettings,
    policy: Policy,
    peers: Vec<SocketAddr>,
) -> EntrySettings {
    EntrySettings {
        callers: loopback(),
        common,
        limits: InstanceLimits::default(),
        distances: BTreeMap::new(),
        peers,
        policy,
    }
}
