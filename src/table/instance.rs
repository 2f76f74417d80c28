//! An item of the platform's instance list.

use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// The state of an instance as the platform knows it, which can be out of date.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is shutting down.
    Leaving,
    #[default]
    Live,
}

/// An instance that runs one of this deployment's entries or agents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The address of its admin HTTP server.
    pub admin: SocketAddr,
    pub data_centre: String,
    /// The address at which it accepts links.
    pub links: SocketAddr,
    pub name: String,
    /// The pool of an agent's backend server; absent for an entry.
    pub pool: Option<String>,
    pub state: InstanceState,
}
