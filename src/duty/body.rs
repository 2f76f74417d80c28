//! Reads the bodies of requests into memory that is counted.

use super::{
    Connection,
    Memory, //
};
use crate::policy::memory_budget::MemoryRefusal;
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use snafu::Snafu;
use std::sync::Arc;

/// How a body is read.
pub struct BodyReader<'a> {
    /// The connection on which the body arrives.
    pub connection: Option<&'a Arc<Connection>>,
    /// The request's id.
    pub id: &'a str,
    /// The maximum size in bytes.
    pub limit: usize,
    pub memory: &'a Arc<Memory>,
    /// The bytes of memory that the request takes for a body of this many bytes.
    pub price: fn(usize) -> usize,
    /// Empty for a caller without one.
    pub workspace: &'a str,
}

/// Why a body was not read. The request has not run.
#[derive(Debug, Snafu)]
pub enum BodyError {
    #[snafu(display("the body broke off"))]
    Broken { source: hyper::Error },
    #[snafu(display("the body stopped arriving"))]
    Cut,
    #[snafu(display("no memory for the body"))]
    Refused { refusal: MemoryRefusal },
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge { limit: usize },
}

/// The first reservation for a body whose length is unknown, in bytes.
const FIRST_BYTES: usize = 16 * 1024;

/// A body of more bytes gets a larger receive window while it arrives.
const WINDOW_BYTES: usize = 64 * 1024;

impl BodyReader<'_> {
    /// Reads a request's body, which counts as held until it is dropped. A body that doesn't fit
    /// is refused before it is read, or, if its length wasn't announced, when it can't grow. One
    /// that stops arriving while memory is short is given up.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let limit = self.limit;
        let announced = body.size_hint().exact().map(|bytes| bytes as usize);
        if announced == Some(0) {
            let checked = self.memory.check_room();
            return checked.map(|()| Bytes::new()).map_err(refused);
        }
        if announced.is_some_and(|bytes| bytes > limit) {
            return TooLargeSnafu { limit }.fail();
        }
        let first = announced.unwrap_or(FIRST_BYTES.min(limit));
        let client = self.connection.and_then(|connection| connection.client());
        let price = (self.price)(first);
        let reserved = self
            .memory
            .reserve_upload(price, self.id, client, self.workspace);
        let (mut hold, upload) = reserved.map_err(refused)?;
        let _arriving = self.connection.map(Connection::expect_body);
        let mut content = BytesMut::with_capacity(first);
        let mut room = first;
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = upload.cut() => return CutSnafu.fail(),
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|source| BodyError::Broken { source })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            upload.add(data.len());
            let length = content.len() + data.len();
            if length > limit {
                return TooLargeSnafu { limit }.fail();
            }
            if length > room {
                room = length.max(room * 2).min(limit);
                hold.grow((self.price)(room)).map_err(refused)?;
                content.reserve(room - content.len());
            }
            content.extend_from_slice(&data);
            if room > WINDOW_BYTES
                && let Some(connection) = self.connection
            {
                connection.widen();
            }
        }
        hold.set_arrived();
        Ok(hold.attach(content.freeze()))
    }
}

fn refused(refusal: MemoryRefusal) -> BodyError {
    BodyError::Refused { refusal }
}
