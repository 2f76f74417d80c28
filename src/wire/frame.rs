//! The frames of a link: heartbeats and messages.

use serde::{
    Deserialize,
    Serialize, //
};

/// A frame of a link, which carries a message or is a heartbeat.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame<T> {
    /// Shows the peer that the link still works while no messages are sent.
    Beat,
    Message(T),
}
