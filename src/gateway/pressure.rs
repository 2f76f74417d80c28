//! What protects a gateway from more callers than its instance can bear.

use super::lag::LagWatch;
use crate::{
    base::Clock,
    duty::{HttpLimits, Memory, SMALL_BUFFER},
    platform::Store,
    policy::memory_budget::{connections_in_memory, max_connections},
    settings::SiteSettings, //
};
use std::sync::Arc;

/// The protections of a gateway: its memory, and what the settings switch on.
#[derive(Clone)]
pub(super) struct Pressure {
    pub(super) lag: Option<Arc<LagWatch>>,
    pub(super) memory: Arc<Memory>,
}

/// The send buffer of a caller's connection, in bytes. By itself, Linux buffers up to 4 MB for a
/// reader that takes nothing, outside of the budget. This is enough for 25 Mbit/s on each
/// connection over a round trip of 40 ms.
const SEND_BUFFER: usize = 128 * 1024;

impl Pressure {
    /// The protections for a gateway with these settings.
    pub(super) fn open(settings: &SiteSettings, store: &Store, clock: Clock) -> Self {
        let watched = settings.features.memory;
        let lag = watched.then(|| LagWatch::open(&settings.instance, store.clone(), clock));
        Self {
            lag,
            memory: Memory::open(settings.limits.memory(), clock),
        }
    }

    /// The limits of the callers' listener.
    pub(super) fn http_limits(settings: &SiteSettings, limits: HttpLimits) -> HttpLimits {
        let own = settings.limits;
        let descriptors = max_connections(own.descriptors());
        HttpLimits {
            max_connections: descriptors.min(connections_in_memory(own.memory())),
            receive_buffer: Some(SMALL_BUFFER),
            send_buffer: Some(SEND_BUFFER),
            ..limits
        }
    }

    /// Starts the tasks of the protections on the event loop that answers callers.
    pub(super) fn start(&self) {
        if let Some(lag) = &self.lag {
            tokio::spawn(lag.clone().run());
        }
        tokio::spawn(self.memory.clone().run());
    }
}
