//! What goes wrong at the platform on command.

use serde::{
    Deserialize,
    Serialize, //
};

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to every answer of table, objects and list.
    pub delay_ms: u64,
    /// How long the instance list lags behind.
    pub lag_ms: u64,
    /// The answers to the next writes are lost after the writes took effect.
    pub lose_answers: u32,
    /// Nothing answers.
    pub outage: bool,
}
