//! Issues request ids.

use crate::base::{
    Clock,
    Incarnation,
    Issuer,
    Millis,
    RequestId, //
};
use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering}, //
};

/// Issues the request ids of this incarnation; clones share the sequence.
#[derive(Clone, Debug)]
pub(super) struct RequestIds {
    clock: Clock,
    incarnation: Incarnation,
    issuer: Issuer,
    sequence: Arc<AtomicU32>,
}

impl RequestIds {
    pub(super) fn new(clock: Clock, incarnation: Incarnation, instance: &str) -> Self {
        Self {
            clock,
            incarnation,
            issuer: Issuer::of(instance),
            sequence: Arc::default(),
        }
    }

    /// Whether `id` was issued by this process.
    pub(super) fn is_mine(&self, id: RequestId) -> bool {
        id.issuer == self.issuer
            && id.incarnation == self.incarnation
            && id.sequence < self.sequence.load(Ordering::Relaxed)
    }

    /// Whether `id` names this process as its issuer, but was never issued.
    pub(super) fn is_forged(&self, id: RequestId) -> bool {
        id.issuer == self.issuer && id.incarnation == self.incarnation && !self.is_mine(id)
    }

    /// A new request id.
    pub(super) fn next(&self) -> RequestId {
        let since = self.clock.now().since(Millis(self.incarnation.0));
        RequestId {
            incarnation: self.incarnation,
            issuer: self.issuer,
            second: (since.0 / 1_000) as u32,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}
