//! A job's way back to its entry.

use crate::wire::{
    FromAgent,
    Link,
    MESSAGE_COST,
    STREAM_WINDOW, //
    Slot,
};
use std::sync::Arc;
use tokio::sync::Semaphore;

/// One stream of a link, with the credit that its entry has given.
#[derive(Clone)]
pub(super) struct JobIo {
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

    /// Nobody waits for the answer: from now on it is thrown away.
    pub(super) fn discard(&self) {
        self.credit.close();
    }

    /// Whether the answer is thrown away.
    pub(super) fn is_discarded(&self) -> bool {
        self.credit.is_closed()
    }

    /// The entry took `bytes` more.
    pub(super) fn add_credit(&self, bytes: u32) {
        // A peer could otherwise add credit until the counter overflows.
        let room = (STREAM_WINDOW as usize).saturating_sub(self.credit.available_permits());
        self.credit.add_permits(room.min(bytes as usize));
    }

    /// Sends `message`, waiting for credit for `payload` bytes, so that one
    /// slow caller holds up its own stream only.
    pub(super) async fn send(&self, payload: usize, message: FromAgent) {
        let cost = (payload as u32 + MESSAGE_COST).min(STREAM_WINDOW);
        let Ok(permit) = self.credit.acquire_many(cost).await else {
            return;
        };
        permit.forget();
        self.send_last(message).await;
    }

    /// Sends a stream's last message, which needs no credit.
    pub(super) async fn send_last(&self, message: FromAgent) {
        if !self.is_discarded() {
            self.link.send(message).await;
        }
    }

    /// Sends without waiting, from the duty's own loop.
    pub(super) fn try_send(&self, message: FromAgent) -> bool {
        self.is_discarded() || self.link.try_send(message)
    }
}
