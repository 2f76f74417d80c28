//! One HTTP call to a plain service.

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

/// The client of a plain service.
pub(super) type ServiceClient = Client<HttpConnector, Body>;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// The header under which services and callers see the request id.
pub const REQUEST_ID: &str = "redwing-request-id";

/// The header with the caller's own key.
pub const REQUEST_KEY: &str = "redwing-request-key";

pub(super) fn client() -> ServiceClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        // A pooled connection that closes under a request would be replaced
        // by hyper unasked. It is told as `NotRun` only when hyper hands the
        // unsent request back, so retries stay with the entry.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Runs the call and streams its answer back.
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
        // Up to the connection nothing was written: the service can't have
        // seen the call. From then on it may have.
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

/// A body of which `first` is here and the rest arrives; the entry gets
/// credit for each part when the service has taken it.
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

/// The headers that are passed on: all but those of the one connection.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Whether a header belongs to the message rather than to one connection.
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
