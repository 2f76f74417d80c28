//! Items under which engines end: who may run, and what a run's end tells.

use super::run_item::{
    Engine,
    RunEnd,
    Task, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError,
    policy::quarantine::Verdict,
    routing::Life,
    view::{Attempt, Claimed}, //
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

/// A run's place on its engine, free again when this is dropped.
pub(super) enum RunGuard<'a> {
    /// A suspect's: nothing else begins there, where it could be had in time.
    Exclusive {
        _lock: Option<RwLockWriteGuard<'a, ()>>,
        _turn: Option<SemaphorePermit<'a>>,
    },
    Shared {
        _guard: RwLockReadGuard<'a, ()>,
    },
}

/// How long a suspect has its engine to itself: a request that ends its engine does so
/// within some tenths of a second of its begin.
const MAX_ISOLATION: Millis = Millis(600);

/// How long it waits for the runs before it to end. Texts take seconds: whoever waited
/// for them, or for suspects with such texts, would lie for longer than a step bears.
const DRAIN_TIMEOUT: Millis = Millis(300);

/// How long it waits for other suspects, of which a bundle has a few.
const SUSPECT_TURN_TIMEOUT: Millis = Millis(1_600);

impl RunGuard<'_> {
    /// Whether an item of which `verdict` is known may begin here.
    fn permits(&self, verdict: Verdict) -> bool {
        match verdict {
            Verdict::Clear | Verdict::Watched => matches!(self, Self::Shared { .. }),
            Verdict::Suspect | Verdict::Trial => matches!(self, Self::Exclusive { .. }),
            Verdict::Barred => false,
        }
    }

    /// Waits for `run`, which holds this place: a suspect's for a while only.
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

/// How long a runner has for an attempt: longer than an item takes to end its engine,
/// and shorter than it may lie when its runner was killed.
const ATTEMPT_TTL: Millis = Millis(3_000);

/// What lets an item begin.
pub(super) struct Admission<'a> {
    /// `None` for an item under which no engine has ended, or while the store is away.
    pub(super) attempt: Option<Attempt>,
    pub(super) guard: RunGuard<'a>,
}

/// Whose turn it is to run an item.
enum AttemptClaim {
    /// More engines have ended under it meanwhile.
    Retry,
    Granted(Option<Attempt>),
    Denied,
}

/// Counts an item as waiting in quarantine until it is dropped.
struct QuarantineGuard<'a>(&'a AtomicUsize);

impl<'a> QuarantineGuard<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for QuarantineGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A run whose connection broke.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    at: Millis,
    attempt: Option<Attempt>,
    incarnation: Life,
    request: Fingerprint,
}

/// A report may have been made so long before it came.
const REPORT_DELAY: Millis = Millis(100);

/// The most of them that are kept: some times what an engine runs at once.
const MAX_BROKEN_RUNS: usize = 64;

/// Whether `next` began after `life`. Where engines don't tell when they started, ids
/// tell lives apart.
fn is_later(next: &Life, incarnation: &Life) -> bool {
    let untold = next.born == Millis(0) && next.id != incarnation.id;
    next.born > incarnation.born || untold
}

/// What becomes of an item after a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AfterRun {
    /// It is given back, to be claimed anew.
    GiveBack,
    /// Its run goes on as that run's end says.
    Continue,
}

/// When an engine that gives no report counts as lost, and a little more.
const NOTICE_TIMEOUT: Millis = Millis(1_200);

/// How often an item in quarantine looks whether it may be tried.
const QUARANTINE_CHECK_INTERVAL: Millis = Millis(500);

/// How long the look whether the engine beside this runner listens may take.
const PROBE_TIMEOUT: Millis = Millis(100);

impl Engine {
    /// Waits until `task` may run; `None` when its time is over before.
    ///
    /// An item under which an engine has ended runs at one instance at a time: its
    /// bundle may have two runners, and it would end both their engines. A suspect also
    /// begins with the engine to itself, so that the engine's next end tells of it
    /// alone: beside it, items that did nothing wrong had their third end.
    pub(super) async fn admit(&self, task: &Task) -> Option<Admission<'_>> {
        let deadline = self.deadline_of(task);
        let request = task.fingerprint;
        let mut waiting = None;
        self.crashes.wait_listed().await;
        if task.reclaimed {
            self.crashes.refresh(request).await;
        }
        loop {
            let guard = match self.crashes.judge(request) {
                Verdict::Clear | Verdict::Watched => {
                    let shared = tokio::time::timeout_at(deadline, self.run_lock.read()).await;
                    Some(RunGuard::Shared {
                        _guard: shared.ok()?,
                    })
                }
                Verdict::Suspect | Verdict::Trial => Some(self.isolate().await),
                Verdict::Barred => None,
            };
            // Whoever ran before may have shown what this one is.
            let verdict = self.crashes.judge(request);
            match guard {
                Some(guard) if guard.permits(verdict) => match self
                    .claim_attempt(request, verdict)
                    .await
                {
                    AttemptClaim::Granted(attempt) => return Some(Admission { attempt, guard }),
                    AttemptClaim::Retry => continue,
                    AttemptClaim::Denied => {}
                },
                Some(_) if verdict != Verdict::Barred => continue,
                Some(_) | None => {}
            }
            if waiting.is_none() {
                let item = &task.item.id;
                tracing::warn!(item, %request, ?verdict, "the item waits: engines have ended under it");
                waiting = Some(QuarantineGuard::begin(&self.quarantined));
            }
            // It keeps its bundle, which would be offered and taken again and again.
            let again = tokio::time::sleep(QUARANTINE_CHECK_INTERVAL.as_duration());
            tokio::time::timeout_at(deadline, again).await.ok()?;
        }
    }

    /// Takes the attempt of a request of which `verdict` was known, unless it is clear.
    async fn claim_attempt(&self, request: Fingerprint, verdict: Verdict) -> AttemptClaim {
        let claimed = match verdict {
            Verdict::Clear => return AttemptClaim::Granted(None),
            Verdict::Watched | Verdict::Suspect => {
                self.crashes.claim_attempt(request, ATTEMPT_TTL).await
            }
            Verdict::Trial => match self.crashes.claim_trial(request).await {
                Some(attempt) => Claimed::Here(attempt),
                None => Claimed::Elsewhere,
            },
            Verdict::Barred => return AttemptClaim::Denied,
        };
        match claimed {
            // The claim has read what others saw meanwhile.
            Claimed::Here(attempt) if self.crashes.judge(request) == verdict => {
                AttemptClaim::Granted(Some(attempt))
            }
            Claimed::Here(attempt) => {
                self.crashes.release_attempt(attempt);
                AttemptClaim::Retry
            }
            // Without the store each runner goes by what it knows.
            Claimed::Unknown => AttemptClaim::Granted(None),
            Claimed::Elsewhere => AttemptClaim::Denied,
        }
    }

    /// A suspect's place: other suspects go before it, and the runs before it end, as
    /// far as that takes no longer than an item may lie.
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

    fn deadline_of(&self, task: &Task) -> tokio::time::Instant {
        let left = task.deadline.since(self.clock.now());
        tokio::time::Instant::now() + left.as_duration()
    }

    /// Counts the end of the life `server` against `task` if it was not planned;
    /// true if so.
    async fn record_crash(&self, incarnation: &Life, task: &Task, run: &RunEnd) -> bool {
        let has_crashed = match run {
            RunEnd::Replaced => self.is_replaced(incarnation),
            RunEnd::Broken(CallError::Broken { .. }) => self.has_crashed(incarnation).await,
            _ => false,
        };
        if has_crashed {
            self.last_crashed.send_replace(Some(incarnation.clone()));
            self.crashes.note(incarnation, &[task.fingerprint]);
        }
        has_crashed
    }

    /// Whether the life `server`, whose connection broke, has ended and was not to.
    async fn has_crashed(&self, incarnation: &Life) -> bool {
        // Several runs lose their engine at once: what one of them found, and the work
        // loop by it, holds for all.
        let found = self.last_crashed.borrow().as_ref() == Some(incarnation);
        let present = self.incarnation.borrow().clone();
        match present {
            Some(present) if present == *incarnation => {
                found || self.peer.is_gone(PROBE_TIMEOUT).await
            }
            Some(_) => self.is_replaced(incarnation),
            None if self.is_draining(incarnation) != Some(false) => false,
            None => found || self.peer.is_gone(PROBE_TIMEOUT).await,
        }
    }

    /// Settles the runs that broke off, by a report that came at `seen` of the life
    /// `present`: it lives, or is a later one.
    ///
    /// An engine that is back at once looks as if it had not ended. Another attempt of
    /// the item before that is known would end another engine.
    pub(super) fn resolve_broken_runs(&self, present: &Life, seen: Millis) {
        self.broken_runs().retain(|run| {
            let lives = run.incarnation == *present && seen > run.at + REPORT_DELAY;
            let ended = is_later(present, &run.incarnation);
            if ended && self.is_draining(&run.incarnation) != Some(true) {
                self.crashes.note(&run.incarnation, &[run.request]);
            }
            if lives || ended {
                self.release_attempt(run.attempt);
            }
            !lives && !ended
        });
    }

    /// Keeps a run that broke off until it is known whether its engine has ended.
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

    /// Whether a later life has taken the place of `server`, which was not to end.
    fn is_replaced(&self, incarnation: &Life) -> bool {
        let next = self.incarnation.borrow().clone();
        let is_later = next.is_some_and(|next| is_later(&next, incarnation));
        is_later && self.is_draining(incarnation) != Some(true)
    }

    /// Whether a server called as `server` leaves; `None` where none is announced.
    fn is_draining(&self, incarnation: &Life) -> Option<bool> {
        let directory = self.scorer_client.site.directory();
        directory.get(&incarnation.id).map(|known| known.draining)
    }

    /// Waits until the end of the life `server` is known to the work loop.
    pub(super) async fn wait_until_noticed(&self, incarnation: &Life) {
        let mut known = self.incarnation.clone();
        let other = known.wait_for(|known| known.as_ref() != Some(incarnation));
        // The work loop looks at the engine's reports; past this they are stale.
        let _ = tokio::time::timeout(NOTICE_TIMEOUT.as_duration(), other).await;
    }

    /// Gives back the attempt of an item that is over or did not begin: whoever runs it
    /// next would wait for it until it is free by itself, and the item would lie.
    pub(super) fn release_attempt(&self, attempt: Option<Attempt>) {
        if let Some(attempt) = attempt {
            self.crashes.release_attempt(attempt);
        }
    }

    /// Takes what a run tells of its item; `admitted` may have given its place back.
    pub(super) async fn after_run(
        &self,
        incarnation: &Life,
        task: &Task,
        run: &RunEnd,
        admitted: (Option<Attempt>, Option<RunGuard<'_>>),
    ) -> AfterRun {
        let request = task.fingerprint;
        let (attempt, guard) = admitted;
        let ended = self.record_crash(incarnation, task, run).await;
        drop(guard);
        match run {
            RunEnd::Broken(CallError::Broken { .. }) if !ended => self.add_broken_run(BrokenRun {
                at: self.clock.now(),
                attempt,
                incarnation: incarnation.clone(),
                request,
            }),
            _ => self.release_attempt(attempt),
        }
        if matches!(run, RunEnd::Whole | RunEnd::Failed | RunEnd::Unprocessable) {
            self.crashes.survived(request);
        }
        let verdict = self.crashes.judge(request);
        if !ended || matches!(verdict, Verdict::Clear | Verdict::Watched) {
            return AfterRun::Continue;
        }
        // Others take its bundle over by now. It is claimed anew, so that it does
        // not run here and there at once, and ends two engines.
        let item = &task.item.id;
        tracing::info!(item, %request, "a suspect is given back after its run broke off");
        // Before that the bundle would be claimed here again at once.
        self.wait_until_noticed(incarnation).await;
        AfterRun::GiveBack
    }
}
