//! `redwing settings check` and `apply`.

use super::{
    OperatorError,
    operator_error::{ConflictSnafu, ReadSnafu},
    shared_settings::table_path, //
};
use crate::{
    base::{Clock, stable_hash},
    settings::{PoolSettings, SettingsError, TEAMS_PREFIX, TeamSettings, read}, //
    table::{PlatformClient, Transaction, TransactionOutcome, Write},
};
use argh::FromArgs;
use snafu::ResultExt;
use std::{
    net::SocketAddr,
    path::PathBuf, //
};

/// Check settings without changing anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct CheckCommand {
    /// the path that the settings are for, such as `teams/tema`
    #[argh(positional)]
    path: String,

    /// the YAML file
    #[argh(positional)]
    file: PathBuf,
}

/// Store settings at a path, where they take effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct ApplyCommand {
    /// the path, such as `teams/tema`
    #[argh(positional)]
    path: String,

    /// the YAML file
    #[argh(positional)]
    file: PathBuf,

    /// apply only if the path is at this version; 0 if it must be new
    #[argh(option)]
    expect: Option<u64>,

    /// the platform's IP address and port
    #[argh(option)]
    platform: SocketAddr,
}

impl CheckCommand {
    pub(super) fn run(self) -> Result<(), OperatorError> {
        table_path(&self.path)?;
        read_checked(&self.path, &self.file)?;
        println!("{}: ok for `{}`", self.file.display(), self.path);
        Ok(())
    }
}

impl ApplyCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        let path = table_path(&self.path)?;
        let text = read_checked(&self.path, &self.file)?;
        let platform = PlatformClient::open(self.platform);
        let expect = match self.expect {
            Some(expect) => expect,
            None => platform.get(&path).await?.map_or(0, |row| row.version),
        };
        let now = Clock::open().now().0;
        let token = stable_hash(&[
            path.as_bytes(),
            text.as_bytes(),
            &now.to_le_bytes(),
            &std::process::id().to_le_bytes(),
        ]);
        let transaction = Transaction {
            token: format!("apply-{token:016x}"),
            writes: vec![Write {
                expect,
                path,
                value: Some(text),
            }],
        };
        match platform.transact(&transaction).await? {
            TransactionOutcome::Committed(versions) => {
                let version = versions.first().copied().unwrap_or_default();
                println!("`{}` accepted as version {version}", self.path);
                Ok(())
            }
            TransactionOutcome::Conflict { version, .. } => ConflictSnafu {
                expected: expect,
                path: self.path,
                version,
            }
            .fail(),
        }
    }
}

/// Reads `file` and checks it as settings for `path`; returns its text.
fn read_checked(path: &str, file: &PathBuf) -> Result<String, OperatorError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadSnafu { file: &name })?;
    let is_team = table_path(path)?.starts_with(TEAMS_PREFIX);
    let result: Result<(), SettingsError> = match is_team {
        true => read(&name, &text, TeamSettings::read).map(|_| ()),
        false => read(&name, &text, PoolSettings::read).map(|_| ()),
    };
    result?;
    Ok(text)
}
