//! The command line of `redwing-agent`.

use super::{
    parse_command_line,
    program::Program, //
};
use crate::{
    agent::Agent,
    duty::open_log,
    settings::AgentSettings, //
};
use argh::FromArgs;
use std::{
    path::PathBuf,
    process::ExitCode, //
};

/// Runs an agent of redwingpond: all requests to the backend server beside it
/// pass through it. It queues and runs the requests that entries send, streams
/// their answers back and cancels them. SIGTERM or SIGINT begins a graceful
/// stop, a second one forces it.
#[derive(FromArgs)]
struct AgentCommand {
    /// only check the settings, then exit
    #[argh(switch)]
    check: bool,

    /// the YAML file with this agent's settings
    #[argh(option)]
    settings: PathBuf,
}

/// Runs `redwing-agent`; returns its exit code.
pub fn agent_main() -> ExitCode {
    let command: AgentCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let program = Program {
        check: command.check,
        file: &command.settings,
    };
    program.run(
        AgentSettings::load,
        |settings| open_log(settings.common.log, &settings.common.log_level),
        |settings| Agent::open(settings).map(|agent| agent.handle),
    )
}
