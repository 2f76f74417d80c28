//! Answers of the gateway's own.

use crate::{
    base::Millis,
    duty::Answer,
    net,
    platform, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Response,
    StatusCode,
    header::{HeaderValue, RETRY_AFTER}, //
};

/// A short text with a status.
pub(super) fn status(status: StatusCode, text: &str) -> Answer {
    crate::duty::text(status, "text/plain", format!("{text}\n"))
}

/// A body in JSON.
pub(super) fn json(body: Bytes) -> Answer {
    crate::duty::text(StatusCode::OK, "application/json", body)
}

/// A refusal: the request has not run and never will. The caller is told when
/// it is worth asking again.
pub(super) fn refusal(wait: Millis, text: &str) -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// A server's whole answer, unchanged but for what concerns one connection.
pub(super) fn of_server(answer: net::FullResponse) -> Answer {
    let body = Full::new(answer.body).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = platform::answered(&answer.headers);
    reply
}

/// Bytes of an item.
pub(super) fn bytes(body: Bytes) -> Answer {
    crate::duty::text(StatusCode::OK, "application/octet-stream", body)
}
