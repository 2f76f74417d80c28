//! Checks whether the store answers this process directly, while it gets changes from a
//! parent.

use super::Site;
use crate::{
    base::Millis,
    relay::Relay,
    store::StoreError, //
};
use std::sync::Arc;

/// How often a child checks the store. A gateway that the store doesn't answer stops
/// accepting callers within two intervals.
const CHECK_INTERVAL: Millis = Millis(1_000);

/// The delay after a check without an answer. It is short, as callers are rejected until
/// a check succeeds, and the next check itself waits for an unreachable store.
const RETRY_DELAY: Millis = Millis(20);

/// Records in `site` whether the store answers this process, until the program ends.
pub async fn watch_store(site: Arc<Site>, relay: Arc<Relay>) {
    loop {
        // A process that reads the store itself notices when its calls for changes fail.
        let result = match relay.has_parent() {
            true => relay.store().check_reachable().await,
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
