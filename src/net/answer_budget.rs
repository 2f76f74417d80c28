//! Bounds the memory of answers that servers give to callers, until they were written.

use bytes::Bytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering}, //
};
use tokio::sync::{
    OwnedSemaphorePermit,
    Semaphore, //
};

/// The memory for answers that are read from servers. An answer waits for its place before it is
/// read, so that the server keeps it meanwhile, and has the place until the last of it is
/// dropped.
#[derive(Debug)]
pub struct AnswerBudget {
    places: Arc<Semaphore>,
    /// The bytes of all answers that wait.
    waiting: AtomicUsize,
}

/// The place of one answer.
#[derive(Debug, Default)]
pub(super) struct AnswerHold {
    bytes: usize,
    places: Vec<OwnedSemaphorePermit>,
}

/// The bytes of one place.
const PLACE_BYTES: usize = 1024;

/// Answers of at most this many bytes never wait.
const SMALL_ANSWER: usize = 16 * 1024;

impl AnswerBudget {
    /// A budget of `bytes`.
    pub fn open(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            places: Arc::new(Semaphore::new(bytes / PLACE_BYTES)),
            waiting: AtomicUsize::new(0),
        })
    }

    /// The bytes of all answers that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Raises `hold` to `bytes`; waits until there is room.
    pub(super) async fn grow(&self, hold: &mut AnswerHold, bytes: usize) {
        if bytes <= hold.bytes.max(SMALL_ANSWER) {
            return;
        }
        let missing = (bytes - hold.bytes).div_ceil(PLACE_BYTES);
        let places = self.places.clone();
        let waiting = Waiting::new(&self.waiting, missing * PLACE_BYTES);
        // The semaphore is never closed.
        let permit = places.acquire_many_owned(missing as u32).await;
        drop(waiting);
        hold.places.extend(permit);
        hold.bytes += missing * PLACE_BYTES;
    }
}

/// Counts an answer as waiting until this is dropped.
struct Waiting<'a> {
    bytes: usize,
    total: &'a AtomicUsize,
}

impl<'a> Waiting<'a> {
    fn new(total: &'a AtomicUsize, bytes: usize) -> Self {
        total.fetch_add(bytes, Ordering::Relaxed);
        Self { bytes, total }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AnswerHold {
    /// The same content, which keeps the place until the last of its clones and slices is
    /// dropped.
    pub(super) fn attach(self, content: Bytes) -> Bytes {
        if self.places.is_empty() {
            return content;
        }
        Bytes::from_owner(HeldAnswer {
            content,
            _hold: self,
        })
    }
}

struct HeldAnswer {
    content: Bytes,
    _hold: AnswerHold,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
