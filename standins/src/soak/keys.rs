//! The keys of the soak's workspaces, which the operators change while it runs.

use crate::site::{
    Store,
    put_config, //
};
use redwingpond::base::Millis;

/// The workspaces; trainers belong to the first.
pub(super) const WORKSPACES: [&str; 2] = ["foam", "springs"];

/// Within which time of its removal a key must stop working.
pub(super) const REVOCATION_LIMIT: Millis = Millis(2_000);

/// All keys so far.
pub(super) struct Keys {
    /// The key of each workspace.
    current: [String; WORKSPACES.len()],
    issued: u64,
    /// Keys that were taken away, and when.
    removed: Vec<(String, Millis)>,
    version: u64,
}

impl Keys {
    /// Gives each workspace its first key, in the first configuration.
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

    /// Takes the key of `workspace` away and gives it another one.
    pub(super) fn rotate(&mut self, store: &Store, workspace: usize, now: Millis) {
        self.issued += 1;
        let next = format!("{}-key-{}", WORKSPACES[workspace], self.issued);
        let old = std::mem::replace(&mut self.current[workspace], next);
        self.write_config(store);
        // From when the store has taken it.
        self.removed.push((old, now));
    }

    /// The key of `workspace`.
    pub(super) fn current(&self, workspace: usize) -> &str {
        &self.current[workspace]
    }

    /// The key that was taken away last.
    pub(super) fn last_removed(&self) -> Option<&str> {
        self.removed.last().map(|(key, _)| key.as_str())
    }

    /// When `key` was taken away.
    pub(super) fn removed_at(&self, key: &str) -> Option<Millis> {
        let found = self.removed.iter().find(|(removed, _)| removed == key);
        found.map(|(_, at)| *at)
    }

    fn write_config(&mut self, store: &Store) {
        self.version += 1;
        let named = WORKSPACES.iter().zip(&self.current);
        let workspaces =
            named.map(|(name, key)| serde_json::json!({"name": name, "apiKeys": [key]}));
        let none = serde_json::json!([]);
        put_config(store, self.version, &none, &workspaces.collect());
    }
}
