//! The command line of `redwing-agent`.

use super::{
    USAGE,
    block_on,
    parse, //
};
use crate::{
    agent::Agent,
    duty::{open_log, render_metrics, wait_for_stop},
    settings::AgentSettings, //
};
use argh::FromArgs;
use std::{
    path::PathBuf,
    process::ExitCode, //
};

/// Runs an agent of redwingpond: the only door to the backend server beside it.
/// It queues, runs, streams back and cancels what entries send it. SIGTERM or
/// SIGINT begins a graceful stop, a second one forces it.
#[derive(FromArgs)]
struct AgentCommand {
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,

    /// the YAML file with this agent's settings
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the program; returns its exit code.
pub fn agent_main() -> ExitCode {
    let command: AgentCommand = match parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let settings = match AgentSettings::load(&command.settings) {
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
    let agent = match Agent::open(settings) {
        Ok(agent) => agent,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    block_on(async {
        match wait_for_stop(agent.handle).await {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    })
}
