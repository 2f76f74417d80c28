//! Drivers of the review's scripts: `review-standins-2 CASE FOLDER` plays a case and writes
//! `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod batch;
mod deployment;
mod drain;
mod http;
mod json;
mod line;
mod open;
mod orders;
mod record;
mod sampler;
mod site;
mod stage;
mod store;

use std::{
    path::Path,
    process::ExitCode, //
};

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next(), arguments.next());
    let (Some(case), Some(folder)) = (case, folder) else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if !deployment::are_built() {
        eprintln!("build the programs first, and start this in the repository's root");
        return ExitCode::from(2);
    }
    let record = match record::Record::open(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "drain" => drain::play(&record),
        "line" => line::play(&record),
        "open" => open::play(&record),
        "orders" => orders::play(&record),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
