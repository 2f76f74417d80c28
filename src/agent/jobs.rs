//! Accepts, runs and ends jobs.

use super::{
    job::{Job, JobEnd, JobKey},
    job_io::JobIo,
    link_listener::LinkKey,
    run_call::run_call,
    run_generation::GenerationRun,
    work::Worker, //
};
use crate::{
    base::{Cause, Event, Failure, Millis, Span, Verdict, stable_hash},
    policy::{
        agent_queue::{self, Item, OfferOutcome},
        seen_keys::KeyClaim, //
    },
    wire::{FromAgent, STREAM_WINDOW, Slot, Start, Work}, //
};
use bytes::Bytes;
use tokio::sync::mpsc;

/// The most body parts of a job that may wait for the backend server. The stream's window
/// limits their bytes, and each takes at least `MESSAGE_COST` of it.
const MAX_BODY_PARTS: usize = (STREAM_WINDOW / crate::wire::MESSAGE_COST) as usize;

/// How long an abandoned call may still run after its deadline.
const ABANDONED_CALL_TIMEOUT: Millis = Millis(30_000);

/// The weight of the latest request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

impl Worker {
    /// Accepts a request: runs it at once, queues it or refuses it.
    pub(super) fn on_start(&mut self, link: LinkKey, start: Box<Start>) {
        let now = self.context.clock.now();
        let (request, slot) = (start.request, start.slot);
        let Some(state) = self.links.get(&link) else {
            return;
        };
        let io = JobIo::new(state.sender.clone(), slot);
        self.ledger.open(request, &start.team, &start.class);
        if let Err(failure) = self.claim_key(now, &start) {
            self.reject(now, &io, &start, failure);
            return;
        }

        let (body_sender, body_receiver) = match &start.work {
            Work::Call(head) if !head.whole => {
                let (sender, receiver) = mpsc::channel(MAX_BODY_PARTS);
                (Some(sender), Some(receiver))
            }
            Work::Call(_) | Work::Generate(_) => (None, None),
        };
        let deadline = now + start.budget;
        let (attempt, priority) = (start.attempt, start.priority);
        let team = stable_hash(&[start.team.as_bytes()]);
        let key = self.jobs.insert(Job {
            body_sender,
            deadline,
            io,
            link,
            body_receiver,
            start,
            started_at: None,
            task: None,
            team,
        });
        let item = Item {
            arrived: now,
            attempt,
            deadline,
            key,
            priority,
            request,
            team,
        };
        match self.queue.offer(now, item) {
            OfferOutcome::Queued(displaced) => {
                self.ledger.record(now, request, Event::Queued);
                if let Some(item) = displaced {
                    let limit = self.settings.backend.max_queued;
                    self.refuse(item.key, agent_queue::overload_failure(limit));
                }
            }
            OfferOutcome::Refused(failure) => {
                self.refuse(key, failure);
                return;
            }
            OfferOutcome::Run => self.launch(key),
        }
        if let Some(state) = self.links.get_mut(&link) {
            state.slots.insert(slot, key);
        }
    }

    /// Records the end of a started job, and starts the next ones.
    pub(super) fn on_job_end(&mut self, end: JobEnd) {
        let Some(job) = self.remove(end.key) else {
            return;
        };
        let now = self.context.clock.now();
        self.queue.finish(job.team);
        if let Some(started) = job.started_at {
            let duration = now.since(started).0 as f64;
            self.service_time += SERVICE_TIME_WEIGHT * (duration - self.service_time);
        }
        let request = job.start.request;
        match end.outcome {
            Ok(spans) => {
                self.record_versions(now, &job, spans);
                self.ledger.record(now, request, Event::Finished);
            }
            Err(failure) => {
                if failure.verdict == Verdict::NotRun {
                    self.release_key(&job.start);
                }
                self.record_failure(now, &job.start, &failure);
            }
        }
        self.run_next();
    }

    /// Abandons the job of the stream `slot`.
    pub(super) fn cancel(&mut self, link: LinkKey, slot: Slot) {
        let key = self.links.get(&link).and_then(|s| s.slots.get(&slot));
        if let Some(key) = key.copied() {
            self.abandon(key);
        }
    }

    /// Ends a job whose entry is gone or no longer needs the answer.
    ///
    /// A started call that is not idempotent and has its whole body runs to its end
    /// instead: if it were stopped halfway, its effect would not be known.
    pub(super) fn abandon(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        job.io.discard();
        if job.started_at.is_some() && !job.start.idempotent && job.body_sender.is_none() {
            return;
        }
        let started = job.started_at.is_some();
        self.queue.withdraw(job.start.request);
        if let Some(job) = self.remove(key) {
            self.end_early(&job, started, Cause::Cancelled);
        }
    }

    /// Fails and abandons the running jobs whose deadline has passed. Also stops abandoned
    /// calls that have run for too long after their deadline.
    pub(super) fn expire(&mut self, now: Millis) {
        self.stop_abandoned(now);
        let late: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.started_at.is_some() && job.deadline <= now)
            .filter(|(_, job)| !job.io.is_discarded())
            .map(|(key, _)| key)
            .collect();
        for key in late {
            if let Some(job) = self.jobs.get(key) {
                let detail = "the deadline passed while the request ran";
                let failure = Failure::may_have_run(Cause::DeadlinePassed, detail);
                let slot = job.io.slot;
                job.io.try_send(FromAgent::Failed { slot, failure });
            }
            self.abandon(key);
        }
    }

    /// Passes a part of a request's body to the job's task.
    pub(super) fn on_data(&mut self, link: LinkKey, slot: Slot, bytes: Bytes, last: bool) {
        let Some(job) = self.job(link, slot) else {
            return;
        };
        let sent = match &job.body_sender {
            Some(body) => body.try_send(Ok(bytes)).is_ok(),
            None => false,
        };
        if last {
            job.body_sender = None;
        }
        if !sent {
            // The HTTP client has stopped reading the body, or the entry breaks the protocol:
            // one that keeps to its window and the body's end never fills the channel.
            self.cancel(link, slot);
        }
    }

    /// Removes a job that has not started, and sends `failure` to its entry.
    pub(super) fn refuse(&mut self, key: JobKey, failure: Failure) {
        let Some(job) = self.remove(key) else {
            return;
        };
        let now = self.context.clock.now();
        self.release_key(&job.start);
        self.reject(now, &job.io, &job.start, failure);
    }

    /// Stops abandoned calls that have run for [`ABANDONED_CALL_TIMEOUT`] past their
    /// deadline. Otherwise calls that a service never answers would occupy its capacity
    /// forever.
    fn stop_abandoned(&mut self, now: Millis) {
        let lingering: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.io.is_discarded() && job.deadline + ABANDONED_CALL_TIMEOUT <= now
            })
            .map(|(key, _)| key)
            .collect();
        for key in lingering {
            if let Some(job) = self.remove(key) {
                self.end_early(&job, true, Cause::DeadlinePassed);
            }
        }
    }

    /// Claims the request key of a non-idempotent request; fails if an earlier request has
    /// the same key.
    fn claim_key(&mut self, now: Millis, start: &Start) -> Result<(), Failure> {
        let Some(key) = start.key.as_deref().filter(|_| !start.idempotent) else {
            return Ok(());
        };
        // The entry claims the key in the table before it hands over the call. This is a
        // second check, for an entry that was paused between the two.
        match self
            .seen_keys
            .claim(now, &team_key(start, key), start.request)
        {
            KeyClaim::Fresh => Ok(()),
            KeyClaim::Full => {
                let detail = "too many request keys within the window";
                Err(Failure::not_run(Cause::Overloaded, detail))
            }
            KeyClaim::Taken(earlier) => {
                let detail = format!("the key belongs to request {earlier}, which was begun");
                Err(Failure::may_have_run(Cause::Duplicate, detail))
            }
        }
    }

    /// Records that a removed job was stopped. Frees its place at the backend server if it
    /// had started, otherwise its request key.
    fn end_early(&mut self, job: &Job, started: bool, cause: Cause) {
        let now = self.context.clock.now();
        if started {
            let failure = Failure::may_have_run(cause, "");
            self.queue.finish(job.team);
            self.record_failure(now, &job.start, &failure);
            self.run_next();
        } else {
            self.release_key(&job.start);
            self.record_failure(now, &job.start, &Failure::not_run(cause, ""));
        }
    }

    /// Starts a job that the queue has released, in a task of its own.
    fn launch(&mut self, key: JobKey) {
        let now = self.context.clock.now();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.started_at = Some(now);
        let server = self.settings.common.instance.clone();
        let started = Event::Started { server };
        self.ledger.record(now, job.start.request, started);

        let (io, parts, start) = (job.io.clone(), job.body_receiver.take(), job.start.clone());
        let address = self.settings.backend.address;
        let job_ends = self.job_ends.clone();
        let engine_access = self.engine_access.clone();
        let service = self.service.clone();
        job.task = Some(tokio::task::spawn_local(async move {
            let outcome = match (&start.work, engine_access) {
                (Work::Call(head), None) => {
                    run_call(&service, address, &start, head.clone(), parts, &io)
                        .await
                        .map(|()| Vec::new())
                }
                (Work::Generate(generation), Some(engine_access)) => {
                    GenerationRun::new(&engine_access, generation, start.priority, &io)
                        .run()
                        .await
                }
                (Work::Call(_) | Work::Generate(_), _) => {
                    let detail = "the backend server is of another kind";
                    Err(Failure::not_run(Cause::BadRequest, detail))
                }
            };
            if let Err(failure) = &outcome {
                let (slot, failure) = (io.slot, failure.clone());
                io.send_last(FromAgent::Failed { slot, failure }).await;
            }
            let _ = job_ends.send(JobEnd { key, outcome }).await;
        }));
    }

    /// Adds the failure to the account of the request.
    fn record_failure(&mut self, now: Millis, start: &Start, failure: &Failure) {
        let (cause, verdict) = (failure.cause, failure.verdict);
        let event = Event::Failed { cause, verdict };
        self.ledger.record(now, start.request, event);
    }

    /// Adds the weight versions of a generation to the account of its request.
    fn record_versions(&mut self, now: Millis, job: &Job, spans: Vec<Span>) {
        if let Work::Generate(generation) = &job.start.work {
            let model = generation.model.clone();
            let event = Event::Versions { model, spans };
            self.ledger.record(now, job.start.request, event);
        }
    }

    /// Records the failure and sends it to the entry.
    fn reject(&mut self, now: Millis, io: &JobIo, start: &Start, failure: Failure) {
        self.record_failure(now, start, &failure);
        let slot = io.slot;
        io.try_send(FromAgent::Failed { slot, failure });
    }

    /// Frees the key of a request that did not run.
    fn release_key(&mut self, start: &Start) {
        if let Some(key) = &start.key {
            self.seen_keys.release(&team_key(start, key), start.request);
        }
    }

    /// Removes a job, and stops its task.
    fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        if let Some(state) = self.links.get_mut(&job.link)
            && state.slots.get(&job.io.slot) == Some(&key)
        {
            state.slots.remove(&job.io.slot);
        }
        if let Some(task) = &job.task {
            task.abort();
        }
        Some(job)
    }

    /// Refuses the waiting requests that can't be answered before their deadlines.
    pub(super) fn shed(&mut self, now: Millis) {
        let service = Millis(self.service_time as u64);
        for item in self.queue.shed(now, service) {
            self.refuse(item.key, agent_queue::deadline_failure());
        }
    }

    /// Starts waiting jobs while the backend server has free slots.
    fn run_next(&mut self) {
        let now = self.context.clock.now();
        self.shed(now);
        while let Some(item) = self.queue.next(now, self.turn) {
            self.turn += 1;
            self.launch(item.key);
        }
    }
}

/// The request key, qualified with the team: two teams may use the same key.
fn team_key(start: &Start, key: &str) -> String {
    format!("{}/{key}", start.team)
}
