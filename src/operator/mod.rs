//! The command lines of all programs, and the commands of the operators' tool `redwing`.

mod agent_command;
mod apply;
mod entry_command;
mod explain;
mod fleet;
mod operator_command;
mod operator_error;
mod program;
mod shared_settings;
mod site_command;
mod step_times;
mod steps;

pub use self::{
    agent_command::agent_main,
    entry_command::entry_main,
    operator_command::operator_main,
    operator_error::OperatorError,
    site_command::{gateway_main, runner_main},
    step_times::{StepTime, StepTimes}, //
};

use argh::TopLevelCommand;
use std::{
    future::Future,
    process::ExitCode, //
};

/// The exit code for an invalid command line or invalid settings.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Parses the command line of a program. For `--version`, `--help` and errors it prints the
/// text and returns the exit code as the error.
pub fn parse_command_line<T: TopLevelCommand>() -> Result<T, ExitCode> {
    let arguments: Vec<String> = std::env::args().collect();
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (program, rest) = texts.split_first().unwrap_or((&"redwing", &[]));
    let name = program.rsplit('/').next().unwrap_or(program);
    if rest.first() == Some(&"--version") {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    T::from_args(&[name], rest).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("error: {}", early.output.trim_end());
            ExitCode::from(USAGE_EXIT_CODE)
        }
    })
}

/// Runs `main` on a single-threaded runtime.
pub fn block_on(main: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(main),
        Err(error) => {
            eprintln!("error: can't create the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}
