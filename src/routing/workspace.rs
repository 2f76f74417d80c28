//! The workspaces whose callers may send requests, and the keys that authenticate them.

use std::{
    collections::HashMap,
    fmt,
    sync::Arc, //
};

/// The digest of a caller's key.
///
/// Keys themselves are never stored, logged or forwarded. Digests are compared in constant
/// time, so that timing reveals nothing about a key.
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

/// The credential that a caller presents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// No key.
    Absent,
    /// One key.
    Key(KeyDigest),
    /// Several keys, or an empty one.
    Malformed,
}

/// A customer, with keys of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    pub name: String,
    /// Overrides the priority of the requests' routes; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// The workspaces of a configuration, by their keys' digests.
#[derive(Clone, Debug, Default)]
pub struct Workspaces(HashMap<KeyDigest, Arc<Workspace>>);

impl Workspaces {
    /// Adds `workspace` with its `keys`.
    pub fn insert(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = KeyDigest>) {
        let workspace = Arc::new(workspace);
        let keys = keys.into_iter();
        self.0.extend(keys.map(|key| (key, workspace.clone())));
    }

    /// The workspace that `key` belongs to.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.0.get(key)
    }
}
