//! `redwing settings get` and `list`.

use super::{
    OperatorError,
    operator_error::{NoSettingsSnafu, PathSnafu}, //
};
use crate::{
    settings::{POOLS_PREFIX, SETTINGS_PREFIX, TEAMS_PREFIX}, //
    table::{EntityTag, PlatformClient},
};
use argh::FromArgs;
use snafu::{
    OptionExt,
    ensure, //
};
use std::net::SocketAddr;

/// Print the settings at a path.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(super) struct GetCommand {
    /// the path, such as `teams/tema`
    #[argh(positional)]
    path: String,

    /// the platform's IP address and port
    #[argh(option)]
    platform: SocketAddr,
}

/// List the paths of all settings with their versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(super) struct ListCommand {
    /// the platform's IP address and port
    #[argh(option)]
    platform: SocketAddr,
}

/// The table's path for a path that an operator gave, which must be `pools/NAME` or
/// `teams/NAME`.
pub(super) fn table_path(path: &str) -> Result<String, OperatorError> {
    let table_path = format!("{SETTINGS_PREFIX}{path}");
    let name = table_path
        .strip_prefix(POOLS_PREFIX)
        .or(table_path.strip_prefix(TEAMS_PREFIX));
    let valid = name.is_some_and(|name| {
        !name.is_empty()
            && name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    });
    ensure!(valid, PathSnafu { path });
    Ok(table_path)
}

impl GetCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        let found = PlatformClient::open(self.platform)
            .get(&table_path(&self.path)?)
            .await?;
        let found = found.context(NoSettingsSnafu { path: self.path })?;
        println!("# version {}", found.version);
        println!("{}", found.value.trim_end());
        Ok(())
    }
}

impl ListCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        let listing = PlatformClient::open(self.platform)
            .list(SETTINGS_PREFIX, &mut EntityTag::default())
            .await?;
        for (path, row) in listing.unwrap_or_default().rows {
            let path = path.strip_prefix(SETTINGS_PREFIX).unwrap_or(&path);
            println!("{:>8}  {path}", row.version);
        }
        Ok(())
    }
}
