//! Items under which engines end: who may run, and what a run's end tells.

use super::run_item::{
    Engine,
    Run,
    Task, //
};
use crate::{
    base::Millis,
    net::CallError,
    policy::quarantine::Verdict,
    routing::Life,
    view::Claimed, //
};
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
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

/// How long a runner has for the attempt of a suspect: longer than it takes to end its
/// engine, and shorter than an item may lie when its runner was killed.
const SUSPECT_KEPT: Millis = Millis(3_000);

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
    /// A suspect begins with the engine to itself, so that the engine's next end tells
    /// of it alone. Beside an item that ends engines and isn't suspected yet, items that did
    /// nothing wrong had their third end, and then their trial's; they were given up.
    pub(super) async fn admit(&self, task: &Task) -> Option<Place<'_>> {
        let end = self.end_of(task);
        let request = task.fingerprint;
        let mut waiting = None;
        self.crashes.wait_listed().await;
        if task.reclaimed {
            self.crashes.refresh(request).await;
        }
        loop {
            let place = match self.crashes.judge(request) {
                Verdict::Clear => {
                    let shared = tokio::time::timeout_at(end, self.places.read()).await;
                    Some(Place::Shared {
                        _guard: shared.ok()?,
                    })
                }
                Verdict::Suspect | Verdict::Trial => Some(self.isolate().await),
                Verdict::Barred => None,
            };
            // Whoever ran before may have shown what this one is.
            match (self.crashes.judge(request), place) {
                (Verdict::Clear, Some(place)) => return Some(place),
                // Its bundle may have two runners: it would end both their engines.
                (Verdict::Suspect, Some(place @ Place::Alone { .. })) => {
                    let claimed = self.crashes.claim_attempt(request, SUSPECT_KEPT).await;
                    if claimed != Claimed::Elsewhere {
                        return Some(place);
                    }
                }
                (Verdict::Trial, Some(place @ Place::Alone { .. })) => {
                    if self.crashes.claim_trial(request).await {
                        return Some(place);
                    }
                }
                (Verdict::Suspect | Verdict::Trial, Some(Place::Shared { .. })) => continue,
                (_, None) | (Verdict::Barred, Some(_)) => {}
            }
            if waiting.is_none() {
                let item = &task.item.id;
                tracing::warn!(item, %request, "in quarantine: the item waits");
                waiting = Some(Waiting::begin(&self.waiting));
            }
            // It keeps its bundle, which would be offered and taken again and again.
            let again = tokio::time::sleep(LOOK_AGAIN.as_duration());
            tokio::time::timeout_at(end, again).await.ok()?;
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

    /// Gives back the attempt of a suspect that did not begin: whoever runs it next
    /// would wait for it until it is free by itself, and the item would lie.
    pub(super) fn let_go(&self, task: &Task) {
        let verdict = self.crashes.judge(task.fingerprint);
        if matches!(verdict, Verdict::Suspect | Verdict::Trial) {
            self.crashes.release_attempt(task.fingerprint);
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
            Run::Outlived => {
                let next = self.server.borrow().clone();
                // Where engines don't tell when they started, ids tell lives apart.
                let untold = |next: &Life| next.born == Millis(0) && next.id != server.id;
                let is_later = |next: &Life| next.born > server.born || untold(next);
                let started = next.as_ref().is_some_and(is_later);
                let directory = self.scorers.site.directory();
                let known = directory.get(&server.id);
                started && known.is_some_and(|known| !known.draining)
            }
            Run::Broken(CallError::Broken { .. }) => {
                let here = self.server.borrow().as_ref() == Some(server);
                here && self.peer.is_gone(LOOK_WITHIN).await
            }
            _ => false,
        };
        if has_ended {
            self.lost.send_replace(Some(server.clone()));
            self.crashes.note(server, &[task.fingerprint]);
        }
        has_ended
    }

    /// Waits until the end of the life `server` is known to the work loop.
    pub(super) async fn noticed(&self, server: &Life) {
        let mut known = self.server.clone();
        let other = known.wait_for(|known| known.as_ref() != Some(server));
        // The work loop looks at the engine's reports; past this they are stale.
        let _ = tokio::time::timeout(NOTICED_WITHIN.as_duration(), other).await;
    }

    /// Takes what a run, which may still hold its `place`, tells of its item.
    pub(super) async fn settle(
        &self,
        server: &Life,
        task: &Task,
        run: &Run,
        place: Option<Place<'_>>,
    ) -> Settled {
        let request = task.fingerprint;
        let ended = self.look_after(server, task, run).await;
        drop(place);
        if matches!(run, Run::Whole | Run::Failed | Run::Impossible) {
            self.crashes.survived(request);
        }
        let verdict = self.crashes.judge(request);
        // The run broke off or did not begin, and its engine lives.
        if !ended {
            self.let_go(task);
        }
        if !ended || verdict == Verdict::Clear {
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
