//! A backend server as it announces itself.

use std::net::SocketAddr;

/// The weight version that a server holds of one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    pub model: String,
    pub version: u64,
}

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub data_centre: String,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
    /// Names this life; a restarted server has another.
    pub id: String,
    pub models: Vec<Weights>,
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
}
