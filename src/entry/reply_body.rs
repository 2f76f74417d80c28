//! The replies to a call, and the response body that is made from them.

use super::command::{
    Command,
    Reply, //
};
use crate::{
    base::RequestId,
    wire::{MESSAGE_COST, STREAM_WINDOW}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    StreamBody,
    combinators::UnsyncBoxBody, //
};
use hyper::body::Frame;
use std::{
    io,
    sync::Arc, //
};
use tokio::sync::{
    Semaphore,
    mpsc, //
};

/// A response body that may end in an error.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The replies to one call, and the credit that is owed for them.
pub(super) struct Replies {
    /// Receives the id of the request once its whole answer was handed to the caller's
    /// connection.
    pub(super) delivered: mpsc::Sender<RequestId>,
    /// The length of the body, if the response has a `content-length`.
    pub(super) expected_length: Option<u64>,
    /// The credit for consumed replies that was not returned to the agent yet.
    pub(super) owed_credit: u32,
    /// The bytes of the response body handed to the caller's connection so far.
    pub(super) bytes_sent: u64,
    pub(super) receiver: mpsc::Receiver<Reply>,
    pub(super) request: RequestId,
    pub(super) traffic: mpsc::Sender<Command>,
    /// The flow-control window of the request's body.
    pub(super) window: Arc<Semaphore>,
}

impl Replies {
    /// The next reply. Credit for the request's body goes to `window` instead.
    pub(super) async fn next(&mut self) -> Option<Reply> {
        loop {
            match self.receiver.recv().await? {
                Reply::Credit(bytes) => {
                    let room =
                        (STREAM_WINDOW as usize).saturating_sub(self.window.available_permits());
                    self.window.add_permits(room.min(bytes as usize));
                }
                reply => return Some(reply),
            }
        }
    }

    /// Records that a message with `payload` bytes was consumed. The credit is returned to
    /// the agent once half a window is owed.
    pub(super) async fn return_credit(&mut self, payload: usize) {
        self.owed_credit += payload as u32 + MESSAGE_COST;
        if self.owed_credit < STREAM_WINDOW / 2 {
            return;
        }
        let credit = Command::Credit {
            bytes: std::mem::take(&mut self.owed_credit),
            request: self.request,
        };
        let _ = self.traffic.send(credit).await;
    }

    /// Reports that the whole answer was handed to the caller's connection.
    pub(super) fn mark_delivered(&mut self) {
        self.expected_length = None;
        // The queue is full only under extreme load. The request's account then shows no
        // delivery, so that the delivery counts as unknown, which is true.
        let _ = self.delivered.try_send(self.request);
    }

    /// The rest of the answer to a service call, as a response body.
    pub(super) fn into_body(self) -> Body {
        let frames = futures_util::stream::unfold(Some(self), |state| async {
            let mut replies = state?;
            match replies.next().await {
                Some(Reply::Data(bytes)) => {
                    replies.bytes_sent += bytes.len() as u64;
                    replies.return_credit(bytes.len()).await;
                    Some((Ok(Frame::data(bytes)), Some(replies)))
                }
                Some(Reply::End(_)) => {
                    replies.mark_delivered();
                    None
                }
                Some(Reply::Failed(failure)) => Some((Err(body_error(&failure.detail)), None)),
                Some(_) | None => Some((Err(body_error("the answer was cut")), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

impl Drop for Replies {
    /// The HTTP server drops a body of known length after its last byte, without reading
    /// its end.
    fn drop(&mut self) {
        if self.expected_length == Some(self.bytes_sent) {
            self.mark_delivered();
        }
    }
}

/// The error that ends a body early. The connection is closed without the end marker of
/// the body, so that the caller does not take a part for the whole.
pub(super) fn body_error(detail: &str) -> io::Error {
    io::Error::other(detail.to_owned())
}
