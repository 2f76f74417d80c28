//! What an agent says of itself, when it changes and at least once a second.

use super::EngineState;
use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// An agent's load and state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Requests that the backend server takes at once.
    pub capacity: u32,
    /// Takes no new work.
    pub draining: bool,
    /// The last confirmed engine state; default for plain services.
    pub engine: EngineState,
    pub queued: u32,
    pub running: u32,
    /// The moving average of a request's time at the backend server.
    pub service_time: Millis,
    /// Whether the backend server answered the last time it was asked.
    pub usable: bool,
}
