//! The command lines of `redwing-gateway` and `redwing-runner`.

use super::{
    USAGE_EXIT_CODE,
    parse_command_line,
    program::Program, //
};
use crate::{
    duty::{DutyError, ProgramHandle, open_stdout_log},
    gateway::Gateway,
    platform::SETTINGS_VARIABLE,
    runner::Runner,
    settings::{GatewaySettings, RunnerSettings, SettingsError, SiteSettings}, //
};
use argh::FromArgs;
use std::{
    path::{Path, PathBuf},
    process::ExitCode, //
};

/// Runs a gateway: callers and trainers talk HTTP to it. It forwards calls by
/// the operators' routes, stores batches and returns their results. SIGTERM or
/// SIGINT begins a graceful stop, a second one forces it.
#[derive(FromArgs)]
struct GatewayCommand {
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,

    /// the YAML file with the settings; without it, the one that the
    /// platform's environment variable names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Runs a runner beside an engine: it takes groups of batch items from the
/// store, runs them on the engine and stores their results. SIGTERM or SIGINT
/// begins a graceful stop, a second one forces it.
#[derive(FromArgs)]
struct RunnerCommand {
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,

    /// the YAML file with the settings; without it, the one that the
    /// platform's environment variable names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Runs `redwing-gateway`; returns its exit code.
pub fn gateway_main() -> ExitCode {
    match parse_command_line::<GatewayCommand>() {
        Ok(command) => run(
            command.check,
            command.settings,
            GatewaySettings::load,
            |settings| &settings.common,
            |settings| Gateway::open(settings).map(|gateway| gateway.handle),
        ),
        Err(code) => code,
    }
}

/// Runs `redwing-runner`; returns its exit code.
pub fn runner_main() -> ExitCode {
    match parse_command_line::<RunnerCommand>() {
        Ok(command) => run(
            command.check,
            command.settings,
            RunnerSettings::load,
            |settings| &settings.common,
            |settings| Runner::open(settings).map(|runner| runner.handle),
        ),
        Err(code) => code,
    }
}

fn run<S>(
    check: bool,
    file: Option<PathBuf>,
    load: impl Fn(&Path) -> Result<S, SettingsError>,
    common: impl Fn(&S) -> &SiteSettings,
    open: impl Fn(S) -> Result<ProgramHandle, DutyError>,
) -> ExitCode {
    let Some(file) = file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("error: give `--settings FILE`, or set {SETTINGS_VARIABLE}");
        return ExitCode::from(USAGE_EXIT_CODE);
    };
    let program = Program { check, file: &file };
    program.run(
        load,
        |settings| open_stdout_log(&common(settings).log_level),
        open,
    )
}
