//! The engine's state as its runner knows it: the current incarnation and its pace.

use super::work::WorkLoop;
use crate::{
    base::Millis,
    policy::{
        broken_run::Sighting,
        engine_incarnation::{current_incarnation, is_caught_up},
        pace::{EngineKind, Pace}, //
    },
    routing::ServerIncarnation, //
};

/// An engine without a report for this long does not count as accepting work.
pub(super) const MAX_REPORT_AGE: Millis = Millis(900);

impl WorkLoop {
    /// Whether the engine accepts work, by its reports and announcements.
    pub(super) fn engine_accepts_work(&self) -> bool {
        self.incarnation.borrow().is_some()
    }

    /// Determines which incarnation of the engine gets requests, and publishes it to the
    /// item runs if it has changed. Also resolves the broken runs that its report decides.
    pub(super) fn update_engine(&mut self, now: Millis) {
        let announced = self.site.server_at(self.engine_address, &self.service);
        if let Some(server) = &announced {
            self.slots = server.slots.max(1);
        }
        let announced_id = announced
            .as_ref()
            .map(|server| server.incarnation.id.as_str());
        let mismatch = self.engine.mismatch.borrow().clone();
        let confirmed = mismatch
            .as_ref()
            .is_some_and(|mismatch| self.has_own_report_since(mismatch.at));
        let present = current_incarnation(announced_id, mismatch.as_ref(), confirmed);

        let announced_at = announced_id.and_then(|id| self.site.announced_at(id));
        let started = announced
            .as_ref()
            .map_or(Millis(0), |server| server.incarnation.started_at);
        let fresh = self.report.as_ref().is_some_and(|received| {
            // A report from before the announced start belongs to the previous incarnation, and
            // must not be combined with the new id. One that was requested after the announcement
            // was seen shows that the announced start is wrong, as in an entry of another writer.
            let reported_start = received.report.started_at;
            let is_contradicted = announced_at.is_none_or(|seen| seen < received.asked_at);
            let is_before = reported_start.0 > 0 && reported_start < started && !is_contradicted;
            now.since(received.received_at) < MAX_REPORT_AGE && !is_before
        });
        let draining = |id: &str| {
            let directory = self.site.directory();
            directory.get(id).is_some_and(|server| server.draining)
        };
        let reported_start = self
            .report
            .as_ref()
            .map_or(Millis(0), |received| received.report.started_at);
        let id = present.filter(|id| fresh && !draining(id));
        let incarnation = id.map(|id| ServerIncarnation::new(id, reported_start));
        let incarnation = incarnation.filter(|present| !self.has_crashed_since_report(present));
        if mismatch.is_some_and(|mismatch| is_caught_up(announced_id, &mismatch)) {
            self.engine.mismatch.send_replace(None);
        }
        if let (Some(present), Some(received)) = (&incarnation, &self.report) {
            self.engine.resolve_broken_runs(Sighting {
                asked_at: received.asked_at,
                incarnation: present,
            });
        }
        if let Some(present) = incarnation.as_ref()
            && self.engine.has_detected_crash(present)
        {
            tracing::info!(server = present.id, "engine answers after a detected crash");
            self.engine.last_crash.send_replace(None);
        }
        if incarnation.is_some() && self.last_incarnation != incarnation {
            self.reset_engine();
            self.last_incarnation.clone_from(&incarnation);
        }
        self.incarnation.send_if_modified(|current| {
            let changed = *current != incarnation;
            if changed {
                let id_of = |known: &Option<ServerIncarnation>| {
                    known.as_ref().map(|known| known.id.clone())
                };
                let (engine, before) = (id_of(&incarnation), id_of(current));
                let born = reported_start.0;
                tracing::info!(
                    ?engine,
                    born,
                    ?before,
                    fresh,
                    "engine's available incarnation changed"
                );
                current.clone_from(&incarnation);
            }
            changed
        });
    }

    /// Whether a run detected a crash of `present` after the last report was requested. Without
    /// this, bundles were claimed for an engine that was known to be gone, until its last
    /// report was too old.
    fn has_crashed_since_report(&self, present: &ServerIncarnation) -> bool {
        let asked_at = self.report.as_ref().map(|received| received.asked_at);
        let crash = self.engine.last_crash.borrow();
        crash.as_ref().is_some_and(|crash| {
            crash.incarnation == *present && asked_at.is_none_or(|asked_at| asked_at <= crash.at)
        })
    }

    /// Resets what was learnt about the engine's previous incarnation: the next one
    /// knows nothing of a pending order, and may be faster or slower.
    fn reset_engine(&mut self) {
        self.pending_order = None;
        self.pace = 0.0;
        self.kind = EngineKind::default();
        *self.engine.pace() = Pace::default();
    }

    /// Whether a report that was requested after `at` lists only models of this runner's
    /// service.
    fn has_own_report_since(&self, at: Millis) -> bool {
        let Some(received) = &self.report else {
            return false;
        };
        let config = self.site.config();
        let service = config.and_then(|config| config.service(&self.service).cloned());
        let Some(service) = service else {
            return false;
        };
        let ours = |model: &str| service.models.iter().any(|ours| ours.name == model);
        let shown = &received.report.weights;
        received.asked_at > at && !shown.is_empty() && shown.iter().all(|held| ours(&held.model))
    }

    /// Updates the engine's pace from the current runs; returns the usual pace of the
    /// service's engines, in ms per event.
    pub(super) fn update_pace(&mut self, now: Millis) -> f64 {
        self.pace = self.engine.pace().update(now);
        let usual = self.heartbeats.usual_pace(&self.service);
        if self.kind.update(self.pace, usual, now) {
            let (pace, slower) = (self.pace, self.kind.slower);
            tracing::info!(slower, pace, usual, "engine kind changed");
        }
        usual
    }
}
