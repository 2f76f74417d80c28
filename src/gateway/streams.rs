//! Calls whose answer is handed on while it arrives.

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

/// Runs `call` and answers its caller with the server's events as they come.
pub(super) async fn answer(caller: &Arc<Dispatcher>, call: Call) -> Answer {
    let deadline = call.deadline;
    let (opened, watched) = match caller.open_stream(&call).await {
        StreamOutcome::Opened(opened, watched) => (opened, watched),
        StreamOutcome::Lost { reason } => {
            tracing::warn!(call = call.id, reason, "stream lost: it may have run");
            return reply::status(StatusCode::BAD_GATEWAY, "the answer is lost");
        }
        StreamOutcome::NotRun { reason, wait } => {
            tracing::warn!(
                call = call.id,
                reason,
                wait = wait.0,
                "refused: it did not run"
            );
            return reply::refusal(wait, "no server took the request");
        }
    };
    tracing::info!(
        call = call.id,
        status = opened.status.as_u16(),
        "stream opened"
    );

    let clock = caller.clock();
    let id = call.id;
    let frames = stream::unfold(Some((opened.body, watched)), move |open| {
        let id = id.clone();
        async move {
            let (mut body, watched) = open?;
            let left = deadline.since(clock.now());
            match body.next(left).await {
                Ok(Some(bytes)) => {
                    let frame = Frame::<Bytes>::data(bytes);
                    Some((Ok(frame), Some((body, watched))))
                }
                Ok(None) => {
                    watched.complete();
                    None
                }
                Err(error) => {
                    // The caller's connection is cut, so that nobody takes a
                    // part for the whole.
                    tracing::warn!(call = id, %error, "stream broke off");
                    watched.fail(&error).await;
                    Some((Err(std::io::Error::other(error)), None))
                }
            }
        }
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = opened.status;
    *answer.headers_mut() = platform::answered(&opened.headers);
    answer
}
