//! Sends the answer of a job to its entry, under flow control.

use crate::wire::{
    FromAgent,
    Link,
    MESSAGE_COST,
    STREAM_WINDOW,
    Slot, //
};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The sending half of one stream of a link. All clones share the stream's credit.
#[derive(Clone)]
pub(super) struct JobIo {
    /// The bytes that may still be sent, one permit each. Closed once the answer is
    /// discarded.
    credit: Arc<Semaphore>,
    link: Link<FromAgent>,
    pub(super) slot: Slot,
}

impl JobIo {
    pub(super) fn new(link: Link<FromAgent>, slot: Slot) -> Self {
        Self {
            credit: Arc::new(Semaphore::new(STREAM_WINDOW as usize)),
            link,
            slot,
        }
    }

    /// Discards the rest of the answer, because nobody waits for it.
    pub(super) fn discard(&self) {
        self.credit.close();
    }

    /// Whether the rest of the answer is discarded.
    pub(super) fn is_discarded(&self) -> bool {
        self.credit.is_closed()
    }

    /// Adds credit for `bytes` that the entry has consumed.
    pub(super) fn add_credit(&self, bytes: u32) {
        // Without the limit, a peer could add credit until the semaphore overflows.
        let room = (STREAM_WINDOW as usize).saturating_sub(self.credit.available_permits());
        self.credit.add_permits(room.min(bytes as usize));
    }

    /// Waits for credit for `payload` bytes, then sends `message`. So a slow caller delays
    /// only its own stream.
    pub(super) async fn send(&self, payload: usize, message: FromAgent) {
        let cost = (payload as u32 + MESSAGE_COST).min(STREAM_WINDOW);
        let Ok(permit) = self.credit.acquire_many(cost).await else {
            return;
        };
        permit.forget();
        self.send_last(message).await;
    }

    /// Sends `message` without taking credit, for the last message of the stream.
    pub(super) async fn send_last(&self, message: FromAgent) {
        if !self.is_discarded() {
            self.link.send(message).await;
        }
    }

    /// Sends without waiting, for the event loop of the work duty; false if the message
    /// could not be queued. Needs no credit.
    pub(super) fn try_send(&self, message: FromAgent) -> bool {
        self.is_discarded() || self.link.try_send(message)
    }
}
