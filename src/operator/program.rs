//! Starts and runs a long-running program until it has stopped.

use super::{
    USAGE_EXIT_CODE,
    block_on, //
};
use crate::{
    duty::{DutyError, ProgramHandle, render_metrics, wait_for_stop},
    settings::SettingsError, //
};
use std::{
    path::Path,
    process::ExitCode, //
};

/// The command line options that all long-running programs have.
pub(super) struct Program<'a> {
    /// Whether to only check the settings.
    pub(super) check: bool,
    /// The settings file.
    pub(super) file: &'a Path,
}

impl Program<'_> {
    /// Checks the settings file again, without applying it. The settings in the file (addresses,
    /// data centre, the store) are fixed until the process ends; those that may change while it
    /// runs come from the store.
    fn recheck_settings<S>(&self, load: &impl Fn(&Path) -> Result<S, SettingsError>) {
        match load(self.file) {
            Ok(_) => tracing::info!("settings checked; changes apply at the next start"),
            Err(error) => tracing::error!(%error, "settings file invalid; running settings kept"),
        }
    }

    /// Loads and checks the settings, starts the program with `open` and runs it until it has
    /// stopped. The value that `open_log` returns is kept until the end.
    pub(super) fn run<S, G>(
        &self,
        load: impl Fn(&Path) -> Result<S, SettingsError>,
        open_log: impl Fn(&S) -> G,
        open: impl Fn(S) -> Result<ProgramHandle, DutyError>,
    ) -> ExitCode {
        let settings = match load(self.file) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::from(USAGE_EXIT_CODE);
            }
        };
        if self.check {
            println!("{}: ok", self.file.display());
            return ExitCode::SUCCESS;
        }

        let log = open_log(&settings);
        // The first call begins the recording of metrics.
        render_metrics();
        let handle = match open(settings) {
            Ok(handle) => handle,
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::FAILURE;
            }
        };
        let code = block_on(async {
            match wait_for_stop(handle, || self.recheck_settings(&load)).await {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        });
        tracing::info!("program stopped");
        drop(log);
        code
    }
}
