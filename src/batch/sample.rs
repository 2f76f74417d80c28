//! The result of one item.

use serde::{
    Deserialize,
    Serialize, //
};

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SampleState {
    Succeeded,
    /// The item was given up: it has no text and no score.
    Terminated,
}

/// The result of one item as trainers read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    pub id: String,
    /// The signature on the scorer's answer; `None` for an item without a scorer.
    pub score: Option<String>,
    pub state: SampleState,
    /// The data of all events, joined by newlines.
    pub text: String,
    /// The weight versions that generated the events of the text.
    pub versions: Vec<u64>,
}
