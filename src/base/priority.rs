//! The order in which waiting requests are served.

use serde::{
    Deserialize,
    Serialize, //
};

/// A traffic class's rank; a greater one is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Samples of a rollout step.
    Rollout,
    /// Callers that may wait, such as batch reconcilers.
    Background,
    /// People waiting for an answer.
    #[default]
    Live,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Self; 3] = [Self::Rollout, Self::Background, Self::Live];

    /// The word used in settings and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Rollout => "rollout",
            Self::Background => "background",
            Self::Live => "live",
        }
    }
}
