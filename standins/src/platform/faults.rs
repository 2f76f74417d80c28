//! The faults of the stand-in platform.

use serde::{
    Deserialize,
    Serialize, //
};

/// Faults that the platform injects on request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to each request to the table, the objects and the instance list.
    pub delay_ms: u64,
    /// How far the instance list lags behind.
    pub lag_ms: u64,
    /// How many of the next table transactions take effect but get no answer.
    pub lose_answers: u32,
    /// Requests to the table, the objects and the instance list get no answer.
    pub outage: bool,
}
