//! Errors of requests to the platform.

use super::HttpError;
use snafu::Snafu;

/// Why a request to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    /// The body of the answer does not decode. Also used for a request that does not
    /// encode.
    #[snafu(display("the platform's answer to `{path}` does not decode: {source}"))]
    InvalidMessage {
        path: String,
        source: serde_json::Error,
    },
    /// The status of the answer is not one that the request allows for.
    #[snafu(display("the platform answered `{path}` with status {status}"))]
    Status { path: String, status: u16 },
    /// No complete answer came.
    #[snafu(display("the platform can't be reached: {source}"))]
    Unreachable { source: HttpError },
}
