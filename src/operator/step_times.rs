//! Where the time of a trainer's steps went, by the logs of gateways and runners.

use serde::Deserialize;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use time::{
    OffsetDateTime,
    format_description::well_known::Rfc3339, //
};

/// A line of a log, as far as steps are concerned.
#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    batch: String,
    /// The first event that a run brought, and how many its text then had.
    #[serde(default)]
    begun: u64,
    #[serde(default)]
    events: u64,
    #[serde(default)]
    item: String,
    /// A number of items, or their ids.
    #[serde(default)]
    items: serde_json::Value,
    message: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    server: String,
    #[serde(default)]
    step: u64,
    /// What a run took, in ms.
    #[serde(default)]
    taken: f64,
    timestamp: String,
    /// What a run waited for its first event, in ms.
    #[serde(default)]
    waited: f64,
}

/// One run of an item that ended whole.
#[derive(Clone, Debug)]
struct WholeRun {
    begun: u64,
    /// In s, as all times here.
    ended: f64,
    events: u64,
    server: String,
    taken: f64,
    waited: f64,
}

#[derive(Debug, Default)]
struct Batch {
    accepted: Option<f64>,
    ended: Option<f64>,
    /// When each item was listed.
    listed: HashMap<String, f64>,
    model: String,
    /// When each item's bundle was first begun.
    started: HashMap<String, f64>,
    step: u64,
}

/// What is known of the steps of some logs.
#[derive(Debug, Default)]
pub struct StepTimes {
    batches: BTreeMap<String, Batch>,
    runs: HashMap<String, Vec<WholeRun>>,
}

/// Where one step's time went: the way of the result that its trainer had last.
/// All times in s.
#[derive(Clone, Debug, PartialEq)]
pub struct StepTime {
    /// When the batch was accepted, after the first one of the logs.
    pub accepted: f64,
    pub batch: String,
    /// From the first start to that of the run that ended whole: what earlier runs
    /// took, at engines that were lost or too slow.
    pub earlier_runs: f64,
    pub events: u64,
    /// The events' own time in the run that ended whole.
    pub generating: f64,
    pub item: String,
    /// From the text's last event to its result in the store: score and append.
    pub listing: f64,
    pub model: String,
    /// What an event took in that run, in ms.
    pub ms_per_event: f64,
    /// From the result in the store to the trainer's end of the step.
    pub reading: f64,
    pub server: String,
    pub step: u64,
    /// From the acceptance to the end of the step.
    pub taken: f64,
    /// From the acceptance to the first start of a run.
    pub waiting: f64,
    /// From the run's start to its first event.
    pub first_event_wait: f64,
}

impl StepTimes {
    /// Takes a line of a log; what is none, or says nothing of steps, is left out.
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

    /// The steps that were accepted and ended within the logs, in order.
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
        // The run whose text was listed: an item that comes again in a later
        // step, or runs twice, has others.
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
            ms_per_event: generating * 1e3 / gaps as f64,
            reading: ended - listed,
            server: run.server.clone(),
            step: batch.step,
            taken: ended - accepted,
            waiting: started - accepted,
            first_event_wait: run.waited,
        })
    }
}

fn record_earliest(times: &mut HashMap<String, f64>, ids: Vec<String>, at: f64) {
    for id in ids {
        let first = times.entry(id).or_insert(at);
        *first = first.min(at);
    }
}

/// The time of a line, in s since the Unix epoch.
fn unix_seconds(timestamp: &str) -> Option<f64> {
    let time = OffsetDateTime::parse(timestamp, &Rfc3339).ok()?;
    Some(time.unix_timestamp_nanos() as f64 / 1e9)
}
