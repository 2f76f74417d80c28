//! The progress of an item's run, as its work loop sees it.

use super::text::Text;
use crate::batch::Partial;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError,
    atomic::{AtomicUsize, Ordering}, //
};
use tokio::sync::oneshot;

/// Shared by an item's run and the work loop.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The number of events of the text so far.
    events: AtomicUsize,
    /// The number of events that an earlier run saved, if the text continues them.
    resumed: AtomicUsize,
    /// Gets the text at its next event.
    request: Mutex<Option<oneshot::Sender<Partial>>>,
}

impl Progress {
    /// Records that the run begins with `text`, whose events were saved by an earlier run.
    pub(super) fn begin(&self, text: &Text) {
        self.resumed.store(text.len(), Ordering::Relaxed);
        self.events.store(text.len(), Ordering::Relaxed);
    }

    /// The number of events of the text so far.
    pub(super) fn events(&self) -> usize {
        self.events.load(Ordering::Relaxed)
    }

    /// Whether the run has added no event to the text that was saved before.
    pub(super) fn is_unchanged(&self) -> bool {
        self.events() == self.resumed.load(Ordering::Relaxed)
    }

    /// Records that an event was added to `text`, and hands out a copy if one was requested.
    pub(super) fn record(&self, text: &Text) {
        self.events.store(text.len(), Ordering::Relaxed);
        if let Some(receiver) = self.request().take() {
            // A dropped receiver needs the text no more.
            let _ = text.partial().map(|partial| receiver.send(partial));
        }
    }

    /// Requests a copy of the text, which is sent at the next event.
    pub(super) fn request_text(&self) -> oneshot::Receiver<Partial> {
        let (sender, receiver) = oneshot::channel();
        *self.request() = Some(sender);
        receiver
    }

    fn request(&self) -> MutexGuard<'_, Option<oneshot::Sender<Partial>>> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
