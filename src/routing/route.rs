//! A route of the operators' configuration.

use crate::base::{
    Millis,
    stable_hash, //
};

/// How a route's requests are run, and whether they may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Submissions of batches, whose items runners run later.
    Batch,
    /// Idempotent requests: they may be retried and hedged.
    Safe,
    /// Requests answered by a stream of events.
    Stream { resumable: bool },
    /// Requests that must not run more than once.
    Unsafe,
}

/// A service that gets a share of a route's requests, in proportion to its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub service: String,
    pub weight: u64,
}

/// Maps requests by host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The most attempts of one request that may run.
    pub max_attempts: u32,
    pub host: String,
    /// How long after its submission an item without a result may be given up.
    pub item_ttl: Millis,
    pub kind: RouteKind,
    pub name: String,
    /// Whether callers may send requests without a key.
    pub allow_anonymous: bool,
    pub prefix: String,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: Option<u32>,
    /// How long after its submission a batch's results are due.
    pub result_deadline: Millis,
    /// Whether all tokens of a sample must come from one weight version.
    pub single_version: bool,
    /// The time within which an answer has its full value to the caller.
    pub target_latency: Option<Millis>,
    pub targets: Vec<Target>,
    /// The longest time until a request is answered.
    pub timeout: Millis,
}

impl Route {
    /// The service for the request with `id`; retries with the same id get the same service.
    /// `None` if no target has a weight.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = stable_hash(&[id.as_bytes()]).checked_rem(total)?;
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        None
    }

    /// Whether `service` gets a share of the route's requests.
    pub fn serves(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service && target.weight > 0)
    }
}
