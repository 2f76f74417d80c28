//! Identifies one run of a process, from its start to its end.

use super::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// The start time of a process in milliseconds since the Unix epoch. A process that
/// replaces another one at the same address has a higher incarnation.
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
