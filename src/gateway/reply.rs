//! Builds the responses to callers.

pub(super) use crate::duty::unavailable as refusal;

use crate::{
    duty::{Answer, RETRY_AFTER_STOPPING},
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
    StatusCode, //
};

/// A response with this status and one line of plain text.
pub(super) fn status(status: StatusCode, text: &str) -> Answer {
    crate::duty::text(status, "text/plain", format!("{text}\n"))
}

/// The response to the request `id`, which has not run and might not end before the gateway does.
pub(super) fn stop_refusal(id: Option<&str>) -> Answer {
    tracing::info!(id, "request refused: the gateway is stopping");
    metrics::counter!("redwing_stop_refusals_total").increment(1);
    refusal(RETRY_AFTER_STOPPING, "the gateway is stopping")
}

/// The response to the request `id`, which has not ended by the end of the gateway's work.
pub(super) fn stop_timeout(id: Option<&str>) -> Answer {
    tracing::warn!(
        id,
        "request not answered before the gateway's end: it may have run"
    );
    status(
        StatusCode::GATEWAY_TIMEOUT,
        "the gateway stops before the answer",
    )
}

/// A successful response with a JSON body.
pub(super) fn json(body: Bytes) -> Answer {
    crate::duty::text(StatusCode::OK, "application/json", body)
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
