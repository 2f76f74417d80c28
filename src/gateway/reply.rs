//! Answers of the gateway's own.

use crate::{
    base::Millis,
    duty::Answer,
    net, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Response,
    StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER}, //
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
pub(super) fn of_server(answer: net::Answer) -> Answer {
    let body = Full::new(answer.body).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = end_to_end(&answer.headers);
    reply
}

/// The headers of an answer that go on to the caller.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let hop = |name: &HeaderName| {
        let own = [
            "connection",
            "content-length",
            "keep-alive",
            "transfer-encoding",
        ];
        own.contains(&name.as_str()) || name.as_str() == "x-server-load"
    };
    headers
        .iter()
        .filter(|(name, _)| !hop(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Bytes of an item.
pub(super) fn bytes(body: Bytes) -> Answer {
    let mut answer = status(StatusCode::OK, "");
    *answer.body_mut() = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let kind = HeaderValue::from_static("application/octet-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
