//! A response body that is read while it arrives.

use super::{
    CallError,
    call_error::{BrokenSnafu, TimeoutSnafu},
    pool::Pool, //
};
use crate::base::Millis;
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::SendRequest, //
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
    pub(super) sender: Option<SendRequest<Full<Bytes>>>,
    /// Until when the connection may be reused.
    pub(super) usable_until: Millis,
}

impl StreamBody {
    /// Waits at most `timeout` for the next bytes; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] when the body was cut off, [`CallError::Timeout`]
    /// when nothing arrived in time.
    pub async fn next(&mut self, timeout: Millis) -> Result<Option<Bytes>, CallError> {
        let address = self.address;
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

    /// Returns the connection to its pool.
    fn release_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender, self.usable_until);
        }
    }
}
