//! Optional behaviour under load.

/// The behaviour under load that a deployment's settings switch on. Without any of it, calls
/// and batches are served as if the parts did not exist.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadFeatures {
    /// Instances tell each other which servers are silent and how much runs where.
    pub conditions: bool,
    /// Connections to servers are limited, and kept where a run is stopped shortly before its
    /// end.
    pub connections: bool,
    /// Texts are handed over when their engine leaves.
    pub handover: bool,
    /// The memory held for callers is limited.
    pub memory: bool,
    /// Calls wait in a queue, or are refused on arrival.
    pub queue: bool,
    /// Servers and engines of different speeds get work accordingly.
    pub uneven: bool,
}

impl LoadFeatures {
    /// The features that are on in `self` or in `other`.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self {
            conditions: self.conditions || other.conditions,
            connections: self.connections || other.connections,
            handover: self.handover || other.handover,
            memory: self.memory || other.memory,
            queue: self.queue || other.queue,
            uneven: self.uneven || other.uneven,
        }
    }
}
