//! Open-loop load: requests on a fixed schedule, so that latencies include queueing.

use crate::client::Client;
use hdrhistogram::Histogram;
use hyper::Method;
use redwingpond::base::Clock;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{AtomicU64, Ordering}, //
    },
    time::Duration, //
};
use tokio::{
    sync::Semaphore,
    task::JoinSet, //
};

/// The address, path and body of all requests.
#[derive(Clone, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub body: String,
    pub path: String,
}

/// The result of a run.
#[derive(Debug)]
pub struct LoadResult {
    pub answered: u64,
    /// Microseconds from the time a request was due to the end of its answer.
    pub latency: Histogram<u64>,
    pub sent: u64,
}

/// The timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

impl LoadResult {
    /// A percentile of the latency in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

/// The number of tasks that send requests; a single one would be the bottleneck.
const SENDERS: u64 = 8;

/// The maximum number of requests in flight. Latencies count from the time a request was
/// due and so include its wait for a permit.
const MAX_IN_FLIGHT: usize = 256;

/// Sends `rate` requests a second for `time`.
pub async fn run(client: &Client, target: &Target, rate: u64, time: Duration) -> LoadResult {
    let clock = Clock::open();
    let total = rate * time.as_millis() as u64 / 1_000;
    // Without the limit, every request that waits during a stall opens a connection
    // of its own. On every path measured, the load of these new connections then
    // prolongs the stall.
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let totals = Arc::new(Totals {
        answered: AtomicU64::new(0),
        latency: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).ok()),
    });
    let mut senders = JoinSet::new();
    for first in 0..SENDERS {
        let (client, target, totals) = (client.clone(), target.clone(), totals.clone());
        let permits = permits.clone();
        senders.spawn(async move {
            let mut in_flight = JoinSet::new();
            for number in (first..total).step_by(SENDERS as usize) {
                let due = number * 1_000_000 / rate;
                let wait = due.saturating_sub(clock.micros());
                if wait > 0 {
                    tokio::time::sleep(Duration::from_micros(wait)).await;
                }
                let (client, target, totals) = (client.clone(), target.clone(), totals.clone());
                let permits = permits.clone();
                in_flight.spawn(async move {
                    let _permit = permits.acquire().await;
                    if send_one(&client, &target).await {
                        totals.record(clock.micros().saturating_sub(due));
                    }
                });
                while in_flight.try_join_next().is_some() {}
            }
            while in_flight.join_next().await.is_some() {}
        });
    }
    while senders.join_next().await.is_some() {}
    let latency = totals
        .latency
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    LoadResult {
        answered: totals.answered.load(Ordering::Relaxed),
        latency: latency.unwrap_or_else(empty_histogram),
        sent: total,
    }
}

/// The answers of all senders.
struct Totals {
    answered: AtomicU64,
    latency: Mutex<Option<Histogram<u64>>>,
}

impl Totals {
    /// Counts an answer and its latency.
    fn record(&self, micros: u64) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(latency) = latency.as_mut() {
            latency.saturating_record(micros.max(1));
        }
    }
}

/// Sends requests from `parallel` callers, each one after another; returns the
/// successful answers per second.
pub async fn saturate(client: &Client, target: &Target, parallel: u32, time: Duration) -> f64 {
    let clock = Clock::open();
    let mut callers = JoinSet::new();
    for _ in 0..parallel {
        let (client, target) = (client.clone(), target.clone());
        callers.spawn(async move {
            let mut answered = 0_u64;
            while clock.micros() < time.as_micros() as u64 {
                answered += u64::from(send_one(&client, &target).await);
            }
            answered
        });
    }
    let answered: u64 = callers.join_all().await.into_iter().sum();
    answered as f64 / (clock.micros() as f64 / 1e6)
}

/// Sends a request; returns whether it was answered successfully.
async fn send_one(client: &Client, target: &Target) -> bool {
    let body = target.body.clone();
    let headers = [("content-type", "text/plain")];
    let call = client.call(
        Method::POST,
        target.address,
        &target.path,
        &headers,
        body,
        REQUEST_TIMEOUT,
    );
    call.await.is_ok_and(|answer| answer.status.is_success())
}

fn empty_histogram() -> Histogram<u64> {
    // INVARIANT: the bounds 1 to 2 with 3 significant digits are always valid.
    Histogram::new_with_bounds(1, 2, 3).unwrap_or_else(|_| std::process::abort())
}
