//! What the programs do alike: check, open, run, stop.

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

/// A program's settings file, and what is to be done with it.
pub(super) struct Program<'a> {
    /// Only check the settings.
    pub(super) check: bool,
    pub(super) file: &'a Path,
}

impl Program<'_> {
    /// Checks the settings file again. All that a process takes from it (its
    /// addresses, its data centre, the store) is fixed for its life; what may
    /// change while it runs comes from the store.
    fn reload<S>(&self, load: &impl Fn(&Path) -> Result<S, SettingsError>) {
        match load(self.file) {
            Ok(_) => tracing::info!("settings checked: changes hold from the next start"),
            Err(error) => tracing::error!(%error, "the settings file is wrong; it is left alone"),
        }
    }

    /// Checks the settings, then runs what `open` starts until it has stopped.
    /// What `open_log` returns is kept until then.
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
        render_metrics();
        let handle = match open(settings) {
            Ok(handle) => handle,
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::FAILURE;
            }
        };
        let code = block_on(async {
            match wait_for_stop(handle, || self.reload(&load)).await {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        });
        tracing::info!("stopped");
        drop(log);
        code
    }
}
