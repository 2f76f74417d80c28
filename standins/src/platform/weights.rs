//! The rate-limited weight store.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Duration, //
};
use tokio::sync::Semaphore;

/// Published weights, copied out at a bounded rate.
#[derive(Debug)]
pub struct Weights {
    copy_time: Duration,
    published: Mutex<BTreeSet<(String, u64)>>,
    copy_permits: Semaphore,
}

impl Weights {
    /// A store in which `slots` copies go on at once, each taking `copy`.
    pub fn new(max_copies: usize, copy_time: Duration) -> Self {
        Self {
            copy_time,
            published: Mutex::default(),
            copy_permits: Semaphore::new(max_copies),
        }
    }

    /// Copies weights out; false when there are none.
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

    /// Makes weights available.
    pub fn publish(&self, model: &str, version: u64) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        published.insert((model.to_owned(), version));
    }
}
