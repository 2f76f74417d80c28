//! Calls on a fixed schedule to a fleet of plain services, and their evaluation.

use super::LoadError;
use crate::{
    balancer::Balancer,
    client::Client,
    fleet::{Backend, Fleet, Options, Plan}, //
};
use hyper::{
    Method,
    StatusCode, //
};
use redwingpond::{
    base::Clock,
    policy::router::Policy,
    settings::read, //
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration, //
};
use tokio::task::JoinSet;

/// The fleet's only pool.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// The maximum number of concurrent calls per server.
    pub capacity: u32,
    /// The maximum number of calls in the queue of each agent.
    pub queue: u32,
    pub servers: u32,
    pub service_ms: u64,
}

impl Pool {
    /// The calls per second that the pool can answer.
    pub fn rate(&self) -> f64 {
        f64::from(self.servers * self.capacity) * 1_000.0 / self.service_ms as f64
    }
}

/// Calls of one team at a fixed rate for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    /// When the flow begins, from the start of [`send`].
    pub begin_ms: u64,
    /// The deadline of each call, from its start.
    pub deadline_ms: u64,
    /// When the flow ends, from the start of [`send`].
    pub end_ms: u64,
    /// Whether each call has a request key and must run at most once.
    pub keyed: bool,
    /// Calls per second.
    pub rate: u64,
    pub team: &'static str,
}

/// The outcome of one call, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    Answered,
    /// The call may have run, or had no answer.
    InDoubt,
    NotRun,
}

/// A call that was sent.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub deadline_ms: u64,
    /// When the call was due, from the start of [`send`].
    pub due_ms: u64,
    pub outcome: CallOutcome,
    /// The request id, if the answer had one.
    pub request: Option<String>,
    /// The time from when the call was due until its caller had the outcome.
    pub latency_ms: f64,
    pub team: &'static str,
}

/// The teams in the fleet's settings.
const TEAMS: [&str; 3] = ["a", "b", "c"];

/// How long a caller waits for the answer after the deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(4);

/// Opens a fleet with one pool of services and the teams [`TEAMS`].
pub async fn open(pool: Pool, policy: Policy, options: Options) -> Result<Fleet, LoadError> {
    let mut settings = String::from("  pools/pool: |\n    kind: service\n");
    for team in TEAMS {
        let classes = "classes: {plain: {pool: pool, limit: 100000}}";
        let text = format!("  teams/{team}: |\n    {classes}\n    limit: 100000\n");
        settings.push_str(&text);
    }
    let Pool {
        capacity,
        queue,
        servers,
        service_ms,
    } = pool;
    let plan = format!(
        "team: a\ndata_centres: [hall]\npools:\n  pool: {{kind: service, servers: {servers}, \
         capacity: {capacity}, queue: {queue}, service_ms: {service_ms}}}\n\
         settings:\n{settings}callers: {{}}\ntrainers: {{}}\n"
    );
    let plan = read("scene", &plan, Plan::read)?;
    Ok(Fleet::open(&[plan], Options { policy, ..options }).await?)
}

/// Sends the calls of all flows; returns them when the last one has ended. A call for which
/// the balancer has no entry isn't sent or recorded.
pub async fn send(balancer: &Arc<Balancer>, flows: &[Flow]) -> Vec<CallRecord> {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let clock = Clock::open();
    let client = Client::default();
    let mut flow_tasks = JoinSet::new();
    for (number, flow) in flows.iter().copied().enumerate() {
        let (calls, client) = (calls.clone(), client.clone());
        let balancer = balancer.clone();
        flow_tasks.spawn(async move {
            let mut in_flight = JoinSet::new();
            let total = flow.rate * (flow.end_ms - flow.begin_ms) / 1_000;
            for call in 0..total {
                let due = flow.begin_ms * 1_000 + call * 1_000_000 / flow.rate;
                let wait = due.saturating_sub(clock.micros());
                if wait > 0 {
                    tokio::time::sleep(Duration::from_micros(wait)).await;
                }
                let Some(entry) = balancer.next() else {
                    continue;
                };
                let (calls, client) = (calls.clone(), client.clone());
                let key = format!("{number}-{call}");
                in_flight.spawn(async move {
                    let (outcome, request) = send_call(&client, entry, flow, &key).await;
                    let record = CallRecord {
                        deadline_ms: flow.deadline_ms,
                        due_ms: due / 1_000,
                        outcome,
                        request,
                        latency_ms: clock.micros().saturating_sub(due) as f64 / 1e3,
                        team: flow.team,
                    };
                    calls
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(record);
                });
                while in_flight.try_join_next().is_some() {}
            }
            while in_flight.join_next().await.is_some() {}
        });
    }
    while flow_tasks.join_next().await.is_some() {}
    std::mem::take(&mut *calls.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Sends a call; returns its outcome and its request id.
async fn send_call(
    client: &Client,
    entry: SocketAddr,
    flow: Flow,
    key: &str,
) -> (CallOutcome, Option<String>) {
    let path = format!("/v1/app/{}/plain/work", flow.team);
    let deadline = flow.deadline_ms.to_string();
    let mut headers = vec![("redwing-deadline-ms", deadline.as_str())];
    if flow.keyed {
        headers.push(("redwing-request-key", key));
        headers.push(("redwing-idempotent", "false"));
    } else {
        headers.push(("redwing-idempotent", "true"));
    }
    let wait = Duration::from_millis(flow.deadline_ms) + ANSWER_GRACE;
    let post = Method::POST;
    let answer = client.call(post, entry, &path, &headers, key.to_owned(), wait);
    let Ok(answer) = answer.await else {
        return (CallOutcome::InDoubt, None);
    };
    let request = answer.header("redwing-request-id").map(str::to_owned);
    if answer.status == StatusCode::OK {
        return (CallOutcome::Answered, request);
    }
    match answer.json()["may_have_run"].as_bool() {
        Some(false) => (CallOutcome::NotRun, request),
        Some(true) | None => (CallOutcome::InDoubt, request),
    }
}

/// The runs of the services, compared with the answers to the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunAudit {
    /// The number of runs of all calls.
    pub attempts: u64,
    /// Request keys that ran more than once.
    pub double_runs: u64,
    /// Calls that ran although their failure said "not run".
    pub false_refusals: u64,
}

/// Compares the answers to the callers with the runs of the services.
pub fn audit_runs(fleet: &Fleet, calls: &[CallRecord]) -> RunAudit {
    let mut audit = RunAudit::default();
    let mut ran = std::collections::HashSet::new();
    for member in &fleet.members {
        let Backend::Service(service) = &member.backend else {
            continue;
        };
        let runs = service.runs();
        audit.attempts += runs.requests.values().map(|n| u64::from(*n)).sum::<u64>();
        audit.double_runs += runs.keys.values().filter(|n| **n > 1).count() as u64;
        ran.extend(runs.requests.into_keys());
    }
    let refused = calls
        .iter()
        .filter(|one| one.outcome == CallOutcome::NotRun);
    let false_refusals =
        refused.filter(|one| one.request.as_ref().is_some_and(|id| ran.contains(id)));
    audit.false_refusals = false_refusals.count() as u64;
    audit
}

/// A quantile of the calls' latencies in ms, `share` from 0 to 1; `None` without
/// calls. A call that was not answered counts with its deadline, or with the time
/// to its failure if that was longer: otherwise a policy that fails its slow calls
/// would look fast.
pub fn percentile<'a>(calls: impl Iterator<Item = &'a CallRecord>, share: f64) -> Option<f64> {
    let mut times: Vec<f64> = calls
        .map(|one| match one.outcome {
            CallOutcome::Answered => one.latency_ms,
            CallOutcome::InDoubt | CallOutcome::NotRun => {
                one.latency_ms.max(one.deadline_ms as f64)
            }
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let at = (times.len() as f64 * share) as usize;
    times.get(at.min(times.len().saturating_sub(1))).copied()
}

/// The calls per second that were answered within their deadline, of those due from
/// `begin` to `end` (in ms).
pub fn goodput(calls: &[CallRecord], begin: u64, end: u64) -> f64 {
    let good = calls.iter().filter(|one| {
        (begin..end).contains(&one.due_ms)
            && one.outcome == CallOutcome::Answered
            && one.latency_ms <= one.deadline_ms as f64
    });
    good.count() as f64 * 1_000.0 / (end - begin).max(1) as f64
}

/// The goodput in each quarter of a second, over the time in seconds, as a plot.
pub fn timeline(name: &str, calls: &[CallRecord]) -> super::plot::Series {
    let last = calls.iter().map(|one| one.due_ms).max().unwrap_or(0);
    let points = (0..=last / 250).map(|quarter| {
        let begin = quarter * 250;
        (begin as f64 / 1e3, goodput(calls, begin, begin + 250))
    });
    super::plot::Series {
        name: name.to_owned(),
        points: points.collect(),
    }
}
