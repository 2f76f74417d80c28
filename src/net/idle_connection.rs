//! An idle keep-alive connection, and how long it may be reused.

use super::connection::Connection;
use crate::base::Millis;

/// A connection without a request in flight, kept for the next one.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) idle_since: Millis,
    /// The peer may close the connection at any moment after this.
    pub(super) usable_until: Millis,
}

/// How long an idle connection is reused if the peer announces no keep-alive timeout. Training
/// steps begin every 4 s, so this is three steps; with 4 s each step opened new connections.
pub(super) const DEFAULT_KEEP_ALIVE: Millis = Millis(12_000);

/// How long a connection may have been idle to carry a request that must run at most once.
/// Backend servers close idle connections, and a request that is sent while the server
/// closes its connection may or may not have run.
pub(super) const MAX_FRESH_IDLE: Millis = Millis(1_000);

/// How long before the peer's announced keep-alive timeout a connection is no longer
/// reused, so that no request is sent while the peer closes it.
pub(super) const KEEP_ALIVE_MARGIN: Millis = Millis(700);

/// Until when a connection may be reused, by the `Keep-Alive` header of the last response
/// on it.
pub(super) fn usable_until(now: Millis, headers: &hyper::HeaderMap) -> Millis {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_timeout);
    let keep = announced.map_or(DEFAULT_KEEP_ALIVE, |timeout| timeout - KEEP_ALIVE_MARGIN);
    now + keep
}

/// The timeout that a `Keep-Alive` header announces.
fn keep_alive_timeout(value: &str) -> Option<Millis> {
    value.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        let seconds: u64 = seconds.trim().parse().ok()?;
        Some(Millis(seconds.saturating_mul(1_000)))
    })
}

/// Whether the peer closes the connection after the response with these headers.
pub(super) fn closes_connection(headers: &hyper::HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    values
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| {
            value
                .split(',')
                .any(|word| word.trim().eq_ignore_ascii_case("close"))
        })
}
