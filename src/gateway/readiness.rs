//! Whether this gateway should get new connections.

use crate::{
    base::Millis,
    view::{Crashes, Site}, //
};

/// A gateway without the store can't take batches; others may still reach it.
/// After this long without the store it lets the balancer choose those. When
/// none reaches the store the balancer uses all gateways anyway.
const STORE_UNREACHABLE_LIMIT: Millis = Millis(1_500);

/// Whether the gateway knows enough to serve, and reaches the store.
pub(super) fn is_ready(site: &Site, crashes: &Crashes, now: Millis) -> bool {
    let has_state = site.config().is_some() && site.servers_listed() && crashes.are_listed();
    let unreachable_since = site.store_away_since();
    has_state && unreachable_since.is_none_or(|since| now.since(since) < STORE_UNREACHABLE_LIMIT)
}
