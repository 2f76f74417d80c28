//! A backend server as its announcement describes it.

use crate::base::Millis;
use std::net::SocketAddr;

/// A model that a server has loaded, and the version of its weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    pub model: String,
    pub version: u64,
}

/// Identifies one run of a backend server's process, from its start to its end.
///
/// A server may restart under the same id and has then lost all state. State about a
/// server is therefore recorded per incarnation, never per id.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation {
    /// The start by the server's wall clock; 0 if the server doesn't announce it.
    pub started_at: Millis,
    pub id: String,
}

impl ServerIncarnation {
    /// The incarnation of server `id` that started at `started_at`.
    pub fn new(id: &str, started_at: Millis) -> Self {
        Self {
            started_at,
            id: id.to_owned(),
        }
    }
}

/// An announced incarnation of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub data_centre: String,
    /// Whether it only finishes its requests and accepts no new ones.
    pub draining: bool,
    pub incarnation: ServerIncarnation,
    pub models: Vec<LoadedModel>,
    pub service: String,
    /// The number of requests that it runs at once.
    pub slots: u32,
}
