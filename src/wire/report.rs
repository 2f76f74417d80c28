//! The report that an agent sends to its entries: at once when a link opens or the drain
//! begins, otherwise when it changes, at most once a second and at least every two seconds.

use super::EngineState;
use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// The load and state of an agent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The number of requests that the backend server runs at once.
    pub capacity: u32,
    /// Whether the agent is shutting down and accepts no new requests.
    pub draining: bool,
    /// The last confirmed state of the engine; the default for a plain service.
    pub engine: EngineState,
    /// The number of waiting requests.
    pub queued: u32,
    /// The number of running requests.
    pub running: u32,
    /// The moving average of the time that a request takes at the backend server.
    pub service_time: Millis,
    /// Whether the engine answers requests for its state; always true for a plain service.
    pub usable: bool,
}
