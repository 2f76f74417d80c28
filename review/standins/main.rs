//! Runs one case of the review: starts the programs of this repository among stand-ins, brings
//! the case about and checks the rule.
//!
//!     review CASE RECORD
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in its environment, the disruption is left out.

mod base64;
mod cases;
mod http;
mod json;
mod process;
mod record;
mod server;
mod site;
mod store;

use record::Record;
use std::{
    process::exit,
    thread,
    time::Duration, //
};

/// After this time a case ends as one that couldn't run. The processes end with this one.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review CASE RECORD");
        exit(2);
    };
    let Ok(record) = Record::open(path) else {
        eprintln!("can't write {path}");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let has_trouble = !has_trouble;
    record.line(&format!("case {case}, trouble {has_trouble}"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        exit(2);
    });
    let outcome = match case.as_str() {
        "left-lying" => cases::left_lying(has_trouble, &record),
        "two-positions" => cases::two_positions(has_trouble, &record),
        "two-versions" => cases::two_versions(has_trouble, &record),
        "foreign-text" => cases::foreign_text(has_trouble, &record),
        "second-run" => cases::second_run(has_trouble, &record),
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            println!("the rule held");
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN: {line}"));
                println!("BROKEN: {line}");
            }
            exit(1);
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            exit(2);
        }
    }
}
