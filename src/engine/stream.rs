//! Reads the tokens of a generation from the engine's event stream.

use super::Chunk;
use crate::{
    base::{Cause, Failure},
    wire::FinishReason, //
};
use hyper::body::Incoming;
use sse_stream::SseStream;
use std::pin::Pin;
use tokio_stream::{
    Stream,
    StreamExt, //
};

/// An event of an engine's stream.
#[derive(Debug, PartialEq)]
pub enum EngineEvent {
    Finished(FinishReason),
    Token(String),
}

type Events = dyn Stream<Item = Result<sse_stream::Sse, sse_stream::Error>> + Send;

/// An open event stream; dropping it cancels the generation.
pub struct TokenStream {
    events: Pin<Box<Events>>,
    /// The finish reason, once it was received.
    finish: Option<FinishReason>,
}

/// The data of the event that marks the end of a complete answer.
const DONE_MARKER: &str = "[DONE]";

impl TokenStream {
    pub(super) fn new(body: Incoming) -> Self {
        Self {
            events: Box::pin(SseStream::new(body)),
            finish: None,
        }
    }

    /// The next event. A stream that ends without the end marker is a failure, so that a
    /// truncated answer isn't taken for a complete one.
    pub async fn next(&mut self) -> Result<EngineEvent, Failure> {
        loop {
            let event = self.events.next().await;
            let Some(Ok(event)) = event else {
                return Err(protocol_failure("the engine's stream was cut"));
            };
            let Some(data) = event.data else {
                continue;
            };
            if data == DONE_MARKER {
                let finish = self
                    .finish
                    .ok_or_else(|| protocol_failure("no finish reason"))?;
                return Ok(EngineEvent::Finished(finish));
            }
            if let Some(token) = self.parse_chunk(&data)? {
                return Ok(EngineEvent::Token(token));
            }
        }
    }

    /// Parses one event's data: stores its finish reason and returns its text, if it has them.
    fn parse_chunk(&mut self, data: &str) -> Result<Option<String>, Failure> {
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|_| protocol_failure("an event is not understood"))?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        match choice.finish_reason.as_deref() {
            Some("length") => self.finish = Some(FinishReason::Length),
            Some(_) => self.finish = Some(FinishReason::Stop),
            None => {}
        }
        Ok(choice.text.filter(|text| !text.is_empty()))
    }
}

/// The failure for a stream that breaks the protocol or was cut off.
fn protocol_failure(detail: &str) -> Failure {
    Failure::may_have_run(Cause::BackendBroken, detail)
}
