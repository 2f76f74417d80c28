//! Which other runners are alive.

use crate::{
    base::Millis,
    batch::Heartbeat,
    policy::{
        liveness::{self, Beat, Sign, is_alive},
        pace::usual, //
    },
};
use std::collections::BTreeMap;

/// A runner's last heartbeat and when this runner saw it.
#[derive(Clone, Debug)]
struct SeenHeartbeat {
    at: Millis,
    heartbeat: Heartbeat,
    /// When the store took it; 0 for this runner's own.
    revision: u64,
}

/// All runners by instance, this one included.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    by_instance: BTreeMap<String, SeenHeartbeat>,
}

impl SeenHeartbeat {
    /// What it tells of the runner's life.
    fn beat(&self) -> Beat {
        Beat {
            at: self.at,
            revision: self.revision,
            token: self.heartbeat.token,
            works: self.heartbeat.working || self.heartbeat.leaving,
        }
    }

    /// Whether the runner lives and takes new bundles.
    fn takes_work(&self, now: Millis) -> bool {
        is_alive(self.at, now) && self.heartbeat.working && !self.heartbeat.leaving
    }
}

impl Heartbeats {
    /// Takes a heartbeat of `instance` that the store took at `revision`; an older
    /// one than known changes nothing.
    pub(super) fn record(
        &mut self,
        instance: &str,
        heartbeat: Heartbeat,
        revision: u64,
        now: Millis,
    ) {
        let order = |heartbeat: &Heartbeat| (heartbeat.token, heartbeat.sequence);
        let known = self.by_instance.get(instance);
        if known.is_some_and(|known| order(&known.heartbeat) >= order(&heartbeat)) {
            return;
        }
        let before = known.map(|known| known.heartbeat.working);
        if before != Some(heartbeat.working) {
            tracing::info!(
                runner = instance,
                working = heartbeat.working,
                "runner seen"
            );
        }
        let seen = SeenHeartbeat {
            at: now,
            heartbeat,
            revision,
        };
        self.by_instance.insert(instance.to_owned(), seen);
    }

    /// The store was away: no heartbeat could arrive, so none is late.
    pub(super) fn reset_ages(&mut self, now: Millis) {
        self.by_instance.values_mut().for_each(|seen| seen.at = now);
    }

    /// Whether the runner `instance`, which wrote `sign`, still works.
    pub(super) fn is_working(&self, instance: &str, write: Sign, now: Millis) -> bool {
        let beat = self.by_instance.get(instance).map(SeenHeartbeat::beat);
        liveness::works(write, beat, now)
    }

    /// The last heartbeat of `instance`.
    pub(super) fn get(&self, instance: &str) -> Option<&Heartbeat> {
        self.by_instance.get(instance).map(|seen| &seen.heartbeat)
    }

    /// What the engines of `service` usually take for an event, in ms; 0 when
    /// none is known.
    pub(super) fn usual_pace(&self, service: &str) -> f64 {
        let beats = self.by_instance.values().map(|seen| &seen.heartbeat);
        let ours = beats.filter(|beat| beat.service == service);
        usual(ours.map(|beat| beat.pace).collect())
    }

    /// The instances that work for `service`, in one order for all runners.
    pub(super) fn working_runners(&self, service: &str, now: Millis) -> Vec<String> {
        let works =
            |seen: &SeenHeartbeat| seen.takes_work(now) && seen.heartbeat.service == service;
        let mut names: Vec<String> = self
            .by_instance
            .iter()
            .filter(|(_, seen)| works(seen))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_by_cached_key(|name| crate::base::stable_hash(&[name.as_bytes()]));
        names
    }

    /// Engines of runners that serve `model` first and hold `version` or a newer
    /// one, beside that of `me`.
    pub(super) fn count_ready(&self, model: &str, version: u64, me: &str, now: Millis) -> usize {
        let is_ready = |(name, seen): &(&String, &SeenHeartbeat)| {
            let beat = &seen.heartbeat;
            let ours = beat.home.as_deref() == Some(model) && name.as_str() != me;
            seen.takes_work(now) && ours && beat.held >= version
        };
        self.by_instance.iter().filter(is_ready).count()
    }

    /// Engines that change weights, beside that of `me`.
    pub(super) fn count_loading(&self, me: &str, now: Millis) -> usize {
        let loads = |(name, seen): &(&String, &SeenHeartbeat)| {
            is_alive(seen.at, now) && seen.heartbeat.loading && name.as_str() != me
        };
        self.by_instance.iter().filter(loads).count()
    }
}
