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
    Response,
    StatusCode,
    body::Frame, //
};
use std::sync::Arc;

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
    let frames = stream::unfold(Some((opened.body, attempt)), move |open| {
        let id = id.clone();
        async move {
            let (mut body, attempt) = open?;
            let time_left = deadline.since(clock.now());
            match body.next(time_left).await {
                Ok(Some(bytes)) => {
                    let frame = Frame::<Bytes>::data(bytes);
                    Some((Ok(frame), Some((body, attempt))))
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
