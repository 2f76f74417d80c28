//! The text of an item while it is generated, and its saved copy in the store.

use super::run_item::{
    Engine,
    Task, //
};
use crate::{
    base::Millis,
    batch::{PARTIALS, Partial, Sample, SampleState, batch_part, encode, partial_key},
    platform::Event,
    policy::version_rule::{VersionFit, VersionRule},
    store::{Key, Transaction}, //
};
use snafu::Snafu;
use std::collections::BTreeSet;

/// How often a growing text is saved, so that another engine can continue it. Most items
/// end before the first save. The longest run for five seconds; without a saved text,
/// steps waited twice as long for them when their engine crashed or was drained.
const SAVE_INTERVAL: Millis = Millis(700);

/// The fewest new events for which a text is saved again.
const MIN_NEW_EVENTS: usize = 6;

/// The most bytes of a saved text, which has to fit into one row of the store.
const MAX_SAVED_BYTES: usize = 44 * 1024;

/// The longest text: a page of results has at most 1 MB.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// The most events of a text: 40 minutes of generation at 20 ms an event.
const MAX_EVENTS: usize = 120_000;

/// The events that were generated so far, over all attempts.
///
/// # Invariants
///
/// The events are in order without a gap, and the versions that generated them obey the item's
/// rule.
pub(super) struct Text {
    /// The size of the events' data.
    bytes: usize,
    /// The data of each event.
    events: Vec<String>,
    /// When the latest attempt's first event arrived.
    pub(super) first_at: Option<Millis>,
    /// When the newest event arrived.
    pub(super) newest_at: Millis,
    /// The number of the newest event.
    last_id: Option<u64>,
    rule: VersionRule,
    /// When the text was last saved.
    saved_at: Millis,
    /// How many events the text had when it was last saved.
    saved_events: usize,
    /// The weight versions that generated its events.
    versions: BTreeSet<u64>,
}

/// Why an event can't be the next one of a text.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum EventError {
    #[snafu(display("version {version} generated the event, but the text has another one"))]
    OtherVersion { version: u64 },
    #[snafu(display("event {id:?} arrived where {next:?} was due"))]
    OutOfOrder { id: Option<u64>, next: Option<u64> },
    #[snafu(display("the text is longer than a result may be"))]
    TooLong,
    #[snafu(display("version {version} is older than {least}, which the item requires"))]
    TooOld { least: u64, version: u64 },
}

impl Text {
    /// An empty text.
    pub(super) fn new(rule: VersionRule, now: Millis) -> Self {
        Self {
            bytes: 0,
            events: Vec::new(),
            first_at: None,
            newest_at: Millis(0),
            last_id: None,
            rule,
            saved_at: now,
            saved_events: 0,
            versions: BTreeSet::new(),
        }
    }

    /// Continues the text that an earlier run saved, or starts an empty one if there is none
    /// or `rule` doesn't permit its versions.
    pub(super) fn resume(partial: Option<Partial>, rule: VersionRule, now: Millis) -> Self {
        let mut text = Self::new(rule, now);
        let Some(partial) = partial.filter(|partial| !partial.events.is_empty()) else {
            return text;
        };
        text.versions = partial.versions.into_iter().collect();
        if !rule.permits(&text.versions) {
            return Self::new(rule, now);
        }
        text.saved_events = partial.events.len();
        text.last_id = Some(partial.last);
        text.bytes = partial.events.iter().map(String::len).sum();
        text.events = partial.events;
        text
    }

    /// The number of events.
    pub(super) fn len(&self) -> usize {
        self.events.len()
    }

    /// The number of the newest event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The weight versions that generated the events.
    pub(super) fn versions(&self) -> &BTreeSet<u64> {
        &self.versions
    }

    /// Adds an event that `version` generated. The text is unchanged if it returns an error.
    pub(super) fn push(&mut self, event: Event, version: u64) -> Result<(), EventError> {
        let next = self.last_id.map_or(event.id, |last| last.checked_add(1));
        if event.id.is_none() || event.id != next {
            return Err(EventError::OutOfOrder { id: event.id, next });
        }
        match self.rule.check(version, &self.versions) {
            VersionFit::Fits => {}
            VersionFit::OtherVersion => return Err(EventError::OtherVersion { version }),
            VersionFit::TooOld => {
                let least = self.rule.least;
                return Err(EventError::TooOld { least, version });
            }
        }
        let bytes = self.bytes + event.data.len() + 1;
        if bytes > MAX_TEXT_BYTES || self.events.len() >= MAX_EVENTS {
            return Err(EventError::TooLong);
        }
        self.bytes = bytes;
        self.last_id = event.id;
        self.versions.insert(version);
        self.events.push(event.data);
        Ok(())
    }

    /// The result of the item with this id, whose text is complete.
    pub(super) fn into_sample(self, id: String, score: Option<String>) -> Sample {
        Sample {
            id,
            score,
            state: SampleState::Succeeded,
            text: self.events.join("\n"),
            versions: self.versions.into_iter().collect(),
        }
    }

    /// The text as it is saved; `None` before its first event.
    pub(super) fn partial(&self) -> Option<Partial> {
        Some(Partial {
            events: self.events.clone(),
            last: self.last_id?,
            versions: self.versions.iter().copied().collect(),
        })
    }

    /// Saves the text in the store if enough time has passed and enough events were added
    /// since it was last saved. Nothing waits for the write; a lost one only costs the
    /// time to generate the events again.
    pub(super) fn save_if_due(&mut self, engine: &Engine, task: &Task) {
        let due = self.newest_at.since(self.saved_at) >= SAVE_INTERVAL;
        let grown = self.events.len() >= self.saved_events + MIN_NEW_EVENTS;
        if !due || !grown {
            return;
        }
        let Some(partial) = self.partial() else {
            return;
        };
        self.saved_at = self.newest_at;
        self.saved_events = self.events.len();
        let Some(transaction) = save_transaction(&task.batch, task.index, &partial) else {
            return;
        };
        let store = engine.store.clone();
        let item = task.item.id.clone();
        tokio::spawn(async move {
            if let Err(error) = store.transact(&transaction).await {
                tracing::debug!(item, %error, "partial text not saved");
            }
        });
    }
}

/// The write that saves the text of the item `index` of a batch; `None` if the text is too
/// long for one row.
pub(super) fn save_transaction(batch: &str, index: u16, text: &Partial) -> Option<Transaction> {
    let value = encode(text);
    let key = Key::new(PARTIALS, batch_part(batch), partial_key(index));
    (value.len() <= MAX_SAVED_BYTES).then(|| Transaction {
        set: vec![(key, value)],
        ..Transaction::default()
    })
}
