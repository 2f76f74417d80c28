//! What this runner knows of its engine: which life takes work, and how fast.

use super::work::Work;
use crate::{
    base::Millis,
    policy::{
        engine_life::{current, is_caught_up},
        pace::{EngineKind, Pace}, //
    },
    routing::Life, //
};

/// A report this old says nothing of the engine any more.
const REPORT_FRESH: Millis = Millis(900);

impl Work {
    /// Whether the engine takes work by all that is known of it.
    pub(super) fn is_working(&self) -> bool {
        self.server.borrow().is_some()
    }

    /// Works out which life of the engine gets requests, and tells of a change.
    pub(super) fn look_at_engine(&mut self, now: Millis) {
        let announced = self.site.server_at(self.engine_address, &self.service);
        if let Some(server) = &announced {
            self.slots = server.slots.max(1);
        }
        let announced_id = announced.as_ref().map(|server| server.life.id.as_str());
        let met = self.engine.met.borrow().clone();
        let confirmed = met.as_ref().is_some_and(|met| self.is_ours_since(met.at));
        let present = current(announced_id, met.as_ref(), confirmed);

        let started = announced
            .as_ref()
            .map_or(Millis(0), |server| server.life.born);
        let fresh = self.report.as_ref().is_some_and(|(report, at)| {
            // A report from before the announced start is of the life before. With
            // the new id it made up a life that never was, and whose end counted
            // against the items that had just begun.
            let is_before = report.born.0 > 0 && report.born < started;
            now.since(*at) < REPORT_FRESH && !is_before
        });
        let draining = |id: &str| {
            let directory = self.site.directory();
            directory.get(id).is_some_and(|server| server.draining)
        };
        let born = self
            .report
            .as_ref()
            .map_or(Millis(0), |(report, _)| report.born);
        let id = present.filter(|id| fresh && !draining(id));
        let life = id.map(|id| Life::new(id, born));
        if met.is_some_and(|met| is_caught_up(announced_id, &met)) {
            self.engine.met.send_replace(None);
        }
        if let (Some(present), Some((_, seen))) = (&life, &self.report) {
            self.engine.settle_broken(present, *seen);
        }
        if life.is_some() && self.life != life {
            self.forget_engine();
            self.life.clone_from(&life);
        }
        self.server.send_if_modified(|current| {
            let changed = *current != life;
            if changed {
                let name = |life: &Option<Life>| life.as_ref().map(|life| life.id.clone());
                let (engine, before) = (name(&life), name(current));
                let born = born.0;
                tracing::info!(?engine, born, ?before, fresh, "engine takes work or not");
                current.clone_from(&life);
            }
            changed
        });
    }

    /// Forgets what was learnt of the engine's life before: its next life knows
    /// nothing of an order that was under way, and may be faster or slower.
    fn forget_engine(&mut self) {
        self.order = None;
        self.pace = 0.0;
        self.kind = EngineKind::default();
        *self.engine.pace() = Pace::default();
    }

    /// Whether a report after `at` shows the models of this runner's service.
    fn is_ours_since(&self, at: Millis) -> bool {
        let Some((report, seen)) = &self.report else {
            return false;
        };
        let config = self.site.config();
        let service = config.and_then(|config| config.service(&self.service).cloned());
        let Some(service) = service else {
            return false;
        };
        let ours = |model: &str| service.models.iter().any(|ours| ours.name == model);
        let shown = &report.weights;
        *seen > at && !shown.is_empty() && shown.iter().all(|held| ours(&held.model))
    }

    /// Takes what the runs under way tell of the engine's pace; returns the usual
    /// one, in ms an event.
    pub(super) fn look_at_pace(&mut self, now: Millis) -> f64 {
        self.pace = self.engine.pace().update(now);
        let usual = self.heartbeats.usual_pace(&self.service);
        if self.kind.note(self.pace, usual, now) {
            let (pace, slower) = (self.pace, self.kind.slower);
            tracing::info!(slower, pace, usual, "the engine's kind by its pace");
        }
        usual
    }
}
