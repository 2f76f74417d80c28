//! The speed and the limits of a stand-in engine.

use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// An engine's timings, limits and options.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Tuning {
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// The maximum number of sequences in a batch.
    pub max_batch: usize,
    /// The maximum number of models loaded at once.
    pub max_models: usize,
    /// The base time of one decoding step, in microseconds.
    pub step_us: u64,
    /// The time that each sequence of the batch adds to a step, in microseconds.
    pub step_each_us: u64,
    /// The prefill time of each prompt block that isn't cached, in microseconds.
    pub prefill_us: u64,
    /// The time of a load after the copy from the weight store, in milliseconds.
    pub swap_ms: u64,
    /// The weight store; without one, every version loads without a copy.
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
