//! The shared settings and the list of instances, as this entry knows them.

use super::directory_update::{
    DirectoryUpdate,
    InstancesChange, //
};
use crate::{
    base::stable_hash,
    settings::SharedSettings, //
    table::{Instance, Listing},
};
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// The shared settings and the instances in force at this entry.
///
/// # Invariants
///
/// Neither the revision nor the version of any row ever decreases.
#[derive(Clone, Debug, Default)]
pub(super) struct Directory {
    /// Earlier lists of instances with their stamps, so that a peer that has one of them
    /// is sent only the changes.
    history: VecDeque<(u64, Arc<Vec<Instance>>)>,
    pub(super) instances: Arc<Vec<Instance>>,
    /// The rows of the shared settings.
    listing: Arc<Listing>,
    /// The settings that the rows contain.
    pub(super) shared: Arc<SharedSettings>,
    /// Identifies the list of instances.
    stamp: u64,
}

/// The number of earlier lists that are kept. A peer with an older list is sent the whole
/// new one.
const MAX_HISTORY: usize = 8;

impl Directory {
    /// Whether any settings have been received.
    pub(super) fn is_loaded(&self) -> bool {
        self.listing.revision > 0
    }

    /// This directory with the newer parts of `update`; `None` if it has none.
    pub(super) fn apply(&self, update: DirectoryUpdate) -> Option<Self> {
        let mut next = self.clone();
        // A peer may lag behind: its rows must not replace newer ones.
        let newer = update.rows.into_iter().filter(|(path, row)| {
            let known = self.listing.rows.get(path);
            known.is_none_or(|known| known.version < row.version)
        });
        let newer: Vec<_> = newer.collect();
        if !newer.is_empty() || update.revision > self.revision() {
            let listing = Arc::make_mut(&mut next.listing);
            listing.revision = listing.revision.max(update.revision);
            listing.rows.extend(newer.iter().cloned());
        }
        if !newer.is_empty() {
            next.parse_settings();
        }

        let instances = update.instances.apply(&self.instances);
        if instances != *self.instances {
            next.history.push_back((self.stamp, self.instances.clone()));
            if next.history.len() > MAX_HISTORY {
                next.history.pop_front();
            }
            let bytes = serde_json::to_vec(&instances).unwrap_or_default();
            next.stamp = stable_hash(&[&bytes]);
            next.instances = Arc::new(instances);
        }
        let changed = next.stamp != self.stamp || next.revision() != self.revision();
        changed.then_some(next)
    }

    /// The changes since the settings of `revision` and the list of instances with `stamp`;
    /// `None` if there are none.
    pub(super) fn update_since(&self, revision: u64, stamp: u64) -> Option<DirectoryUpdate> {
        if revision >= self.revision() && stamp == self.stamp {
            return None;
        }
        let rows = self.listing.rows.iter();
        let newer = rows.filter(|(_, row)| row.version > revision);
        let before = self.history.iter().find(|(earlier, _)| *earlier == stamp);
        let instances = match before {
            _ if stamp == self.stamp => InstancesChange::Same,
            Some((_, before)) => InstancesChange::between(before, &self.instances),
            None => InstancesChange::All((*self.instances).clone()),
        };
        Some(DirectoryUpdate {
            instances,
            revision: self.revision(),
            rows: newer
                .map(|(path, row)| (path.clone(), row.clone()))
                .collect(),
        })
    }

    /// The revision of the settings in force.
    pub(super) fn revision(&self) -> u64 {
        self.listing.revision
    }

    /// A number that differs whenever the list of instances does.
    pub(super) fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Parses the rows. Invalid settings are logged and left out.
    fn parse_settings(&mut self) {
        let rows = self.listing.rows.iter();
        let rows = rows.filter(|(_, row)| !row.value.is_empty());
        let texts = rows.map(|(path, row)| (path.as_str(), row.value.as_str()));
        let (shared, errors) = SharedSettings::read(texts);
        for error in errors {
            tracing::error!(%error, "invalid shared settings ignored");
        }
        self.shared = Arc::new(shared);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::Row;

    fn update(revision: u64, rows: &[(&str, u64)]) -> DirectoryUpdate {
        let row = |version: u64| Row {
            value: format!("kind: service # {version}"),
            version,
        };
        DirectoryUpdate {
            instances: InstancesChange::Same,
            revision,
            rows: rows
                .iter()
                .map(|(path, version)| (format!("settings/pools/{path}"), row(*version)))
                .collect(),
        }
    }

    /// Guards against an accepted configuration that reverts. An entry has revision 9
    /// from one peer, then asks another that is still at 5. The answers of different
    /// peers are not ordered, so the version of each row may only increase.
    #[test]
    fn an_older_update_from_a_peer_reverts_nothing() {
        let first = Directory::default().apply(update(9, &[("a", 9), ("b", 3)]));
        let first = first.unwrap();
        assert!(first.apply(update(5, &[("a", 5), ("b", 3)])).is_none());
        assert_eq!(first.revision(), 9);
    }

    #[test]
    fn an_update_holds_only_newer_rows() {
        let first = Directory::default().apply(update(9, &[("a", 9), ("b", 3)]));
        let first = first.unwrap();
        let received = first.update_since(5, first.stamp()).unwrap();
        assert_eq!(received, update(9, &[("a", 9)]));
        assert!(first.update_since(9, first.stamp()).is_none());
    }
}
