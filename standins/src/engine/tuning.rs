//! How fast a stand-in engine is.

use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// An engine's measures.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Tuning {
    /// Prefix blocks that the cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Sequences in a batch at most.
    pub max_batch: usize,
    /// Models held at once.
    pub max_models: usize,
    /// The time of one decoding step, in microseconds, for an empty batch.
    pub step_us: u64,
    /// What each sequence of the batch adds to it.
    pub step_each_us: u64,
    /// The time to take in one block of a prompt that is not cached.
    pub prefill_us: u64,
    /// How long a load takes beside the copy from the weight store.
    pub swap_ms: u64,
    /// The weight store; without one every version is at hand.
    pub weights: Option<SocketAddr>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            cache_blocks: 512,
            checks_fence: true,
            max_batch: 8,
            max_models: 4,
            step_us: 3_000,
            step_each_us: 250,
            prefill_us: 500,
            swap_ms: 60,
            weights: None,
        }
    }
}
