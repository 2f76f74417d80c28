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
    routing::Life, //
};
use tokio::sync::SemaphorePermit;

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
    /// A suspect runs alone among its like, so that the next end of an engine
    /// tells which of them it was: the items beside the one that ends engines
    /// shared its engines twice, as bundles go from runner to runner whole.
    pub(super) async fn admit(&self, task: &Task) -> Option<Option<SemaphorePermit<'_>>> {
        let end = self.end_of(task);
        let request = task.fingerprint;
        let mut told = false;
        self.crashes.wait_listed().await;
        loop {
            let apart = match self.crashes.judge(request) {
                Verdict::Clear => return Some(None),
                Verdict::Suspect | Verdict::Trial => {
                    let turn = tokio::time::timeout_at(end, self.apart.acquire()).await;
                    turn.ok()?.ok()
                }
                Verdict::Barred => None,
            };
            // Whoever ran before may have shown what this one is.
            match self.crashes.judge(request) {
                Verdict::Clear => return Some(None),
                Verdict::Suspect if apart.is_some() => return Some(apart),
                Verdict::Trial if apart.is_some() && self.crashes.claim_trial(request).await => {
                    return Some(apart);
                }
                Verdict::Suspect | Verdict::Trial | Verdict::Barred => drop(apart),
            }
            if !told {
                let item = &task.item.id;
                tracing::warn!(item, %request, "in quarantine: the item waits");
                told = true;
            }
            // It keeps its bundle, which would be offered and taken again and again.
            let again = tokio::time::sleep(LOOK_AGAIN.as_duration());
            tokio::time::timeout_at(end, again).await.ok()?;
        }
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

    /// Takes what a run, which held `apart` if it had to, tells of its item.
    pub(super) async fn settle(
        &self,
        server: &Life,
        task: &Task,
        run: &Run,
        apart: Option<SemaphorePermit<'_>>,
    ) -> Settled {
        let request = task.fingerprint;
        let ended = self.look_after(server, task, run).await;
        drop(apart);
        if matches!(run, Run::Whole | Run::Failed | Run::Impossible) {
            self.crashes.survived(request);
        }
        let verdict = self.crashes.judge(request);
        if verdict == Verdict::Trial && matches!(run, Run::Refused) {
            self.crashes.release_trial(request);
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
