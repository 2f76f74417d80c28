//! Calls whose response is forwarded while it arrives from the backend server.

use super::reply;
use crate::{
    calls::{Call, Dispatcher, StreamOutcome},
    duty::Answer,
    platform, //
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    HeaderMap,
    Response,
    StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue}, //
};
use std::sync::Arc;

/// The end of a stream of events so far.
struct EventTail {
    /// Whether the bytes so far end within an event.
    is_cut: bool,
    /// Whether the response is a stream of events.
    is_events: bool,
    /// The line feeds at the end, at most two.
    line_feeds: usize,
}

impl EventTail {
    fn new(headers: &HeaderMap) -> Self {
        let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        Self {
            is_cut: false,
            is_events: kind.is_some_and(|kind| kind.starts_with(b"text/event-stream")),
            line_feeds: 0,
        }
    }

    fn push(&mut self, bytes: &[u8]) {
        let last = bytes.iter().rev().filter(|byte| **byte != b'\r');
        let feeds = last.take_while(|byte| **byte == b'\n').take(2).count();
        let only_feeds = bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        self.line_feeds = match only_feeds {
            true => (self.line_feeds + feeds).min(2),
            false => feeds,
        };
        self.is_cut = self.line_feeds < 2 && (self.is_cut || !only_feeds);
    }

    /// Whether a stream that ends here is not whole: a connection may be closed in order, or
    /// the response end, before the event does.
    fn is_cut(&self) -> bool {
        self.is_events && self.is_cut
    }
}

/// Runs `call`, and returns a response that streams the backend server's body until the
/// call's deadline.
pub(super) async fn answer(dispatcher: &Arc<Dispatcher>, call: Call) -> Answer {
    let deadline = call.deadline;
    let (opened, attempt) = match dispatcher.open_stream(&call).await {
        StreamOutcome::Opened(opened, attempt) => (opened, attempt),
        StreamOutcome::Lost { reason } => {
            tracing::warn!(call = call.id, reason, "stream lost: the call may have run");
            return reply::status(StatusCode::BAD_GATEWAY, "the answer is lost");
        }
        StreamOutcome::NotRun { reason, wait } => {
            tracing::warn!(
                call = call.id,
                reason,
                wait = wait.0,
                "stream refused: the call did not run"
            );
            return reply::refusal(wait, "no server took the request");
        }
    };
    tracing::info!(
        call = call.id,
        status = opened.status.as_u16(),
        "stream opened"
    );

    let clock = dispatcher.clock();
    let id = call.id;
    let tail = EventTail::new(&opened.headers);
    let frames = stream::unfold(Some((opened.body, attempt, tail)), move |open| {
        let id = id.clone();
        async move {
            let (mut body, attempt, mut tail) = open?;
            let time_left = deadline.since(clock.now());
            match body.next(time_left).await {
                Ok(Some(bytes)) => {
                    tail.push(&bytes);
                    let frame = Frame::<Bytes>::data(bytes);
                    Some((Ok(frame), Some((body, attempt, tail))))
                }
                Ok(None) if tail.is_cut() => {
                    tracing::warn!(
                        call = id,
                        "stream from backend server ended within an event"
                    );
                    attempt.record_reply();
                    let error = std::io::Error::other("the stream ended within an event");
                    Some((Err(error), None))
                }
                Ok(None) => {
                    attempt.complete();
                    None
                }
                Err(error) => {
                    // The error closes the caller's connection, so that the caller
                    // does not take a partial body for a complete one.
                    tracing::warn!(call = id, %error, "stream from backend server broke off");
                    attempt.fail(&error).await;
                    Some((Err(std::io::Error::other(error)), None))
                }
            }
        }
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = opened.status;
    *answer.headers_mut() = platform::forwarded_response_headers(&opened.headers);
    answer
}
