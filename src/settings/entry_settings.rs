//! The settings of an entry.

use super::{
    CommonSettings,
    InstanceLimits,
    Reader,
    SettingsError,
    common::{address, any_port, policy},
    file, //
};
use crate::{
    base::Millis,
    policy::router::Policy, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path, //
};

/// The settings of a `redwing-entry`.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The address at which the entry listens for callers and trainers.
    pub callers: SocketAddr,
    pub common: CommonSettings,
    /// The one-way delay to each other data centre, by its name.
    pub distances: BTreeMap<String, Millis>,
    pub limits: InstanceLimits,
    /// The link ports of other entries, used if this one starts while the platform is down.
    pub peers: Vec<SocketAddr>,
    pub policy: Policy,
}

/// The assumed one-way delay to a data centre that `distances` doesn't list.
pub const DEFAULT_DISTANCE: Millis = Millis(2);

impl EntrySettings {
    /// Loads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let common = CommonSettings::read(reader);
        let listen = reader.section("listen");
        let callers = address(&listen, "callers", Some(any_port()));
        // `CommonSettings` reads these keys with a reader of its own. Reading them here too marks
        // them as known, so that `finish` reports only unknown keys.
        listen.text("admin", Some("-"));
        listen.text("links", Some("-"));
        listen.finish();

        let mut distances = BTreeMap::new();
        for name in reader.keys("distances") {
            let section = reader.section("distances");
            let delay = section.number(&name, 0..=10_000, None);
            distances.insert(name, Millis(delay));
        }
        let peers = reader.texts("peers");
        let parsed: Vec<SocketAddr> = peers.iter().filter_map(|p| p.parse().ok()).collect();
        if parsed.len() < peers.len() {
            let expected = "IP addresses with ports";
            reader.reject("peers", expected, &peers.join(", "));
        }
        Self {
            callers,
            common,
            distances,
            limits: InstanceLimits::read(reader),
            peers: parsed,
            policy: policy(reader),
        }
    }

    /// The one-way delay to `data_centre`.
    pub fn distance(&self, data_centre: &str) -> Millis {
        if data_centre == self.common.data_centre {
            return Millis(0);
        }
        self.distances
            .get(data_centre)
            .copied()
            .unwrap_or(DEFAULT_DISTANCE)
    }
}
