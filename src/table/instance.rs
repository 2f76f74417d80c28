//! An entry of the platform's instance list.

use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// What the platform says of an instance; it lags behind reality.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    Leaving,
    #[default]
    Live,
}

/// One instance of ours.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Where its operators' HTTP listens.
    pub admin: SocketAddr,
    pub data_centre: String,
    /// Where its link port listens.
    pub links: SocketAddr,
    pub name: String,
    /// The pool of the backend server behind an agent; absent for an entry.
    pub pool: Option<String>,
    pub state: InstanceState,
}
