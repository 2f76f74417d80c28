//! The command line of `redwing-load`.

use super::{
    LoadError,
    Outcome,
    RunOptions,
    cases::CASES,
    plot, //
};
use argh::FromArgs;
use redwingpond::{
    base::Clock,
    duty::open_log,
    operator::{USAGE_EXIT_CODE, parse_command_line},
    settings::LogFormat, //
};
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode, //
};

/// Measures redwingpond against stand-ins over loopback sockets. Exits with 0
/// if the case was measured, even if it missed its aims, else with 1.
#[derive(FromArgs)]
struct LoadCommand {
    /// the case to run
    #[argh(option)]
    case: Option<String>,

    /// measure both policies in one run (the default)
    #[argh(switch)]
    compare: bool,

    /// for `streams`: the callers' address of an entry in its own process
    #[argh(option)]
    entry: Option<SocketAddr>,

    /// write the results to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,

    /// list the cases
    #[argh(switch)]
    list: bool,

    /// a filter for log lines, such as `info` (default: off)
    #[argh(option, default = "String::from(\"off\")")]
    log: String,

    /// for `streams`: the process id of that entry
    #[argh(option)]
    pid: Option<u32>,

    /// measure only this policy: baseline or current
    #[argh(option)]
    policy: Option<String>,

    /// how long each part of the case lasts (default: 5)
    #[argh(option, default = "5")]
    seconds: u64,

    /// the seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// draw the results to this file as an SVG plot
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Runs the program; returns its exit code.
pub fn load_main() -> ExitCode {
    let command: LoadCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    if command.list {
        for case in CASES {
            println!("{:<14} {}", case.name, case.about);
        }
        return ExitCode::SUCCESS;
    }
    let (baseline, current) = match (command.compare, command.policy.as_deref()) {
        (_, None) => (true, true),
        (false, Some("baseline")) => (true, false),
        (false, Some("current")) => (false, true),
        (_, Some(other)) => {
            eprintln!("error: `--policy {other}`: expected baseline or current, no `--compare`");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let named = CASES
        .iter()
        .find(|case| Some(case.name) == command.case.as_deref());
    let Some(case) = named else {
        eprintln!("error: `--case` is missing or unknown; `--list` lists the cases");
        return ExitCode::from(USAGE_EXIT_CODE);
    };

    open_log(LogFormat::Text, &command.log);
    let run = RunOptions {
        baseline,
        current,
        process: command.entry.zip(command.pid),
        seconds: command.seconds.clamp(1, 600),
        seed: command.seed,
    };
    let clock = Clock::open();
    let outcome = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on((case.measure)(run)),
        Err(source) => Err(LoadError::Io { source }),
    };
    let outcome = outcome.map(|outcome| Outcome {
        case: case.name.to_owned(),
        seed: command.seed,
        wall_ms: clock.micros() / 1_000,
        ..outcome
    });
    match outcome.and_then(|outcome| report(&outcome, command.json, command.svg)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("error: the case measured nothing");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the outcome and writes the files asked for; returns whether anything was
/// measured.
fn report(
    outcome: &Outcome,
    json: Option<PathBuf>,
    svg: Option<PathBuf>,
) -> Result<bool, LoadError> {
    outcome.print();
    if let Some(path) = json {
        std::fs::write(path, serde_json::json!(outcome).to_string())?;
    }
    if let Some(path) = svg {
        plot::draw(&path, &outcome.case, &outcome.series)?;
    }
    Ok(outcome.is_measured())
}
