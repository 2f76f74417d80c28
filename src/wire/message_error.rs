//! Why bytes from a peer are no message.

use snafu::Snafu;

/// A peer sent something that this release can't read; its link is closed.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MessageError {
    #[snafu(display("a message of {length} bytes is over the limit of {limit}"))]
    Length { length: usize, limit: usize },
    #[snafu(display("a message of {length} bytes does not decode: {source}"))]
    Malformed {
        length: usize,
        source: postcard::Error,
    },
    #[snafu(display("{extra} bytes are left over behind a message"))]
    Trailing { extra: usize },
    #[snafu(display("version {version} of the protocol is unknown, expected {expected}"))]
    Version { expected: u8, version: u8 },
}
