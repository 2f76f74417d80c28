//! A kept connection on which nothing is under way.

use crate::base::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// A connection that may carry the next request.
pub(super) struct IdleConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) idle_since: Millis,
    /// After this the peer may close it at any moment.
    pub(super) usable_until: Millis,
}

/// How long a connection is kept when its peer names no time: three of the
/// users' steps, which come every 4 s. With one step's time each step opened its
/// connections anew, about 1,000 a day instead of 440.
pub(super) const DEFAULT_KEEP_ALIVE: Millis = Millis(12_000);

/// A connection that was idle for longer carries no request that must run at
/// most once: backend servers close idle connections on their own, and a
/// request that crosses such a close may or may not have run.
pub(super) const FRESH_MAX_IDLE: Millis = Millis(1_000);

/// A connection is left alone this long before its peer's announced timeout,
/// so that a request sent over it doesn't cross the close.
pub(super) const KEEP_ALIVE_MARGIN: Millis = Millis(700);

/// Until when a connection may be used, by the `Keep-Alive` header of the last
/// answer on it.
pub(super) fn usable_until(now: Millis, headers: &hyper::HeaderMap) -> Millis {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_timeout);
    let keep = announced.map_or(DEFAULT_KEEP_ALIVE, |timeout| timeout - KEEP_ALIVE_MARGIN);
    now + keep
}

fn keep_alive_timeout(value: &str) -> Option<Millis> {
    value.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        let seconds: u64 = seconds.trim().parse().ok()?;
        Some(Millis(seconds.saturating_mul(1_000)))
    })
}

/// Whether the peer closes the connection after this answer.
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
