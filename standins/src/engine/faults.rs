//! What goes wrong at an engine on command.

use serde::{
    Deserialize,
    Serialize, //
};

/// The faults in force. The counted ones run out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every which cache event is lost; 0 for none.
    pub event_gap: u64,
    /// How late cache events are told.
    pub event_lag_ms: u64,
    /// Loads that fail partway and leave mixed weights.
    pub fail_swaps: u32,
    /// How far the load report lags behind.
    pub load_lag_ms: u64,
    /// Orders that are done but whose answer is lost.
    pub lose_orders: u32,
    /// The present streams go silent; later ones work.
    pub mute: bool,
    /// Nothing happens and nothing is answered.
    pub paused: bool,
    /// Each decoding step takes this many times as long; 0 means once.
    pub slow: u64,
}
