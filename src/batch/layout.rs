//! Where a batch lies in the store.

use crate::base::stable_hash;

/// Heads, logs, claims and heartbeats: what every runner follows.
pub const WORK: &str = "work";

/// Items with their bodies, in chunks; each row is written once.
pub const BODIES: &str = "bodies";

/// What has been generated of long items, by item, so that another
/// run can go on after it.
pub const PARTIALS: &str = "partials";

/// Results, each written once.
pub const RESULTS: &str = "results";

/// The parts of [`WORK`] with the runners' heartbeats begin so.
const HEARTBEAT_PART_PREFIX: &str = "heartbeats-";

/// The heartbeats lie in so many parts: one part takes 200 transactions a second, and
/// 3,300 runners write one each, most of them when they start together.
const HEARTBEAT_PART_COUNT: u64 = 64;

/// The part of [`WORK`] with the heartbeat of the runner `instance`.
pub fn heartbeat_part(instance: &str) -> String {
    let number = stable_hash(&[instance.as_bytes()]) % HEARTBEAT_PART_COUNT;
    format!("{HEARTBEAT_PART_PREFIX}{number:02}")
}

/// Whether `part` holds heartbeats.
pub fn is_heartbeat_part(part: &str) -> bool {
    part.starts_with(HEARTBEAT_PART_PREFIX)
}

/// The part of the batch called `id`.
pub fn batch_part(id: &str) -> String {
    format!("batch-{id}")
}

/// The key in [`PARTIALS`] of the item at `index`.
pub fn partial_key(index: u16) -> String {
    format!("{index:05}")
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
                let bundle = key.strip_prefix("claim/")?;
                bundle.parse().ok().map(Self::Claim)
            }
        }
    }
}

impl std::fmt::Display for WorkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Claim(bundle) => write!(f, "claim/{bundle:05}"),
            Self::Head => f.write_str("head"),
            Self::Log => f.write_str("log"),
        }
    }
}
