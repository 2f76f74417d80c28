//! The settings that all entries share.

use super::{
    PoolSettings,
    SettingsError,
    TeamSettings,
    file, //
};
use std::collections::BTreeMap;

/// The path under which each pool has its document.
pub const POOLS: &str = "pools/";

/// The path under which each team has its subtree.
pub const TEAMS: &str = "teams/";

/// All teams and pools, as of one read of the table.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    pub pools: BTreeMap<String, PoolSettings>,
    pub teams: BTreeMap<String, TeamSettings>,
    /// The sum of the rows' versions, which only grows.
    pub version: u64,
}

impl Shared {
    /// Reads `rows` of path, version and document. A document with faults is
    /// left out and its faults are returned beside the rest.
    pub fn read<'a>(
        rows: impl Iterator<Item = (&'a str, u64, &'a str)>,
    ) -> (Self, Vec<SettingsError>) {
        let mut shared = Self::default();
        let mut errors = Vec::new();
        for (path, version, text) in rows {
            shared.version += version;
            if let Err(error) = shared.add(path, text) {
                errors.push(error);
            }
        }
        (shared, errors)
    }

    fn add(&mut self, path: &str, text: &str) -> Result<(), SettingsError> {
        if let Some(name) = path.strip_prefix(POOLS) {
            let pool = file::read(path, text, PoolSettings::read)?;
            self.pools.insert(name.to_owned(), pool);
        }
        if let Some(name) = path.strip_prefix(TEAMS) {
            let team = file::read(path, text, TeamSettings::read)?;
            self.teams.insert(name.to_owned(), team);
        }
        Ok(())
    }
}
