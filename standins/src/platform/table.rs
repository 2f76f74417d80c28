//! A versioned table with transactions, held in memory.

use redwingpond::table::{
    Listing,
    Row,
    Transaction,
    TransactionOutcome, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// Rows by path, and the outcomes of transactions by their token.
#[derive(Debug, Default)]
pub struct Table {
    outcomes: HashMap<String, TransactionOutcome>,
    /// The version of the rows written last.
    revision: u64,
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// The row at `path`.
    pub fn get(&self, path: &str) -> Option<&Row> {
        self.rows.get(path)
    }

    /// All rows whose path begins with `prefix`; their highest version is the
    /// listing's revision.
    pub fn list(&self, prefix: &str) -> Listing {
        let rows = self.rows.iter();
        let rows = rows.filter(|(path, _)| path.starts_with(prefix));
        let rows: BTreeMap<String, Row> = rows
            .map(|(path, row)| (path.clone(), row.clone()))
            .collect();
        Listing {
            revision: rows.values().map(|row| row.version).max().unwrap_or(0),
            rows,
        }
    }

    /// Applies all writes or none. A repeated token returns the first outcome again
    /// and writes nothing.
    pub fn transact(&mut self, transaction: Transaction) -> TransactionOutcome {
        if let Some(outcome) = self.outcomes.get(&transaction.token) {
            return outcome.clone();
        }
        let outcome = self.write(&transaction);
        self.outcomes.insert(transaction.token, outcome.clone());
        outcome
    }

    /// Applies the writes if every row has its expected version; 0 expects no row.
    fn write(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for write in &transaction.writes {
            let version = self.rows.get(&write.path).map_or(0, |row| row.version);
            if version != write.expect {
                let path = write.path.clone();
                return TransactionOutcome::Conflict { path, version };
            }
        }

        self.revision += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = Row {
                        value: value.clone(),
                        version: self.revision,
                    };
                    self.rows.insert(write.path.clone(), row);
                }
                None => {
                    self.rows.remove(&write.path);
                }
            }
        }
        TransactionOutcome::Committed(vec![self.revision; transaction.writes.len()])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use redwingpond::table::Write;

    fn transaction(token: &str, expect: u64) -> Transaction {
        Transaction {
            token: token.into(),
            writes: vec![Write {
                expect,
                path: "a".into(),
                value: Some("x".into()),
            }],
        }
    }

    #[test]
    fn a_repeated_token_returns_the_first_outcome() {
        let mut table = Table::default();
        let first = table.transact(transaction("one", 0));
        assert_eq!(first, TransactionOutcome::Committed(vec![1]));
        assert_eq!(table.transact(transaction("one", 0)), first);
        let path = "a".to_owned();
        let conflict = TransactionOutcome::Conflict { path, version: 1 };
        assert_eq!(table.transact(transaction("two", 0)), conflict);
    }
}
