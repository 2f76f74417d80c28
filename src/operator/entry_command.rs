//! The command line of `redwing-entry`.

use super::{
    USAGE,
    block_on,
    parse, //
};
use crate::{
    duty::{open_log, render_metrics, wait_for_stop},
    entry::Entry,
    settings::EntrySettings, //
};
use argh::FromArgs;
use std::{
    path::PathBuf,
    process::ExitCode, //
};

/// Runs an entry of redwingpond: callers and trainers talk HTTP to it, and it
/// routes their requests to the agents beside the backend servers. SIGTERM or
/// SIGINT begins a graceful stop, a second one forces it.
#[derive(FromArgs)]
struct EntryCommand {
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,

    /// the YAML file with this entry's settings
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the program; returns its exit code.
pub fn entry_main() -> ExitCode {
    let command: EntryCommand = match parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let settings = match EntrySettings::load(&command.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(USAGE);
        }
    };
    if command.check {
        println!("{}: ok", command.settings.display());
        return ExitCode::SUCCESS;
    }

    open_log(settings.common.log, &settings.common.log_level);
    render_metrics();
    let entry = match Entry::open(settings) {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    block_on(async {
        match wait_for_stop(entry.handle).await {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    })
}
