//! `redwing settings get` and `list`.

use super::{
    OperatorError,
    operator_error::{NoSettingsSnafu, PathSnafu}, //
};
use crate::{
    settings::{POOLS, ROOT, TEAMS}, //
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

/// The table's path for an operator's path.
pub(super) fn row(path: &str) -> Result<String, OperatorError> {
    let row = format!("{ROOT}{path}");
    let name = row.strip_prefix(POOLS).or(row.strip_prefix(TEAMS));
    let named = name.is_some_and(|name| {
        !name.is_empty()
            && name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    });
    ensure!(named, PathSnafu { path });
    Ok(row)
}

impl GetCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        let found = PlatformClient::open(self.platform)
            .get(&row(&self.path)?)
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
            .list(ROOT, &mut EntityTag::default())
            .await?;
        for (path, row) in listing.unwrap_or_default().rows {
            let path = path.strip_prefix(ROOT).unwrap_or(&path);
            println!("{:>8}  {path}", row.version);
        }
        Ok(())
    }
}
