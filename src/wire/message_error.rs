//! Errors of encoding and decoding messages.

use snafu::Snafu;

/// Why a frame can't be decoded or encoded. A link on which such a frame is received is
/// closed.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MessageError {
    /// The length is zero or over the limit.
    #[snafu(display("a message of {length} bytes: the length must be 1 to {limit}"))]
    Length { length: usize, limit: usize },
    #[snafu(display("a message of {length} bytes is malformed: {source}"))]
    Malformed {
        length: usize,
        source: postcard::Error,
    },
    #[snafu(display("{extra} bytes follow the value in a message"))]
    Trailing { extra: usize },
    #[snafu(display("protocol version {version} is not supported, expected {expected}"))]
    Version { expected: u8, version: u8 },
}
