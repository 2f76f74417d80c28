//! The gateway's readiness check, by which the balancer selects gateways.

use super::lag::LagWatch;
use crate::{
    base::Millis,
    view::{Crashes, Site}, //
};

/// How long the store may be unreachable before the gateway reports that it is not
/// ready. It can't accept batches then, but other gateways may still reach the store.
/// When no gateway is ready, the balancer uses all of them.
const STORE_UNREACHABLE_LIMIT: Millis = Millis(1_500);

/// Whether the gateway has read the configuration, the servers and the crashes, the store
/// has not been unreachable for too long, and the event loop does not lag.
pub(super) fn is_ready(
    site: &Site,
    crashes: &Crashes,
    lag: Option<&LagWatch>,
    now: Millis,
) -> bool {
    let has_state = site.config().is_some() && site.servers_listed() && crashes.are_listed();
    let unreachable_since = site.store_unreachable_since();
    let keeps_up = lag.is_none_or(LagWatch::is_ready);
    has_state
        && keeps_up
        && unreachable_since.is_none_or(|since| now.since(since) < STORE_UNREACHABLE_LIMIT)
}
