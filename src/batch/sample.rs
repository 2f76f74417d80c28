//! The result of one item.

use serde::{
    Deserialize,
    Serialize, //
};

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SampleState {
    Succeeded,
    /// It was given up.
    Terminated,
}

/// What a trainer reads of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    pub id: String,
    /// The scorer's signature of its answer.
    pub score: Option<String>,
    pub state: SampleState,
    /// The data of all events, joined by line feeds.
    pub text: String,
    /// All weight versions that generated an event of the text.
    pub versions: Vec<u64>,
}
