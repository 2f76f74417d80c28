//! An agent's own settings.

use super::{
    CommonSettings,
    Reader,
    SettingsError,
    common::{address, policy},
    file, //
};
use crate::policy::router::Policy;
use std::{
    net::SocketAddr,
    path::Path, //
};

/// What kind of backend server stands behind an agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendKind {
    Engine,
    #[default]
    Service,
}

/// The backend server behind an agent.
#[derive(Clone, Debug)]
pub struct Backend {
    pub address: SocketAddr,
    /// Requests that it takes at once.
    pub capacity: u32,
    /// Whether it refuses orders with an old fencing number by itself.
    pub checks_fence: bool,
    pub kind: BackendKind,
    pub pool: String,
    /// Requests that may wait for it.
    pub max_queued: usize,
}

/// The settings of a `redwing-agent`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub backend: Backend,
    pub common: CommonSettings,
    pub policy: Policy,
}

impl AgentSettings {
    /// Loads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the document's root.
    pub fn read(reader: &Reader<'_>) -> Self {
        let common = CommonSettings::read(reader);
        let listen = reader.section("listen");
        listen.text("admin", Some("-"));
        listen.text("links", Some("-"));
        listen.finish();

        let backend = reader.section("backend");
        let kinds = [
            ("engine", BackendKind::Engine),
            ("service", BackendKind::Service),
        ];
        let kind = backend.choice("kind", &kinds, None).unwrap_or_default();
        let checks_fence = backend.value("checks_fence", "true or false", Some(false));
        if checks_fence && kind == BackendKind::Service {
            let expected = "false: a plain service takes no orders";
            backend.reject("checks_fence", expected, "true");
        }
        let settings = Self {
            backend: Backend {
                address: address(&backend, "address", None),
                capacity: backend.number("capacity", 1..=100_000, Some(8)) as u32,
                checks_fence,
                kind,
                pool: backend.text("pool", None),
                max_queued: backend.number("queue", 0..=1_000_000, Some(256)) as usize,
            },
            common,
            policy: policy(reader),
        };
        backend.finish();
        settings
    }
}
