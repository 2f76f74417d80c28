//! The workspaces whose callers may use the site, and their keys.

use std::{
    collections::HashMap,
    fmt,
    sync::Arc, //
};

/// A caller's key as it is kept and compared.
///
/// Keys themselves are nowhere kept, logged or sent on. Digests are compared in
/// constant time: how long it takes tells nothing of a key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::hash(key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// What a caller shows to prove who it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// Nothing.
    Absent,
    /// One key.
    Key(KeyDigest),
    /// Several keys, or an empty one.
    Malformed,
}

/// A customer, who has keys of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    pub name: String,
    /// Goes before the priority of its requests' routes; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// All workspaces of a configuration, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Workspaces(HashMap<KeyDigest, Arc<Workspace>>);

impl Workspaces {
    /// Takes `workspace` with its `keys`.
    pub fn insert(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = KeyDigest>) {
        let workspace = Arc::new(workspace);
        let keys = keys.into_iter();
        self.0.extend(keys.map(|key| (key, workspace.clone())));
    }

    /// The workspace that holds `key`.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.0.get(key)
    }
}
