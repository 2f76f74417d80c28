//! Work for a model engine.

use crate::base::Tokens;
use serde::{
    Deserialize,
    Serialize, //
};

/// How tokens are drawn.
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
    /// The word used in the completions protocol.
    pub fn word(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
        }
    }
}

/// One generation, possibly going on from tokens that another engine made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Generation {
    /// Tokens already made; the engine goes on behind them.
    pub done: Tokens,
    /// The adapter or base model that is asked for.
    pub model: String,
    pub prompt: String,
    pub sampling: Sampling,
}
