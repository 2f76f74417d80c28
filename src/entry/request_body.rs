//! Reads the bodies of callers' requests.

use super::command::Command;
use crate::{
    base::{Cause, Failure, Millis, RequestId},
    duty::{BodyError, BodyReader, Connection, Memory},
    policy::memory_budget::HeldKind,
    wire::{MAX_CHUNK, MESSAGE_COST}, //
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::Incoming, //
};
use std::sync::Arc;
use tokio::{
    sync::{Semaphore, mpsc},
    time::timeout, //
};

/// How long a whole body, or the next part of a streamed one, may take to arrive.
pub(super) const BODY_TIMEOUT: Millis = Millis(10_000);

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

/// The memory in which bodies are read, and how.
#[derive(Clone)]
pub(super) struct Bodies {
    pub(super) memory: Arc<Memory>,
}

/// The bytes of memory that a request takes for a body of `bytes`: as it came, parsed, and
/// encoded for another process.
fn price(bytes: usize) -> usize {
    3 * bytes
}

impl Bodies {
    /// Reads the whole body of the request `id`, of at most `limit` bytes, within `wait`.
    pub(super) async fn read(
        &self,
        request: Request<Incoming>,
        id: &str,
        limit: usize,
        wait: Millis,
    ) -> Result<Bytes, Failure> {
        let (head, body) = request.into_parts();
        let reader = BodyReader {
            connection: head.extensions.get::<Arc<Connection>>(),
            id,
            limit,
            memory: &self.memory,
            price,
            workspace: "",
        };
        let error = match timeout(wait.as_duration(), reader.read(body)).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(error)) => error,
            Err(_) => BodyError::Cut,
        };
        Err(match &error {
            BodyError::Broken { source } => Failure::not_run(Cause::BadRequest, source.to_string()),
            BodyError::Cut => {
                Failure::not_run(Cause::BadRequest, "the body did not arrive in time")
            }
            BodyError::Refused { refusal } => {
                let wait = self.memory.refuse(id, HeldKind::Body, *refusal);
                Failure::not_run(Cause::Overloaded, error.to_string()).retry_after(wait)
            }
            BodyError::TooLarge { .. } => Failure::not_run(Cause::TooLarge, error.to_string()),
        })
    }
}
