//! The last heartbeat of each runner, and what it shows: which runners work, how fast
//! their engines are and which weights they hold or load.

use crate::{
    base::Millis,
    batch::Heartbeat,
    policy::{
        liveness::{self, ClaimWrite, LastHeartbeat, is_alive},
        pace::usual_pace, //
    },
};
use std::collections::BTreeMap;

/// A runner's last heartbeat.
#[derive(Clone, Debug)]
struct SeenHeartbeat {
    /// When this runner saw it.
    at: Millis,
    heartbeat: Heartbeat,
    /// The store's revision of it; 0 for this runner's own.
    revision: u64,
}

/// The last heartbeats of all runners, including this one.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    by_instance: BTreeMap<String, SeenHeartbeat>,
}

impl SeenHeartbeat {
    /// The fields that decide whether the runner still works.
    fn last_heartbeat(&self) -> LastHeartbeat {
        LastHeartbeat {
            at: self.at,
            revision: self.revision,
            token: self.heartbeat.token,
            working: self.heartbeat.working || self.heartbeat.leaving,
        }
    }

    /// Whether the runner is alive and claims new bundles.
    fn claims_work(&self, now: Millis) -> bool {
        is_alive(self.at, now) && self.heartbeat.working && !self.heartbeat.leaving
    }
}

impl Heartbeats {
    /// Records a heartbeat of `instance` with the store's `revision` of it, 0 for this runner's
    /// own. One that is not newer than the known one, or that no runner can have written,
    /// changes nothing.
    pub(super) fn record(
        &mut self,
        instance: &str,
        heartbeat: Heartbeat,
        revision: u64,
        now: Millis,
    ) {
        // A token is the revision of its incarnation's first heartbeat.
        if revision > 0 && heartbeat.token > revision {
            let token = heartbeat.token;
            metrics::counter!("redwing_values_unreadable_total").increment(1);
            tracing::warn!(
                runner = instance,
                token,
                revision,
                "heartbeat ignored: no runner has its token"
            );
            return;
        }
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
                "runner appeared or changed state"
            );
        }
        let seen = SeenHeartbeat {
            at: now,
            heartbeat,
            revision,
        };
        self.by_instance.insert(instance.to_owned(), seen);
    }

    /// Counts all heartbeats as just seen: while the store is unreachable none can
    /// arrive, so none is late.
    pub(super) fn reset_ages(&mut self, now: Millis) {
        self.by_instance.values_mut().for_each(|seen| seen.at = now);
    }

    /// Whether the runner `instance`, whose last claim was `write`, still works.
    pub(super) fn is_working(&self, instance: &str, write: ClaimWrite, now: Millis) -> bool {
        let heartbeat = self
            .by_instance
            .get(instance)
            .map(SeenHeartbeat::last_heartbeat);
        liveness::is_working(write, heartbeat, now)
    }

    /// The last heartbeat of `instance`.
    pub(super) fn get(&self, instance: &str) -> Option<&Heartbeat> {
        self.by_instance.get(instance).map(|seen| &seen.heartbeat)
    }

    /// The usual pace of the engines of `service`, in ms per event; 0 when none is
    /// known.
    pub(super) fn usual_pace(&self, service: &str) -> f64 {
        let beats = self.by_instance.values().map(|seen| &seen.heartbeat);
        let ours = beats.filter(|heartbeat| heartbeat.service == service);
        usual_pace(ours.map(|heartbeat| heartbeat.pace).collect())
    }

    /// The instances that claim work for `service`, in an order that is the same for
    /// all runners.
    pub(super) fn working_runners(&self, service: &str, now: Millis) -> Vec<String> {
        let works =
            |seen: &SeenHeartbeat| seen.claims_work(now) && seen.heartbeat.service == service;
        let mut names: Vec<String> = self
            .by_instance
            .iter()
            .filter(|(_, seen)| works(seen))
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_by_cached_key(|name| crate::base::stable_hash(&[name.as_bytes()]));
        names
    }

    /// How many runners other than `me` have `model` as home model and hold `version`
    /// or a newer one.
    pub(super) fn count_ready(&self, model: &str, version: u64, me: &str, now: Millis) -> usize {
        let is_ready = |(name, seen): &(&String, &SeenHeartbeat)| {
            let heartbeat = &seen.heartbeat;
            let ours = heartbeat.home.as_deref() == Some(model) && name.as_str() != me;
            seen.claims_work(now) && ours && heartbeat.held >= version
        };
        self.by_instance.iter().filter(is_ready).count()
    }

    /// How many runners other than `me` have an engine that is loading weights.
    pub(super) fn count_loading(&self, me: &str, now: Millis) -> usize {
        let loads = |(name, seen): &(&String, &SeenHeartbeat)| {
            is_alive(seen.at, now) && seen.heartbeat.loading && name.as_str() != me
        };
        self.by_instance.iter().filter(loads).count()
    }
}
