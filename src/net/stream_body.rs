//! The body of an answer that is read while it arrives.

use super::{
    CallError,
    call_error::BrokenSnafu,
    call_error::TimeoutSnafu,
    peer::IdlePool, //
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

/// A body being read. Dropping it before its end closes the connection, which
/// tells the peer to stop its work.
pub struct StreamBody {
    pub(super) address: SocketAddr,
    pub(super) body: Incoming,
    /// Where the connection goes back to once the body has ended.
    pub(super) pool: Arc<IdlePool>,
    /// `None` once it was given back, or when the peer closes it.
    pub(super) sender: Option<SendRequest<Full<Bytes>>>,
    pub(super) usable_until: Millis,
}

impl StreamBody {
    /// The next bytes, waited for at most `within`; `None` at the body's end.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] when the body was cut off, [`CallError::Timeout`]
    /// when nothing came.
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
            let frame = frame.context(BrokenSnafu { address })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn release_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(sender, self.usable_until);
        }
    }
}
