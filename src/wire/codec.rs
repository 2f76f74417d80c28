//! Encoding of messages as length-prefixed postcard frames.
//!
//! A frame is the length of the rest (u32, little endian), one byte with the protocol
//! version, and a postcard value.

use super::{
    MessageError,
    message_error::{LengthSnafu, MalformedSnafu, TrailingSnafu, VersionSnafu}, //
};
use bytes::{
    Buf,
    BufMut,
    BytesMut, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use snafu::{
    ResultExt,
    ensure, //
};

/// The largest frame that is accepted or sent, in bytes after the length prefix.
pub const MAX_FRAME: usize = 256 * 1024;

/// The size of a frame's length prefix.
const LENGTH_BYTES: usize = 4;

/// The only protocol version that this release reads and writes.
const PROTOCOL_VERSION: u8 = 1;

/// Removes the first frame from `buffer` and decodes it; `None` until the frame is
/// complete.
///
/// Allocates nothing for an announced length: the buffer grows only by the bytes that
/// have arrived, and a length over [`MAX_FRAME`] is an error at once.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, MessageError> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }

    let mut prefix = [0; LENGTH_BYTES];
    prefix.copy_from_slice(&buffer[..LENGTH_BYTES]);
    let length = u32::from_le_bytes(prefix) as usize;
    ensure!(
        (1..=MAX_FRAME).contains(&length),
        LengthSnafu {
            length,
            limit: MAX_FRAME,
        }
    );
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }

    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let version = body[0];
    ensure!(
        version == PROTOCOL_VERSION,
        VersionSnafu {
            expected: PROTOCOL_VERSION,
            version,
        }
    );
    let (value, rest) = postcard::take_from_bytes(&body[1..]).context(MalformedSnafu { length })?;
    ensure!(rest.is_empty(), TrailingSnafu { extra: rest.len() });
    Ok(Some(value))
}

/// Appends `value` to `buffer` as one frame. An error leaves `buffer` unchanged.
pub fn encode<T: Serialize>(value: &T, buffer: &mut BytesMut) -> Result<(), MessageError> {
    let start = buffer.len();
    buffer.put_u32_le(0);
    buffer.put_u8(PROTOCOL_VERSION);

    let written = postcard::to_io(value, (&mut *buffer).writer()).map(|_| ());
    let length = buffer.len() - start - LENGTH_BYTES;
    let checked = written
        .context(MalformedSnafu { length })
        .and_then(|()| check_length(length));
    if checked.is_err() {
        buffer.truncate(start);
        return checked;
    }

    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Checks the length of an outgoing frame.
fn check_length(length: usize) -> Result<(), MessageError> {
    ensure!(
        length <= MAX_FRAME,
        LengthSnafu {
            length,
            limit: MAX_FRAME,
        }
    );
    Ok(())
}
