//! Settings of the behaviour under load.

use super::Reader;
use crate::{
    platform,
    policy::load_features::LoadFeatures, //
};

/// What the instance allows the process to use; `None` where the settings don't say, and the
/// defaults apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceLimits {
    /// Open file descriptors.
    pub descriptors: Option<usize>,
    /// Memory in bytes.
    pub memory: Option<usize>,
}

/// The memory of an instance whose settings name none, in bytes.
const DEFAULT_MEMORY: usize = 512 * 1024 * 1024;

/// The descriptors of an instance whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 8_200;

impl InstanceLimits {
    /// The memory that the process may use, in bytes.
    pub fn memory(&self) -> usize {
        self.memory.unwrap_or(DEFAULT_MEMORY)
    }

    /// The descriptors that the process may open.
    pub fn descriptors(&self) -> usize {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS)
    }

    pub(super) fn read(reader: &Reader<'_>) -> Self {
        let section = reader.section("limits");
        let number = |key: &str, range| {
            let value = section.number(key, range, Some(0));
            section.has(key).then_some(value as usize)
        };
        let limits = Self {
            descriptors: number("descriptors", 256..=16_777_216),
            memory: number("memory_mb", 32..=1_048_576).map(|mb| mb * 1024 * 1024),
        };
        section.finish();
        limits
    }
}

/// Reads which behaviour under load is on: what the section `overload` names, and what the
/// guarantees call for.
pub(super) fn read_features(reader: &Reader<'_>) -> LoadFeatures {
    let section = reader.section("overload");
    let flag = |key: &str| section.value(key, "true or false", Some(false));
    let named = LoadFeatures {
        conditions: flag("conditions"),
        connections: flag("connections"),
        handover: flag("handover"),
        memory: flag("memory"),
        queue: flag("queue"),
        uneven: flag("uneven"),
    };
    section.finish();
    let guarantees = match reader.has("guarantees") {
        true => reader.texts("guarantees"),
        false => Vec::new(),
    };
    named.union(platform::load_features(&guarantees))
}
