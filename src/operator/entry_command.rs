//! The command line of `redwing-entry`.

use super::{
    parse_command_line,
    program::Program, //
};
use crate::{
    duty::open_log,
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

/// Runs `redwing-entry`; returns its exit code.
pub fn entry_main() -> ExitCode {
    let command: EntryCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let program = Program {
        check: command.check,
        file: &command.settings,
    };
    program.run(
        EntrySettings::load,
        |settings| open_log(settings.common.log, &settings.common.log_level),
        |settings| Entry::open(settings).map(|entry| entry.handle),
    )
}
