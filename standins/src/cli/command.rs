//! The subcommands of `redwing-standin`.

use super::trainer_command::TrainerCommand;
use crate::{
    engine::{Engine, Tuning},
    platform::Platform,
    scorer::Scorer,
    service::Service, //
};
use argh::FromArgs;
use redwingpond::operator::parse_command_line;
use std::{
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Runs one stand-in for a service around redwingpond. SIGTERM or SIGINT ends it.
#[derive(FromArgs)]
struct StandinCommand {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineCommand),
    Platform(PlatformCommand),
    Scorer(ScorerCommand),
    Service(ServiceCommand),
    Trainer(TrainerCommand),
}

/// A model engine that batches continuously.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineCommand {
    /// refuse orders with an outdated fencing token
    #[argh(switch)]
    checks_fence: bool,

    /// the IP address and port to listen at
    #[argh(option)]
    listen: SocketAddr,

    /// the maximum number of sequences in a batch (default: 8)
    #[argh(option, default = "8")]
    max_batch: usize,

    /// the platform to copy weights from (default: load without a copy)
    #[argh(option)]
    platform: Option<SocketAddr>,

    /// the base time of one decoding step in microseconds (default: 3000)
    #[argh(option, default = "3000")]
    step_us: u64,
}

/// The platform: table, object store, instance list and weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformCommand {
    /// the maximum number of concurrent copies of weights (default: 6)
    #[argh(option, default = "6")]
    copies: usize,

    /// the time of one copy in milliseconds (default: 40)
    #[argh(option, default = "40")]
    copy_ms: u64,

    /// the IP address and port to listen at
    #[argh(option)]
    listen: SocketAddr,
}

/// A scoring service.
#[derive(FromArgs)]
#[argh(subcommand, name = "scorer")]
struct ScorerCommand {
    /// the IP address and port to listen at
    #[argh(option)]
    listen: SocketAddr,

    /// the time of one score in milliseconds (default: 3)
    #[argh(option, default = "3")]
    time_ms: u64,
}

/// A plain HTTP service that counts the calls that it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceCommand {
    /// the IP address and port to listen at
    #[argh(option)]
    listen: SocketAddr,

    /// the time of one call to `/work` in milliseconds (default: 4)
    #[argh(option, default = "4")]
    time_ms: u64,
}

/// Runs the program; returns its exit code.
pub fn standin_main() -> ExitCode {
    let command: StandinCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: can't start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        match run(command.command).await {
            Ok(code) => code,
            Err(error) => {
                eprintln!("error: {error}");
                ExitCode::FAILURE
            }
        }
    })
}

async fn run(command: Command) -> std::io::Result<ExitCode> {
    match command {
        Command::Engine(command) => {
            let tuning = Tuning {
                checks_fence: command.checks_fence,
                max_batch: command.max_batch,
                step_us: command.step_us,
                weights: command.platform,
                ..Tuning::default()
            };
            let engine = Engine::open(command.listen, tuning).await?;
            wait_for_stop("engine", engine.address).await
        }
        Command::Platform(command) => {
            let copy = Duration::from_millis(command.copy_ms);
            let platform = Platform::open(command.listen, command.copies, copy).await?;
            wait_for_stop("platform", platform.address).await
        }
        Command::Scorer(command) => {
            let time = Duration::from_millis(command.time_ms);
            let scorer = Scorer::open(command.listen, time).await?;
            wait_for_stop("scorer", scorer.address).await
        }
        Command::Service(command) => {
            let time = Duration::from_millis(command.time_ms);
            let service = Service::open(command.listen, time).await?;
            wait_for_stop("service", service.address).await
        }
        Command::Trainer(command) => Ok(command.run().await),
    }
}

/// Prints the address, then waits for SIGTERM or SIGINT.
async fn wait_for_stop(what: &str, address: SocketAddr) -> std::io::Result<ExitCode> {
    eprintln!("{what} listening at {address}");
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(ExitCode::SUCCESS)
}
