//! Where a batch lies in the store.

/// Heads, logs, claims and heartbeats: what every runner follows.
pub const WORK: &str = "work";

/// Items with their bodies, in chunks; each row is written once.
pub const BODIES: &str = "bodies";

/// Results, each written once.
pub const RESULTS: &str = "results";

/// The part of [`WORK`] with the runners' heartbeats, by instance.
pub const HEARTBEATS: &str = "heartbeats";

/// The part of the batch called `id`.
pub fn part_of(id: &str) -> String {
    format!("batch-{id}")
}

/// A row of [`WORK`] in a batch's part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKey {
    Claim(u16),
    Head,
    Log,
}

impl WorkKey {
    /// The row that `key` names.
    pub fn parse(key: &str) -> Option<Self> {
        match key {
            "head" => Some(Self::Head),
            "log" => Some(Self::Log),
            _ => {
                let group = key.strip_prefix("claim/")?;
                group.parse().ok().map(Self::Claim)
            }
        }
    }
}

impl std::fmt::Display for WorkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Claim(group) => write!(f, "claim/{group:05}"),
            Self::Head => f.write_str("head"),
            Self::Log => f.write_str("log"),
        }
    }
}
