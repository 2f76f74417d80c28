//! The API keys of the soak's workspaces, which are replaced while the soak runs.

use crate::site::{
    Store,
    put_config, //
};
use redwingpond::base::Millis;

/// The names of the workspaces; all trainers belong to the first.
pub(super) const WORKSPACES: [&str; 2] = ["foam", "springs"];

/// How long a removed key may still work.
pub(super) const REVOCATION_LIMIT: Millis = Millis(2_000);

/// The current and removed keys of all workspaces.
pub(super) struct Keys {
    /// The current key of each workspace.
    current: [String; WORKSPACES.len()],
    /// The number of replacement keys so far; numbers their texts.
    issued: u64,
    /// The removed keys, and when each was removed.
    removed: Vec<(String, Millis)>,
    /// The version of the latest configuration.
    version: u64,
}

/// The service of calls during planned stops.
pub(super) const SLOW_SERVICE: &str = "slow";

impl Keys {
    /// Gives each workspace its first key and writes the first configuration.
    pub(super) fn open(store: &Store) -> Self {
        let mut keys = Self {
            current: WORKSPACES.map(|name| format!("{name}-key-0")),
            issued: 0,
            removed: Vec::new(),
            version: 0,
        };
        keys.write_config(store);
        keys
    }

    /// Replaces the key of `workspace` with a new one.
    pub(super) fn rotate(&mut self, store: &Store, workspace: usize, now: Millis) {
        self.issued += 1;
        let next = format!("{}-key-{}", WORKSPACES[workspace], self.issued);
        let old = std::mem::replace(&mut self.current[workspace], next);
        self.write_config(store);
        // The removal counts from the write of the new configuration.
        self.removed.push((old, now));
    }

    /// The current key of `workspace`.
    pub(super) fn current(&self, workspace: usize) -> &str {
        &self.current[workspace]
    }

    /// The key that was removed last.
    pub(super) fn last_removed(&self) -> Option<&str> {
        self.removed.last().map(|(key, _)| key.as_str())
    }

    /// When `key` was removed; `None` if it is valid.
    pub(super) fn removed_at(&self, key: &str) -> Option<Millis> {
        let found = self.removed.iter().find(|(removed, _)| removed == key);
        found.map(|(_, at)| *at)
    }

    /// Writes a newer configuration with the current keys.
    fn write_config(&mut self, store: &Store) {
        self.version += 1;
        let named = WORKSPACES.iter().zip(&self.current);
        let workspaces =
            named.map(|(name, key)| serde_json::json!({"name": name, "apiKeys": [key]}));
        let slow = serde_json::json!([{
            "name": SLOW_SERVICE, "host": "site.example", "pathPrefix": "/slow/",
            "routeType": "unsafe", "timeoutMs": 2_000, "targetLatencyMs": 1_000, "priority": 1,
            "maxAttempts": 3, "service": SLOW_SERVICE,
        }]);
        put_config(store, self.version, &slow, &workspaces.collect());
    }
}
