//! `redwing steps`: shows from logs why steps were late.

use super::{
    OperatorError,
    operator_error::ReadSnafu,
    step_times::{StepTime, StepTimes}, //
};
use argh::FromArgs;
use snafu::ResultExt;
use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    path::PathBuf, //
};

/// Show how each step spent its time, from the logs of gateways and runners: one
/// line per step, for the item whose result was listed last before the trainer
/// ended the step. Times are in s; the logs of several processes can be in any
/// order.
#[derive(FromArgs)]
#[argh(subcommand, name = "steps")]
pub(super) struct StepsCommand {
    /// log files; without any, standard input
    #[argh(positional)]
    files: Vec<PathBuf>,

    /// show only steps that took longer than this number of seconds
    #[argh(option, default = "0.0")]
    over: f64,
}

impl StepsCommand {
    pub(super) fn run(self) -> Result<(), OperatorError> {
        let mut times = StepTimes::default();
        if self.files.is_empty() {
            read_log(&mut times, stdin().lock(), "standard input")?;
        }
        for path in &self.files {
            let name = path.display().to_string();
            let file = File::open(path).context(ReadSnafu { file: &name })?;
            read_log(&mut times, file, &name)?;
        }
        let steps = times.steps();
        if steps.is_empty() {
            return Err(OperatorError::NoSteps);
        }
        println!("{TABLE_HEADER}");
        for row in steps.iter().filter(|row| row.taken > self.over) {
            println!("{}", format_step(row));
        }
        Ok(())
    }
}

fn read_log(times: &mut StepTimes, input: impl Read, name: &str) -> Result<(), OperatorError> {
    for line in BufReader::new(input).split(b'\n') {
        let line = line.context(ReadSnafu { file: name })?;
        times.add_line(&String::from_utf8_lossy(&line));
    }
    Ok(())
}

const TABLE_HEADER: &str = "accepted step model            taken   wait before  first events generate  list  read  ms/event item             server";

fn format_step(row: &StepTime) -> String {
    format!(
        "{:8.2} {:4} {:16} {:5.2} {:6.2} {:6.2} {:6.2} {:6} {:8.2} {:5.2} {:5.2} {:9.1} {:16} {}",
        row.accepted,
        row.step,
        row.model,
        row.taken,
        row.waiting,
        row.earlier_runs,
        row.first_wait,
        row.events,
        row.generating,
        row.listing,
        row.reading,
        row.event_ms,
        row.item,
        row.server,
    )
}
