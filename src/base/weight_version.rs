//! Versions of a model's weights.

use serde::{
    Deserialize,
    Serialize, //
};

/// The version of a model's weights. A trainer publishes versions in ascending order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WeightVersion(pub u64);

impl WeightVersion {
    /// The number of versions by which this one is behind `newer`; zero if it is not behind.
    pub fn behind(self, newer: Self) -> u64 {
        newer.0.saturating_sub(self.0)
    }
}
