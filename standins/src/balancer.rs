//! A stand-in for the platform's load balancer in front of the entries.

use std::{
    net::SocketAddr,
    sync::{
        PoisonError,
        RwLock,
        atomic::{AtomicUsize, Ordering}, //
    },
};

/// Picks the entry for a call or trainer request, round robin.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: RwLock<Vec<SocketAddr>>,
    /// Counts up; taken modulo the number of entries.
    next_index: AtomicUsize,
}

impl Balancer {
    /// A balancer over `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: RwLock::new(entries),
            next_index: AtomicUsize::new(0),
        }
    }

    /// Adds an entry to the rotation.
    pub fn add(&self, entry: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.push(entry);
    }

    /// The entry for the next request; `None` without entries.
    pub fn next(&self) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let index = next_index.checked_rem(entries.len())?;
        Some(entries[index])
    }

    /// Stops sending requests to an entry.
    pub fn remove(&self, entry: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|one| *one != entry);
    }
}
