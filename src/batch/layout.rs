//! The tables, parts and keys of the store in which batches are kept.

use crate::base::stable_hash;

/// The table of heads, logs, claims and heartbeats; every runner follows its changes.
pub const WORK: &str = "work";

/// The table of items with their bodies, in chunks; each row is written once.
pub const BODIES: &str = "bodies";

/// The table of [`super::Partial`] outputs of long items, one row for each item.
pub const PARTIALS: &str = "partials";

/// The table of results; each row is written once.
pub const RESULTS: &str = "results";

/// The prefix of the parts of [`WORK`] that contain heartbeats.
const HEARTBEAT_PART_PREFIX: &str = "heartbeats-";

/// How many parts the heartbeats are spread over: the store accepts 200 transactions a
/// second for one part. 3,300 runners write one a second each, and one more after each
/// change; most of them do so at once when they start together.
const HEARTBEAT_PART_COUNT: u64 = 64;

/// The part of [`WORK`] that contains the heartbeat of the runner on `instance`.
pub fn heartbeat_part(instance: &str) -> String {
    let number = stable_hash(&[instance.as_bytes()]) % HEARTBEAT_PART_COUNT;
    format!("{HEARTBEAT_PART_PREFIX}{number:02}")
}

/// Whether `part` contains heartbeats rather than a batch.
pub fn is_heartbeat_part(part: &str) -> bool {
    part.starts_with(HEARTBEAT_PART_PREFIX)
}

/// The part, in each table, with the rows of the batch stored as `id`.
pub fn batch_part(id: &str) -> String {
    format!("batch-{id}")
}

/// The key in [`PARTIALS`] of the item at `index`.
pub fn partial_key(index: u16) -> String {
    format!("{index:05}")
}

/// The key of a row of [`WORK`] in a batch's part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKey {
    /// The claim of the bundle with this index.
    Claim(u16),
    Head,
    Log,
}

impl WorkKey {
    /// Parses the key of a row; `None` for a row that this program does not write.
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
