//! Finds out whether the store answers this process itself, while another instance tells
//! it what changes.

use super::Site;
use crate::{
    base::Millis,
    relay::Relay, //
};
use std::sync::Arc;

/// How often the store is asked: a process that it does not answer leaves its callers to
/// others within two such times.
const EVERY: Millis = Millis(1_000);

/// Looks for good.
pub async fn watch_reach(site: Arc<Site>, relay: Arc<Relay>) {
    loop {
        tokio::time::sleep(EVERY.as_duration()).await;
        // Who asks the store for changes learns it from them.
        let reached = !relay.is_fed() || relay.store().is_reached().await;
        site.set_reached(reached);
    }
}
