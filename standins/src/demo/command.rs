//! The command line of `redwing-demo`.

use super::{
    Settings,
    run, //
};
use argh::FromArgs;
use redwingpond::{
    duty::open_log,
    operator::{USAGE_EXIT_CODE, parse_command_line},
    settings::LogFormat, //
};
use std::{
    path::PathBuf,
    process::ExitCode, //
};

/// Runs redwingpond in one process over real loopback sockets: a platform,
/// three entries, both users' deployments scaled down, trainers and application
/// calls. Crashes an engine and stops an agent and an entry meanwhile. Exits
/// with 1 if a guarantee was violated.
#[derive(FromArgs)]
struct DemoCommand {
    /// check the deployment files and the prompts, then exit
    #[argh(switch)]
    check: bool,

    /// a deployment file; may be repeated (default: both examples)
    #[argh(option)]
    deployment: Vec<PathBuf>,

    /// write the summary to this file as one JSON object
    #[argh(option)]
    json: Option<PathBuf>,

    /// a filter for log lines, such as `info` (default: off)
    #[argh(option, default = "String::from(\"off\")")]
    log: String,

    /// the file of prompts: on each line a JSON object with `prompt`
    #[argh(option, default = "PathBuf::from(\"examples/prompts.jsonl\")")]
    prompts: PathBuf,

    /// the seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the program; returns its exit code.
pub fn demo_main() -> ExitCode {
    let command: DemoCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let mut plans = command.deployment;
    if plans.is_empty() {
        plans = vec![
            "examples/tema.yaml".into(),
            "examples/tahtiraita.yaml".into(),
        ];
    }
    let settings = Settings {
        plans,
        prompts: command.prompts,
        seed: command.seed,
    };
    if command.check {
        return match super::run::check(&settings) {
            Ok(()) => {
                println!("ok");
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        };
    }

    open_log(LogFormat::Text, &command.log);
    let runtime = tokio::runtime::Runtime::new();
    let summary = match runtime {
        Ok(runtime) => runtime.block_on(run(&settings)),
        Err(error) => {
            eprintln!("error: can't start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let summary = match summary {
        Ok(summary) => summary,
        Err(error) => return fail(&error),
    };
    summary.print();
    if let Some(path) = command.json {
        let json = serde_json::json!(summary).to_string();
        if let Err(error) = std::fs::write(&path, json) {
            eprintln!("error: can't write `{}`: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    match summary.violations().is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Prints an error; returns the exit code for it.
fn fail(error: &super::DemoError) -> ExitCode {
    eprintln!("error: {error}");
    match error.is_usage() {
        true => ExitCode::from(USAGE_EXIT_CODE),
        false => ExitCode::FAILURE,
    }
}
