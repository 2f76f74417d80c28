//! Orders the engine to load new weights.

use super::{
    event::Event,
    offers::Standing,
    open_batch::OpenBatch,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    platform::{OrderAnswer, VersionOrder, order_request, read_order_answer},
    policy::{
        claim_choice::Place,
        version_plan::{LoadDecision, Situation, decide, is_load_turn}, //
    },
};

/// An order whose effect the engine's reports may not show yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    /// No other order is sent before this time.
    pub(super) until: Millis,
}

/// How long the engine may take to answer an order. An order whose answer was lost may
/// arrive seconds later; the engine refuses it if its count of orders has changed since.
const ORDER_TIMEOUT: Millis = Millis(1_000);

/// After an answer, the engine's reports show the order's effect within this time.
const ORDER_SETTLE_TIME: Millis = Millis(450);

impl WorkLoop {
    /// Sends an order if the engine should load a new version of one of its models.
    pub(super) fn plan_order(&mut self, standing: &Standing, now: Millis) {
        if self
            .pending_order
            .as_ref()
            .is_some_and(|order| now < order.until)
        {
            return;
        }
        self.pending_order = None;
        let Some(incarnation) = self.incarnation.borrow().clone() else {
            return;
        };
        let Some(report) = self.report.as_ref().map(|received| &received.report) else {
            return;
        };
        if report.busy {
            return;
        }

        let loading = self.heartbeats.count_loading(&self.instance, now);
        let is_turn = is_load_turn(self.store.now(), standing.service_place);
        let mut due = None;
        for weights in &report.weights {
            let is_home = standing.home.as_ref() == Some(&weights.model);
            let (named, seen) = self.site.named_version(&weights.model);
            let needs = self.needs(&weights.model, standing, now);
            let situation = Situation {
                outage: self.outage_start.map(|since| now.since(since)),
                held: weights.version,
                home: is_home,
                loading,
                models: report.weights.len(),
                named,
                named_for: now.since(seen),
                needed: needs.version,
                needed_for: needs.waited,
                place: standing.model_place,
                ready: self
                    .heartbeats
                    .count_ready(&weights.model, named, &self.instance, now),
                runners: standing.working,
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
        let (orders, fence) = (report.accepted_orders, self.token);
        tracing::info!(
            model,
            version,
            held,
            needed,
            orders,
            fence,
            "ordering new weights"
        );
        let order = VersionOrder {
            fence,
            finish_runs: self.has_single_version_run(&model),
            holder: &self.instance,
            model: &model,
            expected_orders: orders,
            server: &incarnation.id,
            version,
        };
        let request = order_request(&order);
        self.pending_order = Some(PendingOrder {
            until: now + ORDER_TIMEOUT + ORDER_SETTLE_TIME,
        });
        self.ordered_model = Some(model.clone());
        let (engine, events) = (self.engine.clone(), self.events.clone());
        tokio::spawn(async move {
            let answer = match engine.peer.call(request, ORDER_TIMEOUT).await {
                Ok(answer) => {
                    engine.record_mismatch(&incarnation.id, answer.status, &answer.headers);
                    Some(read_order_answer(&answer))
                }
                Err(error) => {
                    tracing::info!(%error, "no answer to an order");
                    None
                }
            };
            let event = Event::OrderAnswered {
                answer,
                model,
                version,
            };
            let _ = events.send(event).await;
        });
    }

    /// Logs the engine's answer and waits for the reports to show the order's effect.
    pub(super) fn on_order_answered(
        &mut self,
        answer: Option<OrderAnswer>,
        model: &str,
        version: u64,
    ) {
        tracing::info!(model, version, ?answer, "order answered");
        if answer.is_some() {
            let until = self.clock.now() + ORDER_SETTLE_TIME;
            self.pending_order = Some(PendingOrder { until });
        }
    }

    /// Whether the engine is loading new weights of `model`: until it has them it refuses
    /// new runs of that model.
    pub(super) fn is_loading_model(&self, model: &str) -> bool {
        self.is_loading() && self.ordered_model.as_deref() == Some(model)
    }

    /// Whether the engine is loading new weights, or may be.
    pub(super) fn is_loading(&self) -> bool {
        let busy = self.report.as_ref();
        let busy = busy.is_some_and(|received| received.report.busy);
        self.pending_order.is_some() || busy
    }

    /// Whether the engine is loading weights, or may be, and first finishes its runs.
    pub(super) fn is_finishing_runs(&self) -> bool {
        let model = self.ordered_model.as_deref();
        self.is_loading() && model.is_some_and(|model| self.has_single_version_run(model))
    }

    /// Whether a current run of `model` must keep the weight version it started with.
    fn has_single_version_run(&self, model: &str) -> bool {
        let runs = |batch: &&OpenBatch| batch.head.model == model && !batch.running.is_empty();
        let mut running = self.batches.values().filter(runs);
        running.any(|batch| {
            self.route_of(batch)
                .is_some_and(|route| route.single_version)
        })
    }

    /// Whether the next step of `model` will be submitted soon: its trainer keeps two
    /// steps in progress, and all steps before the one submitted with the version
    /// `named` are over.
    fn is_step_near(&self, model: &str, named: u64) -> bool {
        let older = |batch: &OpenBatch| {
            batch.head.model == model && !batch.is_over() && batch.head.least_version + 1 < named
        };
        self.overlapping.contains(model) && !self.batches.values().any(older)
    }

    /// What the open batches of `model` need from the engine.
    fn needs(&self, model: &str, standing: &Standing, now: Millis) -> Needs {
        let open = |batch: &&OpenBatch| {
            batch.head.model == model && !batch.is_over() && batch.log_revision > 0
        };
        let mut needs = Needs::default();
        for batch in self.batches.values().filter(open) {
            // While the store is unreachable, the claims and results of others are
            // unknown: only bundles that are assigned to this runner by its place count.
            let waits = match self.outage_start {
                Some(_) => batch.waits_for(standing.model_place),
                None => batch.waiting_bundles().next().is_some(),
            };
            if !waits {
                continue;
            }
            needs.waiting = true;
            if batch.head.least_version > needs.version {
                needs.version = batch.head.least_version;
                needs.waited = now.since(batch.seen_at);
            }
        }
        needs
    }
}

/// What the open batches of one model need from the engine.
#[derive(Default)]
struct Needs {
    /// The oldest version that may run all waiting bundles; 0 when none wait.
    version: u64,
    /// How long the batch that needs this version has been known.
    waited: Millis,
    /// Whether bundles wait for a runner.
    waiting: bool,
}

impl OpenBatch {
    /// Unfinished bundles without a claim, or with a released one.
    fn waiting_bundles(&self) -> impl Iterator<Item = u16> {
        let bundles = 0..self.head.bundles.len() as u16;
        bundles.filter(|bundle| !self.is_held(*bundle) && !self.unfinished(*bundle).is_empty())
    }

    /// Whether `bundle` is claimed and not released; its holder may no longer work.
    fn is_held(&self, bundle: u16) -> bool {
        let held = self.claims.get(&bundle);
        held.is_some_and(|held| !held.claim.is_released())
    }

    /// Whether a waiting bundle is assigned to this runner, whose place is `place`, and is
    /// not among this runner's bundles yet.
    fn waits_for(&self, place: Place) -> bool {
        let mine = |bundle: &u16| {
            place.owns(self.order_of(*bundle)) && !self.own_bundles.contains_key(bundle)
        };
        self.waiting_bundles().any(|bundle| mine(&bundle))
    }
}
