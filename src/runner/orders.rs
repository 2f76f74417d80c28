//! Orders the engine to take new weights.

use super::{
    event::Event,
    offers::Standing,
    open_batch::OpenBatch,
    work::Work, //
};
use crate::{
    base::Millis,
    platform::{OrderAnswer, VersionOrder, order_answer, order_request},
    policy::{
        claim_choice::Place,
        version_plan::{LoadDecision, Situation, decide, is_load_turn}, //
    },
};

/// An order that the engine has not been seen to carry out.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// No other order is given before.
    pub(super) until: Millis,
}

/// How long the engine may take to answer an order. One whose answer is lost
/// may be carried out seconds later; it then finds another count of orders.
const WITHIN: Millis = Millis(1_000);

/// After an answer, the reports show what came of the order within this time.
const SETTLE: Millis = Millis(450);

impl Work {
    /// Gives an order if one is due.
    pub(super) fn plan_versions(&mut self, standing: &Standing, now: Millis) {
        if self.order.as_ref().is_some_and(|order| now < order.until) {
            return;
        }
        self.order = None;
        let Some(server) = self.server.borrow().clone() else {
            return;
        };
        let Some((report, _)) = &self.report else {
            return;
        };
        if report.busy {
            return;
        }

        let loading = self.heartbeats.loading(&self.instance, now);
        let is_turn = is_load_turn(self.store.now(), standing.all);
        let mut due = None;
        for weights in &report.weights {
            let is_home = standing.home.as_ref() == Some(&weights.model);
            let (named, seen) = self.site.named(&weights.model);
            let needs = self.needs(&weights.model, standing, now);
            let situation = Situation {
                outage: self.away_since.map(|since| now.since(since)),
                held: weights.version,
                home: is_home,
                loading,
                models: report.weights.len(),
                named,
                named_for: now.since(seen),
                needed: needs.version,
                needed_for: needs.waited,
                place: standing.place,
                ready: self
                    .heartbeats
                    .ready(&weights.model, named, &self.instance, now),
                runners: standing.runners,
                is_turn,
                next_near: self.is_step_near(&weights.model, named),
                waiting: needs.waiting,
            };
            if let LoadDecision::Load(version) = decide(&situation) {
                due = Some((weights.model.clone(), version, situation));
                break;
            }
        }
        let Some((model, version, situation)) = due else {
            return;
        };

        let (held, needed) = (situation.held, situation.needed);
        let (orders, fence) = (report.orders, self.token);
        tracing::info!(
            model,
            version,
            held,
            needed,
            orders,
            fence,
            "orders new weights"
        );
        let order = VersionOrder {
            fence,
            finish_runs: self.runs_single(&model),
            holder: &self.instance,
            model: &model,
            orders,
            server: &server.id,
            version,
        };
        let request = order_request(&order);
        self.order = Some(Pending {
            until: now + WITHIN + SETTLE,
        });
        self.changed = Some(model.clone());
        let (engine, events) = (self.engine.clone(), self.events.clone());
        tokio::spawn(async move {
            let answer = match engine.peer.call(request, WITHIN).await {
                Ok(answer) => {
                    engine.meet(&server.id, answer.status, &answer.headers);
                    Some(order_answer(&answer))
                }
                Err(error) => {
                    tracing::info!(%error, "an order's answer is lost");
                    None
                }
            };
            let event = Event::Ordered {
                answer,
                model,
                version,
            };
            let _ = events.send(event).await;
        });
    }

    /// Takes the engine's answer to an order; the reports show what came of it.
    pub(super) fn ordered(&mut self, answer: Option<OrderAnswer>, model: &str, version: u64) {
        tracing::info!(model, version, ?answer, "order answered");
        if answer.is_some() {
            let until = self.clock.now() + SETTLE;
            self.order = Some(Pending { until });
        }
    }

    /// Whether the engine takes new weights of `model`: it refuses what of the
    /// model has not begun until it has them.
    pub(super) fn is_changing(&self, model: &str) -> bool {
        self.is_loading() && self.changed.as_deref() == Some(model)
    }

    /// Whether the engine takes new weights, or may.
    pub(super) fn is_loading(&self) -> bool {
        let busy = self.report.as_ref().is_some_and(|(report, _)| report.busy);
        self.order.is_some() || busy
    }

    /// Whether a run of `model` here must not change its version midway.
    fn runs_single(&self, model: &str) -> bool {
        let runs = |batch: &&OpenBatch| batch.head.model == model && !batch.running.is_empty();
        let mut running = self.batches.values().filter(runs);
        running.any(|batch| {
            self.route_of(batch)
                .is_some_and(|route| route.single_version)
        })
    }

    /// Whether the next step of `model` is near: its trainer keeps two under
    /// way, and all before the one that was asked with the version `named` are
    /// over.
    fn is_step_near(&self, model: &str, named: u64) -> bool {
        let older = |batch: &OpenBatch| {
            batch.head.model == model && !batch.is_over() && batch.head.least_version + 1 < named
        };
        self.overlapping.contains(model) && !self.batches.values().any(older)
    }

    /// What work of `model` at hand needs.
    fn needs(&self, model: &str, standing: &Standing, now: Millis) -> Needs {
        let open = |batch: &&OpenBatch| {
            batch.head.model == model && !batch.is_over() && batch.log_revision > 0
        };
        let mut needs = Needs::default();
        for batch in self.batches.values().filter(open) {
            // While no claim can be seen, what others have begun or finished is
            // not known: only what falls to this runner waits for it.
            let waits = match self.away_since {
                Some(_) => batch.waits_for(standing.place),
                None => batch.waiting_bundles().next().is_some(),
            };
            if !waits {
                continue;
            }
            needs.waiting = true;
            if batch.head.least_version > needs.version {
                needs.version = batch.head.least_version;
                needs.waited = now.since(batch.seen);
            }
        }
        needs
    }
}

/// What work of one model at hand needs.
#[derive(Default)]
struct Needs {
    /// The oldest version that may run it; 0 when nothing waits.
    version: u64,
    /// How long that work has waited.
    waited: Millis,
    /// Whether bundles wait for a runner.
    waiting: bool,
}

impl OpenBatch {
    /// Bundles that nobody holds.
    fn waiting_bundles(&self) -> impl Iterator<Item = u16> {
        let bundles = 0..self.head.bundles.len() as u16;
        bundles.filter(|bundle| !self.is_held(*bundle) && !self.left(*bundle).is_empty())
    }

    fn is_held(&self, bundle: u16) -> bool {
        let held = self.claims.get(&bundle);
        held.is_some_and(|held| !held.claim.is_free())
    }

    /// Whether an unclaimed bundle falls to the runner at `place` that it has not
    /// begun.
    fn waits_for(&self, place: Place) -> bool {
        let mine =
            |bundle: &u16| place.owns(self.order_of(*bundle)) && !self.mine.contains_key(bundle);
        self.waiting_bundles().any(|bundle| mine(&bundle))
    }
}
