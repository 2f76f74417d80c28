//! Errors of requests to a peer.

use super::{
    InvalidAnswer,
    matching::Mismatch, //
};
use crate::base::{
    Millis,
    Verdict, //
};
use snafu::Snafu;
use std::{
    io,
    net::SocketAddr, //
};

/// Why a request got no complete response from its peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// The connection broke while the response was awaited or read.
    #[snafu(display("{address}: the connection broke: {source}"))]
    Broken {
        address: SocketAddr,
        /// Whether the peer probably reset the connection because it has too many.
        over_limit: bool,
        /// Whether the peer reset the connection before it began to answer. A process that
        /// ends closes the connections whose requests it has read; the operating system
        /// resets the others, also those that the process never accepted.
        unread: bool,
        source: hyper::Error,
    },
    /// No connection could be opened or became free in time, so the peer never received the
    /// request.
    #[snafu(display("{address}: can't connect: {message}"))]
    Connect {
        address: SocketAddr,
        message: String,
        /// Whether the peer probably reset the connection because it has too many.
        over_limit: bool,
        /// Whether the peer's operating system refused the connection: nothing listens there.
        refused: bool,
    },
    /// The response doesn't name this request, so it may belong to another one.
    #[snafu(display("{address}: {reason}"))]
    Foreign {
        address: SocketAddr,
        reason: Mismatch,
    },
    /// The response is not the answer of a server.
    #[snafu(display("{address}: {reason}"))]
    Invalid {
        address: SocketAddr,
        reason: InvalidAnswer,
    },
    /// The response was larger than `limit` bytes.
    #[snafu(display("{address}: the answer exceeds {limit} bytes"))]
    TooLarge { address: SocketAddr, limit: usize },
    /// The peer did not answer in time.
    #[snafu(display("{address}: no answer within {timeout}"))]
    Timeout {
        address: SocketAddr,
        timeout: Millis,
    },
    /// The request was not sent, as it may not be sent any more.
    #[snafu(display("{address}: not sent any more"))]
    Withdrawn { address: SocketAddr },
}

impl CallError {
    /// Whether the connection was refused because nothing listens at the peer's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { refused: true, .. })
    }

    /// Whether the peer probably reset the connection because it has too many. Another
    /// connection that breaks as soon is that of a request that crashes its server.
    pub fn is_over_limit(&self) -> bool {
        matches!(
            self,
            Self::Broken {
                over_limit: true,
                ..
            } | Self::Connect {
                over_limit: true,
                ..
            }
        )
    }

    /// Whether the peer may have run the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } | Self::Withdrawn { .. } => Verdict::NotRun,
            Self::Broken { .. }
            | Self::Foreign { .. }
            | Self::Invalid { .. }
            | Self::Timeout { .. }
            | Self::TooLarge { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Whether a connection failed because the peer reset it.
pub(super) fn is_reset(error: &hyper::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::BrokenPipe
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::ConnectionReset
            );
        }
        cause = error.source();
    }
    false
}
