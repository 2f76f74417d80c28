//! Finds out whether the store answers this process itself, while another instance tells
//! it what changes.

use super::Site;
use crate::{
    base::Millis,
    relay::Relay,
    store::StoreError, //
};
use std::sync::Arc;

/// How often the store is asked: a process that it does not answer leaves its callers to
/// others within two such times.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// The wait after a question that found no answer. The next one waits by itself for a store
/// that is away, and callers are turned away until it is answered.
const RETRY_DELAY: Millis = Millis(20);

/// Looks for good.
pub async fn watch_store(site: Arc<Site>, relay: Arc<Relay>) {
    loop {
        // Who asks the store for changes learns it from them.
        let result = match relay.has_parent() {
            true => relay.store().ask().await,
            false => Ok(()),
        };
        site.set_store_reachable(result.is_ok());
        let wait = match result {
            Err(StoreError::Unreachable | StoreError::Unknown { .. }) => RETRY_DELAY,
            Ok(()) | Err(_) => CHECK_INTERVAL,
        };
        tokio::time::sleep(wait.as_duration()).await;
    }
}
