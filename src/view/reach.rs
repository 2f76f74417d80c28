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
const EVERY: Millis = Millis(1_000);

/// The wait after a question that found no answer. The next one waits by itself for a store
/// that is away, and callers are turned away until it is answered.
const AGAIN: Millis = Millis(20);

/// Looks for good.
pub async fn watch_reach(site: Arc<Site>, relay: Arc<Relay>) {
    loop {
        // Who asks the store for changes learns it from them.
        let asked = match relay.is_fed() {
            true => relay.store().check_reachable().await,
            false => Ok(()),
        };
        site.set_reached(asked.is_ok());
        let wait = match asked {
            Err(StoreError::Away | StoreError::Unknown { .. }) => AGAIN,
            Ok(()) | Err(_) => EVERY,
        };
        tokio::time::sleep(wait.as_duration()).await;
    }
}
