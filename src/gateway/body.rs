//! Answers callers whose bodies can't be read.

use super::reply;
use crate::{
    duty::{Answer, BodyError, Connection, Memory},
    policy::memory_budget::HeldKind, //
};
use hyper::{
    StatusCode,
    Version,
    header::{CONNECTION, HeaderValue},
    http::request::Parts, //
};
use std::sync::Arc;

/// The bytes of memory that a call takes for a body of `bytes`.
pub(super) fn call_price(bytes: usize) -> usize {
    bytes
}

/// The bytes of memory that a batch takes for a body of `bytes`: its items are decoded,
/// encoded and sent to the store in parts.
pub(super) fn batch_price(bytes: usize) -> usize {
    bytes + 4 * bytes.min(MAX_PART_BYTES)
}

/// The most bytes of a body that are in one request to the store.
const MAX_PART_BYTES: usize = 1024 * 1024;

/// The response to the request `id`, whose body was not read to its end.
pub(super) fn refuse(error: &BodyError, id: &str, memory: &Memory) -> Answer {
    match error {
        BodyError::Broken { source } => {
            tracing::debug!(error = %source, "request body could not be read");
            reply::status(StatusCode::BAD_REQUEST, "the body broke off")
        }
        BodyError::Cut => reply::status(StatusCode::REQUEST_TIMEOUT, "the body stopped arriving"),
        BodyError::Refused { refusal } => {
            let wait = memory.refuse(id, HeldKind::Body, *refusal);
            reply::refusal(wait, "no memory for the body")
        }
        BodyError::TooLarge { .. } => {
            reply::status(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
    }
}

/// Has the connection of a request closed after `answer`, as the request's body was not read
/// to its end.
pub(super) fn close_unread(head: &Parts, answer: &mut Answer) {
    if head.version <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
        if let Some(connection) = head.extensions.get::<Arc<Connection>>() {
            connection.linger();
        }
    }
}

/// The response to a request whose body did not arrive by its deadline.
pub(super) fn too_late() -> Answer {
    reply::status(StatusCode::REQUEST_TIMEOUT, "the body came too late")
}
