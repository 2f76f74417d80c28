//! The error of a case.

use crate::fleet::FleetError;
use redwingpond::settings::SettingsError;
use snafu::Snafu;

/// A case could not be measured.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LoadError {
    #[snafu(display("{source}"), context(false))]
    Fleet { source: FleetError },
    #[snafu(display("{source}"), context(false))]
    Io { source: std::io::Error },
    #[snafu(display("{what} could not be measured"))]
    NotMeasured { what: String },
    #[snafu(display("can't draw `{file}`: {message}"))]
    Plot { file: String, message: String },
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
}
