//! Crashes of servers while they ran requests, shared among all instances.

use super::crash_row::{
    CRASHES,
    Crash,
    trial_key,
    value_at,
    written_at, //
};
use crate::{
    base::{Fingerprint, Millis},
    platform::Store,
    policy::quarantine::{CrashPolicy, MAX_CRASHES, Quarantine, QuarantineState},
    relay::{FollowEvent, FollowOptions, MAX_BACKOFF, Relay, follow},
    routing::ServerIncarnation,
    store::{Change, Key, Transaction, TransactionOutcome}, //
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

/// The crashes that this program saw or received; [`sync_crashes`] shares them.
///
/// A request that crashes each server that runs it is sent again to other instances,
/// under other ids. The instances share the crashes through the store, so that such a
/// request crashes at most three servers, wherever it arrives.
pub struct Crashes {
    /// Whether the table of crashes was listed since the start.
    listed: watch::Sender<bool>,
    /// Until when calls wait for that listing.
    listing_deadline: Instant,
    quarantine: Mutex<Quarantine>,
    store: Store,
    writes: mpsc::Sender<Write>,
}

/// The trial of a request in quarantine that this instance has claimed. One instance at a time
/// may hold the claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedTrial {
    request: Fingerprint,
    /// The revision of the claim's row; a later claim replaces the row.
    revision: u64,
}

/// The receiving end of the queue of changes, for [`sync_crashes`].
pub struct CrashWrites(mpsc::Receiver<Write>);

/// A queued change to the tables of crashes and trials.
#[derive(Debug)]
enum Write {
    /// Write the row of a crash if it `counts` against its request; remove the row if not.
    Crash { counts: bool, key: Key },
    /// Release a trial. The crashes it caused were queued before.
    Release(ClaimedTrial),
}

/// How many changes may be queued for the store. A server's crash concerns some ten
/// requests, so the queue overflows only if dozens of servers crash in an outage.
const MAX_PENDING_WRITES: usize = 1_024;

/// The maximum number of rows in one transaction; the store accepts 100.
const MAX_TRANSACTION_ROWS: usize = 90;

/// The delay after a failed write.
const WRITE_RETRY_DELAY: Millis = Millis(200);

/// How long the store holds a call for changes. A feed that stopped delivering is
/// detected half a second after this: within the 3 s that the users allow until all
/// instances know a crash.
const CHANGES_HOLD: Millis = Millis(1_500);

/// The delay after a batch of changes, so that the changes of one crash arrive together.
const BATCH_DELAY: Millis = Millis(10);

/// How long a trial stays claimed if its holder doesn't release it: the run time of a
/// long item. A trial that ended without an answer or a crash can be claimed again then.
const TRIAL_TIMEOUT: Millis = Millis(10_000);

/// How long after the start calls wait for the listing of crashes, which usually takes
/// some milliseconds.
const LISTING_TIMEOUT: Millis = Millis(1_000);

/// How often expired crashes are removed.
const SWEEP_INTERVAL: Millis = Millis(60_000);

/// How many batches of changes may be queued; the follower waits while the queue is full.
const FEED_CAPACITY: usize = 16;

impl Crashes {
    /// Creates the state with no known crash; `policy` says what crashes mean for the requests
    /// of this program. Crashes are shared through `store`.
    pub fn open(store: Store, policy: CrashPolicy) -> (Arc<Self>, CrashWrites) {
        let (writes, pending) = mpsc::channel(MAX_PENDING_WRITES);
        let crashes = Self {
            listed: watch::Sender::new(false),
            listing_deadline: Instant::now() + LISTING_TIMEOUT.as_duration(),
            quarantine: Mutex::new(Quarantine::new(policy)),
            store,
            writes,
        };
        (Arc::new(crashes), CrashWrites(pending))
    }

    /// Records that the server with `incarnation` crashed while it ran `requests`.
    pub fn record_crash(&self, incarnation: &ServerIncarnation, requests: &[Fingerprint]) {
        let now = self.store.now();
        for request in requests {
            let (request, incarnation) = (*request, incarnation.clone());
            if self.quarantine().is_answered(request, now) {
                let server = &incarnation.id;
                tracing::info!(%request, server, "crash not counted: request answered elsewhere");
                continue;
            }
            if !self
                .quarantine()
                .record_crash(request, incarnation.clone(), now)
            {
                continue;
            }
            let ended = self.quarantine().crash_count(request);
            let server = &incarnation.id;
            tracing::warn!(%request, server, ended, "server crashed while it ran a request");
            metrics::counter!("redwing_crashes_seen_total").increment(1);
            if ended == MAX_CRASHES && self.quarantine().is_quarantined(ended) {
                tracing::warn!(%request, ended, "request quarantined");
                metrics::counter!("redwing_requests_quarantined_total").increment(1);
            }
            self.queue_crash(
                Crash {
                    incarnation,
                    request,
                }
                .key(),
                true,
            );
        }
    }

    /// Records that a server answered `request`, which clears its crashes.
    pub fn record_answer(&self, request: Fingerprint) {
        let cleared = self.quarantine().clear(request, self.store.now());
        if cleared.is_empty() {
            return;
        }
        let ended = cleared.len();
        tracing::info!(%request, ended, "crashes cleared: a server answered the request");
        for incarnation in cleared {
            self.queue_crash(
                Crash {
                    incarnation,
                    request,
                }
                .key(),
                false,
            );
        }
    }

    /// How `request` may run, by the crashes of servers that ran it.
    pub fn quarantine_state(&self, request: Fingerprint) -> QuarantineState {
        let now = self.store.now();
        self.quarantine().state(request, now)
    }

    /// How long an item pauses before it runs again, by the crashes of engines that ran it.
    pub fn pause(&self, request: Fingerprint) -> Millis {
        let now = self.store.now();
        self.quarantine().pause(request, now)
    }

    /// Claims the trial of `request`, which is in quarantine, and reads the crashes of earlier
    /// attempts from the store. `None` if another instance has claimed it, the store didn't
    /// answer, or the trial is no longer due. A claim that is not released expires after
    /// 10 s.
    pub async fn claim_trial(&self, request: Fingerprint) -> Option<ClaimedTrial> {
        if self.store.is_unreachable() {
            return None;
        }
        let trial = self.write_claim(request).await?;
        // The previous holder wrote the crashes it saw before it released the claim.
        self.refresh(request).await;
        let (ended, revision) = (self.crash_count(request), trial.revision);
        tracing::info!(%request, ended, revision, "trial claimed");
        // Another instance may have made the trial meanwhile.
        if self.quarantine_state(request) == QuarantineState::Barred {
            self.release_trial(trial);
            return None;
        }
        Some(trial)
    }

    /// Writes the claim on the trial of `request`, unless another instance holds it.
    async fn write_claim(&self, request: Fingerprint) -> Option<ClaimedTrial> {
        let key = trial_key(request);
        let mut expected = 0;
        for _ in 0..2 {
            let now = self.store.now();
            let transaction = Transaction {
                expect: vec![(key.clone(), expected)],
                remove: Vec::new(),
                set: vec![(key.clone(), value_at(now))],
            };
            let rows = match self.store.transact(&transaction).await {
                Ok(TransactionOutcome::Done { revision }) => {
                    return Some(ClaimedTrial { request, revision });
                }
                Ok(TransactionOutcome::Conflict { rows }) => rows,
                Err(error) => {
                    tracing::info!(%request, %error, "trial not claimed");
                    return None;
                }
            };
            let free = rows.iter().find_map(|row| {
                let at = written_at(row.value.as_ref()?)?;
                (now.since(at) >= TRIAL_TIMEOUT).then_some(row.revision)
            });
            match free {
                Some(free) => expected = free,
                // The holder released the claim after the first try.
                None if rows.is_empty() => expected = 0,
                None => return None,
            }
        }
        None
    }

    /// How many servers have crashed while they ran `request`.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.quarantine().crash_count(request)
    }

    /// Whether the table of crashes was listed since the start.
    pub fn are_listed(&self) -> bool {
        *self.listed.borrow()
    }

    /// Reads the crashes of `request` from the store, without waiting for the feed: the
    /// request may come from an instance that has just lost its server.
    async fn refresh(&self, request: Fingerprint) {
        let prefix = format!("{request}/");
        match self
            .store
            .rows(CRASHES, "", &prefix, MAX_TRANSACTION_ROWS)
            .await
        {
            Ok(listing) => {
                let rows = listing.rows.into_iter();
                for row in rows.take_while(|row| row.key.starts_with(&prefix)) {
                    if let Some(value) = row.value {
                        let (key, revision) = (row.key, row.revision);
                        self.apply_change(Change::Put {
                            key,
                            part: row.part,
                            revision,
                            value,
                        });
                    }
                }
            }
            Err(error) => tracing::info!(%request, %error, "crashes of the request not read"),
        }
    }

    /// Waits until the table of crashes was listed, for a second after the start at most.
    ///
    /// Requests may reach a program before it is ready. One that had crashed servers before
    /// arrived 5 ms after a start, when the program knew no crashes.
    pub async fn wait_listed(&self) {
        let mut listed = self.listed.subscribe();
        let read = listed.wait_for(|listed| *listed);
        // A timeout is harmless: without the store there is no configuration, and so no
        // call is sent.
        let _ = tokio::time::timeout_at(self.listing_deadline, read).await;
    }

    /// Releases a trial that did not run. The release is written after the crashes queued
    /// before, so that the next holder reads them.
    pub fn release_trial(&self, trial: ClaimedTrial) {
        self.queue(Write::Release(trial));
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn queue_crash(&self, key: Key, counts: bool) {
        self.queue(Write::Crash { counts, key });
    }

    fn queue(&self, write: Write) {
        if let Err(error) = self.writes.try_send(write) {
            metrics::counter!("redwing_crashes_unshared_total").increment(1);
            tracing::warn!(%error, "crash or release not shared with other instances");
        }
    }

    fn apply_change(&self, change: Change) {
        let (key, value) = match change {
            Change::Put { key, value, .. } => (key, Some(value)),
            Change::Removed { key, .. } => (key, None),
        };
        let Some(Crash {
            incarnation,
            request,
        }) = Crash::parse(&key)
        else {
            tracing::warn!(key, "invalid crash key ignored");
            return;
        };
        let at = value.map(|value| written_at(&value));
        match at {
            None => self.quarantine().forget(request, &incarnation),
            Some(None) => {}
            Some(Some(at)) => {
                let mut quarantine = self.quarantine();
                let server = incarnation.id.clone();
                if quarantine.record_crash(request, incarnation, at) {
                    let ended = quarantine.crash_count(request);
                    tracing::info!(%request, server, ended, "crash received from the store");
                }
            }
        }
    }
}

/// Shares crashes with all instances through the store and removes expired ones, until the
/// program ends.
pub async fn sync_crashes(crashes: Arc<Crashes>, writes: CrashWrites, relay: Arc<Relay>) {
    let store = &crashes.store;
    let (sender, mut feed) = mpsc::channel(FEED_CAPACITY);
    let options = FollowOptions {
        max_backoff: MAX_BACKOFF,
        hold: CHANGES_HOLD,
        batch_delay: BATCH_DELAY,
        has_parts: false,
        table: CRASHES,
    };
    tokio::spawn(follow(relay, options, sender));
    tokio::spawn(run_writer(writes, crashes.clone()));
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL.as_duration());
    loop {
        tokio::select! {
            Some(event) = feed.recv() => {
                if let FollowEvent::Changes { changes, listed } = event {
                    for change in changes {
                        crashes.apply_change(change);
                    }
                    if listed {
                        crashes.listed.send_replace(true);
                    }
                }
            }
            _ = sweep.tick() => {
                let expired = crashes.quarantine().expired(store.now(), MAX_TRANSACTION_ROWS);
                for (request, incarnation) in expired {
                    crashes.quarantine().forget(request, &incarnation);
                    crashes.queue_crash(Crash { incarnation, request }.key(), false);
                }
            }
            else => return,
        }
    }
}

/// Writes queued changes: in each batch first the crashes, then the releases of trials.
/// A write of crashes whose outcome is unknown is repeated, as it is idempotent.
async fn run_writer(writes: CrashWrites, crashes: Arc<Crashes>) {
    let CrashWrites(mut writes) = writes;
    let store = &crashes.store;
    let mut batch = Vec::new();
    while writes.recv_many(&mut batch, MAX_TRANSACTION_ROWS).await > 0 {
        let mut crash_rows = BTreeMap::new();
        let mut released = Vec::new();
        for write in batch.drain(..) {
            match write {
                Write::Crash { counts, key } => {
                    crash_rows.insert(key, counts);
                }
                Write::Release(trial) => released.push(trial),
            }
        }
        if !crash_rows.is_empty() {
            store_crashes(store, crash_rows).await;
        }
        for trial in released {
            remove_claim(store, trial).await;
        }
    }
}

/// Writes the crashes that count and removes the others; retries until the store has
/// applied it.
async fn store_crashes(store: &Store, crashes: BTreeMap<Key, bool>) {
    let at = value_at(store.now());
    let (set, remove): (Vec<_>, Vec<_>) = crashes.into_iter().partition(|(_, counts)| *counts);
    let transaction = Transaction {
        expect: Vec::new(),
        remove: remove.into_iter().map(|(key, _)| key).collect(),
        set: set.into_iter().map(|(key, _)| (key, at.clone())).collect(),
    };
    while let Err(error) = store.transact(&transaction).await {
        tracing::debug!(%error, "crashes not written, retrying");
        tokio::time::sleep(WRITE_RETRY_DELAY.as_duration()).await;
    }
}

/// Removes the row of a claimed trial, unless another instance has claimed it meanwhile.
/// There is no retry: the claim times out.
async fn remove_claim(store: &Store, trial: ClaimedTrial) {
    let key = trial_key(trial.request);
    let transaction = Transaction {
        expect: vec![(key.clone(), trial.revision)],
        remove: vec![key],
        set: Vec::new(),
    };
    if let Err(error) = store.transact(&transaction).await {
        tracing::debug!(%error, "trial not released");
    }
}
