//! This runner's own signs of life.

use super::{
    event::Event,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Heartbeat, WORK, decode, encode, heartbeat_part},
    platform::Store,
    store::{Key, Outcome, Transaction}, //
};

/// The time between heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// How long the word that an engine or a bundle is free may wait for the crashes of the
/// engine to be shared: some tries of a write, and less than makes others take this runner
/// for gone.
pub(super) const CRASH_SHARE_TIMEOUT: Millis = Millis(600);

/// The wait before the first heartbeat is tried again.
const FIRST_RETRY_DELAY: Millis = Millis(80);

/// The last heartbeat, and whether it is on its way.
#[derive(Default)]
pub(super) struct HeartbeatState {
    pub(super) last: Heartbeat,
    pub(super) sending: bool,
    pub(super) sent: Millis,
}

impl WorkLoop {
    /// Writes a heartbeat when one is due or something in it has changed.
    pub(super) fn plan_heartbeat(&mut self, now: Millis) {
        let last = &self.heartbeat.last;
        let mut next = Heartbeat {
            held: self
                .home
                .as_ref()
                .and_then(|home| self.held_version(home))
                .unwrap_or(0),
            home: self.home.clone(),
            leaving: self.leaving,
            loading: self.is_loading(),
            pace: self.pace,
            sequence: last.sequence,
            service: self.service.clone(),
            slower: self.kind.slower,
            steady: self.kind.steady,
            token: self.token,
            working: self.is_working(),
        };
        // The pace alone is worth no heartbeat: it changes all the time.
        let comparable = Heartbeat {
            pace: last.pace,
            ..next.clone()
        };
        let changed = comparable != *last;
        let due = now.since(self.heartbeat.sent) >= HEARTBEAT_INTERVAL || changed;
        if self.heartbeat.sending || !due || self.is_withheld(now) {
            return;
        }
        next.sequence += 1;
        self.heartbeat.last = next.clone();
        self.heartbeat.sending = true;
        self.heartbeat.sent = now;
        self.heartbeats.record(&self.instance, next.clone(), 0, now);
        let (store, events) = (self.store.clone(), self.events.clone());
        let transaction = heartbeat_write(&self.instance, &next);
        tokio::spawn(async move {
            let outcome = store.transact(&transaction).await;
            let _ = events.send(Event::HeartbeatWritten(outcome)).await;
        });
    }
}

impl WorkLoop {
    /// Whether the word that the engine is gone waits until its end is known under
    /// the items that ran there: those who take them over would run them beside
    /// others, as if nothing had happened.
    fn is_withheld(&self, now: Millis) -> bool {
        let ends = self.heartbeat.last.working && !self.is_working();
        let late = now.since(self.heartbeat.sent) >= HEARTBEAT_INTERVAL + CRASH_SHARE_TIMEOUT;
        ends && !late && !self.engine.crashes.are_shared()
    }
}

fn heartbeat_key(instance: &str) -> Key {
    Key::new(WORK, heartbeat_part(instance), instance)
}

fn heartbeat_write(instance: &str, heartbeat: &Heartbeat) -> Transaction {
    Transaction {
        expect: Vec::new(),
        remove: Vec::new(),
        set: vec![(heartbeat_key(instance), encode(heartbeat))],
    }
}

/// Writes the first heartbeat of this life; its revision is higher than that of any
/// life before, on whatever instance, and becomes the life's number. Returns it with
/// the model that the life before served first: its engine has that one's weights.
pub(super) async fn first_heartbeat(
    store: &Store,
    instance: &str,
    service: &str,
) -> (u64, Option<String>) {
    let key = heartbeat_key(instance);
    loop {
        let home = match store.row(&key).await {
            Ok(row) => {
                let value = row.and_then(|row| row.value);
                let before = value.and_then(|value| decode::<Heartbeat>("heartbeat", &value));
                before.and_then(|before| before.home)
            }
            Err(error) => {
                tracing::warn!(%error, "the life before is not known yet");
                tokio::time::sleep(FIRST_RETRY_DELAY.as_duration()).await;
                continue;
            }
        };
        let heartbeat = Heartbeat {
            home: home.clone(),
            service: service.to_owned(),
            ..Heartbeat::default()
        };
        match store.transact(&heartbeat_write(instance, &heartbeat)).await {
            Ok(Outcome::Done { revision }) => return (revision, home),
            Ok(Outcome::Conflict { .. }) => {}
            Err(error) => tracing::warn!(%error, "no number for this life yet"),
        }
        tokio::time::sleep(FIRST_RETRY_DELAY.as_duration()).await;
    }
}
