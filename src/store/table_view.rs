//! What a follower has seen of a table.

use super::{
    Change,
    Listing,
    Row, //
};
use std::collections::{
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
    rows: HashMap<Name, Seen>,
}

/// Part and key.
type Name = (String, String);

#[derive(Clone, Copy, Debug)]
struct Seen {
    exists: bool,
    revision: u64,
}

impl TableView {
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
        if known.is_some_and(|seen| seen.revision >= revision) {
            return None;
        }
        let existed = known.is_some_and(|seen| seen.exists);
        let exists = value.is_some();
        self.rows.insert(name.clone(), Seen { exists, revision });

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
