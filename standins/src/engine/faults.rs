//! The faults of a stand-in engine.

use serde::{
    Deserialize,
    Serialize, //
};

/// Faults that an engine injects on request. Counts go down with each use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every n-th cache event is left out; 0 leaves out none.
    pub event_gap: u64,
    /// How late cache events are reported.
    pub event_lag_ms: u64,
    /// How many of the next loads fail halfway and leave mixed weights.
    pub fail_swaps: u32,
    /// How far the load report lags behind.
    pub load_lag_ms: u64,
    /// How many of the next orders are carried out but not answered.
    pub lose_orders: u32,
    /// The running streams go silent; streams begun later work.
    pub mute: bool,
    /// No token is generated, and no request but `/admin/faults` is answered.
    pub paused: bool,
    /// A factor on the time of each decoding step; 0 counts as 1.
    pub slow: u64,
}
