//! An entry's view of the fleet, for the rollout duty and for operators.

use super::server::ServerKey;
use crate::wire::Report;
use serde::Serialize;

/// One backend server.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ServerView {
    /// This entry's requests in flight there.
    pub(super) in_flight: u32,
    #[serde(skip)]
    pub(super) key: ServerKey,
    /// Whether the link to its agent is open.
    pub(super) linked: bool,
    pub(super) name: String,
    /// Whether its circuit breaker is open.
    pub(super) out: bool,
    pub(super) pool: String,
    pub(super) report: Report,
}

/// The backend servers that this entry knows, and the number of its calls in progress.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct View {
    pub(super) calls: usize,
    pub(super) servers: Vec<ServerView>,
}

impl View {
    /// The servers of `pool` that are linked and not draining.
    pub(super) fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a ServerView> {
        self.servers
            .iter()
            .filter(move |server| server.pool == pool && server.linked && !server.report.draining)
    }
}
