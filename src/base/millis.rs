//! Points in time and durations.

use serde::{
    Deserialize,
    Serialize, //
};
use std::ops::{
    Add,
    Sub, //
};

/// A duration in milliseconds, or a point in time: milliseconds since the Unix epoch, or
/// since the machine booted (see [`super::Clock::boottime`]).
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The duration as the standard library's type, for timers.
    pub fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// The time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
