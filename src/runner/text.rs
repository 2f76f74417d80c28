//! What has been generated of an item so far.

use super::run_item::{
    Engine,
    Task, //
};
use crate::{
    base::Millis,
    batch::{PARTIALS, Partial, batch_part, encode, partial_key},
    store::{Key, Transaction}, //
};
use std::collections::BTreeSet;

/// Long texts are kept this often while they grow, so that another engine goes
/// on instead of beginning anew. Most items end before the first time; the
/// longest run for five seconds, and steps waited for them twice over when
/// their engine crashed or left.
const KEEP_EVERY: Millis = Millis(700);

/// The least new events for which a text is kept again.
const KEEP_EVENTS: usize = 6;

/// The most bytes of a kept text: one row of the store.
const KEEP_BYTES: usize = 44 * 1024;

/// What has been generated so far.
#[derive(Default)]
pub(super) struct Text {
    pub(super) events: Vec<String>,
    /// When the last run's first and newest events came.
    pub(super) first: Option<Millis>,
    pub(super) newest: Millis,
    pub(super) last: Option<u64>,
    /// When it was last kept, and how many events it had.
    kept: Millis,
    kept_events: usize,
    pub(super) versions: BTreeSet<u64>,
}

impl Text {
    /// The text that an earlier run has left.
    pub(super) fn resume(begun: Option<Partial>, now: Millis) -> Self {
        let begun = begun.unwrap_or_default();
        Self {
            kept: now,
            kept_events: begun.events.len(),
            last: (!begun.events.is_empty()).then_some(begun.last),
            versions: begun.versions.into_iter().collect(),
            events: begun.events,
            ..Self::default()
        }
    }

    /// Keeps what there is in the store if that is due. Nobody waits for it,
    /// and losing it costs time only.
    pub(super) fn keep(&mut self, engine: &Engine, task: &Task) {
        let due = self.newest.since(self.kept) >= KEEP_EVERY;
        let grown = self.events.len() >= self.kept_events + KEEP_EVENTS;
        let Some(last) = self.last.filter(|_| due && grown) else {
            return;
        };
        self.kept = self.newest;
        self.kept_events = self.events.len();
        let partial = Partial {
            events: self.events.clone(),
            last,
            versions: self.versions.iter().copied().collect(),
        };
        let value = encode(&partial);
        if value.len() > KEEP_BYTES {
            return;
        }
        let key = Key::new(PARTIALS, batch_part(&task.batch), partial_key(task.index));
        let transaction = Transaction {
            set: vec![(key, value)],
            ..Transaction::default()
        };
        let store = engine.store.clone();
        let item = task.item.id.clone();
        tokio::spawn(async move {
            if let Err(error) = store.transact(&transaction).await {
                tracing::debug!(item, %error, "a partial text was not kept");
            }
        });
    }
}
