//! The command line of `redwing`.

use super::{
    OperatorError,
    USAGE_EXIT_CODE,
    apply::{ApplyCommand, CheckCommand},
    block_on,
    explain::ExplainCommand,
    fleet::StatusCommand,
    parse_command_line,
    shared_settings::{GetCommand, ListCommand},
    steps::StepsCommand, //
};
use crate::settings::key_hash;
use argh::FromArgs;
use std::process::ExitCode;

/// The operators' tool of redwingpond.
#[derive(FromArgs)]
struct OperatorCommand {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Explain(ExplainCommand),
    KeyHash(KeyHashCommand),
    Settings(SettingsCommand),
    Status(StatusCommand),
    Steps(StepsCommand),
}

/// Print the hash of a caller's key, as it stands in a team's settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "key-hash")]
struct KeyHashCommand {
    /// the key
    #[argh(positional)]
    key: String,
}

/// Read and change the shared settings: `pools/NAME` and `teams/NAME`.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
struct SettingsCommand {
    #[argh(subcommand)]
    command: SettingsSubcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum SettingsSubcommand {
    Apply(ApplyCommand),
    Check(CheckCommand),
    Get(GetCommand),
    List(ListCommand),
}

/// Runs `redwing`; returns its exit code.
pub fn operator_main() -> ExitCode {
    let command: OperatorCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    block_on(async {
        match run(command.command).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("error: {error}");
                match error.is_usage() {
                    true => ExitCode::from(USAGE_EXIT_CODE),
                    false => ExitCode::FAILURE,
                }
            }
        }
    })
}

async fn run(command: Command) -> Result<(), OperatorError> {
    match command {
        Command::Explain(command) => command.run().await,
        Command::KeyHash(command) => {
            println!("{}", key_hash(&command.key));
            Ok(())
        }
        Command::Settings(command) => match command.command {
            SettingsSubcommand::Apply(command) => command.run().await,
            SettingsSubcommand::Check(command) => command.run(),
            SettingsSubcommand::Get(command) => command.run().await,
            SettingsSubcommand::List(command) => command.run().await,
        },
        Command::Status(command) => command.run().await,
        Command::Steps(command) => command.run(),
    }
}
