//! Why the platform did not do what it was asked.

use super::HttpError;
use snafu::Snafu;

/// A request to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PlatformError {
    #[snafu(display("the platform's answer to `{path}` is not understood: {source}"))]
    InvalidMessage {
        path: String,
        source: serde_json::Error,
    },
    #[snafu(display("the platform answered `{path}` with status {status}"))]
    Status { path: String, status: u16 },
    #[snafu(display("the platform can't be reached: {source}"))]
    Unreachable { source: HttpError },
}
