//! Runs one HTTP call at a plain service.

use super::{
    job::BodyPart,
    job_io::JobIo, //
};
use crate::{
    base::{Cause, Failure},
    wire::{CallHead, FromAgent, MAX_CHUNK, MESSAGE_COST, Start}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    StreamBody,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Request,
    body::Frame,
    header::{CONNECTION, HOST, HeaderMap, TRANSFER_ENCODING}, //
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer}, //
};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio_stream::{
    StreamExt,
    wrappers::ReceiverStream, //
};

/// The HTTP client for a plain service.
pub(super) type ServiceClient = Client<HttpConnector, Body>;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// The header that carries the request id to services and callers.
pub const REQUEST_ID: &str = "redwing-request-id";

/// The header that carries the request key chosen by the caller.
pub const REQUEST_KEY: &str = "redwing-request-key";

/// Creates the HTTP client for a plain service.
pub(super) fn client() -> ServiceClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        // Otherwise hyper would send a request again on another connection when its
        // pooled connection closes. Retries are left to the entry.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Sends the call to the service at `address` and streams the answer to the entry. `parts`
/// yields the rest of the request's body, if `head` does not contain all of it.
pub(super) async fn run_call(
    client: &ServiceClient,
    address: SocketAddr,
    start: &Start,
    head: CallHead,
    parts: Option<mpsc::Receiver<BodyPart>>,
    io: &JobIo,
) -> Result<(), Failure> {
    let request = request(address, start, head, parts, io)?;
    let answer = client.request(request).await.map_err(|error| {
        // Before the connection is open nothing was written, so the service has not seen
        // the call. Afterwards it may have.
        match error.is_connect() {
            true => Failure::not_run(Cause::BackendUnreachable, error.to_string()),
            false => Failure::may_have_run(Cause::BackendBroken, error.to_string()),
        }
    })?;

    let (head, mut body) = answer.into_parts();
    let headers = end_to_end_headers(&head.headers);
    let status = head.status.as_u16();
    let slot = io.slot;
    io.send(
        0,
        FromAgent::Head {
            slot,
            status,
            headers,
        },
    )
    .await;
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Failure::may_have_run(Cause::BackendBroken, error.to_string()))?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        while !data.is_empty() {
            let bytes = data.split_to(data.len().min(MAX_CHUNK));
            io.send(bytes.len(), FromAgent::Data { slot, bytes }).await;
        }
    }
    io.send_last(FromAgent::End { slot, finish: None }).await;
    Ok(())
}

/// Builds the HTTP request to the service.
fn request(
    address: SocketAddr,
    start: &Start,
    head: CallHead,
    parts: Option<mpsc::Receiver<BodyPart>>,
    io: &JobIo,
) -> Result<Request<Body>, Failure> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{address}{}", head.path))
        .header(REQUEST_ID, start.request.to_string());
    if let Some(key) = &start.key {
        builder = builder.header(REQUEST_KEY, key);
    }
    for (name, value) in &head.headers {
        builder = builder.header(name, value.as_ref());
    }
    let body = match parts {
        None => Full::new(head.body)
            .map_err(|never| match never {})
            .boxed_unsync(),
        Some(parts) => streaming_body(head.body, parts, io.clone()),
    };
    builder
        .body(body)
        .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))
}

/// A body that consists of `first` and the parts that are still to arrive. The entry gets
/// credit for each part as the HTTP client consumes it.
fn streaming_body(first: Bytes, parts: mpsc::Receiver<BodyPart>, io: JobIo) -> Body {
    let rest = ReceiverStream::new(parts).map(move |part| {
        let bytes = part?;
        let _ = io.try_send(FromAgent::Credit {
            slot: io.slot,
            bytes: bytes.len() as u32 + MESSAGE_COST,
        });
        Ok(bytes)
    });
    let all = tokio_stream::once(Ok(first)).chain(rest);
    StreamBody::new(all.map(|part: BodyPart| part.map(Frame::data))).boxed_unsync()
}

/// The headers of the answer that are forwarded: all but the hop-by-hop ones.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Whether a header is end-to-end. The hop-by-hop headers and `Host` are not forwarded.
pub fn is_end_to_end(name: &str) -> bool {
    ![
        CONNECTION.as_str(),
        HOST.as_str(),
        "keep-alive",
        "proxy-connection",
        TRANSFER_ENCODING.as_str(),
        "te",
        "trailer",
        "upgrade",
    ]
    .contains(&name)
}
