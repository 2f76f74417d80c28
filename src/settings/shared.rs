//! The settings that all entries share.

use super::{
    PoolSettings,
    SettingsError,
    TeamSettings,
    file, //
};
use std::collections::BTreeMap;

/// The path under which all shared settings are.
pub const SETTINGS_PREFIX: &str = "settings/";

/// The path under which each pool has its document.
pub const POOLS_PREFIX: &str = "settings/pools/";

/// The path under which each team has its subtree.
pub const TEAMS_PREFIX: &str = "settings/teams/";

/// All teams and pools, as of one read of the table.
#[derive(Clone, Debug, Default)]
pub struct SharedSettings {
    pub pools: BTreeMap<String, PoolSettings>,
    pub teams: BTreeMap<String, TeamSettings>,
}

impl SharedSettings {
    /// Reads `rows` of path and document. A document with faults is left out
    /// and its faults are returned beside the rest.
    pub fn read<'a>(rows: impl Iterator<Item = (&'a str, &'a str)>) -> (Self, Vec<SettingsError>) {
        let mut shared = Self::default();
        let mut errors = Vec::new();
        for (path, text) in rows {
            if let Err(error) = shared.add(path, text) {
                errors.push(error);
            }
        }
        (shared, errors)
    }

    fn add(&mut self, path: &str, text: &str) -> Result<(), SettingsError> {
        if let Some(name) = path.strip_prefix(POOLS_PREFIX) {
            let pool = file::read(path, text, PoolSettings::read)?;
            self.pools.insert(name.to_owned(), pool);
        }
        if let Some(name) = path.strip_prefix(TEAMS_PREFIX) {
            let team = file::read(path, text, TeamSettings::read)?;
            self.teams.insert(name.to_owned(), team);
        }
        Ok(())
    }
}
