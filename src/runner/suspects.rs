//! Admits item runs to the engine and records which items its crashes count against.
//!
//! An item may crash the engines that run it. One that has lost two engines is a
//! suspect: it starts with the engine to itself, so that a crash can be attributed to
//! it. After three it is in quarantine.

use super::run_item::{
    DetectedCrash,
    Engine,
    RunEnd,
    Task, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError,
    policy::{
        broken_run::{self, ServerFate, Sighting, is_later, server_fate},
        quarantine::QuarantineState, //
    },
    routing::ServerIncarnation,
    view::{ClaimResult, ClaimedAttempt}, //
};
use std::sync::{
    MutexGuard,
    PoisonError,
    atomic::{AtomicUsize, Ordering}, //
};
use tokio::sync::{
    RwLockReadGuard,
    RwLockWriteGuard,
    SemaphorePermit, //
};

/// The lock that a run holds on its engine.
pub(super) enum RunGuard<'a> {
    /// Held by a suspect, so that nothing else starts. A lock that could not be acquired
    /// in time is `None`; the suspect starts all the same.
    Exclusive {
        _lock: Option<RwLockWriteGuard<'a, ()>>,
        _turn: Option<SemaphorePermit<'a>>,
    },
    /// Held by any other run.
    Shared { _guard: RwLockReadGuard<'a, ()> },
}

/// How long a suspect has its engine to itself: a request that crashes its engine does so
/// within some tenths of a second of its start.
const MAX_ISOLATION: Millis = Millis(600);

/// How long a suspect waits for the current runs to end. Their texts take seconds: a
/// suspect that waited for all of them would make its step late.
const DRAIN_TIMEOUT: Millis = Millis(300);

/// How long a suspect waits for its turn after others; a bundle has a few suspects.
const SUSPECT_TURN_TIMEOUT: Millis = Millis(1_600);

impl RunGuard<'_> {
    /// Whether an item with this `state` may start under this lock.
    fn permits(&self, state: QuarantineState) -> bool {
        match state {
            QuarantineState::Clear | QuarantineState::Watched => {
                matches!(self, Self::Shared { .. })
            }
            QuarantineState::Suspect | QuarantineState::Trial => {
                matches!(self, Self::Exclusive { .. })
            }
            QuarantineState::Barred => false,
        }
    }

    /// Waits for `run` while holding this lock, a suspect's for [`MAX_ISOLATION`] at most.
    /// Returns the lock if it is still held.
    pub(super) async fn hold_during<T>(self, run: impl Future<Output = T>) -> (T, Option<Self>) {
        let mut run = std::pin::pin!(run);
        if matches!(self, Self::Shared { .. }) {
            return (run.await, Some(self));
        }
        match tokio::time::timeout(MAX_ISOLATION.as_duration(), &mut run).await {
            Ok(end) => (end, Some(self)),
            Err(_) => {
                drop(self);
                (run.await, None)
            }
        }
    }
}

/// How long an attempt stays claimed at most: longer than an item takes to crash its
/// engine, and short enough for the item to wait this long after its runner was killed.
const ATTEMPT_TTL: Millis = Millis(3_000);

/// The permission to start an item's run.
pub(super) struct Admission<'a> {
    /// `None` for an item that no engine has crashed under, or while the store is
    /// unreachable.
    pub(super) attempt: Option<ClaimedAttempt>,
    pub(super) guard: RunGuard<'a>,
}

/// The outcome of claiming an item's attempt, which only one runner may hold at a time.
enum AttemptClaim {
    /// The item's crash count has changed meanwhile; its state has to be read again.
    Retry,
    /// This runner may start; without an attempt if none is needed or the store is
    /// unreachable.
    Granted(Option<ClaimedAttempt>),
    /// Another runner holds the attempt, or the item is in quarantine.
    Denied,
}

/// Counts an item as waiting for admission until this is dropped.
struct WaitingItem<'a>(&'a AtomicUsize);

impl<'a> WaitingItem<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingItem<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A run whose connection broke while it is not known whether its engine crashed.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    /// When the connection broke.
    at: Millis,
    attempt: Option<ClaimedAttempt>,
    incarnation: ServerIncarnation,
    request: Fingerprint,
}

/// The most broken runs that are kept: a few times what an engine runs at once.
const MAX_BROKEN_RUNS: usize = 64;

/// What to do with an item after a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AfterRun {
    /// Drop it here, so that its bundle is released and claimed again.
    GiveBack,
    /// Act on the [`RunEnd`].
    Continue,
}

/// How long an item waits for the work loop to notice that the engine has ended: slightly
/// longer than the time after which an engine without reports counts as gone.
const NOTICE_TIMEOUT: Millis = Millis(1_200);

/// How often an item that waits for admission checks whether it may start.
const ADMISSION_CHECK_INTERVAL: Millis = Millis(500);

/// How long the check whether the engine still listens may take.
const PROBE_TIMEOUT: Millis = Millis(100);

impl Engine {
    /// Waits until `task` may run; `None` when its time is over before.
    ///
    /// An item that an engine has crashed under runs at one instance at a time: its bundle
    /// may have two runners, and it would crash both their engines. A suspect also starts
    /// with the engine to itself, so that the next crash counts against it alone: without
    /// this, innocent items that ran next to it reached their third crash.
    pub(super) async fn admit(&self, task: &Task) -> Option<Admission<'_>> {
        let deadline = self.deadline_of(task);
        let request = task.fingerprint;
        let mut waiting = None;
        self.crashes.wait_listed().await;
        if task.reclaimed {
            self.crashes.refresh(request).await;
        }
        loop {
            let guard = match self.crashes.quarantine_state(request) {
                QuarantineState::Clear | QuarantineState::Watched => {
                    let shared = tokio::time::timeout_at(deadline, self.run_lock.read()).await;
                    Some(RunGuard::Shared {
                        _guard: shared.ok()?,
                    })
                }
                QuarantineState::Suspect | QuarantineState::Trial => Some(self.isolate().await),
                QuarantineState::Barred => None,
            };
            // A run that ended during the wait may have changed the state.
            let state = self.crashes.quarantine_state(request);
            match guard {
                Some(guard) if guard.permits(state) => {
                    match self.claim_attempt(request, state).await {
                        AttemptClaim::Granted(attempt) => {
                            if state != QuarantineState::Clear {
                                let (item, claimed) = (&task.item.id, attempt.is_some());
                                let ended = self.crashes.crash_count(request);
                                tracing::info!(item, %request, verdict = ?state, ended, claimed, "item with crashes admitted");
                            }
                            return Some(Admission { attempt, guard });
                        }
                        AttemptClaim::Retry => continue,
                        AttemptClaim::Denied => {}
                    }
                }
                Some(_) if state != QuarantineState::Barred => continue,
                Some(_) | None => {}
            }
            if waiting.is_none() {
                let item = &task.item.id;
                tracing::warn!(item, %request, verdict = ?state, "item waits: engines have crashed under it");
                waiting = Some(WaitingItem::begin(&self.waiting_items));
            }
            // The bundle stays claimed: released, it would be claimed again and again.
            let again = tokio::time::sleep(ADMISSION_CHECK_INTERVAL.as_duration());
            tokio::time::timeout_at(deadline, again).await.ok()?;
        }
    }

    /// Claims the attempt at a request with this `state`; a clear one needs none.
    async fn claim_attempt(&self, request: Fingerprint, state: QuarantineState) -> AttemptClaim {
        let claimed = match state {
            QuarantineState::Clear => return AttemptClaim::Granted(None),
            QuarantineState::Watched | QuarantineState::Suspect => {
                self.crashes.claim_attempt(request, ATTEMPT_TTL).await
            }
            QuarantineState::Trial => match self.crashes.claim_trial(request).await {
                Some(attempt) => ClaimResult::Here(attempt),
                None => ClaimResult::Elsewhere,
            },
            QuarantineState::Barred => return AttemptClaim::Denied,
        };
        match claimed {
            // Claiming has read the crashes that others have recorded meanwhile.
            ClaimResult::Here(attempt) if self.crashes.quarantine_state(request) == state => {
                AttemptClaim::Granted(Some(attempt))
            }
            ClaimResult::Here(attempt) => {
                self.crashes.release_attempt(attempt);
                AttemptClaim::Retry
            }
            // While the store is unreachable, each runner decides by what it knows.
            ClaimResult::Unknown => AttemptClaim::Granted(None),
            ClaimResult::Elsewhere => AttemptClaim::Denied,
        }
    }

    /// Acquires a suspect's exclusive lock: waits for other suspects and then for the
    /// current runs, both with a timeout, and goes ahead without a lock that it did not
    /// get in time.
    async fn isolate(&self) -> RunGuard<'_> {
        let turn = tokio::time::timeout(
            SUSPECT_TURN_TIMEOUT.as_duration(),
            self.suspect_turn.acquire(),
        );
        let turn = turn.await.ok().and_then(Result::ok);
        let alone = tokio::time::timeout(DRAIN_TIMEOUT.as_duration(), self.run_lock.write());
        RunGuard::Exclusive {
            _lock: alone.await.ok(),
            _turn: turn,
        }
    }

    /// Whether a suspect has the engine to itself, or waits for that.
    pub(super) fn is_isolating(&self) -> bool {
        self.run_lock.try_read().is_err()
    }

    /// The deadline of `task` on the clock of tokio's timers.
    fn deadline_of(&self, task: &Task) -> tokio::time::Instant {
        let left = task.deadline.since(self.clock.now());
        tokio::time::Instant::now() + left.as_duration()
    }

    /// If the run ended because the engine crashed, counts the crash of `incarnation`
    /// against `task`, unless the engine had not read the request, and returns true.
    async fn record_crash(
        &self,
        incarnation: &ServerIncarnation,
        task: &Task,
        run: &RunEnd,
    ) -> bool {
        let has_crashed = match run {
            RunEnd::Replaced => self.is_replaced(incarnation),
            RunEnd::Broken(CallError::Broken { .. }) => self.has_crashed(incarnation).await,
            _ => false,
        };
        if has_crashed {
            self.last_crash.send_replace(Some(DetectedCrash {
                at: self.clock.now(),
                incarnation: incarnation.clone(),
            }));
            if run.may_have_run() {
                self.crashes.record_crash(incarnation, &[task.fingerprint]);
            }
        }
        has_crashed
    }

    /// Whether `incarnation`, to which the connection broke, has ended unplanned.
    async fn has_crashed(&self, incarnation: &ServerIncarnation) -> bool {
        // Several runs lose their engine at once: what one of them has detected holds for
        // all, even if the engine listens again by now.
        let found = self.has_detected_crash(incarnation);
        let present = self.incarnation.borrow().clone();
        match present {
            Some(present) if present == *incarnation => {
                found || self.peer.refuses_connections(PROBE_TIMEOUT).await
            }
            Some(_) => self.is_replaced(incarnation),
            None if self.is_draining(incarnation) != Some(false) => false,
            None => found || self.peer.refuses_connections(PROBE_TIMEOUT).await,
        }
    }

    /// Decides for each broken run whether its engine has ended, given a report of the engine.
    /// The end counts as a crash unless the engine was draining. A run is kept while the report
    /// doesn't show what became of its engine.
    ///
    /// An engine that restarts at once looks as if it had not ended. The run's attempt
    /// stays claimed until this is decided: another attempt could crash another engine.
    pub(super) fn resolve_broken_runs(&self, seen: Sighting<'_>) {
        self.broken_runs().retain(|run| {
            let incarnation = &run.incarnation;
            let broken = broken_run::BrokenRun {
                at: run.at,
                incarnation,
            };
            let Some(fate) = server_fate(broken, seen) else {
                return true;
            };
            let (request, server) = (run.request, &incarnation.id);
            let waited = self.clock.now().since(run.at).0;
            tracing::info!(%request, server, ?fate, waited, "engine checked after a broken run");
            if fate == ServerFate::Ended && self.is_draining(incarnation) != Some(true) {
                self.crashes.record_crash(incarnation, &[request]);
            }
            self.release_attempt(run.attempt);
            false
        });
    }

    /// Keeps a broken run until it is known whether its engine has crashed.
    fn add_broken_run(&self, run: BrokenRun) {
        let mut broken = self.broken_runs();
        if broken.len() < MAX_BROKEN_RUNS {
            broken.push(run);
        }
    }

    fn broken_runs(&self) -> MutexGuard<'_, Vec<BrokenRun>> {
        self.broken_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a later incarnation has replaced `incarnation`, which was not draining.
    fn is_replaced(&self, incarnation: &ServerIncarnation) -> bool {
        let next = self.incarnation.borrow().clone();
        let is_later = next.is_some_and(|next| is_later(&next, incarnation));
        is_later && self.is_draining(incarnation) != Some(true)
    }

    /// Whether the server with the id of `incarnation` is draining; `None` if none is
    /// announced.
    fn is_draining(&self, incarnation: &ServerIncarnation) -> Option<bool> {
        let directory = self.scorer_client.site.directory();
        directory.get(&incarnation.id).map(|known| known.draining)
    }

    /// Whether a run has detected that `incarnation` has crashed.
    pub(super) fn has_detected_crash(&self, incarnation: &ServerIncarnation) -> bool {
        let crash = self.last_crash.borrow();
        crash
            .as_ref()
            .is_some_and(|crash| crash.incarnation == *incarnation)
    }

    /// Waits until the work loop has noticed the crash that a run has detected, if any.
    pub(super) async fn wait_crash_noticed(&self) {
        let present = self.incarnation.borrow().clone();
        if let Some(present) = present.filter(|present| self.has_detected_crash(present)) {
            self.wait_until_noticed(&present).await;
        }
    }

    /// Waits until the work loop has noticed the end of `incarnation`.
    pub(super) async fn wait_until_noticed(&self, incarnation: &ServerIncarnation) {
        let mut known = self.incarnation.clone();
        let other = known.wait_for(|known| known.as_ref() != Some(incarnation));
        // The work loop relies on the engine's reports, which are stale by the end of this
        // time.
        let _ = tokio::time::timeout(NOTICE_TIMEOUT.as_duration(), other).await;
    }

    /// Releases the attempt of an item whose run is over or did not start. Otherwise the
    /// next run of the item would have to wait until the attempt expires.
    pub(super) fn release_attempt(&self, attempt: Option<ClaimedAttempt>) {
        if let Some(attempt) = attempt {
            self.crashes.release_attempt(attempt);
        }
    }

    /// Records what the end of a run shows about its item, and releases `admitted`, whose
    /// lock may be released already.
    pub(super) async fn after_run(
        &self,
        incarnation: &ServerIncarnation,
        task: &Task,
        run: &RunEnd,
        admitted: (Option<ClaimedAttempt>, Option<RunGuard<'_>>),
    ) -> AfterRun {
        let request = task.fingerprint;
        let (attempt, guard) = admitted;
        let ended = self.record_crash(incarnation, task, run).await;
        drop(guard);
        match run {
            RunEnd::Broken(CallError::Broken { unread: false, .. }) if !ended => self
                .add_broken_run(BrokenRun {
                    at: self.clock.now(),
                    attempt,
                    incarnation: incarnation.clone(),
                    request,
                }),
            _ => self.release_attempt(attempt),
        }
        if matches!(run, RunEnd::Whole | RunEnd::Failed | RunEnd::Unprocessable) {
            self.crashes.record_answer(request);
        }
        let state = self.crashes.quarantine_state(request);
        if !ended || matches!(state, QuarantineState::Clear | QuarantineState::Watched) {
            return AfterRun::Continue;
        }
        // Other runners may take its bundle over by now. The bundle has to be claimed
        // again, so that the item does not run twice at once and crash two engines.
        let item = &task.item.id;
        tracing::info!(item, %request, "giving a suspect back after its engine crashed");
        // A bundle released before the work loop knows of the crash would be claimed here
        // again at once.
        self.wait_until_noticed(incarnation).await;
        AfterRun::GiveBack
    }
}
