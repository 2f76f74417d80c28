//! The command line of `redwing-soak`.

use super::run::run;
use argh::FromArgs;
use redwingpond::{
    base::Millis,
    operator::parse_command_line, //
};
use std::{
    io,
    path::PathBuf,
    process::ExitCode, //
};

/// Runs real gateways and runners as processes among stand-ins, injects faults drawn
/// from the seed, and checks what callers, trainers and servers observe. If a check
/// fails, exits with 1 and keeps the settings and logs.
#[derive(FromArgs)]
struct SoakCommand {
    /// number of consecutive seeds to run, beginning with `--seed` (default: 1)
    #[argh(option, default = "1")]
    count: u64,

    /// folder for settings and logs (default: the system's folder for temporary files)
    #[argh(option)]
    folder: Option<PathBuf>,

    /// how long faults are injected per seed, in seconds (default: 10)
    #[argh(option, default = "10")]
    seconds: u64,

    /// the first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the program and returns its exit code.
pub fn soak_main() -> ExitCode {
    let command: SoakCommand = match parse_command_line() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(soak(&command))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn soak(command: &SoakCommand) -> io::Result<bool> {
    let folder = command.folder.clone().unwrap_or_else(std::env::temp_dir);
    let mut held = true;
    for seed in command.seed..command.seed + command.count {
        let folder = folder.join(format!("redwing-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let report = run(seed, Millis(command.seconds * 1_000), &folder).await?;
        let (made, served) = report.calls;
        println!(
            "seed {seed}: {} faults, {} batches accepted, {served} of {made} calls served, {}",
            report.faults,
            report.batches,
            match report.violations.len() {
                0 => "every promise held".to_owned(),
                count => format!("{count} broken, files in {}", folder.display()),
            }
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        held &= report.violations.is_empty();
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        }
    }
    Ok(held)
}
