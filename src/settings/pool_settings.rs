//! The shared settings of a pool of backend servers.

use super::{
    BackendKind,
    Reader, //
};

/// The settings at `pools/NAME`.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    pub kind: BackendKind,
    /// The maximum number of engines of the pool that swap weights at the same time.
    pub max_swaps: usize,
}

impl PoolSettings {
    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let kinds = [
            ("engine", BackendKind::Engine),
            ("service", BackendKind::Service),
        ];
        Self {
            kind: reader.choice("kind", &kinds, None).unwrap_or_default(),
            max_swaps: reader.number("wave", 1..=10_000, Some(3)) as usize,
        }
    }
}
