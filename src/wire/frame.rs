//! What a link carries: beats and messages.

use serde::{
    Deserialize,
    Serialize, //
};

/// A message, or the heartbeat that shows that the link still carries any.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame<T> {
    Beat,
    Message(T),
}
