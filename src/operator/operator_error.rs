//! The errors that `redwing` prints.

use crate::{
    base::RequestIdError,
    settings::SettingsError, //
    table::{HttpError, PlatformError},
};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a command of `redwing` failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum OperatorError {
    #[snafu(display("{address} answered with something that is not understood: {source}"))]
    Answer {
        address: SocketAddr,
        source: serde_json::Error,
    },
    #[snafu(display(
        "`{path}` has changed meanwhile: it is at version {version}, expected {expected}; read it again before you apply"
    ))]
    Conflict {
        expected: u64,
        path: String,
        version: u64,
    },
    #[snafu(display("{source}"), context(false))]
    Http { source: HttpError },
    #[snafu(display("{source}"), context(false))]
    Id { source: RequestIdError },
    #[snafu(display(
        "name the entries' admin addresses with `--entry`, or the platform with `--platform`"
    ))]
    NoEntries,
    #[snafu(display("the logs hold no step from its acceptance to its end"))]
    NoSteps,
    #[snafu(display("no settings at `{path}`"))]
    NoSettings { path: String },
    #[snafu(display("`{path}` is no path of settings: expected `pools/NAME` or `teams/NAME`"))]
    Path { path: String },
    #[snafu(display("can't read `{file}`: {source}"))]
    Read {
        file: String,
        source: std::io::Error,
    },
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    #[snafu(display("{source}"), context(false))]
    Platform { source: PlatformError },
    #[snafu(display(
        "no process that was asked knows request `{id}`; it may have run, and that can't be told from here"
    ))]
    UnknownRequest { id: String },
}

impl OperatorError {
    /// Whether the error lies in the command line or in a file that the operator gave.
    pub fn is_usage(&self) -> bool {
        matches!(
            self,
            Self::Id { .. }
                | Self::NoEntries
                | Self::Path { .. }
                | Self::Read { .. }
                | Self::Settings { .. }
        )
    }
}
