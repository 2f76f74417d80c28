//! The case `rollout`: the CPU time per token and sample, in total and in the entry that owns
//! the steps.

use super::{
    LoadError,
    Outcome,
    Row,
    RunOptions,
    row::Aim,
    usage, //
};
use crate::{
    fleet::{Backend, Fleet, Options, Plan},
    trainer::{self, Config}, //
};
use redwingpond::settings::read;
use std::{
    sync::atomic::AtomicU64,
    time::Duration, //
};

/// Nine engines and a scorer, the size of a user's deployment.
const PLAN: &str = "
team: bench
data_centres: [hall]
pools:
  judge: {kind: scorer, servers: 1, capacity: 64, service_ms: 1}
  models: {kind: engine, servers: 9, capacity: 16}
settings:
  pools/judge: |
    kind: service
  pools/models: |
    kind: engine
    wave: 9
  teams/bench: |
    rollout: {pool: models, scorer: judge}
callers: {}
trainers: {}
";

/// The groups of each step, and the samples of each group: together a quarter of
/// the samples in the target's step.
const GROUPS: u32 = 64;
const SAMPLES: u32 = 8;

/// Runs the case.
pub async fn measure(run: RunOptions) -> Result<Outcome, LoadError> {
    let plan = read("rollout", PLAN, Plan::read)?;
    let options = Options {
        entries: 1,
        ..Options::default()
    };
    let fleet = Fleet::open(&[plan], options).await?;
    let config = Config {
        balancer: fleet.balancer.clone(),
        groups: GROUPS,
        max_tokens: 400,
        model: "m".to_owned(),
        name: "t".to_owned(),
        platform: fleet.platform.address,
        prompts: vec!["Judge this foam core.".to_owned()],
        samples: SAMPLES,
        seed: run.seed,
        max_staleness: 1,
        steps: 3,
        team: "bench".to_owned(),
        train_time: Duration::from_millis(10),
    };
    let before = usage::cpu_times();
    let report = trainer::run(&config, &AtomicU64::new(0)).await;
    let cpu = usage::cpu_since(&before, &usage::REDWING_THREADS) as f64 / 1e3;
    let entry = ["front", "traffic", "rollout"];
    let entry_cpu = usage::cpu_since(&before, &entry) as f64 / 1e3;
    let tokens: u64 = fleet
        .members
        .iter()
        .map(|member| match &member.backend {
            Backend::Engine(engine) => engine.tokens_produced(),
            Backend::Scorer(_) | Backend::Service(_) => 0,
        })
        .sum();
    if !report.passed() || tokens == 0 || report.delivered == 0 {
        let what = "a step whose samples failed their checks".to_owned();
        return Err(LoadError::NotMeasured { what });
    }
    let samples = report.delivered as f64;
    let seconds = report.wall_ms as f64 / 1e3;
    let figure = |name, unit, value| Row::new(name, unit, None, Some(value), Aim::None);
    Ok(Outcome {
        results: vec![
            figure("tokens", "1/s", tokens as f64 / seconds),
            figure("CPU for each token, all", "us", cpu / tokens as f64),
            figure("CPU for each token, entry", "us", entry_cpu / tokens as f64),
            figure("CPU for each sample, entry", "us", entry_cpu / samples),
            figure("made anew", "samples", report.regenerated as f64),
        ],
        ..Outcome::default()
    })
}
