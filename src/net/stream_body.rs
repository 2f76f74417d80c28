//! A response body that is read while it arrives.

use super::{
    CallError,
    call_error::{BrokenSnafu, TimeoutSnafu},
    connection::Connection,
    pool::Pool, //
};
use crate::base::Millis;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use snafu::ResultExt;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// A response body being read. Dropping it before its end closes the connection, which
/// tells the peer to stop running the request.
pub struct StreamBody {
    pub(super) address: SocketAddr,
    pub(super) body: Incoming,
    /// The pool that the connection returns to at the end of the body.
    pub(super) pool: Arc<Pool>,
    /// The connection; `None` once it is back in the pool, or if the peer is going to close it.
    pub(super) connection: Option<Connection>,
    /// Until when the connection may be reused.
    pub(super) usable_until: Millis,
}

/// The most bytes that are read of a body that nobody needs: several times a refusal's.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

impl StreamBody {
    /// Waits at most `timeout` for the next bytes; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] when the body was cut off, [`CallError::Timeout`]
    /// when nothing arrived in time.
    pub async fn next(&mut self, timeout: Millis) -> Result<Option<Bytes>, CallError> {
        let address = self.address;
        // A timer doesn't end the wait for a body that always has more bytes.
        if timeout == Millis(0) {
            return TimeoutSnafu { address, timeout }.fail();
        }
        loop {
            let frame = tokio::time::timeout(timeout.as_duration(), self.body.frame()).await;
            let Ok(frame) = frame else {
                return TimeoutSnafu { address, timeout }.fail();
            };
            let Some(frame) = frame else {
                self.release_connection();
                return Ok(None);
            };
            let frame = frame.context(BrokenSnafu {
                address,
                over_limit: false,
                unread: false,
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// The length that the head announces; 0 if it announces none.
    pub(super) fn announced(&self) -> usize {
        self.body.size_hint().exact().unwrap_or(0) as usize
    }

    /// Reads and discards the rest of the body, so that its connection can be used again. A
    /// body that takes longer than `timeout`, or has more than 64 KB, costs
    /// its connection.
    pub async fn discard(mut self, timeout: Millis) {
        let mut bytes = 0;
        let reading = async {
            while let Ok(Some(part)) = self.next(timeout).await {
                bytes += part.len();
                if bytes > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(timeout.as_duration(), reading).await;
    }

    /// Returns the connection to its pool.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection, self.usable_until);
        }
    }
}
