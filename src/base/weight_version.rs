//! The number of a set of weights.

use serde::{
    Deserialize,
    Serialize, //
};

/// A model's weight version; a trainer publishes them in rising order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WeightVersion(pub u64);

impl WeightVersion {
    /// How many versions `newer` is ahead of this one.
    pub fn behind(self, newer: Self) -> u64 {
        newer.0.saturating_sub(self.0)
    }
}
