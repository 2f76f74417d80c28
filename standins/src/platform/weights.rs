//! The weight store, with a limit on concurrent copies.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration, //
};
use tokio::sync::Semaphore;

/// The published weight versions. The store holds no weights and only simulates the time of
/// copies.
#[derive(Debug)]
pub struct Weights {
    /// How long one copy takes.
    copy_time: Duration,
    /// Models and their published versions.
    published: Mutex<BTreeSet<(String, u64)>>,
    copy_permits: Semaphore,
}

impl Weights {
    /// A store that runs up to `max_copies` copies at once, each taking `copy_time`.
    pub fn new(max_copies: usize, copy_time: Duration) -> Self {
        Self {
            copy_time,
            published: Mutex::default(),
            copy_permits: Semaphore::new(max_copies),
        }
    }

    /// Waits for a permit and for the time of a copy; false if the version was not
    /// published.
    pub async fn copy(&self, model: &str, version: u64) -> bool {
        let key = (model.to_owned(), version);
        let known = {
            let published = self.published.lock();
            published
                .unwrap_or_else(PoisonError::into_inner)
                .contains(&key)
        };
        if !known {
            return false;
        }
        let Ok(_permit) = self.copy_permits.acquire().await else {
            return false;
        };
        tokio::time::sleep(self.copy_time).await;
        true
    }

    /// Makes a version available.
    pub fn publish(&self, model: &str, version: u64) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        published.insert((model.to_owned(), version));
    }
}
