//! One backend server as this entry sees it.

use crate::{
    base::{Millis, WeightVersion},
    policy::{health::CircuitBreaker, latency::Latency, router::Candidate},
    table::{Instance, InstanceState},
    wire::{Link, Report, ToAgent}, //
};
use tokio::task::JoinHandle;

/// What a server of which nothing is known is taken to need, in ms: it gets a request
/// soon, which tells.
pub(super) const DEFAULT_LATENCY_MS: f64 = 1.0;

slotmap::new_key_type! {
    /// A server's place in the entry's arena.
    pub struct ServerKey;
}

/// A backend server and the link to its agent.
pub(super) struct Server {
    pub(super) dialer: JoinHandle<()>,
    pub(super) distance: Millis,
    pub(super) health: CircuitBreaker,
    pub(super) in_flight: u32,
    pub(super) instance: Instance,
    pub(super) link: Option<Link<ToAgent>>,
    /// Whether the platform still lists it.
    pub(super) listed: bool,
    pub(super) latency: Latency,
    pub(super) report: Report,
    /// When the report came.
    pub(super) reported_at: Millis,
    /// This entry's requests there when the report came.
    pub(super) own_at_report: u32,
}

impl Server {
    /// The server as the router sees it. The baseline goes by the platform's
    /// list alone.
    pub(super) fn candidate(
        &self,
        key: ServerKey,
        now: Millis,
        excluded: bool,
    ) -> Candidate<ServerKey> {
        Candidate {
            capacity: self.report.capacity,
            distance: self.distance,
            eligible: !excluded && self.accepts_work(),
            in_flight: self.in_flight,
            key,
            latency: self.latency.estimate(now, DEFAULT_LATENCY_MS),
            others: (self.report.running + self.report.queued).saturating_sub(self.own_at_report),
            report_age: now.since(self.reported_at),
            trusted: self.health.allows(now),
        }
    }

    /// Whether the model's weights there are whole and at least `min_version`.
    pub(super) fn has_weights(&self, model: &str, min_version: WeightVersion) -> bool {
        let version = self.report.engine.version(model);
        version.is_some_and(|version| version >= min_version)
    }

    /// Notes what the agent says of itself.
    pub(super) fn record_report(&mut self, now: Millis, report: Report) {
        self.reported_at = now;
        self.own_at_report = self.in_flight;
        self.report = report;
    }

    /// Whether new work may go there at all. The agent's own word counts
    /// before the platform's list, which lags.
    pub(super) fn accepts_work(&self) -> bool {
        self.link.is_some()
            && self.listed
            && self.instance.state == InstanceState::Live
            && self.report.usable
            && !self.report.draining
    }
}
