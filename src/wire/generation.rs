//! A request to a model engine to generate tokens.

use crate::base::Tokens;
use serde::{
    Deserialize,
    Serialize, //
};

/// How tokens are sampled.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sampling {
    pub max_tokens: u32,
    pub seed: u64,
    pub temperature: f32,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    Length,
    Stop,
}

impl FinishReason {
    /// The value of `finish_reason` in the completions protocol.
    pub fn word(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
        }
    }
}

/// One generation. It may continue one that another engine began.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Generation {
    /// The tokens generated so far; the engine continues after them.
    pub done: Tokens,
    /// The name of the requested adapter or base model.
    pub model: String,
    pub prompt: String,
    pub sampling: Sampling,
}
