//! What a follower has seen of a table.

use super::{
    Change,
    Listing,
    Row, //
};
use bytes::Bytes;
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

/// The newest revision seen of each row of one table.
///
/// # Invariants
///
/// A row's revision never falls: a listing or a feed that lags behind what was
/// already seen changes nothing.
#[derive(Debug, Default)]
pub struct TableView {
    /// The rows with their values, for others; `None` while nobody needs them.
    retained: Option<Retained>,
    /// Rows that had been removed when the view was last pruned.
    prunable: Vec<Name>,
    rows: HashMap<Name, Seen>,
}

/// Each row's last change, in the order of revisions.
#[derive(Debug, Default)]
struct Retained {
    /// Removed rows up to this revision are forgotten.
    forgotten: u64,
    rows: BTreeMap<(u64, Name), Option<Bytes>>,
}

/// Part and key.
type Name = (String, String);

#[derive(Clone, Copy, Debug)]
struct Seen {
    exists: bool,
    revision: u64,
}

impl TableView {
    /// Keeps rows with their values from now on; the whole table has to be listed for it.
    pub fn retain_rows(&mut self) {
        self.retained = Some(Retained::default());
    }

    /// All rows up to `revision` were listed since rows are kept; what was removed
    /// before is not known.
    pub fn set_complete(&mut self, revision: u64) {
        if let Some(retained) = &mut self.retained {
            retained.forgotten = retained.forgotten.max(revision);
        }
    }

    /// Whether rows are kept with their values.
    pub fn retains_rows(&self) -> bool {
        self.retained.is_some()
    }

    /// The revision of the newest change among the kept rows.
    pub fn newest_retained(&self) -> u64 {
        let newest = self
            .retained
            .as_ref()
            .and_then(|retained| retained.rows.last_key_value());
        newest.map_or(0, |((revision, _), _)| *revision)
    }

    /// The kept rows that changed after the revision `after`, or all that exist for 0;
    /// `None` when some of them may be forgotten.
    pub fn rows_since(&self, after: u64) -> Option<Vec<Row>> {
        let retained = self.retained.as_ref()?;
        if after != 0 && after < retained.forgotten {
            return None;
        }
        let first = (after + 1, Name::default());
        let rows = retained.rows.range(first..);
        let changed = rows.filter(|(_, value)| after != 0 || value.is_some());
        let row = |((revision, (part, key)), value): (&(u64, Name), &Option<Bytes>)| Row {
            part: part.clone(),
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        Some(changed.map(row).collect())
    }

    /// Forgets the rows that had been removed when this was last called. Until then a
    /// feed or a listing that lags behind can't bring them back.
    pub fn prune(&mut self) {
        for name in std::mem::take(&mut self.prunable) {
            let Some(seen) = self.rows.get(&name).copied().filter(|seen| !seen.exists) else {
                continue;
            };
            self.rows.remove(&name);
            if let Some(retained) = &mut self.retained {
                retained.rows.remove(&(seen.revision, name));
                retained.forgotten = retained.forgotten.max(seen.revision);
            }
        }
        let removed = self.rows.iter().filter(|(_, seen)| !seen.exists);
        self.prunable = removed.map(|(name, _)| name.clone()).collect();
    }

    /// Takes rows of the feed; returns what they change.
    pub fn apply_changes(&mut self, rows: Vec<Row>) -> Vec<Change> {
        rows.into_iter()
            .filter_map(|row| self.apply_row(row))
            .collect()
    }

    /// Takes a whole listing of `part`, or of the whole table when `None`;
    /// returns what it changes. Known rows that it lacks are gone, unless they
    /// are newer than the listing.
    pub fn apply_listing(&mut self, part: Option<&str>, listing: Listing) -> Vec<Change> {
        let listed: HashSet<Name> = listing
            .rows
            .iter()
            .map(|row| (row.part.clone(), row.key.clone()))
            .collect();
        let mut changes = self.apply_changes(listing.rows);
        changes.extend(self.remove_rows(listing.revision, |name| {
            part.is_none_or(|part| part == name.0) && !listed.contains(name)
        }));
        changes
    }

    fn apply_row(&mut self, row: Row) -> Option<Change> {
        let Row {
            part,
            key,
            value,
            revision,
        } = row;
        let name = (part, key);
        let known = self.rows.get(&name).copied();
        if let Some(seen) = known.filter(|seen| seen.revision >= revision) {
            // It may have been seen before rows were kept.
            if let Some(retained) = self.retained.as_mut().filter(|_| seen.revision == revision) {
                retained.put(&name, known, revision, value);
            }
            return None;
        }
        let existed = known.is_some_and(|seen| seen.exists);
        let exists = value.is_some();
        self.rows.insert(name.clone(), Seen { exists, revision });
        if let Some(retained) = &mut self.retained {
            retained.put(&name, known, revision, value.clone());
        }

        let (part, key) = name;
        match value {
            Some(value) => Some(Change::Put {
                part,
                key,
                value,
                revision,
            }),
            None => existed.then_some(Change::Removed { part, key }),
        }
    }

    /// Takes the list of all parts as of `revision`; returns the rows that are
    /// gone because their part is.
    pub fn apply_parts(&mut self, parts: &[&str], revision: u64) -> Vec<Change> {
        let parts: HashSet<&str> = parts.iter().copied().collect();
        self.remove_rows(revision, |name| !parts.contains(name.0.as_str()))
    }

    /// Takes the existing rows that `gone` names for removed, unless they are
    /// newer than `revision`.
    fn remove_rows(&mut self, revision: u64, gone: impl Fn(&Name) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, seen) in &mut self.rows {
            if !seen.exists || seen.revision > revision || !gone(name) {
                continue;
            }
            if let Some(retained) = &mut self.retained {
                retained.put(name, Some(*seen), revision, None);
            }
            seen.exists = false;
            seen.revision = revision;
            changes.push(Change::Removed {
                part: name.0.clone(),
                key: name.1.clone(),
            });
        }
        changes
    }
}

impl Retained {
    /// Puts the change of a row in the place of the one before.
    fn put(&mut self, name: &Name, before: Option<Seen>, revision: u64, value: Option<Bytes>) {
        if let Some(before) = before {
            self.rows.remove(&(before.revision, name.clone()));
        }
        self.rows.insert((revision, name.clone()), value);
    }
}
