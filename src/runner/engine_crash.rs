//! Finds out whether the engine crashed under a run, and how long the item pauses after that.
//!
//! An item runs again however many engines crashed under it: it waits for its pause, and for
//! nothing else that a crash left behind.

use super::run_item::{
    DetectedCrash,
    Engine,
    RunEnd,
    Task, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError,
    policy::broken_run::{self, ServerFate, Sighting, is_later, server_fate},
    routing::ServerIncarnation, //
};
use std::sync::{
    MutexGuard,
    PoisonError, //
};

/// A run whose connection broke while it is not known whether its engine crashed.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    /// When the connection broke.
    at: Millis,
    incarnation: ServerIncarnation,
    request: Fingerprint,
}

/// The most broken runs that are kept: a few times what an engine runs at once. The crash of
/// an engine doesn't count against the others.
const MAX_BROKEN_RUNS: usize = 64;

/// How long after its first event a run shows that its item doesn't crash engines: a request
/// that does so crashes them within some tenths of a second.
const SUDDEN_CRASH_TIME: Millis = Millis(500);

/// How long an item waits for the work loop to notice that the engine has ended: slightly
/// longer than the time after which an engine without reports counts as gone.
const NOTICE_TIMEOUT: Millis = Millis(1_200);

/// How long the check whether the engine still listens may take.
const PROBE_TIMEOUT: Millis = Millis(100);

impl Engine {
    /// Waits for the pause of an item under which engines crashed one after the other.
    pub(super) async fn pause(&self, task: &Task) {
        let request = task.fingerprint;
        let pause = self.crashes.pause(request);
        if pause == Millis(0) {
            return;
        }
        let (item, ended) = (&task.item.id, self.crashes.crash_count(request));
        tracing::info!(item, %request, ended, pause = pause.0, "item pauses: engines crashed under it");
        metrics::counter!("redwing_item_pauses_total").increment(1);
        tokio::time::sleep(pause.as_duration()).await;
    }

    /// Whether `run` ended because `incarnation` crashed.
    async fn has_crashed_under(&self, incarnation: &ServerIncarnation, run: &RunEnd) -> bool {
        match run {
            RunEnd::Replaced => self.is_replaced(incarnation),
            RunEnd::Broken(CallError::Broken { .. }) => self.has_crashed(incarnation).await,
            _ => false,
        }
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
    /// An engine that restarts at once looks as if it had not ended.
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

    /// Records what the end of a run shows about its item. The run's first event arrived at
    /// `first_at`, if any did.
    pub(super) async fn record_end(
        &self,
        incarnation: &ServerIncarnation,
        task: &Task,
        run: &RunEnd,
        first_at: Option<Millis>,
    ) {
        let request = task.fingerprint;
        let now = self.clock.now();
        let sudden = first_at.is_none_or(|first| now.since(first) < SUDDEN_CRASH_TIME);
        if !sudden || matches!(run, RunEnd::Whole | RunEnd::Failed | RunEnd::Unprocessable) {
            self.crashes.record_answer(request);
        }
        let crashed = self.has_crashed_under(incarnation, run).await;
        if crashed {
            self.last_crash.send_replace(Some(DetectedCrash {
                at: self.clock.now(),
                incarnation: incarnation.clone(),
            }));
        }
        if !sudden || !run.may_have_run() {
            return;
        }
        if crashed {
            self.crashes.record_crash(incarnation, &[request]);
        } else if matches!(run, RunEnd::Broken(CallError::Broken { .. })) {
            self.add_broken_run(BrokenRun {
                at: self.clock.now(),
                incarnation: incarnation.clone(),
                request,
            });
        }
    }
}
