//! What has been generated of an item so far.

use super::run_item::{
    Engine,
    Task, //
};
use crate::{
    base::Millis,
    batch::{PARTIALS, Partial, encode, part_of, partial_key},
    store::{Key, Transaction}, //
};
use std::collections::BTreeSet;

/// Long texts are kept this often while they grow, so that another engine goes
/// on instead of beginning anew. Most items end before the first time; the
/// longest run for five seconds, and steps waited for them twice over when
/// their engine crashed or left.
const SAVE_INTERVAL: Millis = Millis(700);

/// The least new events for which a text is kept again.
const MIN_NEW_EVENTS: usize = 6;

/// The most bytes of a kept text: one row of the store.
const MAX_SAVED_BYTES: usize = 44 * 1024;

/// What has been generated so far.
#[derive(Default)]
pub(super) struct Text {
    pub(super) events: Vec<String>,
    /// When the last run's first and newest events came.
    pub(super) first_at: Option<Millis>,
    pub(super) newest_at: Millis,
    pub(super) last_id: Option<u64>,
    /// When it was last kept, and how many events it had.
    saved_at: Millis,
    saved_events: usize,
    pub(super) versions: BTreeSet<u64>,
}

impl Text {
    /// The text that an earlier run has left.
    pub(super) fn resume(partial: Option<Partial>, now: Millis) -> Self {
        let partial = partial.unwrap_or_default();
        Self {
            saved_at: now,
            saved_events: partial.events.len(),
            last_id: (!partial.events.is_empty()).then_some(partial.last),
            versions: partial.versions.into_iter().collect(),
            events: partial.events,
            ..Self::default()
        }
    }

    /// Keeps what there is in the store if that is due. Nobody waits for it,
    /// and losing it costs time only.
    pub(super) fn save_if_due(&mut self, engine: &Engine, task: &Task) {
        let due = self.newest_at.since(self.saved_at) >= SAVE_INTERVAL;
        let grown = self.events.len() >= self.saved_events + MIN_NEW_EVENTS;
        let Some(last) = self.last_id.filter(|_| due && grown) else {
            return;
        };
        self.saved_at = self.newest_at;
        self.saved_events = self.events.len();
        let partial = Partial {
            events: self.events.clone(),
            last,
            versions: self.versions.iter().copied().collect(),
        };
        let value = encode(&partial);
        if value.len() > MAX_SAVED_BYTES {
            return;
        }
        let key = Key::new(PARTIALS, part_of(&task.batch), partial_key(task.index));
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
