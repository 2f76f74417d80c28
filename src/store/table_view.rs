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
    kept: Option<Kept>,
    /// Rows that had been removed when the view was last pruned.
    old: Vec<Name>,
    rows: HashMap<Name, Seen>,
}

/// Each row's last change, in the order of revisions.
#[derive(Debug, Default)]
struct Kept {
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
    pub fn keep(&mut self) {
        self.kept = Some(Kept::default());
    }

    /// All rows up to `revision` were listed since rows are kept; what was removed
    /// before is not known.
    pub fn set_whole(&mut self, revision: u64) {
        if let Some(kept) = &mut self.kept {
            kept.forgotten = kept.forgotten.max(revision);
        }
    }

    /// Whether rows are kept with their values.
    pub fn keeps(&self) -> bool {
        self.kept.is_some()
    }

    /// The revision of the newest change among the kept rows.
    pub fn newest_kept(&self) -> u64 {
        let newest = self
            .kept
            .as_ref()
            .and_then(|kept| kept.rows.last_key_value());
        newest.map_or(0, |((revision, _), _)| *revision)
    }

    /// The kept rows that changed after the revision `after`, or all that exist for 0;
    /// `None` when some of them may be forgotten.
    pub fn since(&self, after: u64) -> Option<Vec<Row>> {
        let kept = self.kept.as_ref()?;
        if after != 0 && after < kept.forgotten {
            return None;
        }
        let first = (after + 1, Name::default());
        let rows = kept.rows.range(first..);
        let told = rows.filter(|(_, value)| after != 0 || value.is_some());
        let row = |((revision, (part, key)), value): (&(u64, Name), &Option<Bytes>)| Row {
            part: part.clone(),
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        Some(told.map(row).collect())
    }

    /// Forgets the rows that had been removed when this was last called. Until then a
    /// feed or a listing that lags behind can't bring them back.
    pub fn prune(&mut self) {
        for name in std::mem::take(&mut self.old) {
            let Some(seen) = self.rows.get(&name).copied().filter(|seen| !seen.exists) else {
                continue;
            };
            self.rows.remove(&name);
            if let Some(kept) = &mut self.kept {
                kept.rows.remove(&(seen.revision, name));
                kept.forgotten = kept.forgotten.max(seen.revision);
            }
        }
        let removed = self.rows.iter().filter(|(_, seen)| !seen.exists);
        self.old = removed.map(|(name, _)| name.clone()).collect();
    }

    /// Takes rows of the feed; returns what they change.
    pub fn feed(&mut self, rows: Vec<Row>) -> Vec<Change> {
        rows.into_iter().filter_map(|row| self.take(row)).collect()
    }

    /// Takes a whole listing of `part`, or of the whole table when `None`;
    /// returns what it changes. Known rows that it lacks are gone, unless they
    /// are newer than the listing.
    pub fn list(&mut self, part: Option<&str>, listing: Listing) -> Vec<Change> {
        let listed: HashSet<Name> = listing
            .rows
            .iter()
            .map(|row| (row.part.clone(), row.key.clone()))
            .collect();
        let mut changes = self.feed(listing.rows);
        changes.extend(self.drop_rows(listing.revision, |name| {
            part.is_none_or(|part| part == name.0) && !listed.contains(name)
        }));
        changes
    }

    fn take(&mut self, row: Row) -> Option<Change> {
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
            if let Some(kept) = self.kept.as_mut().filter(|_| seen.revision == revision) {
                kept.put(&name, known, revision, value);
            }
            return None;
        }
        let existed = known.is_some_and(|seen| seen.exists);
        let exists = value.is_some();
        self.rows.insert(name.clone(), Seen { exists, revision });
        if let Some(kept) = &mut self.kept {
            kept.put(&name, known, revision, value.clone());
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
    pub fn keep_parts(&mut self, parts: &[&str], revision: u64) -> Vec<Change> {
        let parts: HashSet<&str> = parts.iter().copied().collect();
        self.drop_rows(revision, |name| !parts.contains(name.0.as_str()))
    }

    /// Takes the existing rows that `gone` names for removed, unless they are
    /// newer than `revision`.
    fn drop_rows(&mut self, revision: u64, gone: impl Fn(&Name) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, seen) in &mut self.rows {
            if !seen.exists || seen.revision > revision || !gone(name) {
                continue;
            }
            if let Some(kept) = &mut self.kept {
                kept.put(name, Some(*seen), revision, None);
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

impl Kept {
    /// Puts the change of a row in the place of the one before.
    fn put(&mut self, name: &Name, before: Option<Seen>, revision: u64, value: Option<Bytes>) {
        if let Some(before) = before {
            self.rows.remove(&(before.revision, name.clone()));
        }
        self.rows.insert((revision, name.clone()), value);
    }
}
