//! Which life of an instance a message comes from.

use super::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// The start time of a process in milliseconds: a replacement at the same
/// address has a higher one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a process that starts at `now`.
    pub fn started_at(now: Millis) -> Self {
        Self(now.0)
    }
}
