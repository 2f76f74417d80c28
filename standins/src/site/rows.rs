//! The rows of the store, without the wire.

use std::collections::BTreeMap;

/// Table, part and key.
pub type Name = (String, String, String);

/// One change, for the feed.
#[derive(Clone, Debug)]
pub struct Change {
    pub name: Name,
    pub revision: u64,
    /// The new value in base64; `None` for a removed row.
    pub value: Option<String>,
}

/// Rows with their revisions, and the changes that are still kept.
#[derive(Debug, Default)]
pub struct Rows {
    history: Vec<Change>,
    /// Changes up to this revision are no longer kept.
    lost: u64,
    pub revision: u64,
    present: BTreeMap<Name, (String, u64)>,
}

impl Rows {
    /// Applies all changes at one new revision, or tells the expected rows as
    /// they are when one has another revision than expected.
    pub fn transact(
        &mut self,
        expected: &[(Name, u64)],
        changes: Vec<(Name, Option<String>)>,
    ) -> Result<u64, Vec<Change>> {
        let revision_of = |name: &Name| self.present.get(name).map_or(0, |row| row.1);
        let holds = expected
            .iter()
            .all(|(name, revision)| revision_of(name) == *revision);
        if !holds {
            let names = expected.iter().map(|(name, _)| name);
            return Err(names.filter_map(|name| self.row(name)).collect());
        }

        self.revision += 1;
        for (name, value) in changes {
            match &value {
                Some(value) => self
                    .present
                    .insert(name.clone(), (value.clone(), self.revision)),
                None => self.present.remove(&name),
            };
            self.history.push(Change {
                name,
                revision: self.revision,
                value,
            });
        }
        Ok(self.revision)
    }

    /// The row called `name`.
    pub fn row(&self, name: &Name) -> Option<Change> {
        self.present.get(name).map(|(value, revision)| Change {
            name: name.clone(),
            revision: *revision,
            value: Some(value.clone()),
        })
    }

    /// The rows of a part from a key on, and whether more than `most` follow.
    pub fn list(&self, table: &str, part: &str, from: &str, most: usize) -> (Vec<Change>, bool) {
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let within = |name: &Name| name.0 == table && name.1 == part;
        let names = self.present.range(first..).map(|(name, _)| name);
        let names: Vec<&Name> = names
            .take_while(|name| within(name))
            .take(most + 1)
            .collect();
        let more = names.len() > most;
        let rows = names.into_iter().take(most);
        (rows.filter_map(|name| self.row(name)).collect(), more)
    }

    /// The rows of a part, in all tables.
    pub fn count(&self, part: &str) -> usize {
        self.present.keys().filter(|name| name.1 == part).count()
    }

    /// The parts of a table.
    pub fn parts(&self, table: &str) -> Vec<String> {
        let names = self.present.keys().filter(|name| name.0 == table);
        let mut parts: Vec<String> = names.map(|name| name.1.clone()).collect();
        parts.dedup();
        parts
    }

    /// The changes of a table after a revision; `None` when some of them are
    /// no longer kept.
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.lost {
            return None;
        }
        let wanted = |change: &&Change| change.name.0 == table && change.revision > after;
        Some(self.history.iter().filter(wanted).cloned().collect())
    }

    /// Forgets all changes made so far.
    pub fn forget_history(&mut self) {
        self.lost = self.revision;
        self.history.clear();
    }
}
