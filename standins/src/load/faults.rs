//! Cases with faults or overload under application calls.

use super::{
    LoadError,
    Outcome,
    Row,
    RunOptions,
    plot::Series,
    row::Aim,
    service_load::{self, CallOutcome, CallRecord, Flow, Pool, RunAudit}, //
};
use crate::{
    fleet::{Backend, Fleet, Options},
    relay::Silence,
    service, //
};
use redwingpond::policy::router::Policy;
use std::{
    future::Future,
    time::Duration, //
};

/// One policy's run of a case.
struct Trial {
    audit: RunAudit,
    calls: Vec<CallRecord>,
}

/// Nine servers, as in the pool `ledger-api` of the example deployment Tahtiraita.
const POOL: Pool = Pool {
    capacity: 8,
    queue: 256,
    servers: 9,
    service_ms: 20,
};

/// Calls of team `a` at `rate` a second, from `begin` to `end` in ms.
fn flow(rate: f64, begin: u64, end: u64) -> Flow {
    Flow {
        begin_ms: begin,
        deadline_ms: 1_000,
        end_ms: end,
        keyed: false,
        rate: rate as u64,
        team: "a",
    }
}

/// Opens a fleet and sends the calls of `flows` while `script` injects faults.
async fn run_trial<F, Fut>(
    pool: Pool,
    policy: Policy,
    options: Options,
    flows: &[Flow],
    script: F,
) -> Result<Trial, LoadError>
where
    F: FnOnce(Fleet) -> Fut,
    Fut: Future<Output = Fleet>,
{
    let fleet = service_load::open(pool, policy, options).await?;
    let balancer = fleet.balancer.clone();
    let sending = service_load::send(&balancer, flows);
    let (calls, fleet) = tokio::join!(sending, script(fleet));
    let audit = service_load::audit_runs(&fleet, &calls);
    Ok(Trial { audit, calls })
}

/// Runs a case under each requested policy, on a fleet of its own: baseline, current.
async fn run_policies<F, Fut>(
    run: RunOptions,
    pool: Pool,
    options: Options,
    flows: &[Flow],
    script: F,
) -> Result<[Option<Trial>; 2], LoadError>
where
    F: Fn(Fleet) -> Fut,
    Fut: Future<Output = Fleet>,
{
    let mut trials = [None, None];
    let wanted = [
        (run.baseline, Policy::Baseline),
        (run.current, Policy::Current),
    ];
    for (at, (wanted, policy)) in wanted.into_iter().enumerate() {
        if wanted {
            trials[at] = Some(run_trial(pool, policy, options, flows, &script).await?);
        }
    }
    Ok(trials)
}

/// A row with `figure` computed for each trial.
fn row(
    name: &str,
    unit: &'static str,
    trials: &[Option<Trial>; 2],
    aim: Aim,
    figure: impl Fn(&Trial) -> Option<f64>,
) -> Row {
    let [baseline, current] = trials;
    let baseline = baseline.as_ref().and_then(&figure);
    let current = current.as_ref().and_then(&figure);
    Row::new(name, unit, baseline, current, aim)
}

/// The rows of the guarantees that every case checks.
fn guarantee_rows(trials: &[Option<Trial>; 2]) -> [Row; 2] {
    [
        row("double runs", "calls", trials, Aim::AtMost(0.0), |trial| {
            Some(trial.audit.double_runs as f64)
        }),
        row(
            "false refusals",
            "calls",
            trials,
            Aim::AtMost(0.0),
            |trial| Some(trial.audit.false_refusals as f64),
        ),
    ]
}

/// The number of calls with an outcome.
fn count(trial: &Trial, outcome: CallOutcome) -> f64 {
    trial
        .calls
        .iter()
        .filter(|one| one.outcome == outcome)
        .count() as f64
}

/// The goodput of each trial over time.
fn series(trials: &[Option<Trial>; 2]) -> Vec<Series> {
    let named = ["baseline", "current"].into_iter().zip(trials);
    let drawn = named.filter_map(|(name, trial)| {
        let trial = trial.as_ref()?;
        Some(service_load::timeline(name, &trial.calls))
    });
    drawn.collect()
}

/// The outcome with `rows`, the guarantees and the plot.
fn outcome(trials: &[Option<Trial>; 2], rows: Vec<Row>) -> Outcome {
    let mut results = rows;
    results.extend(guarantee_rows(trials));
    Outcome {
        results,
        series: series(trials),
        ..Outcome::default()
    }
}

fn services(fleet: &Fleet) -> impl Iterator<Item = &service::Service> {
    fleet.members.iter().filter_map(|one| match &one.backend {
        Backend::Service(service) => Some(service),
        Backend::Engine(_) | Backend::Scorer(_) => None,
    })
}

async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// The case `overload`: 0.7 of the capacity for 1 s, three times the capacity for the time of
/// the run, then 0.7 again for 6 s.
pub async fn overload(run: RunOptions) -> Result<Outcome, LoadError> {
    let pool = Pool { servers: 4, ..POOL };
    let overload_ms = run.seconds * 1_000;
    let (begin, end) = (1_000, 1_000 + overload_ms);
    let after = end + 6_000;
    let capacity = pool.rate();
    let flows = [
        flow(capacity * 0.7, 0, begin),
        flow(capacity * 3.0, begin, end),
        flow(capacity * 0.7, end, after),
    ]
    .map(|flow| Flow {
        deadline_ms: 400,
        ..flow
    });
    let trials = run_policies(run, pool, Options::default(), &flows, |fleet| async {
        fleet
    })
    .await?;
    let goodput = |trial: &Trial| Some(service_load::goodput(&trial.calls, begin, end) / capacity);
    let p99_after = |trial: &Trial| {
        let due = trial.calls.iter().filter(|one| one.due_ms >= end + 2_000);
        service_load::percentile(due, 0.99)
    };
    Ok(outcome(
        &trials,
        vec![
            row(
                "goodput / capacity",
                "",
                &trials,
                Aim::AtLeast(0.9),
                goodput,
            ),
            row(
                "p99 from 2 s after",
                "ms",
                &trials,
                Aim::AtMost(100.0),
                p99_after,
            ),
            row("refused as not run", "calls", &trials, Aim::None, |trial| {
                Some(count(trial, CallOutcome::NotRun))
            }),
        ],
    ))
}

/// The case `slow-server`: one of nine servers gets ten times slower.
pub async fn slow_server(run: RunOptions) -> Result<Outcome, LoadError> {
    let end = 1_000 + run.seconds * 1_000;
    let flows = [flow(POOL.rate() * 0.5, 0, end)];
    let trials = run_policies(run, POOL, Options::default(), &flows, |fleet| async {
        sleep(1_000).await;
        if let Some(service) = services(&fleet).next() {
            service.set_faults(service::Faults {
                delay_ms: POOL.service_ms * 9,
                ..service::Faults::default()
            });
        }
        sleep(end - 1_000).await;
        fleet
    })
    .await?;
    let p99 = |trial: &Trial| {
        let due = trial.calls.iter().filter(|one| one.due_ms >= 2_000);
        service_load::percentile(due, 0.99)
    };
    Ok(outcome(
        &trials,
        vec![row("p99", "ms", &trials, Aim::RatioAtMost(1.0 / 3.0), p99)],
    ))
}

/// The case `crash`: two of nine servers crash and come back, under idempotent and
/// non-idempotent calls.
pub async fn crash(run: RunOptions) -> Result<Outcome, LoadError> {
    let end = run.seconds * 1_000;
    let keyed = Flow {
        keyed: true,
        ..flow(POOL.rate() * 0.02, 0, end)
    };
    let flows = [flow(POOL.rate() * 0.5, 0, end), keyed];
    let trials = run_policies(run, POOL, Options::default(), &flows, |fleet| async {
        sleep(end / 4).await;
        for service in services(&fleet).take(2) {
            service.switch().send_replace(false);
        }
        sleep(end / 4).await;
        for service in services(&fleet).take(2) {
            service.switch().send_replace(true);
        }
        sleep(end / 2).await;
        fleet
    })
    .await?;
    let lost = |trial: &Trial| {
        let lost = trial.calls.iter();
        let lost = lost.filter(|one| one.outcome != CallOutcome::Answered && one.request.is_some());
        Some(lost.count() as f64)
    };
    Ok(outcome(
        &trials,
        vec![
            row("p99", "ms", &trials, Aim::RatioAtMost(0.5), |trial| {
                service_load::percentile(trial.calls.iter(), 0.99)
            }),
            row("not answered", "calls", &trials, Aim::None, lost),
        ],
    ))
}

/// The case `silent`: the connections to every second agent drop all traffic without closing.
pub async fn silent(run: RunOptions) -> Result<Outcome, LoadError> {
    let end = 1_000 + run.seconds * 1_000;
    let options = Options {
        relayed: true,
        ..Options::default()
    };
    // The deadline is long enough that the silence timeout of the link ends an
    // attempt first.
    let flows = [Flow {
        deadline_ms: 8_000,
        ..flow(POOL.rate() * 0.3, 0, end)
    }];
    let trials = run_policies(run, POOL, options, &flows, |fleet| async {
        sleep(1_000).await;
        for member in fleet.members.iter().step_by(2) {
            if let Some(relay) = &member.relay {
                relay.silence(Silence {
                    from_target: true,
                    to_target: true,
                });
            }
        }
        sleep(end - 1_000).await;
        fleet
    })
    .await?;
    let slowest = |trial: &Trial| {
        let times = trial.calls.iter().map(|one| one.latency_ms);
        Some(times.fold(0.0, f64::max))
    };
    Ok(outcome(
        &trials,
        vec![
            // The silence timeout of 2.5 s and a heartbeat interval of 0.75 s, then
            // a second attempt.
            row(
                "slowest settled",
                "ms",
                &trials,
                Aim::AtMost(3_400.0),
                slowest,
            ),
            row("not answered", "calls", &trials, Aim::None, |trial| {
                Some(count(trial, CallOutcome::InDoubt) + count(trial, CallOutcome::NotRun))
            }),
        ],
    ))
}

/// The case `retry-storm`: at 0.8 of the pool's capacity, all servers run their calls but lose
/// the answers for a while.
pub async fn retry_storm(run: RunOptions) -> Result<Outcome, LoadError> {
    let outage_ms = run.seconds * 1_000;
    let end = 2_000 + outage_ms + 5_000;
    let flows = [flow(POOL.rate() * 0.8, 0, end)];
    let trials = run_policies(run, POOL, Options::default(), &flows, |fleet| async {
        sleep(2_000).await;
        for service in services(&fleet) {
            service.set_faults(service::Faults {
                delay_ms: 0,
                lose_answers: u32::MAX,
            });
        }
        sleep(outage_ms).await;
        for service in services(&fleet) {
            service.set_faults(service::Faults::default());
        }
        sleep(end - outage_ms - 2_000).await;
        fleet
    })
    .await?;
    let attempts =
        |trial: &Trial| Some(trial.audit.attempts as f64 / trial.calls.len().max(1) as f64);
    let recovered = |trial: &Trial| {
        let rate = service_load::goodput(&trial.calls, 2_000 + outage_ms + 3_000, end);
        Some(rate / (POOL.rate() * 0.8))
    };
    Ok(outcome(
        &trials,
        vec![
            row("attempts / calls", "", &trials, Aim::AtMost(1.2), attempts),
            row(
                "goodput 3 s after",
                "",
                &trials,
                Aim::AtLeast(0.95),
                recovered,
            ),
        ],
    ))
}

/// The case `noisy-team`: one team offers ten times its share.
pub async fn noisy_team(run: RunOptions) -> Result<Outcome, LoadError> {
    let pool = Pool { servers: 4, ..POOL };
    let share = pool.rate() / 3.0;
    let (begin, end) = (3_000, 3_000 + run.seconds * 1_000);
    let quiet = |team| Flow {
        team,
        ..flow(share * 0.6, 0, end)
    };
    let noisy = flow(share * 10.0, begin, end);
    let flows = [flow(share * 0.6, 0, begin), noisy, quiet("b"), quiet("c")];
    let trials = run_policies(run, pool, Options::default(), &flows, |fleet| async {
        fleet
    })
    .await?;
    let others_p99 = |trial: &Trial, begin: u64, end: u64| {
        let others = trial.calls.iter().filter(|one| one.team != "a");
        let due = others.filter(|one| (begin..end).contains(&one.due_ms));
        service_load::percentile(due, 0.99)
    };
    let p99_ratio = |trial: &Trial| {
        let quiet = others_p99(trial, 1_000, begin)?;
        Some(others_p99(trial, begin + 500, end)? / quiet)
    };
    let answered = |trial: &Trial| {
        let due = || {
            let others = trial.calls.iter().filter(|one| one.team != "a");
            others.filter(|one| one.due_ms >= begin)
        };
        let answered = due()
            .filter(|one| one.outcome == CallOutcome::Answered)
            .count();
        Some(answered as f64 / due().count().max(1) as f64)
    };
    Ok(outcome(
        &trials,
        vec![
            row(
                "others' p99 / quiet",
                "",
                &trials,
                Aim::AtMost(1.3),
                p99_ratio,
            ),
            row("others' p50", "ms", &trials, Aim::None, |trial| {
                let others = trial.calls.iter().filter(|one| one.team != "a");
                service_load::percentile(others.filter(|one| one.due_ms > begin + 500), 0.5)
            }),
            row("others' quiet p99", "ms", &trials, Aim::None, |trial| {
                others_p99(trial, 1_000, begin)
            }),
            row("others' quiet p50", "ms", &trials, Aim::None, |trial| {
                let others = trial.calls.iter().filter(|one| one.team != "a");
                service_load::percentile(
                    others.filter(|one| (1_000..begin).contains(&one.due_ms)),
                    0.5,
                )
            }),
            row("others answered", "", &trials, Aim::AtLeast(0.99), answered),
        ],
    ))
}

/// The case `drain`: every agent and every entry is replaced, one after another.
pub async fn drain(run: RunOptions) -> Result<Outcome, LoadError> {
    let end = run.seconds * 1_000 + 6_000;
    let keyed = Flow {
        keyed: true,
        ..flow(40.0, 0, end)
    };
    let flows = [flow(POOL.rate() * 0.3, 0, end), keyed];
    let trials = run_policies(run, POOL, Options::default(), &flows, |mut fleet| async {
        sleep(500).await;
        for at in 0..fleet.members.len() {
            let (platform, options) = (&fleet.platform, fleet.options);
            let member = &mut fleet.members[at];
            member.stop().await;
            let _ = member.start(platform, options).await;
        }
        for _ in 0..fleet.entries.len() {
            let _ = fleet.start_entry("hall");
            sleep(1_500).await;
            fleet.stop_entry().await;
        }
        fleet
    })
    .await?;
    Ok(outcome(
        &trials,
        vec![
            row(
                "in doubt (cut)",
                "calls",
                &trials,
                Aim::AtMost(0.0),
                |trial| Some(count(trial, CallOutcome::InDoubt)),
            ),
            row("refused as not run", "calls", &trials, Aim::None, |trial| {
                Some(count(trial, CallOutcome::NotRun))
            }),
            row("answered", "calls", &trials, Aim::None, |trial| {
                Some(count(trial, CallOutcome::Answered))
            }),
        ],
    ))
}
