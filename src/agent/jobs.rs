//! How the work duty takes, runs and ends jobs.

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
        claims::KeyClaim, //
    },
    wire::{FromAgent, STREAM_WINDOW, Slot, Start, Work}, //
};
use bytes::Bytes;
use tokio::sync::mpsc;

/// The body parts that may wait for the backend server. The window bounds
/// them by bytes, and each costs at least `MESSAGE_COST` of it.
const MAX_BODY_PARTS: usize = (STREAM_WINDOW / crate::wire::MESSAGE_COST) as usize;

/// How long after its deadline a call with nobody waiting may still run.
const ABANDONED_CALL_TIMEOUT: Millis = Millis(30_000);

/// The weight of the latest request in the moving average of service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

impl Worker {
    /// Takes a request in.
    pub(super) fn start(&mut self, link: LinkKey, start: Box<Start>) {
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
                self.ledger.note(now, request, Event::Queued);
                if let Some(item) = displaced {
                    let limit = self.settings.backend.queue;
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

    /// A job's task has ended.
    pub(super) fn on_job_end(&mut self, end: JobEnd) {
        let Some(job) = self.remove(end.key) else {
            return;
        };
        let now = self.context.clock.now();
        self.queue.finish(job.team);
        if let Some(started) = job.started_at {
            let taken = now.since(started).0 as f64;
            self.service_time += SERVICE_TIME_WEIGHT * (taken - self.service_time);
        }
        let request = job.start.request;
        match end.outcome {
            Ok(spans) => {
                self.note_versions(now, &job, spans);
                self.ledger.note(now, request, Event::Finished);
            }
            Err(failure) => {
                if failure.verdict == Verdict::NotRun {
                    self.release_key(&job.start);
                }
                self.note_failure(now, &job.start, &failure);
            }
        }
        self.run_next();
    }

    /// Nobody waits for the job's answer any more.
    pub(super) fn cancel(&mut self, link: LinkKey, slot: Slot) {
        let key = self.links.get(&link).and_then(|s| s.slots.get(&slot));
        if let Some(key) = key.copied() {
            self.abandon(key);
        }
    }

    /// Ends a job whose entry is gone or lost interest.
    ///
    /// A call that must not be repeated is let run to its end: cutting it
    /// halfway would leave its effect in doubt.
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

    /// Ends the running jobs whose deadline has passed.
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

    /// A further part of a request's body.
    pub(super) fn on_data(&mut self, link: LinkKey, slot: Slot, bytes: Bytes, last: bool) {
        let Some(job) = self.job(link, slot) else {
            return;
        };
        let taken = match &job.body_sender {
            Some(body) => body.try_send(Ok(bytes)).is_ok(),
            None => false,
        };
        if last {
            job.body_sender = None;
        }
        if !taken {
            // An entry that keeps to its window never gets here.
            self.cancel(link, slot);
        }
    }

    /// Refuses a job that has not started.
    pub(super) fn refuse(&mut self, key: JobKey, failure: Failure) {
        let Some(job) = self.remove(key) else {
            return;
        };
        let now = self.context.clock.now();
        self.release_key(&job.start);
        self.reject(now, &job.io, &job.start, failure);
    }

    /// Cuts the calls that go on with nobody waiting, once they have had long
    /// enough: a service that never answers would keep its places for good.
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

    fn claim_key(&mut self, now: Millis, start: &Start) -> Result<(), Failure> {
        let Some(key) = start.key.as_deref().filter(|_| !start.idempotent) else {
            return Ok(());
        };
        // A key is claimed in the table before its call is handed over. This
        // is a second guard, for an entry that was paused between the two.
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

    fn end_early(&mut self, job: &Job, started: bool, cause: Cause) {
        let now = self.context.clock.now();
        if started {
            let failure = Failure::may_have_run(cause, "");
            self.queue.finish(job.team);
            self.note_failure(now, &job.start, &failure);
            self.run_next();
        } else {
            self.release_key(&job.start);
            self.note_failure(now, &job.start, &Failure::not_run(cause, ""));
        }
    }

    fn launch(&mut self, key: JobKey) {
        let now = self.context.clock.now();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.started_at = Some(now);
        let server = self.settings.common.instance.clone();
        let started = Event::Started { server };
        self.ledger.note(now, job.start.request, started);

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

    fn note_failure(&mut self, now: Millis, start: &Start, failure: &Failure) {
        let (cause, verdict) = (failure.cause, failure.verdict);
        let event = Event::Failed { cause, verdict };
        self.ledger.note(now, start.request, event);
    }

    fn note_versions(&mut self, now: Millis, job: &Job, spans: Vec<Span>) {
        if let Work::Generate(generation) = &job.start.work {
            let model = generation.model.clone();
            let event = Event::Versions { model, spans };
            self.ledger.note(now, job.start.request, event);
        }
    }

    fn reject(&mut self, now: Millis, io: &JobIo, start: &Start, failure: Failure) {
        self.note_failure(now, start, &failure);
        let slot = io.slot;
        io.try_send(FromAgent::Failed { slot, failure });
    }

    fn release_key(&mut self, start: &Start) {
        if let Some(key) = &start.key {
            self.seen_keys.release(&team_key(start, key), start.request);
        }
    }

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

    /// Refuses the waiting requests that can't be answered in time.
    pub(super) fn shed(&mut self, now: Millis) {
        let service = Millis(self.service_time as u64);
        for item in self.queue.shed(now, service) {
            self.refuse(item.key, agent_queue::deadline_failure());
        }
    }

    fn run_next(&mut self) {
        let now = self.context.clock.now();
        self.shed(now);
        while let Some(item) = self.queue.next(now, self.turn) {
            self.turn += 1;
            self.launch(item.key);
        }
    }
}

/// A key as one team's: two teams may use the same text.
fn team_key(start: &Start, key: &str) -> String {
    format!("{}/{key}", start.team)
}
