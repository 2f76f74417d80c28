//! What an entry sees of the fleet, for the step duty and for operators.

use super::server::ServerKey;
use crate::wire::Report;
use serde::Serialize;

/// One linked server.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ServerView {
    pub(super) in_flight: u32,
    #[serde(skip)]
    pub(super) key: ServerKey,
    pub(super) linked: bool,
    pub(super) name: String,
    pub(super) out: bool,
    pub(super) pool: String,
    pub(super) report: Report,
}

/// All linked servers and this entry's calls.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct View {
    pub(super) calls: usize,
    pub(super) servers: Vec<ServerView>,
}

impl View {
    /// The servers of `pool` that can take work.
    pub(super) fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a ServerView> {
        self.servers
            .iter()
            .filter(move |server| server.pool == pool && server.linked && !server.report.draining)
    }
}
