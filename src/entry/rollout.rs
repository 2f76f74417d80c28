//! The duty that owns trainers' steps: it has their samples generated, and delivers them.

use super::{
    command::Command,
    directory::Directory,
    owned_step::{Fetch, OwnedStep},
    request_ids::RequestIds,
    swaps::SwapResult,
    trainer::{Ownership, Trainer},
    view::View, //
};
use crate::{
    base::{Cause, Clock, Failure, Millis, WeightVersion},
    duty::{self, Context, Duty, DutyError, Phase, SupervisorMessage},
    policy::{
        bitmap::Bitmap,
        lease::{Claimant, Lease},
        step::{Sample, Step},
        step_spec::StepSpec, //
    },
    settings::RolloutSettings,
    table::PlatformClient,
};
use ractor::ActorRef;
use serde_json::{
    Value,
    json, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval}, //
};

/// What a trainer requests.
pub(super) enum Operation {
    /// Drop the step with this number.
    Cancel(u64),
    /// Deliver complete groups of a step.
    Fetch {
        /// The highest epoch that the trainer has seen.
        epoch: u64,
        /// The samples that the trainer has.
        have: Bitmap,
        step: u64,
        /// The trainer's weight version.
        version: WeightVersion,
        /// How long the answer may wait for a complete group.
        wait: Millis,
    },
    /// Generate the samples of a step.
    Submit(u64, Box<StepSpec>),
    /// The trainer now has this version of this model.
    Version(String, WeightVersion),
}

/// The reply to a trainer's request.
pub(super) enum TrainerReply {
    Answer(Result<Value, Failure>),
    /// Another entry owns the trainer, by this lease.
    Elsewhere(Lease),
}

/// A trainer's request, and where its reply goes.
pub(super) struct TrainerRequest {
    pub(super) operation: Operation,
    pub(super) reply: oneshot::Sender<TrainerReply>,
    pub(super) team: String,
    pub(super) trainer: String,
}

/// A trainer's team and name.
pub(super) type TrainerKey = (String, String);

/// What this duty's tasks report to its loop.
pub(super) enum TaskReport {
    /// A lease was checked.
    Lease {
        key: TrainerKey,
        outcome: super::ownership::LeaseCheck,
    },
    /// A sample was produced, or failed.
    Sample {
        key: TrainerKey,
        /// The number of the sample.
        number: u32,
        result: Box<Result<Sample, Failure>>,
        step: u64,
    },
    /// An order to swap weights succeeded or failed.
    Swap(SwapResult),
}

/// The state of the rollout duty.
pub(super) struct Rollout {
    pub(super) clock: Clock,
    pub(super) directory: Arc<Directory>,
    pub(super) draining: bool,
    pub(super) request_ids: RequestIds,
    /// This process, as a holder of leases.
    pub(super) me: Claimant,
    pub(super) platform: PlatformClient,
    /// Cloned into each task.
    pub(super) reports: mpsc::Sender<TaskReport>,
    pub(super) traffic: mpsc::Sender<Command>,
    pub(super) trainers: BTreeMap<TrainerKey, Trainer>,
    /// The latest view of the fleet from the traffic duty.
    pub(super) view: Arc<View>,
}

/// What the rollout duty starts with.
pub(super) struct RolloutInputs {
    pub(super) clock: Clock,
    pub(super) request_ids: RequestIds,
    pub(super) me: Claimant,
    pub(super) platform: SocketAddr,
    pub(super) requests: mpsc::Receiver<TrainerRequest>,
    pub(super) traffic: mpsc::Sender<Command>,
}

impl RolloutInputs {
    /// Starts the duty.
    pub(super) fn spawn(
        self,
        supervisor: &ActorRef<SupervisorMessage>,
        directory: watch::Receiver<Arc<Directory>>,
        view: watch::Receiver<Arc<View>>,
    ) -> Result<Duty, DutyError> {
        duty::spawn("rollout", supervisor, move |context| {
            let (reports, task_reports) = mpsc::channel(MAX_QUEUED_REPORTS);
            let rollout = Rollout {
                clock: self.clock,
                directory: Arc::default(),
                draining: false,
                request_ids: self.request_ids,
                me: self.me,
                platform: PlatformClient::open(self.platform),
                reports,
                traffic: self.traffic,
                trainers: BTreeMap::new(),
                view: Arc::default(),
            };
            run(
                context,
                rollout,
                task_reports,
                self.requests,
                directory,
                view,
            )
        })
    }
}

/// How often leases, swaps, samples to start and open fetches are checked.
const TICK_INTERVAL: Millis = Millis(20);

/// The most reports of tasks that may wait; when the queue is full, the tasks wait.
const MAX_QUEUED_REPORTS: usize = 1_024;

/// The most trainers' requests that may wait; further ones are refused.
pub(super) const MAX_QUEUED_REQUESTS: usize = 256;

/// The most steps kept of one trainer; beyond that, the one with the lowest number is
/// dropped.
const MAX_STEPS: usize = 4;

/// Runs the duty until the program stops.
async fn run(
    context: Context,
    mut rollout: Rollout,
    mut reports: mpsc::Receiver<TaskReport>,
    mut requests: mpsc::Receiver<TrainerRequest>,
    directory: watch::Receiver<Arc<Directory>>,
    view: watch::Receiver<Arc<View>>,
) {
    let mut tick = interval(TICK_INTERVAL.as_duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(report) = reports.recv() => rollout.on_report(report),
            Some(request) = requests.recv() => rollout.on_request(request),
            _ = tick.tick() => {
                rollout.directory = directory.borrow().clone();
                rollout.view = view.borrow().clone();
                rollout.draining = context.phase() >= Phase::Draining;
                rollout.on_tick();
                if rollout.draining && rollout.trainers.is_empty() {
                    context.mark_drained();
                }
            }
            () = context.reached(Phase::Stopped) => return,
        }
    }
}

impl Rollout {
    /// Answers a request, or defers it until the trainer's owner is known.
    pub(super) fn on_request(&mut self, request: TrainerRequest) {
        let now = self.clock.now();
        let key = (request.team.clone(), request.trainer.clone());
        if self.rollout_settings(&key.0).is_none() {
            let detail = format!("no team `{}` with rollouts", key.0);
            let failure = Failure::not_run(Cause::NotFound, detail);
            let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
            return;
        }
        if self.draining && !self.trainers.contains_key(&key) {
            let failure = Failure::not_run(Cause::Draining, "the entry is stopping");
            let failure = failure.retry_after(Millis(100));
            let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
            return;
        }

        let trainer = self.trainers.entry(key.clone()).or_default();
        trainer.last_request = now;
        match trainer.ownership.clone() {
            Ownership::Elsewhere(lease)
                if now.since(trainer.checked_at) < super::ownership::MAX_LEASE_AGE =>
            {
                let _ = request.reply.send(TrainerReply::Elsewhere(lease));
            }
            Ownership::Mine(epoch) => self.answer(&key, epoch, request),
            Ownership::Elsewhere(_) | Ownership::Unknown => {
                trainer.defer(request);
                self.check_lease(&key);
            }
        }
    }

    /// Checks leases, swaps, samples to start and open fetches.
    fn on_tick(&mut self) {
        let now = self.clock.now();
        self.check_leases(now);
        self.order_swaps(now);
        self.dispatch(now);
        for trainer in self.trainers.values_mut() {
            let Some(epoch) = trainer.epoch() else {
                continue;
            };
            for step in trainer.steps.values_mut() {
                step.answer_fetch(now, epoch);
            }
        }
    }

    /// Applies the report of a task.
    fn on_report(&mut self, report: TaskReport) {
        match report {
            TaskReport::Lease { key, outcome } => self.on_lease_check(&key, outcome),
            TaskReport::Sample {
                key,
                number,
                result,
                step,
            } => self.on_sample(&key, step, number, *result),
            TaskReport::Swap(result) => self.on_swap_result(result),
        }
    }

    /// Records the result for a sample, and answers the open fetch if that is possible
    /// now.
    fn on_sample(
        &mut self,
        key: &TrainerKey,
        step: u64,
        number: u32,
        result: Result<Sample, Failure>,
    ) {
        let now = self.clock.now();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        let epoch = trainer.epoch();
        let Some(step) = trainer.steps.get_mut(&step) else {
            return;
        };
        step.tasks.remove(&number);
        match result {
            Ok(sample) => {
                step.step.store(now, number, sample);
            }
            Err(failure) => step.step.fail(now, number, &failure),
        }
        if let Some(epoch) = epoch {
            step.answer_fetch(now, epoch);
        }
    }

    /// Answers a request for a trainer that this entry owns under `epoch`.
    fn answer(&mut self, key: &TrainerKey, epoch: u64, request: TrainerRequest) {
        let now = self.clock.now();
        let Some(trainer) = self.trainers.get_mut(key) else {
            return;
        };
        let answer = match request.operation {
            Operation::Cancel(step) => {
                let known = trainer.steps.remove(&step).is_some();
                Ok(json!({ "cancelled": known, "epoch": epoch }))
            }
            Operation::Fetch {
                epoch: seen,
                have,
                step,
                version,
                wait,
            } => {
                trainer.version = trainer.version.max(version);
                // The trainer has seen a newer owner: this process was paused beyond the end
                // of its lease, and must not deliver anything.
                if seen > epoch {
                    trainer.clear_steps();
                    trainer.ownership = Ownership::Unknown;
                    let failure = Failure::not_run(Cause::StaleFence, "the lease has moved on");
                    let failure = failure.retry_after(Millis(200));
                    let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
                    return;
                }
                let version = trainer.version;
                let Some(owned) = trainer.steps.get_mut(&step) else {
                    let failure = unknown_step(step);
                    let _ = request.reply.send(TrainerReply::Answer(Err(failure)));
                    return;
                };
                owned.fetch = Some(Fetch {
                    have,
                    reply: request.reply,
                    deadline: now + wait,
                    version,
                });
                owned.answer_fetch(now, epoch);
                return;
            }
            Operation::Submit(number, spec) => submit(trainer, number, *spec, epoch, now),
            Operation::Version(model, version) => {
                trainer.version = trainer.version.max(version);
                trainer.model = Some(model);
                let version = trainer.version;
                Ok(json!({ "epoch": epoch, "weight_version": version }))
            }
        };
        let _ = request.reply.send(TrainerReply::Answer(answer));
    }

    /// The settings for rollouts of `team`, if it has any.
    pub(super) fn rollout_settings(&self, team: &str) -> Option<&RolloutSettings> {
        let team = self.directory.shared.teams.get(team)?;
        team.rollout.as_ref()
    }
}

/// Adds a step to its trainer, unless it was submitted before.
fn submit(
    trainer: &mut Trainer,
    number: u64,
    spec: StepSpec,
    epoch: u64,
    now: Millis,
) -> Result<Value, Failure> {
    trainer.version = trainer.version.max(spec.weight_version);
    trainer.model = Some(spec.model.clone());
    let samples = spec.samples();
    let new = match trainer.steps.get(&number) {
        Some(owned) if owned.step.spec != spec => {
            let detail = format!("step {number} was submitted before with other content");
            return Err(Failure::not_run(Cause::Duplicate, detail));
        }
        Some(_) => false,
        None => {
            trainer
                .steps
                .insert(number, OwnedStep::new(Step::new(spec, now)));
            true
        }
    };
    while trainer.steps.len() > MAX_STEPS {
        trainer.steps.pop_first();
    }
    Ok(json!({ "epoch": epoch, "new": new, "samples": samples, "step": number }))
}

/// The failure of a fetch for a step that this entry does not have.
fn unknown_step(step: u64) -> Failure {
    let detail = format!("step {step} is not known here: submit it again, then fetch");
    Failure::not_run(Cause::NotFound, detail)
}
