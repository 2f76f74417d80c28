//! The settings that all entries share: teams and pools, as rows of the platform's table.

use super::{
    PoolSettings,
    SettingsError,
    TeamSettings,
    file, //
};
use std::collections::BTreeMap;

/// The prefix of the paths of all shared settings.
pub const SETTINGS_PREFIX: &str = "settings/";

/// The prefix of the pools' paths; each pool has one document.
pub const POOLS_PREFIX: &str = "settings/pools/";

/// The prefix of the teams' paths; each team has one document.
pub const TEAMS_PREFIX: &str = "settings/teams/";

/// All teams and pools by name, as of one read of the table.
#[derive(Clone, Debug, Default)]
pub struct SharedSettings {
    pub pools: BTreeMap<String, PoolSettings>,
    pub teams: BTreeMap<String, TeamSettings>,
}

impl SharedSettings {
    /// Reads `rows` of path and document. Omits each document with faults and returns the
    /// errors of those documents as well.
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
