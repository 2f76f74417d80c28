//! Writes this runner's heartbeats.

use super::{
    event::Event,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Heartbeat, WORK, decode, encode, heartbeat_part},
    platform::Store,
    store::{Key, Transaction, TransactionOutcome}, //
};

/// The time between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// The wait before another attempt to write the first heartbeat.
const FIRST_RETRY_DELAY: Millis = Millis(80);

/// The last heartbeat and the state of its write.
#[derive(Default)]
pub(super) struct HeartbeatState {
    pub(super) last: Heartbeat,
    /// Whether a write is in flight.
    pub(super) sending: bool,
    /// When the last write began.
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
            leaving: self.leaving || self.keeps_bundles(now),
            loading: self.is_loading(),
            pace: self.pace,
            sequence: last.sequence,
            service: self.service.clone(),
            slower: self.kind.slower,
            steady: self.kind.steady,
            token: self.token,
            working: self.engine_accepts_work(),
        };
        // A change of the pace alone triggers no heartbeat: it changes all the time.
        let comparable = Heartbeat {
            pace: last.pace,
            ..next.clone()
        };
        let changed = comparable != *last;
        let due = now.since(self.heartbeat.sent) >= HEARTBEAT_INTERVAL || changed;
        if self.heartbeat.sending || !due {
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

/// Writes the first heartbeat of this incarnation and returns its revision, which becomes
/// the incarnation's token: it is higher than that of any earlier incarnation on any
/// instance. Also returns the previous incarnation's home model, whose weights the engine
/// holds.
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
                tracing::warn!(%error, "previous heartbeat not read");
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
            Ok(TransactionOutcome::Done { revision }) => return (revision, home),
            Ok(TransactionOutcome::Conflict { .. }) => {}
            Err(error) => tracing::warn!(%error, "first heartbeat not written"),
        }
        tokio::time::sleep(FIRST_RETRY_DELAY.as_duration()).await;
    }
}
