//! The bundles that this runner could claim, and its place among the runners.

use super::{
    open_batch::OpenBatch,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    policy::{
        claim_choice::{Holder, Offer, Place},
        long_text::PaceRank,
        model_share::{BatchDemand, Demand, Member, assign_models, demands},
        second_run::{HeldText, SecondRun},
        step_mode::StepMode, //
    },
    routing::Route, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// This runner's home model and its place among the runners of its service.
pub(super) struct Standing {
    /// Its place among the working runners of the service, itself included.
    pub(super) service_place: Place,
    /// The home model that it should have; `None` while no models are known.
    pub(super) home: Option<String>,
    /// Its place among those with the same home model.
    pub(super) model_place: Place,
    /// The number of runners of the service that claim bundles.
    pub(super) working: usize,
    /// Its place among those with the same home model and the same engine kind (usual or
    /// slower).
    pub(super) kind_place: Place,
    /// Its engine's pace among those with the same home model. `None` if long texts are not
    /// left to faster engines, or these have no free slots.
    pub(super) rank: Option<PaceRank>,
    /// Whether its engine leaves new bundles to faster ones of the same home model.
    pub(super) yields: bool,
}

/// How long the computed home model must differ from the current one before this runner
/// changes its home model.
const HOME_CHANGE_DELAY: Millis = Millis(1_500);

/// The place of the runner with `rank` among the runners with `ranks`.
fn place_among(ranks: &[usize], rank: usize) -> Place {
    let before = ranks.iter().filter(|other| **other < rank);
    Place {
        count: ranks.len(),
        rank: before.count(),
    }
}

impl WorkLoop {
    /// This runner's places and the home model that it should have. Each runner computes
    /// the assignment of all runners from the same heartbeats and batches.
    pub(super) fn standing(&self, now: Millis) -> Standing {
        let mut runners = self.heartbeats.working_runners(&self.service, now);
        let working = runners.len();
        if !runners.contains(&self.instance) {
            runners.push(self.instance.clone());
        }
        let rank = runners.iter().position(|name| *name == self.instance);
        let rank = rank.unwrap_or_default();
        let service_place = Place {
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
        let Some(home) = homes.get(rank).copied() else {
            return Standing {
                service_place,
                home: None,
                model_place: service_place,
                working,
                kind_place: service_place,
                rank: None,
                yields: false,
            };
        };
        let same: Vec<usize> = (0..homes.len()).filter(|of| homes[*of] == home).collect();
        let as_fast = |of: &usize| self.is_slower(&runners[*of]) == self.kind.slower;
        let peers: Vec<usize> = same.iter().copied().filter(as_fast).collect();
        Standing {
            service_place,
            home: Some(demands[home].model.clone()),
            model_place: place_among(&same, rank),
            working,
            kind_place: place_among(&peers, rank),
            rank: self.pace_rank(same.iter().map(|of| &runners[*of])),
            yields: self.kind.slower && peers.len() < same.len(),
        }
    }

    /// The rank of this runner's engine among those of `runners`, if it leaves long texts to
    /// faster ones and these have free slots.
    fn pace_rank<'a>(&self, runners: impl Iterator<Item = &'a String>) -> Option<PaceRank> {
        if !self.features.uneven || self.pace <= 0.0 {
            return None;
        }
        let pace_of = |name: &'a String| match *name == self.instance {
            true => self.pace,
            false => self.heartbeats.get(name).map_or(0.0, |beat| beat.pace),
        };
        let paces: Vec<(&str, f64)> = runners.map(|name| (name.as_str(), pace_of(name))).collect();
        let rank = PaceRank::new(self.pace, paces.iter().map(|(_, pace)| *pace).collect());
        if rank.leave_time == Millis(0) {
            return None;
        }
        let faster = paces
            .iter()
            .filter(|(_, pace)| PaceRank::is_faster(*pace, self.pace));
        let mut loads: BTreeMap<&str, usize> = faster.map(|(name, _)| (*name, 0)).collect();
        for batch in self.batches.values().filter(|batch| !batch.is_over()) {
            for (bundle, held) in &batch.claims {
                if let Some(load) = loads.get_mut(held.claim.holder.as_str()) {
                    *load += batch.unfinished(*bundle).len();
                }
            }
        }
        let room = loads.values().any(|load| *load < self.slots as usize);
        room.then_some(rank)
    }

    /// Changes the home model once the computed one has differed from it for
    /// [`HOME_CHANGE_DELAY`]. Runners that restart together appear within about a second
    /// of each other: without the delay the first ones changed their models to cover for
    /// missing runners, and back.
    pub(super) fn update_home(&mut self, standing: &Standing, now: Millis) {
        if standing.home == self.home {
            self.home_until = now + HOME_CHANGE_DELAY;
        }
        let due = self.home.is_none() || now >= self.home_until;
        if standing.home.is_some() && self.home != standing.home && due {
            let (home, before) = (&standing.home, &self.home);
            tracing::info!(?home, ?before, "home model changed");
            self.home.clone_from(&standing.home);
        }
    }

    /// The home model of the runner `name`.
    fn home_of(&self, name: &str) -> Option<&String> {
        match name == self.instance {
            true => self.home.as_ref(),
            false => self.heartbeats.get(name)?.home.as_ref(),
        }
    }

    /// Whether the engine of the runner `name` counts as slower than usual.
    fn is_slower(&self, name: &str) -> bool {
        match name == self.instance {
            true => self.kind.slower,
            false => self
                .heartbeats
                .get(name)
                .is_some_and(|heartbeat| heartbeat.slower),
        }
    }

    /// Whether the engine of the runner `name` has been slower than usual for a while.
    fn is_steadily_slower(&self, name: &str) -> bool {
        match name == self.instance {
            true => self.kind.steady,
            false => self
                .heartbeats
                .get(name)
                .is_some_and(|heartbeat| heartbeat.steady),
        }
    }

    /// The demand for each of the service's models, by its newest batches.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let config = self.site.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let models = service.map_or(&[][..], |service| &service.models);
        let asked = |model: &str| -> Vec<BatchDemand> {
            let batches = self.batches.values();
            let same = batches.filter(|batch| batch.head.model == model);
            same.map(|batch| batch.demand).collect()
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

    /// The weight version that this runner's engine holds of `model`.
    pub(super) fn held_version(&self, model: &str) -> Option<u64> {
        let report = &self.report.as_ref()?.report;
        let weights = report.weights.iter().find(|held| held.model == model)?;
        Some(weights.version)
    }

    /// The unfinished bundles of the batches `ids` that this runner could claim or join;
    /// `home` is its home model, or `None` for a straggler, which prefers none, and `rank`
    /// the rank by which it leaves long texts to faster engines.
    pub(super) fn offers(
        &self,
        ids: &[String],
        home: Option<&str>,
        rank: Option<PaceRank>,
        now: Millis,
    ) -> Vec<Offer> {
        let mut offers = Vec::new();
        let store_now = self.store.now();
        let token_ms = self.engine.rate().token_ms();
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
            let loaded = self.held_version(&batch.head.model);
            let loaded = loaded.is_some_and(|held| held >= batch.head.least_version);
            let loaded = loaded && !self.is_loading_model(&batch.head.model);
            for bundle in 0..batch.head.bundles.len() as u16 {
                let items = batch.unfinished(bundle);
                let left = items.len() as u32;
                if left == 0 || batch.own_bundles.contains_key(&bundle) {
                    continue;
                }
                let Some(mut holder) = self.holder(batch, bundle, now) else {
                    continue;
                };
                let due = batch.head.accepted + route.result_deadline;
                let own_ms = f64::from(batch.longest_expected(&items)) * token_ms;
                if let Holder::Held {
                    pace,
                    second_run,
                    since,
                    ..
                } = &mut holder
                    && self.features.uneven
                    && self.knows_paces(batch, bundle)
                {
                    *second_run = SecondRun::estimate(HeldText {
                        due_in: due.since(store_now),
                        own_ms,
                        pace: *pace,
                        since: *since,
                    });
                }
                let due_in = due.since(store_now);
                let leave_time = rank.map(|rank| rank.leave_time_of(own_ms, due_in));
                offers.push(Offer {
                    age: now.since(batch.seen_at),
                    batch: number,
                    surplus: batch
                        .head
                        .is_surplus(&batch.head.bundles[usize::from(bundle)]),
                    due,
                    bundle,
                    claimed: batch.is_claimed_by(bundle, &self.instance, self.token),
                    order: batch.order_of(bundle),
                    holder,
                    home: home == Some(batch.head.model.as_str()),
                    leave_time: leave_time.unwrap_or_default(),
                    remaining: left,
                    position: 0,
                    loaded,
                    mode: StepMode::Whole,
                    work: batch.expected_tokens(&items),
                });
            }
        }
        offers
    }

    /// Whether the paces of this runner's engine and of that of the holder of `bundle` are
    /// known.
    fn knows_paces(&self, batch: &OpenBatch, bundle: u16) -> bool {
        let held = batch.claims.get(&bundle);
        let heartbeat = held.and_then(|held| self.heartbeats.get(&held.claim.holder));
        self.pace > 0.0 && heartbeat.is_some_and(|heartbeat| heartbeat.pace > 0.0)
    }

    /// Which other runner holds `bundle`; `None` if this runner is its second runner.
    pub(super) fn holder(&self, batch: &OpenBatch, bundle: u16, now: Millis) -> Option<Holder> {
        let Some(held) = batch.claims.get(&bundle) else {
            return Some(Holder::Nobody);
        };
        let claim = &held.claim;
        if claim.is_released() || claim.holder == self.instance {
            return Some(Holder::Nobody);
        }
        if self.outage_start.is_none()
            && !self.heartbeats.is_working(&claim.holder, held.write, now)
        {
            return Some(Holder::Nobody);
        }
        if claim.second.as_deref() == Some(&self.instance) {
            return None;
        }
        let heartbeat = self.heartbeats.get(&claim.holder);
        let theirs = heartbeat.map_or(0.0, |heartbeat| heartbeat.pace);
        let mine = self.pace;
        let pace = match mine > 0.0 && theirs > 0.0 {
            true => theirs / mine,
            false => 1.0,
        };
        Some(Holder::Held {
            joinable: claim.second.is_none(),
            pace,
            second_run: None,
            since: now.since(held.seen_at),
            slower: heartbeat.is_some_and(|heartbeat| heartbeat.slower),
        })
    }
}
