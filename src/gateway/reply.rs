//! Builds the responses to callers.

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

/// A response with this status and one line of plain text.
pub(super) fn status(status: StatusCode, text: &str) -> Answer {
    crate::duty::text(status, "text/plain", format!("{text}\n"))
}

/// A successful response with a JSON body.
pub(super) fn json(body: Bytes) -> Answer {
    crate::duty::text(StatusCode::OK, "application/json", body)
}

/// The response to a request that has not run and never will: status 503, with `wait`
/// as its `Retry-After` in fractional seconds.
pub(super) fn refusal(wait: Millis, text: &str) -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The response of a backend server, without the headers that are not forwarded.
pub(super) fn from_server(answer: net::FullResponse) -> Answer {
    let body = Full::new(answer.body).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = platform::forwarded_response_headers(&answer.headers);
    reply
}

/// A successful response with a binary body.
pub(super) fn bytes(body: Bytes) -> Answer {
    crate::duty::text(StatusCode::OK, "application/octet-stream", body)
}
