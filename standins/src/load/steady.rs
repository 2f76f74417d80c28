//! The case `steady`: the CPU time and the latency that entry and agent add to a call.

use super::{
    LoadError,
    Outcome,
    Row,
    RunOptions,
    hops::{self, Hop},
    open_loop::{self, LoadResult, Target},
    plot::Series,
    row::Aim,
    usage, //
};
use crate::{
    client::Client,
    fleet::{Backend, Fleet, Options, Plan}, //
};
use redwingpond::settings::read;
use std::time::Duration;

/// One service, which answers at once.
const PLAN: &str = "
team: bench
data_centres: [hall]
pools:
  echo: {kind: service, servers: 1, capacity: 64, queue: 10000, service_ms: 0}
settings:
  pools/echo: |
    kind: service
  teams/bench: |
    classes:
      plain: {pool: echo, limit: 100000}
    limit: 100000
callers: {}
trainers: {}
";

/// The number of concurrent callers that saturate a path.
const CALLERS: u32 = 64;

/// The size of every request's body.
const BODY_BYTES: usize = 256;

/// Runs the case.
pub async fn measure(run: RunOptions) -> Result<Outcome, LoadError> {
    let plan = read("steady", PLAN, Plan::read)?;
    let options = Options {
        entries: 1,
        ..Options::default()
    };
    let fleet = Fleet::open(&[plan], options).await?;
    let service = fleet.members.iter().find_map(|one| match &one.backend {
        Backend::Service(service) => Some(service.address),
        Backend::Engine(_) | Backend::Scorer(_) => None,
    });
    let entry = fleet.balancer.next();
    let (Some(service), Some(entry)) = (service, entry) else {
        let what = "a fleet without servers".to_owned();
        return Err(LoadError::NotMeasured { what });
    };
    let second = Hop::open(2, service)?;
    let first = Hop::open(1, second.address)?;
    let target = |address, path: &str| Target {
        address,
        body: "x".repeat(BODY_BYTES),
        path: path.to_owned(),
    };
    let direct = target(service, "/work");
    let hops = target(first.address, "/work");
    let redwing = target(entry, "/v1/app/bench/plain/work");
    let client = Client::default();

    let probe = Duration::from_secs(2);
    let max_hops_rate = open_loop::saturate(&client, &hops, CALLERS, probe).await;
    let max_redwing_rate = open_loop::saturate(&client, &redwing, CALLERS, probe).await;
    let rate = (max_redwing_rate.min(max_hops_rate) / 2.0) as u64;
    let time = Duration::from_millis(run.seconds * 1_000 / u64::from(ROUNDS));
    let mut direct_rounds = PathRounds::default();
    let mut hops_rounds = PathRounds::default();
    let mut redwing_rounds = PathRounds::default();
    for _ in 0..ROUNDS {
        direct_rounds
            .run_round(&client, &direct, rate, time, &[])
            .await?;
        hops_rounds
            .run_round(&client, &hops, rate, time, &[hops::THREAD_PREFIX])
            .await?;
        redwing_rounds
            .run_round(&client, &redwing, rate, time, &usage::REDWING_THREADS)
            .await?;
    }

    let added = |path: &PathRounds, percentile: f64| {
        Some(path.median(percentile) - direct_rounds.median(percentile))
    };
    Ok(Outcome {
        results: vec![
            Row::new(
                "rate",
                "req/s",
                Some(rate as f64),
                Some(rate as f64),
                Aim::None,
            ),
            Row::new(
                "saturation",
                "req/s",
                Some(max_hops_rate),
                Some(max_redwing_rate),
                Aim::None,
            ),
            Row::new(
                "CPU per request",
                "us",
                Some(hops_rounds.cpu_per_request()),
                Some(redwing_rounds.cpu_per_request()),
                Aim::RatioAtMost(2.5),
            ),
            Row::new(
                "added p50",
                "ms",
                added(&hops_rounds, 50.0),
                added(&redwing_rounds, 50.0),
                Aim::None,
            ),
            Row::new(
                "added p99",
                "ms",
                added(&hops_rounds, 99.0),
                added(&redwing_rounds, 99.0),
                Aim::AtMost(3.0),
            ),
        ],
        series: vec![
            direct_rounds.curve("direct"),
            hops_rounds.curve("two hops"),
            redwing_rounds.curve("redwingpond"),
        ],
        ..Outcome::default()
    })
}

/// The paths take turns for this many rounds, and the latencies are medians over the
/// rounds: a shared machine stalls for some ms every few seconds.
const ROUNDS: u32 = 7;

/// The measurements of one path.
#[derive(Default)]
struct PathRounds {
    /// The CPU time of the path's threads in all rounds, in nanoseconds.
    cpu_ns: u64,
    rounds: Vec<LoadResult>,
}

impl PathRounds {
    /// Measures one round; `threads` are the name prefixes of the path's threads.
    async fn run_round(
        &mut self,
        client: &Client,
        target: &Target,
        rate: u64,
        time: Duration,
        threads: &[&str],
    ) -> Result<(), LoadError> {
        let before = usage::cpu_times();
        let measured = open_loop::run(client, target, rate, time).await;
        self.cpu_ns += usage::cpu_since(&before, threads);
        if measured.answered < measured.sent {
            let lost = measured.sent - measured.answered;
            let what = format!(
                "{lost} of {} requests got no answer: latency",
                measured.sent
            );
            return Err(LoadError::NotMeasured { what });
        }
        self.rounds.push(measured);
        Ok(())
    }

    /// The CPU time per answered request, in microseconds.
    fn cpu_per_request(&self) -> f64 {
        let answered: u64 = self.rounds.iter().map(|one| one.answered).sum();
        self.cpu_ns as f64 / 1e3 / answered.max(1) as f64
    }

    /// The latency in milliseconds by percentile.
    fn curve(&self, name: &str) -> Series {
        let points = (1..200).map(|half| f64::from(half) / 2.0);
        Series {
            name: name.to_owned(),
            points: points
                .map(|percentile| (percentile, self.median(percentile)))
                .collect(),
        }
    }

    /// The median over the rounds of a latency percentile, in milliseconds.
    fn median(&self, percentile: f64) -> f64 {
        let mut figures: Vec<f64> = self
            .rounds
            .iter()
            .map(|one| one.percentile_ms(percentile))
            .collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or_default()
    }
}
