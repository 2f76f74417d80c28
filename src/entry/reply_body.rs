//! The body of an answer, as it comes from the agent.

use super::command::{
    Command,
    Reply, //
};
use crate::{
    base::RequestId,
    wire::{MESSAGE_COST, WINDOW}, //
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

/// A body that may end in an error.
pub(super) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The replies to one call, with the credit that is owed for them.
pub(super) struct Replies {
    /// Told of requests whose whole answer was handed over.
    pub(super) delivered: mpsc::Sender<RequestId>,
    /// The body's length, once it is known.
    pub(super) expected_length: Option<u64>,
    pub(super) owed_credit: u32,
    /// The bytes of the body handed over so far.
    pub(super) bytes_sent: u64,
    pub(super) receiver: mpsc::Receiver<Reply>,
    pub(super) request: RequestId,
    pub(super) traffic: mpsc::Sender<Command>,
    /// What the request's body may still send.
    pub(super) window: Arc<Semaphore>,
}

impl Replies {
    /// The next reply; the credit of request bodies is taken out.
    pub(super) async fn next(&mut self) -> Option<Reply> {
        loop {
            match self.receiver.recv().await? {
                Reply::Credit(bytes) => {
                    let room = (WINDOW as usize).saturating_sub(self.window.available_permits());
                    self.window.add_permits(room.min(bytes as usize));
                }
                reply => return Some(reply),
            }
        }
    }

    /// Notes that `payload` bytes of one message were taken; the agent learns
    /// of it in larger parts.
    pub(super) async fn return_credit(&mut self, payload: usize) {
        self.owed_credit += payload as u32 + MESSAGE_COST;
        if self.owed_credit < WINDOW / 2 {
            return;
        }
        let credit = Command::Credit {
            bytes: std::mem::take(&mut self.owed_credit),
            request: self.request,
        };
        let _ = self.traffic.send(credit).await;
    }

    /// The whole answer was handed over.
    pub(super) fn mark_delivered(&mut self) {
        self.expected_length = None;
        // Full only under extreme load: the account then says that delivery
        // is not known, which is true.
        let _ = self.delivered.try_send(self.request);
    }

    /// The rest of a plain call's answer.
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
    /// A body of known length is dropped as soon as its last byte was taken,
    /// without being asked for its end.
    fn drop(&mut self) {
        if self.expected_length == Some(self.bytes_sent) {
            self.mark_delivered();
        }
    }
}

/// The error that ends a body early: the connection is closed before the
/// body's end marker, so nobody takes the part for the whole.
pub(super) fn body_error(detail: &str) -> io::Error {
    io::Error::other(detail.to_owned())
}
