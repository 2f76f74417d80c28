//! The order in which waiting requests are served.

use serde::{
    Deserialize,
    Serialize, //
};

/// The priority of a traffic class; requests of a greater one are served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Samples of a rollout step.
    Rollout,
    /// Callers that can wait, such as batch reconciliation jobs.
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
