//! Breaks down the time of a trainer's steps, from the logs of gateways and runners.

use serde::Deserialize;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use time::{
    OffsetDateTime,
    format_description::well_known::Rfc3339, //
};

/// The fields of a log line that concern steps.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    batch: String,
    /// The index of the first event of a run: a run can continue the text of an earlier one.
    #[serde(default)]
    begun: u64,
    /// The number of events in the text at the end of a run.
    #[serde(default)]
    events: u64,
    #[serde(default)]
    item: String,
    /// A number of items, or their ids separated by spaces.
    #[serde(default)]
    items: serde_json::Value,
    message: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    server: String,
    #[serde(default)]
    step: u64,
    /// The duration of a run, in ms.
    #[serde(default)]
    taken: f64,
    timestamp: String,
    /// The time from the start of a run to its first event, in ms.
    #[serde(default)]
    waited: f64,
}

/// A run of an item that ended with the whole text. All times are in s.
#[derive(Clone, Debug)]
struct WholeRun {
    begun: u64,
    ended: f64,
    events: u64,
    server: String,
    taken: f64,
    waited: f64,
}

/// The times of a batch, which is one step of its trainer. All times are in s.
#[derive(Debug, Default)]
struct Batch {
    accepted: Option<f64>,
    ended: Option<f64>,
    /// When the result of each item was listed, by item id.
    listed: HashMap<String, f64>,
    model: String,
    /// When the bundle of each item was first started, by item id.
    started: HashMap<String, f64>,
    step: u64,
}

/// Collects the events of steps from log lines and derives the steps' times from them.
#[derive(Debug, Default)]
pub struct StepTimes {
    /// By batch id.
    batches: BTreeMap<String, Batch>,
    /// By item id.
    runs: HashMap<String, Vec<WholeRun>>,
}

/// The breakdown of one step's time along its critical path: the item whose result was the last
/// to be listed before the trainer ended the step. All times are in s.
#[derive(Clone, Debug, PartialEq)]
pub struct StepTime {
    /// When the batch was accepted, counted from the first step in the logs.
    pub accepted: f64,
    pub batch: String,
    /// From the first start of a run to the start of the run that ended whole: the time of
    /// earlier runs, on engines that were lost or too slow.
    pub earlier_runs: f64,
    pub events: u64,
    /// From the first event to the end of the run that ended whole.
    pub generating: f64,
    pub item: String,
    /// From the end of that run until its result is listed in the store: scoring and append.
    pub listing: f64,
    pub model: String,
    /// The average time between two events of that run, in ms.
    pub event_ms: f64,
    /// From the listing of the result until the trainer ends the step.
    pub reading: f64,
    pub server: String,
    pub step: u64,
    /// From the acceptance to the end of the step.
    pub taken: f64,
    /// From the acceptance to the first start of a run.
    pub waiting: f64,
    /// From the run's start to its first event.
    pub first_wait: f64,
}

impl StepTimes {
    /// Adds a line of a log. Ignores text that is not a log line and lines that don't concern
    /// steps.
    pub fn add_line(&mut self, text: &str) {
        let json = text.find('{').map_or("", |at| &text[at..]);
        let Ok(line) = serde_json::from_str::<Line>(json) else {
            return;
        };
        let Some(at) = unix_seconds(&line.timestamp) else {
            return;
        };
        let ids: Vec<String> = match &line.items {
            serde_json::Value::String(ids) => ids.split(' ').map(ToOwned::to_owned).collect(),
            _ => Vec::new(),
        };
        if line.message == "run ended whole" {
            let run = WholeRun {
                begun: line.begun,
                ended: at,
                events: line.events,
                server: line.server,
                taken: line.taken / 1e3,
                waited: line.waited / 1e3,
            };
            self.runs.entry(line.item).or_default().push(run);
            return;
        }
        if line.batch.is_empty() {
            return;
        }
        let batch = self.batches.entry(line.batch).or_default();
        match line.message.as_str() {
            "batch accepted" => {
                batch.accepted = Some(batch.accepted.map_or(at, |first| first.min(at)));
                batch.model = line.model;
                batch.step = line.step;
            }
            "batch ended by its trainer" => batch.ended = Some(at),
            "results listed" => record_earliest(&mut batch.listed, ids, at),
            "runs a bundle" => record_earliest(&mut batch.started, ids, at),
            _ => {}
        }
    }

    /// The steps that were both accepted and ended within the logs, in order of acceptance.
    pub fn steps(&self) -> Vec<StepTime> {
        let batches = self.batches.iter();
        let mut steps: Vec<StepTime> = batches
            .filter_map(|(id, batch)| self.step_time(id, batch))
            .collect();
        steps.sort_by(|a, b| a.accepted.total_cmp(&b.accepted));
        let first = steps.first().map_or(0.0, |step| step.accepted);
        for step in &mut steps {
            step.accepted -= first;
        }
        steps
    }

    fn step_time(&self, id: &str, batch: &Batch) -> Option<StepTime> {
        let (accepted, ended) = (batch.accepted?, batch.ended?);
        let read_results = batch.listed.iter().filter(|(_, at)| **at <= ended);
        let (item, listed) = read_results.max_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)))?;
        let started = *batch.started.get(item)?;
        // The run whose text was listed. There can be others: an item may run twice or return
        // in a later step.
        let runs = self.runs.get(item)?.iter();
        let runs = runs.filter(|run| run.ended >= started && run.ended <= *listed);
        let run = runs.min_by(|a, b| a.ended.total_cmp(&b.ended))?;
        let begun = run.ended - run.taken;
        let generating = run.taken - run.waited;
        let gaps = run.events.saturating_sub(run.begun + 1).max(1);
        Some(StepTime {
            accepted,
            batch: id.to_owned(),
            earlier_runs: (begun - started).max(0.0),
            events: run.events,
            generating,
            item: item.clone(),
            listing: listed - run.ended,
            model: batch.model.clone(),
            event_ms: generating * 1e3 / gaps as f64,
            reading: ended - listed,
            server: run.server.clone(),
            step: batch.step,
            taken: ended - accepted,
            waiting: started - accepted,
            first_wait: run.waited,
        })
    }
}

/// Records for each of `ids` the earliest time at which it was seen.
fn record_earliest(times: &mut HashMap<String, f64>, ids: Vec<String>, at: f64) {
    for id in ids {
        let first = times.entry(id).or_insert(at);
        *first = first.min(at);
    }
}

/// Parses the timestamp of a line to s since the Unix epoch.
fn unix_seconds(timestamp: &str) -> Option<f64> {
    let time = OffsetDateTime::parse(timestamp, &Rfc3339).ok()?;
    Some(time.unix_timestamp_nanos() as f64 / 1e9)
}
