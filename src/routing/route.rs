//! One of the operators' routes.

use crate::base::{
    Millis,
    stable_hash, //
};

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Submissions of batches, whose items run later.
    Batch,
    /// Requests that are idempotent.
    Safe,
    /// Answers that arrive as a series of events.
    Stream { resumable: bool },
    /// Requests that must run at most once.
    Unsafe,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub service: String,
    pub weight: u64,
}

/// A rule from host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The most backend servers that one request may be sent to.
    pub max_attempts: u32,
    pub host: String,
    /// How long after its submission an item may be given up.
    pub item_ttl: Millis,
    pub kind: RouteKind,
    pub name: String,
    /// Whether its requests need no key.
    pub allow_anonymous: bool,
    pub prefix: String,
    /// How urgent its requests are; 0 is the most urgent.
    pub priority: Option<u32>,
    /// How long after its submission a batch's results are due.
    pub result_deadline: Millis,
    /// Whether a sample's tokens must all come from one weight version.
    pub single_version: bool,
    pub targets: Vec<Target>,
    /// The longest that a request may be kept waiting.
    pub timeout: Millis,
}

impl Route {
    /// The service that gets the request called `id`; its retries get the same.
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

    /// Whether some of the route's requests go to `service`.
    pub fn serves(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service && target.weight > 0)
    }
}
