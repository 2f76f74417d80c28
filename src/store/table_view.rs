//! A follower's view of one table, which turns listings and feeds into changes.

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

/// The newest known revision of each row of one table.
///
/// # Invariants
///
/// A row's revision never decreases: a listing or a feed that is older than the known
/// revision of a row doesn't change the row.
#[derive(Debug, Default)]
pub struct TableView {
    /// The rows with their values, to be served to other instances; `None` until
    /// [`TableView::retain_rows`] is called.
    retained: Option<Retained>,
    /// Rows that were already removed at the last call of [`TableView::prune`]; the next
    /// call drops them.
    prunable: Vec<Name>,
    rows: HashMap<Name, Seen>,
}

/// The last change of each row, in the order of revisions.
#[derive(Debug, Default)]
struct Retained {
    /// Removals up to this revision may be missing from `rows`.
    forgotten: u64,
    rows: BTreeMap<(u64, Name), Option<Bytes>>,
}

/// A row's part and key.
type Name = (String, String);

/// The last known state of a row.
#[derive(Clone, Copy, Debug)]
struct Seen {
    exists: bool,
    revision: u64,
}

impl TableView {
    /// Retains rows with their values from now on. The caller must list the whole table
    /// again, since values seen before were dropped.
    pub fn retain_rows(&mut self) {
        self.retained = Some(Retained::default());
    }

    /// Records that all rows up to `revision` were listed since [`TableView::retain_rows`] was
    /// called. Removals before that revision are unknown.
    pub fn set_complete(&mut self, revision: u64) {
        if let Some(retained) = &mut self.retained {
            retained.forgotten = retained.forgotten.max(revision);
        }
    }

    /// Whether rows are retained with their values.
    pub fn retains_rows(&self) -> bool {
        self.retained.is_some()
    }

    /// The revision of the newest change among the retained rows; 0 if there is none.
    pub fn newest_retained(&self) -> u64 {
        let newest = self
            .retained
            .as_ref()
            .and_then(|retained| retained.rows.last_key_value());
        newest.map_or(0, |((revision, _), _)| *revision)
    }

    /// The retained rows that changed after the revision `after`, removed ones included,
    /// or all existing rows if `after` is 0. `None` if some of the changes may be missing.
    pub fn rows_since(&self, after: u64) -> Option<Vec<Row>> {
        let retained = self.retained.as_ref()?;
        if after != 0 && after < retained.forgotten {
            return None;
        }
        let Some(next) = after.checked_add(1) else {
            return Some(Vec::new());
        };
        let first = (next, Name::default());
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

    /// Drops the rows that were already removed at the previous call. Keeping a removed row
    /// until then prevents a late feed or listing from restoring it.
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

    /// Applies rows of the feed; returns the changes that were new.
    pub fn apply_changes(&mut self, rows: Vec<Row>) -> Vec<Change> {
        rows.into_iter()
            .filter_map(|row| self.apply_row(row))
            .collect()
    }

    /// Applies a complete listing of `part`, or of the whole table if `part` is `None`;
    /// returns the changes that were new. A known row that is missing from the listing is
    /// removed, unless it is newer than the listing.
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
            // If the row was seen before rows were retained, its value is still missing.
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

    /// Applies the list of all parts as of `revision`; returns the removals of rows whose
    /// part no longer exists.
    pub fn apply_parts(&mut self, parts: &[&str], revision: u64) -> Vec<Change> {
        let parts: HashSet<&str> = parts.iter().copied().collect();
        self.remove_rows(revision, |name| !parts.contains(name.0.as_str()))
    }

    /// Removes the existing rows that `gone` selects, unless they are newer than
    /// `revision`.
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
    /// Replaces the last change of a row.
    fn put(&mut self, name: &Name, before: Option<Seen>, revision: u64, value: Option<Bytes>) {
        if let Some(before) = before {
            self.rows.remove(&(before.revision, name.clone()));
        }
        self.rows.insert((revision, name.clone()), value);
    }
}
