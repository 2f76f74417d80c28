//! Why a request got no whole answer.

use crate::base::{
    Millis,
    Verdict, //
};
use snafu::Snafu;
use std::net::SocketAddr;

/// A request got no whole answer from its peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// The connection broke while the answer was awaited or read.
    #[snafu(display("{address}: the connection broke: {source}"))]
    Broken {
        address: SocketAddr,
        source: hyper::Error,
    },
    /// No connection came about, so the peer saw nothing of the request.
    #[snafu(display("{address}: can't connect: {message}"))]
    Connect {
        address: SocketAddr,
        message: String,
        /// Whether the peer's system answered that nothing listens there.
        refused: bool,
    },
    /// The answer was larger than this program takes.
    #[snafu(display("{address}: the answer exceeds {limit} bytes"))]
    TooLarge { address: SocketAddr, limit: usize },
    /// The peer stayed silent.
    #[snafu(display("{address}: no answer within {timeout}"))]
    Timeout {
        address: SocketAddr,
        timeout: Millis,
    },
}

impl CallError {
    /// Whether nothing listens at the peer's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { refused: true, .. })
    }

    /// Whether the peer may have acted on the request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. } => Verdict::NotRun,
            Self::Broken { .. } | Self::Timeout { .. } | Self::TooLarge { .. } => {
                Verdict::MayHaveRun
            }
        }
    }
}
