//! The platform's balancer: callers and trainers reach any entry through it.

use std::{
    net::SocketAddr,
    sync::{
        PoisonError,
        RwLock,
        atomic::{AtomicUsize, Ordering}, //
    },
};

/// The entries that take calls, in turn.
#[derive(Debug, Default)]
pub struct Balancer {
    entries: RwLock<Vec<SocketAddr>>,
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

    /// Adds an entry.
    pub fn add(&self, entry: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.push(entry);
    }

    /// The next entry in turn; none when there are none.
    pub fn next(&self) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        let index = next_index.checked_rem(entries.len())?;
        Some(entries[index])
    }

    /// Takes an entry out.
    pub fn remove(&self, entry: SocketAddr) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|one| *one != entry);
    }
}
