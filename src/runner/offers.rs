//! What this runner could take, by what it knows.

use super::{
    open_batch::OpenBatch,
    work::Work, //
};
use crate::{
    base::Millis,
    policy::{
        claim_choice::{Holder, Offer, Place},
        model_share::{BatchDemand, Demand, Member, assign_models, demands},
        step_order::StepMode, //
    },
    routing::Route, //
};
use std::sync::Arc;

/// Where a runner stands among all runners of its service.
pub(super) struct Standing {
    /// Its place among all runners of the service.
    pub(super) all: Place,
    /// The model that it serves first.
    pub(super) home: Option<String>,
    /// Its place among those that serve the same model first.
    pub(super) place: Place,
    /// The runners that work.
    pub(super) runners: usize,
    /// Its place among those of its model whose engines are as fast as its own.
    pub(super) share: Place,
    /// Whether faster engines of its model go before its own.
    pub(super) yields: bool,
}

/// How long a runner should serve another model before it does.
const MOVE_AFTER: Millis = Millis(1_500);

/// The place of `rank` among `ranks`.
fn place_in(ranks: &[usize], rank: usize) -> Place {
    let before = ranks.iter().filter(|other| **other < rank);
    Place {
        count: ranks.len(),
        rank: before.count(),
    }
}

impl Work {
    /// Where this runner stands. All runners work it out alike from heartbeats
    /// and batches.
    pub(super) fn standing(&self, now: Millis) -> Standing {
        let mut runners = self.heartbeats.working(&self.service, now);
        let working = runners.len();
        if !runners.contains(&self.instance) {
            runners.push(self.instance.clone());
        }
        let rank = runners.iter().position(|name| *name == self.instance);
        let rank = rank.unwrap_or_default();
        let all = Place {
            count: runners.len(),
            rank,
        };
        let demands = self.demands();
        let member = |name: &String| Member {
            home: demands
                .iter()
                .position(|demand| Some(&demand.model) == self.home_of(name)),
            slower: self.is_steadily_slower(name),
        };
        let members: Vec<Member> = runners.iter().map(member).collect();
        let homes = assign_models(&demands, &members);
        let Some(mine) = homes.get(rank).copied() else {
            return Standing {
                all,
                home: None,
                place: all,
                runners: working,
                share: all,
                yields: false,
            };
        };
        let same: Vec<usize> = (0..homes.len()).filter(|of| homes[*of] == mine).collect();
        let as_fast = |of: &usize| self.is_slower(&runners[*of]) == self.kind.slower;
        let peers: Vec<usize> = same.iter().copied().filter(as_fast).collect();
        Standing {
            all,
            home: Some(demands[mine].model.clone()),
            place: place_in(&same, rank),
            runners: working,
            share: place_in(&peers, rank),
            yields: self.kind.slower && peers.len() < same.len(),
        }
    }

    /// Takes the model that this runner should serve first, once it should have
    /// done so for a while. Runners that start again come within a second or so of
    /// each other: the first of them changed their models for those that were not
    /// there yet, and back.
    pub(super) fn settle_home(&mut self, standing: &Standing, now: Millis) {
        if standing.home == self.home {
            self.moves_from = now + MOVE_AFTER;
        }
        let due = self.home.is_none() || now >= self.moves_from;
        if standing.home.is_some() && self.home != standing.home && due {
            let (home, before) = (&standing.home, &self.home);
            tracing::info!(?home, ?before, "serves another model first");
            self.home.clone_from(&standing.home);
        }
    }

    /// The model that the runner `name` serves first.
    fn home_of(&self, name: &str) -> Option<&String> {
        match name == self.instance {
            true => self.home.as_ref(),
            false => self.heartbeats.of(name)?.home.as_ref(),
        }
    }

    /// Whether the engine of the runner `name` counts as slower than usual.
    fn is_slower(&self, name: &str) -> bool {
        match name == self.instance {
            true => self.kind.slower,
            false => self.heartbeats.of(name).is_some_and(|beat| beat.slower),
        }
    }

    /// The same, for a while already.
    fn is_steadily_slower(&self, name: &str) -> bool {
        match name == self.instance {
            true => self.kind.steady,
            false => self.heartbeats.of(name).is_some_and(|beat| beat.steady),
        }
    }

    /// What each model's newest batches asked for.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let config = self.site.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let models = service.map_or(&[][..], |service| &service.models);
        let asked = |model: &str| -> Vec<BatchDemand> {
            let batches = self.batches.values();
            let same = batches.filter(|batch| batch.head.model == model);
            same.map(|batch| batch.asked).collect()
        };
        let models = models.iter().map(|model| &model.name);
        demands(models.map(|name| (name.clone(), asked(name))).collect())
    }

    /// The route of a batch, if its items may run on this engine.
    pub(super) fn route_of(&self, batch: &OpenBatch) -> Option<Arc<Route>> {
        let config = self.site.config()?;
        let route = config.route(&batch.head.host, &batch.head.path)?;
        route.serves(&self.service).then(|| route.clone())
    }

    /// The version that this runner's engine holds of `model`.
    pub(super) fn held(&self, model: &str) -> Option<u64> {
        let (report, _) = self.report.as_ref()?;
        let weights = report.weights.iter().find(|held| held.model == model)?;
        Some(weights.version)
    }

    pub(super) fn offers(&self, ids: &[String], home: Option<&str>, now: Millis) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (number, id) in ids.iter().enumerate() {
            let Some(batch) = self.batches.get(id) else {
                continue;
            };
            if batch.is_over() || batch.log_revision == 0 {
                continue;
            }
            let Some(route) = self.route_of(batch) else {
                continue;
            };
            let loaded = self.held(&batch.head.model);
            let loaded = loaded.is_some_and(|held| held >= batch.head.least_version);
            let loaded = loaded && !self.is_changing(&batch.head.model);
            for bundle in 0..batch.head.bundles.len() as u16 {
                let items = batch.left(bundle);
                let left = items.len() as u32;
                if left == 0 || batch.mine.contains_key(&bundle) {
                    continue;
                }
                let Some(holder) = self.holder(batch, bundle, now) else {
                    continue;
                };
                offers.push(Offer {
                    age: now.since(batch.seen),
                    batch: number,
                    surplus: batch
                        .head
                        .is_beyond(&batch.head.bundles[usize::from(bundle)]),
                    due: batch.head.accepted + route.results_due,
                    bundle,
                    claimed: batch.is_claimed_by(bundle, &self.instance, self.token),
                    order: batch.order_of(bundle),
                    holder,
                    home: home == Some(batch.head.model.as_str()),
                    remaining: left,
                    position: 0,
                    loaded,
                    mode: StepMode::Whole,
                    work: batch.work(&items),
                });
            }
        }
        offers
    }

    /// Who runs `bundle`; `None` when this runner has joined it before.
    pub(super) fn holder(&self, batch: &OpenBatch, bundle: u16, now: Millis) -> Option<Holder> {
        let Some(held) = batch.claims.get(&bundle) else {
            return Some(Holder::Nobody);
        };
        let claim = &held.claim;
        if claim.is_free() || claim.holder == self.instance {
            return Some(Holder::Nobody);
        }
        if self.away_since.is_none() && !self.heartbeats.works(&claim.holder, held.sign, now) {
            return Some(Holder::Nobody);
        }
        if claim.second.as_deref() == Some(&self.instance) {
            return None;
        }
        let beat = self.heartbeats.of(&claim.holder);
        let theirs = beat.map_or(0.0, |beat| beat.pace);
        let mine = self.pace;
        let pace = match mine > 0.0 && theirs > 0.0 {
            true => theirs / mine,
            false => 1.0,
        };
        Some(Holder::Held {
            joinable: claim.second.is_none(),
            pace,
            since: now.since(held.seen),
            slower: beat.is_some_and(|beat| beat.slower),
        })
    }
}
