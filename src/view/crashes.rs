//! Servers that ended under requests, as all instances know them.

use super::crash_row::{
    CRASHES,
    Crash,
    attempt_key,
    read_at,
    value_at, //
};
use crate::{
    base::{Fingerprint, Millis},
    platform::Store,
    policy::quarantine::{MAX_CRASHES, Quarantine, QuarantineState},
    relay::{BACKOFF_MOST, Followed, Following, Relay, follow},
    routing::Life,
    store::{Change, Key, Outcome, Transaction}, //
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};
use tokio::{
    sync::{mpsc, watch},
    time::Instant, //
};

/// The crashes that this program saw or heard of; [`keep_crashes`] shares them.
///
/// A request that ends each server that runs it comes again at other instances,
/// under other ids. What each of them saw goes through the store to all, so that
/// three servers end under it at most, wherever it comes.
pub struct Crashes {
    listed: watch::Sender<bool>,
    /// Until when calls wait for the list.
    listed_until: Instant,
    quarantine: Mutex<Quarantine>,
    store: Store,
    /// Changes that are not in the store yet.
    unshared: watch::Sender<usize>,
    writes: mpsc::Sender<Write>,
}

/// Who may run a request that may end its server.
#[derive(Clone, Copy, Debug)]
pub enum Claimed {
    Elsewhere,
    Here(Attempt),
    /// The store can't tell.
    Unknown,
}

/// The one attempt of a request that all instances may make at a time.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    request: Fingerprint,
    /// Of its row, which another claim replaces.
    revision: u64,
}

/// Takes what is to be written; for [`keep_crashes`].
pub struct CrashWrites(mpsc::Receiver<Write>);

/// A change that all instances should learn.
#[derive(Debug)]
enum Write {
    /// A crash, whose row stands from now on or is removed.
    Crash { counts: bool, key: Key },
    /// An attempt is over; what it showed was queued before.
    Release(Attempt),
}

/// Changes that may wait for the store. A server's end concerns some ten requests;
/// more than this many wait only when dozens end in an outage.
const WRITES_MOST: usize = 1_024;

/// The most rows of one transaction; the store takes 100.
const ROWS_MOST: usize = 90;

/// The wait after a write that the store did not take.
const WRITE_AGAIN: Millis = Millis(200);

/// How long the store holds a call for changes. A silent feed is noticed after
/// this and half a second: within the 3 s that the users allow for all to know.
const HOLD: Millis = Millis(1_500);

/// The wait after changes, in which those of one crash gather.
const PACE: Millis = Millis(10);

/// How long an instance has for a trial that it has taken: a long item's run. One
/// that was broken off by something else is free then.
const TRIAL_KEPT: Millis = Millis(10_000);

/// How long after the start calls wait for the list of crashes: it takes some ms.
const LISTED_WITHIN: Millis = Millis(1_000);

/// How often crashes that count no more are looked for.
const SWEEP: Millis = Millis(60_000);

/// Batches of changes that may wait here; the follower waits then.
const RING: usize = 16;

impl Crashes {
    /// No crash is known yet; `store` is where they are shared.
    pub fn open(store: Store) -> (Arc<Self>, CrashWrites) {
        let (writes, pending) = mpsc::channel(WRITES_MOST);
        let crashes = Self {
            listed: watch::Sender::new(false),
            listed_until: Instant::now() + LISTED_WITHIN.as_duration(),
            quarantine: Mutex::default(),
            store,
            unshared: watch::Sender::new(0),
            writes,
        };
        (Arc::new(crashes), CrashWrites(pending))
    }

    /// The server `life` has ended, and `requests` were under way there.
    pub fn note(&self, life: &Life, requests: &[Fingerprint]) {
        let now = self.store.now();
        for request in requests {
            let (request, life) = (*request, life.clone());
            if self.quarantine().is_answered(request, now) {
                let server = &life.id;
                tracing::info!(%request, server, "server ended beside a request that others answer");
                continue;
            }
            if !self.quarantine().note_crash(request, life.clone(), now) {
                continue;
            }
            let ended = self.quarantine().crash_count(request);
            let server = &life.id;
            tracing::warn!(%request, server, ended, "server ended under a request");
            metrics::counter!("redwing_crashes_seen_total").increment(1);
            if ended == MAX_CRASHES {
                tracing::warn!(%request, ended, "request in quarantine");
                metrics::counter!("redwing_requests_quarantined_total").increment(1);
            }
            self.write_crash(Crash { life, request }.key(), true);
        }
    }

    /// A server answered `request`.
    pub fn survived(&self, request: Fingerprint) {
        let acquitted = self.quarantine().clear(request, self.store.now());
        if acquitted.is_empty() {
            return;
        }
        let ended = acquitted.len();
        tracing::info!(%request, ended, "request acquitted: a server answered it");
        for life in acquitted {
            self.write_crash(Crash { life, request }.key(), false);
        }
    }

    /// What may be done with `request`.
    pub fn judge(&self, request: Fingerprint) -> QuarantineState {
        let now = self.store.now();
        self.quarantine().state(request, now)
    }

    /// Takes the one attempt of `request` that all instances may make at a time, and
    /// reads what the attempts before it have shown. One that its holder never ended
    /// is free after `kept`.
    pub async fn claim_attempt(&self, request: Fingerprint, kept: Millis) -> Claimed {
        if self.store.is_away() {
            return Claimed::Unknown;
        }
        let key = attempt_key(request);
        let mut expected = 0;
        for _ in 0..2 {
            let now = self.store.now();
            let transaction = Transaction {
                expect: vec![(key.clone(), expected)],
                remove: Vec::new(),
                set: vec![(key.clone(), value_at(now))],
            };
            let rows = match self.store.transact(&transaction).await {
                Ok(Outcome::Done { revision }) => {
                    // Its holder before has written what it saw before it ended it.
                    self.refresh(request).await;
                    let ended = self.ended(request);
                    tracing::info!(%request, ended, "a request that may end its server is tried");
                    return Claimed::Here(Attempt { request, revision });
                }
                Ok(Outcome::Conflict { rows }) => rows,
                Err(error) => {
                    tracing::info!(%request, %error, "whether another tries it is unknown");
                    return Claimed::Unknown;
                }
            };
            let free = rows.iter().find_map(|row| {
                let at = read_at(row.value.as_ref()?)?;
                (now.since(at) >= kept).then_some(row.revision)
            });
            match free {
                Some(free) => expected = free,
                None if rows.is_empty() => expected = 0,
                None => return Claimed::Elsewhere,
            }
        }
        Claimed::Elsewhere
    }

    /// Takes the trial of `request`, which is in quarantine; `None` when another has
    /// it, or the store can't tell.
    pub async fn claim_trial(&self, request: Fingerprint) -> Option<Attempt> {
        let Claimed::Here(attempt) = self.claim_attempt(request, TRIAL_KEPT).await else {
            return None;
        };
        // Others may have tried it meanwhile.
        if self.judge(request) == QuarantineState::Barred {
            self.release_attempt(attempt);
            return None;
        }
        Some(attempt)
    }

    /// How many servers ended under `request`.
    pub fn ended(&self, request: Fingerprint) -> usize {
        self.quarantine().crash_count(request)
    }

    /// Whether the crashes that others saw were read since the start.
    pub fn are_listed(&self) -> bool {
        *self.listed.borrow()
    }

    /// Whether all that this program saw is in the store.
    pub fn are_shared(&self) -> bool {
        *self.unshared.borrow() == 0
    }

    /// Waits at most `within` until all that this program saw is in the store.
    pub async fn wait_shared(&self, within: Millis) {
        let mut unshared = self.unshared.subscribe();
        let none = unshared.wait_for(|unshared| *unshared == 0);
        let _ = tokio::time::timeout(within.as_duration(), none).await;
    }

    /// Reads what others saw under `request`, for a program that can't wait for the
    /// feed: the request comes from the one that has just lost its server.
    pub async fn refresh(&self, request: Fingerprint) {
        let prefix = format!("{request}/");
        match self.store.rows(CRASHES, "", &prefix, ROWS_MOST).await {
            Ok(listing) => {
                let rows = listing.rows.into_iter();
                for row in rows.take_while(|row| row.key.starts_with(&prefix)) {
                    if let Some(value) = row.value {
                        let (key, revision) = (row.key, row.revision);
                        self.take(Change::Put {
                            key,
                            part: row.part,
                            revision,
                            value,
                        });
                    }
                }
            }
            Err(error) => tracing::info!(%request, %error, "crashes under it were not read"),
        }
    }

    /// Waits until they were read, for a second after the start at most.
    ///
    /// Requests reach a program that has just started before it is ready. One that
    /// ended servers before met it with an empty list, 5 ms after its start.
    pub async fn wait_listed(&self) {
        let mut listed = self.listed.subscribe();
        let read = listed.wait_for(|listed| *listed);
        // Without the store a program knows no configuration and calls nobody.
        let _ = tokio::time::timeout_at(self.listed_until, read).await;
    }

    /// The attempt is over: another may be made once all know what it showed.
    pub fn release_attempt(&self, attempt: Attempt) {
        self.write(Write::Release(attempt));
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn write_crash(&self, key: Key, counts: bool) {
        self.write(Write::Crash { counts, key });
    }

    fn write(&self, write: Write) {
        self.unshared.send_modify(|unshared| *unshared += 1);
        if let Err(error) = self.writes.try_send(write) {
            self.unshared.send_modify(|unshared| *unshared -= 1);
            metrics::counter!("redwing_crashes_unshared_total").increment(1);
            tracing::warn!(%error, "a crash is known here only");
        }
    }

    fn take(&self, change: Change) {
        let (key, value) = match change {
            Change::Put { key, value, .. } => (key, Some(value)),
            Change::Removed { key, .. } => (key, None),
        };
        let Some(Crash { life, request }) = Crash::parse(&key) else {
            tracing::warn!(key, "an entry names no crash");
            return;
        };
        let at = value.map(|value| read_at(&value));
        match at {
            None => self.quarantine().forget(request, &life),
            Some(None) => {}
            Some(Some(at)) => {
                let mut quarantine = self.quarantine();
                let server = life.id.clone();
                if quarantine.note_crash(request, life, at) {
                    let ended = quarantine.crash_count(request);
                    tracing::info!(%request, server, ended, "crash heard of");
                }
            }
        }
    }
}

/// Shares crashes with all instances through the store, for good.
pub async fn keep_crashes(crashes: Arc<Crashes>, writes: CrashWrites, relay: Arc<Relay>) {
    let store = &crashes.store;
    let (sender, mut feed) = mpsc::channel(RING);
    let following = Following {
        backoff: BACKOFF_MOST,
        hold: HOLD,
        pace: PACE,
        parts: false,
        table: CRASHES,
    };
    tokio::spawn(follow(relay, following, sender));
    tokio::spawn(write_all(writes, crashes.clone()));
    let mut sweep = tokio::time::interval(SWEEP.as_duration());
    loop {
        tokio::select! {
            Some(followed) = feed.recv() => {
                if let Followed::Changes { changes, listed } = followed {
                    for change in changes {
                        crashes.take(change);
                    }
                    if listed {
                        crashes.listed.send_replace(true);
                    }
                }
            }
            _ = sweep.tick() => {
                let expired = crashes.quarantine().expired(store.now(), ROWS_MOST);
                for (request, life) in expired {
                    crashes.quarantine().forget(request, &life);
                    crashes.write_crash(Crash { life, request }.key(), false);
                }
            }
            else => return,
        }
    }
}

/// Writes changes, and ends attempts once what they showed is written. A write whose
/// outcome is unknown is written again: it says the same.
async fn write_all(writes: CrashWrites, crashes: Arc<Crashes>) {
    let CrashWrites(mut writes) = writes;
    let store = &crashes.store;
    let mut some = Vec::new();
    while writes.recv_many(&mut some, ROWS_MOST).await > 0 {
        let taken = some.len();
        let mut last = BTreeMap::new();
        let mut over = Vec::new();
        for write in some.drain(..) {
            match write {
                Write::Crash { counts, key } => {
                    last.insert(key, counts);
                }
                Write::Release(attempt) => over.push(attempt),
            }
        }
        if !last.is_empty() {
            write_crashes(store, last).await;
        }
        for attempt in over {
            remove_attempt(store, attempt).await;
        }
        crashes.unshared.send_modify(|unshared| *unshared -= taken);
    }
}

/// Writes the crashes that count and removes the others, until the store has done so.
async fn write_crashes(store: &Store, crashes: BTreeMap<Key, bool>) {
    let at = value_at(store.now());
    let (set, remove): (Vec<_>, Vec<_>) = crashes.into_iter().partition(|(_, counts)| *counts);
    let transaction = Transaction {
        expect: Vec::new(),
        remove: remove.into_iter().map(|(key, _)| key).collect(),
        set: set.into_iter().map(|(key, _)| (key, at.clone())).collect(),
    };
    while let Err(error) = store.transact(&transaction).await {
        tracing::debug!(%error, "crashes wait for the store");
        tokio::time::sleep(WRITE_AGAIN.as_duration()).await;
    }
}

/// Frees an attempt, unless another holds it by now. One that stays is free by itself
/// after a while.
async fn remove_attempt(store: &Store, attempt: Attempt) {
    let key = attempt_key(attempt.request);
    let transaction = Transaction {
        expect: vec![(key.clone(), attempt.revision)],
        remove: vec![key],
        set: Vec::new(),
    };
    if let Err(error) = store.transact(&transaction).await {
        tracing::debug!(%error, "an attempt is not freed");
    }
}
