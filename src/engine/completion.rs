//! JSON types of the completions protocol, limited to the subset used with engines.

use crate::base::Tokens;
use serde::{
    Deserialize,
    Serialize, //
};

/// A request for a completion, always streamed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// Tokens generated so far; the engine continues after them.
    #[serde(default)]
    pub done: Vec<String>,
    pub max_tokens: u32,
    pub model: String,
    /// Requests with a smaller number are served first.
    #[serde(default)]
    pub priority: u8,
    pub prompt: String,
    #[serde(default)]
    pub seed: u64,
    pub stream: bool,
    #[serde(default)]
    pub temperature: f32,
}

impl Completion {
    /// The request for the rest of `generation` after the tokens `done`.
    pub fn from_generation(
        generation: &crate::wire::Generation,
        done: &Tokens,
        priority: u8,
    ) -> Self {
        Self {
            done: done.iter().map(str::to_owned).collect(),
            max_tokens: generation.sampling.max_tokens,
            model: generation.model.clone(),
            priority,
            prompt: generation.prompt.clone(),
            seed: generation.sampling.seed,
            stream: true,
            temperature: generation.sampling.temperature,
        }
    }
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    pub content: String,
    pub role: String,
}

/// The new part of a chat message in a streamed answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// A choice of an answer; answers have exactly one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    pub finish_reason: Option<String>,
    pub index: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    pub choices: Vec<Choice>,
}
