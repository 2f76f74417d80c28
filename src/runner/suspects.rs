//! Items under which engines end: who may run, and what a run's end tells.

use super::run_item::{
    Engine,
    Run,
    Task, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError,
    policy::quarantine::QuarantineState,
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
pub(super) enum Place<'a> {
    /// A suspect's: nothing else begins there, where it could be had in time.
    Alone {
        _alone: Option<RwLockWriteGuard<'a, ()>>,
        _turn: Option<SemaphorePermit<'a>>,
    },
    Shared {
        _guard: RwLockReadGuard<'a, ()>,
    },
}

/// How long a suspect has its engine to itself: a request that ends its engine does so
/// within some tenths of a second of its begin.
const ALONE_MOST: Millis = Millis(600);

/// How long it waits for the runs before it to end. Texts take seconds: whoever waited
/// for them, or for suspects with such texts, would lie for longer than a step bears.
const DRAIN_MOST: Millis = Millis(300);

/// How long it waits for other suspects, of which a bundle has a few.
const TURN_MOST: Millis = Millis(1_600);

impl Place<'_> {
    /// Whether an item of which `verdict` is known may begin here.
    fn suits(&self, verdict: QuarantineState) -> bool {
        match verdict {
            QuarantineState::Clear | QuarantineState::Watched => {
                matches!(self, Self::Shared { .. })
            }
            QuarantineState::Suspect | QuarantineState::Trial => matches!(self, Self::Alone { .. }),
            QuarantineState::Barred => false,
        }
    }

    /// Waits for `run`, which holds this place: a suspect's for a while only.
    pub(super) async fn hold<T>(self, run: impl Future<Output = T>) -> (T, Option<Self>) {
        let mut run = std::pin::pin!(run);
        if matches!(self, Self::Shared { .. }) {
            return (run.await, Some(self));
        }
        match tokio::time::timeout(ALONE_MOST.as_duration(), &mut run).await {
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
const ATTEMPT_KEPT: Millis = Millis(3_000);

/// What lets an item begin.
pub(super) struct Admitted<'a> {
    /// `None` for an item under which no engine has ended, or while the store is away.
    pub(super) attempt: Option<Attempt>,
    pub(super) place: Place<'a>,
}

/// Whose turn it is to run an item.
enum Turn {
    /// More engines have ended under it meanwhile.
    Again,
    Mine(Option<Attempt>),
    Others,
}

/// Counts an item as waiting in quarantine until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A run whose connection broke.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    at: Millis,
    attempt: Option<Attempt>,
    life: Life,
    request: Fingerprint,
}

/// A report may have been made so long before it came.
const REPORT_LATE: Millis = Millis(100);

/// The most of them that are kept: some times what an engine runs at once.
const BROKEN_MOST: usize = 64;

/// Whether `next` began after `life`. Where engines don't tell when they started, ids
/// tell lives apart.
fn is_later(next: &Life, life: &Life) -> bool {
    let untold = next.born == Millis(0) && next.id != life.id;
    next.born > life.born || untold
}

/// What becomes of an item after a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Settled {
    /// It is given back, to be claimed anew.
    GivenBack,
    /// Its run goes on as that run's end says.
    Kept,
}

/// When an engine that gives no report counts as lost, and a little more.
const NOTICED_WITHIN: Millis = Millis(1_200);

/// How often an item in quarantine looks whether it may be tried.
const LOOK_AGAIN: Millis = Millis(500);

/// How long the look whether the engine beside this runner listens may take.
const LOOK_WITHIN: Millis = Millis(100);

impl Engine {
    /// Waits until `task` may run; `None` when its time is over before.
    ///
    /// An item under which an engine has ended runs at one instance at a time: its
    /// bundle may have two runners, and it would end both their engines. A suspect also
    /// begins with the engine to itself, so that the engine's next end tells of it
    /// alone: beside it, items that did nothing wrong had their third end.
    pub(super) async fn admit(&self, task: &Task) -> Option<Admitted<'_>> {
        let end = self.end_of(task);
        let request = task.fingerprint;
        let mut waiting = None;
        self.crashes.wait_listed().await;
        if task.reclaimed {
            self.crashes.refresh(request).await;
        }
        loop {
            let place = match self.crashes.judge(request) {
                QuarantineState::Clear | QuarantineState::Watched => {
                    let shared = tokio::time::timeout_at(end, self.places.read()).await;
                    Some(Place::Shared {
                        _guard: shared.ok()?,
                    })
                }
                QuarantineState::Suspect | QuarantineState::Trial => Some(self.isolate().await),
                QuarantineState::Barred => None,
            };
            // Whoever ran before may have shown what this one is.
            let verdict = self.crashes.judge(request);
            match place {
                Some(place) if place.suits(verdict) => match self.claim(request, verdict).await {
                    Turn::Mine(attempt) => return Some(Admitted { attempt, place }),
                    Turn::Again => continue,
                    Turn::Others => {}
                },
                Some(_) if verdict != QuarantineState::Barred => continue,
                Some(_) | None => {}
            }
            if waiting.is_none() {
                let item = &task.item.id;
                tracing::warn!(item, %request, ?verdict, "the item waits: engines have ended under it");
                waiting = Some(Waiting::begin(&self.waiting));
            }
            // It keeps its bundle, which would be offered and taken again and again.
            let again = tokio::time::sleep(LOOK_AGAIN.as_duration());
            tokio::time::timeout_at(end, again).await.ok()?;
        }
    }

    /// Takes the attempt of a request of which `verdict` was known, unless it is clear.
    async fn claim(&self, request: Fingerprint, verdict: QuarantineState) -> Turn {
        let claimed = match verdict {
            QuarantineState::Clear => return Turn::Mine(None),
            QuarantineState::Watched | QuarantineState::Suspect => {
                self.crashes.claim_attempt(request, ATTEMPT_KEPT).await
            }
            QuarantineState::Trial => match self.crashes.claim_trial(request).await {
                Some(attempt) => Claimed::Here(attempt),
                None => Claimed::Elsewhere,
            },
            QuarantineState::Barred => return Turn::Others,
        };
        match claimed {
            // The claim has read what others saw meanwhile.
            Claimed::Here(attempt) if self.crashes.judge(request) == verdict => {
                Turn::Mine(Some(attempt))
            }
            Claimed::Here(attempt) => {
                self.crashes.release_attempt(attempt);
                Turn::Again
            }
            // Without the store each runner goes by what it knows.
            Claimed::Unknown => Turn::Mine(None),
            Claimed::Elsewhere => Turn::Others,
        }
    }

    /// A suspect's place: other suspects go before it, and the runs before it end, as
    /// far as that takes no longer than an item may lie.
    async fn isolate(&self) -> Place<'_> {
        let turn = tokio::time::timeout(TURN_MOST.as_duration(), self.apart.acquire());
        let turn = turn.await.ok().and_then(Result::ok);
        let alone = tokio::time::timeout(DRAIN_MOST.as_duration(), self.places.write());
        Place::Alone {
            _alone: alone.await.ok(),
            _turn: turn,
        }
    }

    /// Whether a suspect has the engine to itself, or waits for that.
    pub(super) fn is_isolating(&self) -> bool {
        self.places.try_read().is_err()
    }

    fn end_of(&self, task: &Task) -> tokio::time::Instant {
        let left = task.until.since(self.clock.now());
        tokio::time::Instant::now() + left.as_duration()
    }

    /// Counts the end of the life `server` against `task` if it was not planned;
    /// true if so.
    async fn look_after(&self, server: &Life, task: &Task, run: &Run) -> bool {
        let has_ended = match run {
            Run::Outlived => self.is_outlived(server),
            Run::Broken(CallError::Broken { .. }) => self.has_ended(server).await,
            _ => false,
        };
        if has_ended {
            self.lost.send_replace(Some(server.clone()));
            self.crashes.note(server, &[task.fingerprint]);
        }
        has_ended
    }

    /// Whether the life `server`, whose connection broke, has ended and was not to.
    async fn has_ended(&self, server: &Life) -> bool {
        // Several runs lose their engine at once: what one of them found, and the work
        // loop by it, holds for all.
        let found = self.lost.borrow().as_ref() == Some(server);
        let present = self.server.borrow().clone();
        match present {
            Some(present) if present == *server => found || self.peer.is_gone(LOOK_WITHIN).await,
            Some(_) => self.is_outlived(server),
            None if self.is_leaving(server) != Some(false) => false,
            None => found || self.peer.is_gone(LOOK_WITHIN).await,
        }
    }

    /// Settles the runs that broke off, by a report that came at `seen` of the life
    /// `present`: it lives, or is a later one.
    ///
    /// An engine that is back at once looks as if it had not ended. Another attempt of
    /// the item before that is known would end another engine.
    pub(super) fn settle_broken(&self, present: &Life, seen: Millis) {
        self.broken().retain(|run| {
            let lives = run.life == *present && seen > run.at + REPORT_LATE;
            let ended = is_later(present, &run.life);
            if ended && self.is_leaving(&run.life) != Some(true) {
                self.crashes.note(&run.life, &[run.request]);
            }
            if lives || ended {
                self.let_go(run.attempt);
            }
            !lives && !ended
        });
    }

    /// Keeps a run that broke off until it is known whether its engine has ended.
    fn note_broken(&self, run: BrokenRun) {
        let mut broken = self.broken();
        if broken.len() < BROKEN_MOST {
            broken.push(run);
        }
    }

    fn broken(&self) -> MutexGuard<'_, Vec<BrokenRun>> {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a later life has taken the place of `server`, which was not to end.
    fn is_outlived(&self, server: &Life) -> bool {
        let next = self.server.borrow().clone();
        let is_later = next.is_some_and(|next| is_later(&next, server));
        is_later && self.is_leaving(server) != Some(true)
    }

    /// Whether a server called as `server` leaves; `None` where none is announced.
    fn is_leaving(&self, server: &Life) -> Option<bool> {
        let directory = self.scorers.site.directory();
        directory.get(&server.id).map(|known| known.draining)
    }

    /// Waits until the end of the life `server` is known to the work loop.
    pub(super) async fn noticed(&self, server: &Life) {
        let mut known = self.server.clone();
        let other = known.wait_for(|known| known.as_ref() != Some(server));
        // The work loop looks at the engine's reports; past this they are stale.
        let _ = tokio::time::timeout(NOTICED_WITHIN.as_duration(), other).await;
    }

    /// Gives back the attempt of an item that is over or did not begin: whoever runs it
    /// next would wait for it until it is free by itself, and the item would lie.
    pub(super) fn let_go(&self, attempt: Option<Attempt>) {
        if let Some(attempt) = attempt {
            self.crashes.release_attempt(attempt);
        }
    }

    /// Takes what a run tells of its item; `admitted` may have given its place back.
    pub(super) async fn settle(
        &self,
        server: &Life,
        task: &Task,
        run: &Run,
        admitted: (Option<Attempt>, Option<Place<'_>>),
    ) -> Settled {
        let request = task.fingerprint;
        let (attempt, place) = admitted;
        let ended = self.look_after(server, task, run).await;
        drop(place);
        match run {
            Run::Broken(CallError::Broken { .. }) if !ended => self.note_broken(BrokenRun {
                at: self.clock.now(),
                attempt,
                life: server.clone(),
                request,
            }),
            _ => self.let_go(attempt),
        }
        if matches!(run, Run::Whole | Run::Failed | Run::Impossible) {
            self.crashes.survived(request);
        }
        let verdict = self.crashes.judge(request);
        if !ended || matches!(verdict, QuarantineState::Clear | QuarantineState::Watched) {
            return Settled::Kept;
        }
        // Others take its bundle over by now. It is claimed anew, so that it does
        // not run here and there at once, and ends two engines.
        let item = &task.item.id;
        tracing::info!(item, %request, "a suspect is given back after its run broke off");
        // Before that the bundle would be claimed here again at once.
        self.noticed(server).await;
        Settled::GivenBack
    }
}
