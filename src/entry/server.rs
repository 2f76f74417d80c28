//! One backend server as this entry sees it.

use crate::{
    base::{Millis, WeightVersion},
    policy::{health::CircuitBreaker, latency::Latency, router::Candidate},
    table::{Instance, InstanceState},
    wire::{Link, Report, ToAgent}, //
};
use tokio::task::JoinHandle;

/// The assumed latency, in ms, of a server where no request has completed yet. It is low,
/// so that the server soon gets a request and its latency becomes known.
pub(super) const DEFAULT_LATENCY_MS: f64 = 1.0;

slotmap::new_key_type! {
    /// Identifies a server in the traffic duty.
    pub struct ServerKey;
}

/// A backend server and the link to its agent.
pub(super) struct Server {
    /// The task that keeps the link open.
    pub(super) dialer: JoinHandle<()>,
    /// The one-way delay to its data centre.
    pub(super) distance: Millis,
    pub(super) health: CircuitBreaker,
    /// This entry's requests in flight there.
    pub(super) in_flight: u32,
    pub(super) instance: Instance,
    /// The link to its agent, while it is open.
    pub(super) link: Option<Link<ToAgent>>,
    /// Whether it is in the latest list of instances, and in this entry's subset.
    pub(super) listed: bool,
    pub(super) latency: Latency,
    /// The agent's last report.
    pub(super) report: Report,
    /// When the report arrived.
    pub(super) reported_at: Millis,
    /// This entry's requests in flight there when the report arrived.
    pub(super) reported_own: u32,
}

impl Server {
    /// The server as the router sees it; an excluded server is not eligible.
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
            others: (self.report.running + self.report.queued).saturating_sub(self.reported_own),
            report_age: now.since(self.reported_at),
            trusted: self.health.allows(now),
        }
    }

    /// Whether the server has confirmed weights of the model, of `min_version` or newer.
    pub(super) fn has_weights(&self, model: &str, min_version: WeightVersion) -> bool {
        let version = self.report.engine.version(model);
        version.is_some_and(|version| version >= min_version)
    }

    /// Records the agent's report.
    pub(super) fn record_report(&mut self, now: Millis, report: Report) {
        self.reported_at = now;
        self.reported_own = self.in_flight;
        self.report = report;
    }

    /// Whether the server takes new work. The agent's report can exclude a server that the
    /// platform still lists, because the list lags behind.
    pub(super) fn accepts_work(&self) -> bool {
        self.link.is_some()
            && self.listed
            && self.instance.state == InstanceState::Live
            && self.report.usable
            && !self.report.draining
    }
}
