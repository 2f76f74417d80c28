//! The demo's summary, from what the stand-ins observed.

use serde::Serialize;
use std::collections::BTreeMap;

/// The staleness of a trainer's samples, in weight versions.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Staleness {
    pub max: u64,
    pub p50: u64,
}

/// The counts of a run, as `--json` writes them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    pub application_answered: u64,
    /// Calls without an answer, or whose failure didn't rule out that they ran.
    pub application_in_doubt: u64,
    pub application_sent: u64,
    /// Answers that belong to another call or are incomplete.
    pub application_wrong: u64,
    /// Graceful stops that cut something off, or failed.
    pub cut_by_stops: u64,
    /// Request keys that ran more than once.
    pub double_runs: u64,
    /// The disruptions.
    pub events: Vec<String>,
    /// The fraction of its run that each trainer waited for samples.
    pub idle_fraction: BTreeMap<String, f64>,
    /// Failures that said that the call did not run.
    pub refused_not_run: u64,
    /// The refusals among [`Self::refused_not_run`] whose call did run.
    pub refused_not_run_false: u64,
    /// The sample counts are sums over the trainers' [`Report`](crate::trainer::Report)s.
    pub samples_asked: u64,
    pub samples_delivered: u64,
    pub samples_duplicate: u64,
    pub samples_missing: u64,
    pub samples_misversioned: u64,
    pub samples_partial: u64,
    pub samples_regenerated: u64,
    pub samples_stale: u64,
    pub samples_unversioned: u64,
    pub seed: u64,
    pub staleness: BTreeMap<String, Staleness>,
    pub steps: u64,
    /// Examples of failed calls.
    pub troubles: Vec<String>,
    pub wall_ms: u64,
}

impl Summary {
    /// The violated guarantees, each as a count and a text.
    pub fn violations(&self) -> Vec<String> {
        let counts = [
            (self.application_wrong, "answers were wrong or not whole"),
            (self.cut_by_stops, "graceful stops cut something off"),
            (self.double_runs, "non-idempotent calls ran twice"),
            (
                self.refused_not_run_false,
                "refusals said `not run` falsely",
            ),
            (self.samples_duplicate, "samples came twice"),
            (self.samples_missing, "samples are missing"),
            (self.samples_misversioned, "samples name wrong versions"),
            (self.samples_partial, "samples are not whole"),
            (self.samples_stale, "samples were too old"),
            (self.samples_unversioned, "samples name no versions"),
        ];
        let violations = counts.iter().filter(|(count, _)| *count > 0);
        violations
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }

    /// Prints the summary as text.
    pub fn print(&self) {
        println!("seed {}, {} ms", self.seed, self.wall_ms);
        for event in &self.events {
            println!("  {event}");
        }
        println!(
            "rollouts: {} steps, {} of {} samples delivered, {} made anew on the way",
            self.steps, self.samples_delivered, self.samples_asked, self.samples_regenerated
        );
        for (trainer, idle) in &self.idle_fraction {
            let staleness = self.staleness.get(trainer).copied().unwrap_or_default();
            println!(
                "  {trainer}: idle {:.0}% of the time, staleness p50 {} max {}",
                idle * 100.0,
                staleness.p50,
                staleness.max
            );
        }
        println!(
            "application: {} of {} calls answered, {} refused as not run, {} in doubt",
            self.application_answered,
            self.application_sent,
            self.refused_not_run,
            self.application_in_doubt
        );
        let violations = self.violations();
        if violations.is_empty() {
            println!("every promise held, by what the stand-ins saw");
            return;
        }
        for violation in violations {
            println!("BROKEN: {violation}");
        }
        for trouble in &self.troubles {
            println!("  {trouble}");
        }
    }
}
