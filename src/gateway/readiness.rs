//! Whether this gateway should get new connections.

use crate::{
    base::Millis,
    view::{Crashes, Site}, //
};

/// A gateway without the store can't take batches; others may still reach it.
/// After this long without the store it lets the balancer choose those. When
/// none reaches the store the balancer uses all gateways anyway.
const STORE_PATIENCE: Millis = Millis(1_500);

/// Whether the gateway knows enough to serve, and reaches the store.
pub(super) fn is_ready(site: &Site, crashes: &Crashes, now: Millis) -> bool {
    let knows = site.config().is_some() && site.servers_listed() && crashes.are_listed();
    let away = site.store_unreachable_since();
    knows && away.is_none_or(|since| now.since(since) < STORE_PATIENCE)
}
