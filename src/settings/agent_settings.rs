//! The settings of an agent.

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

/// The kind of a backend server: an engine that generates text, or any other service.
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
    /// The maximum number of requests that the backend server runs at once.
    pub capacity: u32,
    /// Whether the backend server itself refuses orders with an outdated fencing token.
    pub checks_fence: bool,
    pub kind: BackendKind,
    pub pool: String,
    /// The maximum number of requests that wait in the agent's queue.
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
    /// Loads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let common = CommonSettings::read(reader);
        let listen = reader.section("listen");
        // `CommonSettings` reads these keys with a reader of its own. Reading them here too marks
        // them as known, so that `finish` reports only unknown keys.
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
