//! A backend server as it announces itself.

use crate::base::Millis;
use std::net::SocketAddr;

/// The weight version that a server holds of one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    pub model: String,
    pub version: u64,
}

/// Names one life of a backend server: from a start of its process to its end.
///
/// A server may start again under its id. It then holds nothing of before, so
/// what is remembered of a server is kept under its life, never under its id.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation {
    /// When it started, by the server's wall clock; 0 where servers don't tell.
    pub started_at: Millis,
    pub id: String,
}

impl ServerIncarnation {
    /// The life of the server called `id` that began at `started_at`.
    pub fn new(id: &str, started_at: Millis) -> Self {
        Self {
            started_at,
            id: id.to_owned(),
        }
    }
}

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub data_centre: String,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
    pub incarnation: ServerIncarnation,
    pub models: Vec<LoadedModel>,
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
}
