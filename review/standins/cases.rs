//! The cases. Each returns the breaches of its rule that the trainer or the samplers saw.

use crate::{
    http,
    record::Record,
    server::{EngineOptions, PlainOptions, Trouble},
    site::{Batch, HOST, ItemResult, Options, Site},
};
use std::{
    collections::{BTreeMap, HashMap},
    io, thread,
    time::{Duration, Instant},
};

type Outcome = io::Result<Vec<String>>;

/// The share of answers that samplers repeat: 3 in 100, like `garble` with `x = 0.03` in the
/// site files.
const REPEATED_EVERY: u64 = 33;

fn options() -> Options {
    Options {
        engines: 2,
        engine: EngineOptions {
            slots: 4,
            event_time: Duration::from_millis(100),
            trouble: Trouble::None,
        },
        gateways: 2,
        item_ttl_s: 40,
        plain: 2,
        plain_server: PlainOptions {
            queue: 24,
            slots: 6,
            trouble: Trouble::None,
            work: Duration::from_millis(40),
        },
        single_version: false,
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Sleeps until `at` after `start`.
fn sleep_until(start: Instant, at: Duration) {
    thread::sleep(at.saturating_sub(start.elapsed()));
}

/// The store is down while the time of some running items ends and they are completed.
pub fn two_positions(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.item_ttl_s = 20;
    let mut site = Site::open(&options, record)?;
    // Each engine has room for one group at a time: the second groups run from 11 s to 22 s.
    let batch = Batch {
        id: "7c41e09b".to_owned(),
        step: 0,
        groups: vec![vec![110; 4]; 4],
        min_version: 1,
    };
    batch.submit(&site)?;
    let start = Instant::now();
    sleep_until(start, seconds(18));
    if has_trouble {
        record.line("store: down");
        site.store.set_down(true);
        sleep_until(start, seconds(24));
        site.store.set_down(false);
        record.line("store: up");
    }
    sleep_until(start, seconds(27));
    let results = batch.read_all(&site, batch.count() + 1, start + seconds(31));
    site.check_running()?;
    if results.is_empty() {
        return Err(io::Error::other("no results were read"));
    }
    Ok(listed_twice(&results))
}

/// The items that stand at two positions.
fn listed_twice(results: &[ItemResult]) -> Vec<String> {
    let mut positions: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (position, result) in results.iter().enumerate() {
        let state = if result.is_succeeded {
            "succeeded"
        } else {
            "terminated"
        };
        let place = format!("{position} ({state})");
        positions.entry(&result.id).or_default().push(place);
    }
    let twice = positions.into_iter().filter(|(_, places)| places.len() > 1);
    twice
        .map(|(id, places)| format!("item {id} stands at positions {}", places.join(" and ")))
        .collect()
}

/// A stream breaks off while its engine waits for it before a change of version.
pub fn two_versions(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.single_version = true;
    if has_trouble {
        options.engine.trouble = Trouble::BreakOff;
    }
    let mut site = Site::open(&options, record)?;
    // The trainer asks for its steps ahead: while it trains on the first, the second runs.
    let steps = [
        Batch {
            id: "7c41e00a".to_owned(),
            step: 0,
            groups: vec![vec![3; 4]; 6],
            min_version: 1,
        },
        Batch {
            id: "7c41e00b".to_owned(),
            step: 1,
            groups: vec![vec![60; 4]; 2],
            min_version: 1,
        },
    ];
    let start = Instant::now();
    for batch in &steps {
        batch.submit(&site)?;
    }
    let [first, second] = &steps;
    let results = first.read_all(&site, first.count(), start + seconds(20));
    first.end(&site);
    if results.len() < first.count() {
        return Err(io::Error::other("the first step was not completed"));
    }
    thread::sleep(Duration::from_millis(500));
    site.name_version(2);
    let results = second.read_all(&site, second.count(), start + seconds(50));
    second.end(&site);
    site.check_running()?;
    if results.len() < second.count() {
        return Err(io::Error::other("the second step was not completed"));
    }
    let mixed = results.iter().filter(|result| result.versions.len() != 1);
    let mixed = mixed.filter(|result| result.is_succeeded);
    Ok(mixed
        .map(|result| {
            let (id, versions) = (&result.id, &result.versions);
            format!("item {id} of a singleVersion route succeeded with versions {versions:?}")
        })
        .collect())
}

/// Engines repeat some answers late.
pub fn foreign_text(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.engine.event_time = Duration::from_millis(40);
    if has_trouble {
        options.engine.trouble = Trouble::ExtraLate(REPEATED_EVERY);
    }
    let mut site = Site::open(&options, record)?;
    let mut broken = Vec::new();
    for step in 0..8 {
        let start = Instant::now();
        let batch = Batch {
            id: format!("7c41e0{step:02x}"),
            step,
            groups: (0..6).map(|group| vec![8 + group; 4]).collect(),
            min_version: 1,
        };
        batch.submit(&site)?;
        let results = batch.read_all(&site, batch.count(), start + seconds(12));
        batch.end(&site);
        if results.len() < batch.count() {
            return Err(io::Error::other("a step was not completed"));
        }
        let foreign = results.iter().filter(|result| result.is_succeeded);
        let foreign = foreign.filter(|result| result.text != batch.whole_text(&result.id));
        broken.extend(foreign.map(|result| {
            let first = result.text.lines().next().unwrap_or_default();
            format!(
                "item {} succeeded with a text that begins `{first}`",
                result.id
            )
        }));
    }
    site.check_running()?;
    Ok(broken)
}

/// Samplers repeat some refusals late.
pub fn second_run(has_trouble: bool, record: &Record) -> Outcome {
    let mut options = options();
    options.plain_server.slots = 3;
    options.plain_server.queue = 2;
    if has_trouble {
        options.plain_server.trouble = Trouble::ExtraLate(REPEATED_EVERY);
    }
    let mut site = Site::open(&options, record)?;
    let end = Instant::now() + seconds(14);
    let gateways: Vec<_> = site
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let mut callers = Vec::new();
    for caller in 0..16 {
        let (record, gateway) = (record.clone(), gateways[caller % gateways.len()]);
        callers.push(thread::spawn(move || {
            let mut answers = HashMap::new();
            for number in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let id = format!("9c41{caller:02x}{number:06x}");
                let headers = [
                    ("Host", HOST),
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Deadline-Ms", "1500"),
                ];
                let timeout = Duration::from_secs(2);
                let answer =
                    http::call(gateway, "POST", "/lohu930/2f", &headers, b"entry", timeout);
                let status = answer.map_or(0, |answer| answer.status);
                record.line(&format!("caller {caller}: {id} answered {status}"));
                answers.insert(id, status);
                thread::sleep(Duration::from_millis(25));
            }
            answers
        }));
    }
    let mut answers = HashMap::new();
    for caller in callers {
        let more = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        answers.extend(more);
    }
    thread::sleep(seconds(1));
    site.check_running()?;
    if !answers.values().any(|status| *status == 200) {
        return Err(io::Error::other("no request was answered"));
    }
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (number, server) in site.plain.iter().enumerate() {
        for (id, count) in server.runs() {
            let times = (0..count).map(|_| format!("i-ledger{number}"));
            runs.entry(id).or_default().extend(times);
        }
    }
    let counts = answers
        .values()
        .fold(BTreeMap::new(), |mut counts, status| {
            *counts.entry(*status).or_insert(0_u32) += 1;
            counts
        });
    record.line(&format!("answers by status: {counts:?}"));
    let mut broken = Vec::new();
    for (id, servers) in &runs {
        let status = answers.get(id).copied().unwrap_or(0);
        if servers.len() > 1 {
            let servers = servers.join(" and at ");
            broken.push(format!(
                "unsafe request {id} ran at {servers}; answered {status}"
            ));
        } else if matches!(status, 429 | 503) {
            broken.push(format!(
                "unsafe request {id} was answered {status} and has run"
            ));
        }
    }
    Ok(broken)
}
