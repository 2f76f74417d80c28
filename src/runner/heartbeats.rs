//! Which other runners are alive.

use crate::{
    base::Millis,
    batch::Heartbeat,
    policy::{
        liveness::{self, ClaimWrite, LastHeartbeat, is_alive},
        pace::usual_pace, //
    },
};
use std::collections::BTreeMap;

/// A runner's last heartbeat and when this runner saw it.
#[derive(Clone, Debug)]
struct Seen {
    at: Millis,
    heartbeat: Heartbeat,
    /// When the store took it; 0 for this runner's own.
    revision: u64,
}

/// All runners by instance, this one included.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    seen: BTreeMap<String, Seen>,
}

impl Seen {
    /// What it tells of the runner's life.
    fn beat(&self) -> LastHeartbeat {
        LastHeartbeat {
            at: self.at,
            revision: self.revision,
            token: self.heartbeat.token,
            working: self.heartbeat.working || self.heartbeat.leaving,
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
    pub(super) fn take(
        &mut self,
        instance: &str,
        heartbeat: Heartbeat,
        revision: u64,
        now: Millis,
    ) {
        let order = |heartbeat: &Heartbeat| (heartbeat.token, heartbeat.sequence);
        let known = self.seen.get(instance);
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
        let seen = Seen {
            at: now,
            heartbeat,
            revision,
        };
        self.seen.insert(instance.to_owned(), seen);
    }

    /// The store was away: no heartbeat could arrive, so none is late.
    pub(super) fn excuse(&mut self, now: Millis) {
        self.seen.values_mut().for_each(|seen| seen.at = now);
    }

    /// Whether the runner `instance`, which wrote `sign`, still works.
    pub(super) fn works(&self, instance: &str, sign: ClaimWrite, now: Millis) -> bool {
        let beat = self.seen.get(instance).map(Seen::beat);
        liveness::is_working(sign, beat, now)
    }

    /// The last heartbeat of `instance`.
    pub(super) fn of(&self, instance: &str) -> Option<&Heartbeat> {
        self.seen.get(instance).map(|seen| &seen.heartbeat)
    }

    /// What the engines of `service` usually take for an event, in ms; 0 when
    /// none is known.
    pub(super) fn usual_pace(&self, service: &str) -> f64 {
        let beats = self.seen.values().map(|seen| &seen.heartbeat);
        let ours = beats.filter(|beat| beat.service == service);
        usual_pace(ours.map(|beat| beat.pace).collect())
    }

    /// The instances that work for `service`, in one order for all runners.
    pub(super) fn working(&self, service: &str, now: Millis) -> Vec<String> {
        let works = |seen: &Seen| seen.takes_work(now) && seen.heartbeat.service == service;
        let mut names: Vec<String> = self
            .seen
            .iter()
            .filter(|(_, seen)| works(seen))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_by_cached_key(|name| crate::base::stable_hash(&[name.as_bytes()]));
        names
    }

    /// Engines of runners that serve `model` first and hold `version` or a newer
    /// one, beside that of `me`.
    pub(super) fn ready(&self, model: &str, version: u64, me: &str, now: Millis) -> usize {
        let is_ready = |(name, seen): &(&String, &Seen)| {
            let beat = &seen.heartbeat;
            let ours = beat.home.as_deref() == Some(model) && name.as_str() != me;
            seen.takes_work(now) && ours && beat.held >= version
        };
        self.seen.iter().filter(is_ready).count()
    }

    /// Engines that change weights, beside that of `me`.
    pub(super) fn loading(&self, me: &str, now: Millis) -> usize {
        let loads = |(name, seen): &(&String, &Seen)| {
            is_alive(seen.at, now) && seen.heartbeat.loading && name.as_str() != me
        };
        self.seen.iter().filter(loads).count()
    }
}
