//! Reads the bodies of callers' requests.

use super::command::Command;
use crate::{
    base::{Cause, Failure, Millis, RequestId},
    wire::{MAX_CHUNK, MESSAGE_COST}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::{
    sync::{Semaphore, mpsc},
    time::timeout, //
};

/// How long a whole body, or the next part of a streamed one, may take to arrive.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Sends a body to the agent in parts, as fast as the service consumes them.
pub(super) async fn stream_body(
    mut body: Incoming,
    request: RequestId,
    traffic: mpsc::Sender<Command>,
    window: Arc<Semaphore>,
) {
    loop {
        let frame = timeout(BODY_TIMEOUT.as_duration(), body.frame()).await;
        let mut data = match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
            Ok(None) => break,
            // The caller has left or stalled. The service gets no end of the body, so it
            // can't take a part for the whole.
            Ok(Some(Err(_))) | Err(_) => return,
        };
        while !data.is_empty() {
            let bytes = data.split_to(data.len().min(MAX_CHUNK));
            let cost = bytes.len() as u32 + MESSAGE_COST;
            let Ok(permit) = window.acquire_many(cost).await else {
                return;
            };
            permit.forget();
            let part = Command::Body {
                request,
                bytes,
                last: false,
            };
            if traffic.send(part).await.is_err() {
                return;
            }
        }
    }
    let last = Command::Body {
        bytes: Bytes::new(),
        last: true,
        request,
    };
    let _ = traffic.send(last).await;
}

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let gathered = Limited::new(body, limit).collect();
    match timeout(BODY_TIMEOUT.as_duration(), gathered).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let too_large = error.is::<http_body_util::LengthLimitError>();
            let cause = if too_large {
                Cause::TooLarge
            } else {
                Cause::BadRequest
            };
            Err(Failure::not_run(cause, error.to_string()))
        }
        Err(_) => Err(Failure::not_run(
            Cause::BadRequest,
            "the body did not arrive in time",
        )),
    }
}
