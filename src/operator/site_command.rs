//! The command lines of `redwing-gateway` and `redwing-runner`.

use super::{
    USAGE,
    block_on,
    parse, //
};
use crate::{
    duty::{DutyError, Handle, open_stdout_log, render_metrics, wait_for_stop},
    gateway::Gateway,
    platform::SETTINGS_VARIABLE,
    runner::Runner,
    settings::{GatewaySettings, RunnerSettings, SettingsError, SiteCommon}, //
};
use argh::FromArgs;
use std::{
    path::{Path, PathBuf},
    process::ExitCode, //
};

/// Runs a gateway: callers and trainers talk HTTP to it. It answers calls by
/// the operators' routes, takes batches into the store and reads their results.
/// SIGTERM or SIGINT begins a graceful stop, a second one forces it.
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

/// Runs a runner beside an engine: it takes groups of items from the store,
/// runs them on the engine and lists their results. SIGTERM or SIGINT begins a
/// graceful stop, a second one forces it.
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
    match parse::<GatewayCommand>() {
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
    match parse::<RunnerCommand>() {
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
    common: impl Fn(&S) -> &SiteCommon,
    open: impl Fn(S) -> Result<Handle, DutyError>,
) -> ExitCode {
    let Some(file) = file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("error: give `--settings FILE`, or set {SETTINGS_VARIABLE}");
        return ExitCode::from(USAGE);
    };
    let settings = match load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(USAGE);
        }
    };
    if check {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }

    let log = open_stdout_log(&common(&settings).log_level);
    render_metrics();
    let handle = match open(settings) {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = block_on(async {
        match wait_for_stop(handle, || reload(&file, &load)).await {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    });
    tracing::info!("stopped");
    drop(log);
    code
}

/// Checks the settings file again. All that a process takes from it (its
/// addresses, its data centre, the store) is fixed for its life; the operators'
/// configuration comes from the store.
fn reload<S>(file: &Path, load: &impl Fn(&Path) -> Result<S, SettingsError>) {
    match load(file) {
        Ok(_) => tracing::info!("settings checked: changes hold from the next start"),
        Err(error) => tracing::error!(%error, "the settings file is wrong; it is left alone"),
    }
}
