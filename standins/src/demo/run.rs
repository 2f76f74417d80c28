//! Runs the demo's fleet, trainers and callers, and checks the results.

use super::{
    disruptions::{Disruptions, disrupt},
    summary::{Staleness, Summary}, //
};
use crate::{
    caller::{self, CallResults, Refusal, Target},
    fleet::{Backend, Fleet, FleetError, Options, Plan},
    trainer::{self, Config, Report}, //
};
use redwingpond::{
    base::Clock,
    settings::SettingsError, //
};
use serde::Deserialize;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu, //
};
use std::{
    collections::HashSet,
    io::IsTerminal,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering}, //
    },
    time::Duration, //
};
use tokio::task::JoinSet;

/// The demo's input files and seed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The deployment files.
    pub plans: Vec<PathBuf>,
    pub prompts: PathBuf,
    pub seed: u64,
}

/// The demo could not be run.
#[derive(Debug, Snafu)]
pub enum DemoError {
    #[snafu(display("{source}"), context(false))]
    Fleet { source: FleetError },
    #[snafu(display("`{file}` has no prompts"))]
    NoPrompts { file: String },
    #[snafu(display("{file}:{line}: expected one JSON object with `prompt`: {source}"))]
    Prompt {
        file: String,
        line: usize,
        source: serde_json::Error,
    },
    #[snafu(display("can't read `{file}`: {source}"))]
    Read {
        file: String,
        source: std::io::Error,
    },
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
}

impl DemoError {
    /// Whether the input files cause the error.
    pub fn is_usage(&self) -> bool {
        !matches!(self, Self::Fleet { .. })
    }
}

/// A line of the prompts file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PromptLine {
    prompt: String,
}

/// How long application calls are sent, regardless of how long the trainers run.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Runs the demo.
pub async fn run(settings: &Settings) -> Result<Summary, DemoError> {
    let prompts = read_prompts(&settings.prompts)?;
    let plans = read_plans(settings)?;
    let clock = Clock::open();
    eprintln!("opening the platform, three entries and both deployments");
    let mut fleet = Fleet::open(&plans, Options::default()).await?;

    let progress = Arc::new(AtomicU64::new(0));
    let mut trainers = JoinSet::new();
    let mut total = 0;
    for config in trainer_configs(&plans, &fleet, &prompts, settings.seed) {
        total += config.steps * u64::from(config.groups * config.samples);
        let progress = progress.clone();
        trainers.spawn(async move {
            let report = trainer::run(&config, &progress).await;
            (format!("{}/{}", config.team, config.name), report)
        });
    }
    let mut callers = JoinSet::new();
    for target in call_targets(&plans, &fleet, settings.seed) {
        callers.spawn(caller::run(target, CALL_TIME));
    }
    let progress_task = tokio::spawn(show_progress(progress.clone(), total));
    let disruptions = disrupt(&mut fleet, &progress, total).await;
    let reports = trainers.join_all().await;
    let calls = callers.join_all().await;
    progress_task.abort();

    let mut summary = Summary {
        seed: settings.seed,
        steps: plans
            .iter()
            .flat_map(|plan| plan.trainers.values())
            .map(|trainer| trainer.steps)
            .sum(),
        ..Summary::default()
    };
    add_disruptions(&mut summary, disruptions);
    add_samples(&mut summary, reports);
    check_calls(&mut summary, &fleet, &calls);
    summary.wall_ms = clock.micros() / 1_000;
    Ok(summary)
}

fn trainer_configs(plans: &[Plan], fleet: &Fleet, prompts: &[String], seed: u64) -> Vec<Config> {
    let all = plans.iter().flat_map(|plan| {
        plan.trainers.iter().map(|(name, trainer)| Config {
            balancer: fleet.balancer.clone(),
            groups: trainer.groups,
            max_tokens: trainer.max_tokens,
            model: format!("{}-{name}", plan.team),
            name: name.clone(),
            platform: fleet.platform.address,
            prompts: prompts.to_vec(),
            samples: trainer.samples,
            seed,
            max_staleness: trainer.staleness,
            steps: trainer.steps,
            team: plan.team.clone(),
            train_time: Duration::from_millis(trainer.train_ms),
        })
    });
    all.collect()
}

fn call_targets(plans: &[Plan], fleet: &Fleet, seed: u64) -> Vec<Target> {
    let all = plans.iter().flat_map(|plan| {
        plan.callers.iter().map(|(name, caller)| Target {
            balancer: fleet.balancer.clone(),
            model: "base".to_owned(),
            name: format!("{}-{name}", plan.team),
            plan: caller.clone(),
            seed,
            team: plan.team.clone(),
        })
    });
    all.collect()
}

/// Prints the number of delivered samples every second; on a terminal, overwrites the
/// previous line.
async fn show_progress(progress: Arc<AtomicU64>, total: u64) {
    let terminal = std::io::stderr().is_terminal();
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let done = progress.load(Ordering::Relaxed);
        if terminal {
            eprint!("\r  {done} of {total} samples\x1b[K\r");
        } else {
            eprintln!("  {done} of {total} samples");
        }
    }
}

fn add_disruptions(summary: &mut Summary, disruptions: Disruptions) {
    summary.cut_by_stops = disruptions.cut_by_stops;
    summary.events = disruptions.events;
}

fn add_samples(summary: &mut Summary, reports: Vec<(String, Report)>) {
    for (name, report) in reports {
        summary.samples_asked += report.asked;
        summary.samples_delivered += report.delivered;
        summary.samples_duplicate += report.duplicate;
        summary.samples_missing += report.missing;
        summary.samples_misversioned += report.misversioned;
        summary.samples_partial += report.partial;
        summary.samples_regenerated += report.regenerated;
        summary.samples_stale += report.stale;
        summary.samples_unversioned += report.unversioned;
        let staleness = Staleness {
            max: report.staleness_quantile(1.0),
            p50: report.staleness_quantile(0.5),
        };
        summary.staleness.insert(name.clone(), staleness);
        summary.idle_fraction.insert(name, report.idle_fraction());
    }
}

/// Adds the calls' outcomes, and checks them against the runs that the stand-in
/// services and engines recorded.
fn check_calls(summary: &mut Summary, fleet: &Fleet, calls: &[CallResults]) {
    let mut ran: HashSet<String> = HashSet::new();
    for member in &fleet.members {
        if let Backend::Service(service) = &member.backend {
            let runs = service.runs();
            ran.extend(runs.requests.into_keys());
            let twice = runs.keys.values().filter(|count| **count > 1).count();
            summary.double_runs += twice as u64;
        }
    }
    for one in calls {
        summary.application_answered += one.answered;
        summary.application_in_doubt += one.in_doubt;
        summary.application_sent += one.sent;
        summary.application_wrong += one.wrong;
        summary.refused_not_run += one.refused.len() as u64;
        let false_refusals = one
            .refused
            .iter()
            .filter(|refused| ran.contains(&refused.request) || engine_ran(fleet, refused));
        summary.refused_not_run_false += false_refusals.count() as u64;
        summary.troubles.extend(one.troubles.iter().cloned());
    }
}

/// Whether an engine began the chat of a failure that said "not run".
fn engine_ran(fleet: &Fleet, refused: &Refusal) -> bool {
    let Some((prompt, seed)) = &refused.prompt else {
        return false;
    };
    fleet.members.iter().any(|member| match &member.backend {
        Backend::Engine(engine) => engine.has_seen(prompt, *seed),
        Backend::Scorer(_) | Backend::Service(_) => false,
    })
}

/// Checks the input files without running the demo.
pub fn check(settings: &Settings) -> Result<(), DemoError> {
    read_prompts(&settings.prompts)?;
    read_plans(settings)?;
    Ok(())
}

fn read_plans(settings: &Settings) -> Result<Vec<Plan>, DemoError> {
    let plans = settings.plans.iter().map(|path| Plan::load(path));
    Ok(plans.collect::<Result<_, _>>()?)
}

fn read_prompts(path: &Path) -> Result<Vec<String>, DemoError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
    let lines = text.lines().enumerate();
    let prompts: Vec<String> = lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(at, line)| {
            let parsed = serde_json::from_str::<PromptLine>(line);
            let line = at + 1;
            let parsed = parsed.context(PromptSnafu { file: &file, line })?;
            Ok(parsed.prompt)
        })
        .collect::<Result<_, DemoError>>()?;
    prompts.first().context(NoPromptsSnafu { file })?;
    Ok(prompts)
}
