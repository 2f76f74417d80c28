//! The store's rows and their history, without the HTTP interface.

use std::collections::BTreeMap;

/// The table, part and key that identify a row.
pub type RowKey = (String, String, String);

/// A row as it was written or removed at a revision.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: RowKey,
    pub revision: u64,
    /// The value in base64; `None` for a removed row.
    pub value: Option<String>,
}

/// The current rows with their revisions, and the recent changes.
#[derive(Debug, Default)]
pub struct Rows {
    history: Vec<Change>,
    /// Changes up to and including this revision are no longer in `history`.
    forgotten_to: u64,
    /// The revision of the latest transaction.
    pub revision: u64,
    /// Value in base64 and revision of each row.
    current: BTreeMap<RowKey, (String, u64)>,
}

impl Rows {
    /// Applies all changes at one new revision. If any row has another revision than
    /// `expected`, changes nothing and returns those of the expected rows that exist.
    pub fn transact(
        &mut self,
        expected: &[(RowKey, u64)],
        changes: Vec<(RowKey, Option<String>)>,
    ) -> Result<u64, Vec<Change>> {
        let revision_of = |key: &RowKey| self.current.get(key).map_or(0, |row| row.1);
        let condition_met = expected
            .iter()
            .all(|(key, revision)| revision_of(key) == *revision);
        if !condition_met {
            let keys = expected.iter().map(|(key, _)| key);
            return Err(keys.filter_map(|key| self.row(key)).collect());
        }

        self.revision += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => self
                    .current
                    .insert(key.clone(), (value.clone(), self.revision)),
                None => self.current.remove(&key),
            };
            self.history.push(Change {
                key,
                revision: self.revision,
                value,
            });
        }
        Ok(self.revision)
    }

    /// The current row with this key, if there is one.
    pub fn row(&self, key: &RowKey) -> Option<Change> {
        self.current.get(key).map(|(value, revision)| Change {
            key: key.clone(),
            revision: *revision,
            value: Some(value.clone()),
        })
    }

    /// At most `limit` rows of a part, beginning with key `from`, and whether there are more.
    pub fn list(&self, table: &str, part: &str, from: &str, limit: usize) -> (Vec<Change>, bool) {
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let within = |key: &RowKey| key.0 == table && key.1 == part;
        let keys = self.current.range(first..).map(|(key, _)| key);
        let keys: Vec<&RowKey> = keys.take_while(|key| within(key)).take(limit + 1).collect();
        let more = keys.len() > limit;
        let rows = keys.into_iter().take(limit);
        (rows.filter_map(|key| self.row(key)).collect(), more)
    }

    /// The number of rows in a part of `table`.
    pub fn rows_in_table(&self, table: &str, part: &str) -> usize {
        let within = |key: &&RowKey| key.0 == table && key.1 == part;
        self.current.keys().filter(within).count()
    }

    /// The number of rows in a part, over all tables.
    pub fn rows_in_part(&self, part: &str) -> usize {
        self.current.keys().filter(|key| key.1 == part).count()
    }

    /// The names of a table's parts.
    pub fn parts(&self, table: &str) -> Vec<String> {
        let keys = self.current.keys().filter(|key| key.0 == table);
        let mut parts: Vec<String> = keys.map(|key| key.1.clone()).collect();
        parts.dedup();
        parts
    }

    /// The changes of a table after a revision; `None` if some of them have been
    /// forgotten.
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.forgotten_to {
            return None;
        }
        let wanted = |change: &&Change| change.key.0 == table && change.revision > after;
        Some(self.history.iter().filter(wanted).cloned().collect())
    }

    /// Forgets the history of changes; current rows stay.
    pub fn forget_history(&mut self) {
        self.forgotten_to = self.revision;
        self.history.clear();
    }
}
