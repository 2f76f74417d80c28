//! Which other runners are alive.

use crate::{
    base::Millis,
    batch::Heartbeat,
    policy::pace::usual, //
};
use std::collections::BTreeMap;

/// A runner's last heartbeat and when this runner saw it.
#[derive(Clone, Debug)]
struct Seen {
    at: Millis,
    heartbeat: Heartbeat,
}

/// All runners by instance, this one included.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    seen: BTreeMap<String, Seen>,
}

/// A runner whose heartbeat has not changed for so long is taken for gone. Heartbeats
/// come every second; one may be lost or late.
const SILENCE_MOST: Millis = Millis(2_300);

impl Seen {
    fn is_alive(&self, now: Millis) -> bool {
        now.since(self.at) < SILENCE_MOST
    }

    /// Whether the runner lives and takes new bundles.
    fn takes_work(&self, now: Millis) -> bool {
        self.is_alive(now) && self.heartbeat.working && !self.heartbeat.leaving
    }
}

impl Heartbeats {
    /// Takes a heartbeat of `instance`; an older one than known changes nothing.
    pub(super) fn take(&mut self, instance: &str, heartbeat: Heartbeat, now: Millis) {
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
        self.seen
            .insert(instance.to_owned(), Seen { at: now, heartbeat });
    }

    /// The store was away: no heartbeat could arrive, so none is late.
    pub(super) fn excuse(&mut self, now: Millis) {
        self.seen.values_mut().for_each(|seen| seen.at = now);
    }

    /// Whether the runner `instance`, in its life `token`, still works.
    pub(super) fn works(&self, instance: &str, token: u64, now: Millis) -> bool {
        self.seen.get(instance).is_some_and(|seen| {
            let beat = &seen.heartbeat;
            seen.is_alive(now) && beat.token == token && (beat.working || beat.leaving)
        })
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
        usual(ours.map(|beat| beat.pace).collect())
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
            seen.is_alive(now) && seen.heartbeat.loading && name.as_str() != me
        };
        self.seen.iter().filter(loads).count()
    }
}
