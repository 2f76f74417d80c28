//! Runs one call: its attempts, retries and at most one hedged attempt.

use super::{
    Call,
    CallOutcome,
    Dispatcher,
    attempt::{AttemptOutcome, FULL_REASON, classify},
    crash_check::{QUARANTINE_REASON, RETRY_AFTER_QUARANTINE},
    dispatcher::{
        MAX_ATTEMPTS_NOT_RUN, RETRY_AFTER_FULL, RETRY_AFTER_NO_SERVER, STALE_REASON,
        STOPPING_REASON, SentAttempt,
    },
    gate::Refusal,
    permit::Permit, //
};
use crate::{
    base::{Millis, Verdict},
    duty::RETRY_AFTER_STOPPING,
    net::FullResponse,
    policy::{
        call_queue::WaitingCall,
        freshness::RETRY_AFTER_STALE_CONFIG,
        server_choice::hedge_delay, //
    },
    routing::{RouteKind, ServerIncarnation},
    view, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use hyper::StatusCode;
use std::pin::Pin;

/// The state of one call while its attempts run.
pub(super) struct CallRun<'a> {
    call: &'a Call,
    dispatcher: &'a Dispatcher,
    /// The servers of the attempts that failed otherwise than by a full server.
    failed: Vec<ServerIncarnation>,
    /// Attempts that were answered with status 500.
    failures: u32,
    /// Whether a hedged attempt was tried.
    hedged: bool,
    /// Why the last attempt failed, or why there was none.
    last_reason: &'static str,
    /// Attempts that ran or may have run.
    possible_runs: u32,
    /// Attempts that did not run.
    not_run: u32,
    /// The call's place in the queue of its service; `None` before its first attempt and
    /// without a queue.
    place: Option<WaitingCall>,
    /// Why the queue did not let the call through.
    refusal: Option<Refusal>,
    /// The claimed trial, if the request is in quarantine.
    trial: Option<view::ClaimedTrial>,
    /// The server of each attempt; a server that was tried twice is there twice.
    tried: Vec<ServerIncarnation>,
}

/// The wait for a hedged attempt; with a queue, it ends with the attempt's server.
type Hedge<'a> = Pin<Box<dyn Future<Output = Option<Permit>> + Send + 'a>>;

impl<'a> CallRun<'a> {
    /// A run of `call` without attempts yet.
    pub(super) fn new(dispatcher: &'a Dispatcher, call: &'a Call) -> Self {
        Self {
            call,
            dispatcher,
            failed: Vec::new(),
            failures: 0,
            hedged: false,
            last_reason: "no-server",
            possible_runs: 0,
            not_run: 0,
            place: None,
            refusal: None,
            trial: None,
            tried: Vec::new(),
        }
    }

    /// Makes attempts until one gets a response to forward or no other is allowed.
    pub(super) async fn run(mut self) -> CallOutcome {
        let call = self.call;
        let dispatcher = self.dispatcher;
        let mut in_flight = FuturesUnordered::new();
        let mut hedge: Option<Hedge<'a>> = None;
        let mut last_answer: Option<FullResponse> = None;
        self.trial = dispatcher.claim_trial(call).await;
        loop {
            if in_flight.is_empty() {
                // A hedged attempt that waits has the place in the queue that the next attempt
                // takes.
                hedge = None;
                let Some(sent) = self.next_attempt().await else {
                    return self.finish(last_answer);
                };
                in_flight.push(dispatcher.send(call, sent));
            }
            if hedge.is_none() {
                hedge = self.hedge(in_flight.len());
            }
            let (mut sent, outcome) = tokio::select! {
                Some(done) = in_flight.next() => done,
                permit = wait_or_never(&mut hedge) => {
                    hedge = None;
                    if let Some(sent) = self.start_hedge(permit) {
                        in_flight.push(dispatcher.send(call, sent));
                    }
                    continue;
                }
            };
            let attempt = classify(outcome);
            dispatcher.record_outcome(call, &sent, &attempt);
            // Only now, so that no waiting call is sent to a server that has refused this one.
            drop(sent.permit.take());
            match attempt {
                AttemptOutcome::Answered(answer) if self.is_final(&answer) => {
                    dispatcher.crashes.record_answer(call.fingerprint);
                    let failures = self.failures + u32::from(is_failure(&answer));
                    return CallOutcome::Answered { answer, failures };
                }
                AttemptOutcome::Answered(answer) => {
                    dispatcher.crashes.record_answer(call.fingerprint);
                    self.failures += u32::from(is_failure(&answer));
                    self.possible_runs += 1;
                    self.failed.push(sent.server.incarnation.clone());
                    last_answer = Some(answer);
                }
                AttemptOutcome::Failed {
                    server_status,
                    reason,
                    verdict,
                    ..
                } => {
                    dispatcher.check_server(&sent.server, server_status).await;
                    if reason != FULL_REASON {
                        self.failed.push(sent.server.incarnation.clone());
                    }
                    self.record_failure(reason, verdict);
                }
            }
        }
    }

    /// Counts an attempt that got no response to forward.
    fn record_failure(&mut self, reason: &'static str, verdict: Verdict) {
        self.last_reason = reason;
        match verdict {
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.possible_runs += 1,
        }
    }

    /// Chooses the server for another attempt, if the call may have one. With a queue, the call
    /// waits for its turn.
    async fn next_attempt(&mut self) -> Option<SentAttempt> {
        if !self.may_attempt() {
            return None;
        }
        if !self.dispatcher.load.features.queue {
            return self.choose_server();
        }
        let call = self.call;
        let service = call.route.service_of(&call.id)?;
        let dispatcher = self.dispatcher;
        let place = self
            .place
            .get_or_insert_with(|| dispatcher.waiting_call(call, service));
        match dispatcher
            .wait_turn(call, service, place, &self.failed)
            .await
        {
            // The call may have waited for long.
            Ok(permit) if self.may_attempt() => Some(self.sent_attempt(permit)),
            Ok(_) => None,
            Err(refusal) => {
                refusal.record(call, service);
                self.last_reason = refusal.reason;
                self.refusal = Some(refusal);
                None
            }
        }
    }

    /// Whether the call may have another attempt.
    fn may_attempt(&mut self) -> bool {
        // A request that crashes every server that runs it would take down all of them.
        // Its attempts here and its caller's retries at other instances count as one
        // request, whose crashes all instances share.
        let trial = self.trial.is_some() && self.tried.is_empty();
        if self.dispatcher.is_barred(self.call, trial) {
            self.last_reason = QUARANTINE_REASON;
            return false;
        }
        if self.dispatcher.is_config_stale(self.call) {
            self.last_reason = STALE_REASON;
            return false;
        }
        if !self.dispatcher.shutdown.admits(self.call.deadline) {
            self.last_reason = STOPPING_REASON;
            return false;
        }
        let repeatable = self.is_idempotent() || self.possible_runs == 0;
        // With a queue, the call returns to its place after each attempt that did not run.
        let returns = u32::from(self.dispatcher.load.features.queue);
        repeatable
            && self.not_run < MAX_ATTEMPTS_NOT_RUN + returns
            && self.possible_runs + self.in_flight() < self.call.route.max_attempts
    }

    /// Chooses among all servers, whether they have room or not.
    fn choose_server(&mut self) -> Option<SentAttempt> {
        let server = self.dispatcher.choose_server(self.call, &self.tried)?;
        if self.tried.contains(&server.incarnation) && self.not_run > 0 {
            return None;
        }
        self.tried.push(server.incarnation.clone());
        let sent_at = self.dispatcher.site.now();
        Some(SentAttempt {
            permit: self.dispatcher.count_sent(self.call, &server, false),
            sent_at,
            server,
        })
    }

    /// The attempt that `permit` allows.
    fn sent_attempt(&mut self, permit: Permit) -> SentAttempt {
        let server = permit.server.clone();
        self.tried.push(server.incarnation.clone());
        SentAttempt {
            permit: Some(permit),
            sent_at: self.dispatcher.site.now(),
            server,
        }
    }

    /// The number of attempts in flight.
    fn in_flight(&self) -> u32 {
        self.tried.len() as u32 - self.possible_runs - self.not_run
    }

    /// How long to wait for the only attempt in flight before sending a hedged attempt;
    /// `None` if none is allowed.
    fn hedge_delay(&self, in_flight: usize) -> Option<Millis> {
        // A request that may have crashed a server isn't sent to two at once.
        let crashed_no_server = self.dispatcher.crashes.crash_count(self.call.fingerprint) == 0;
        let may_hedge = in_flight == 1 && self.is_idempotent() && !self.hedged && crashed_no_server;
        if !may_hedge || self.in_flight() + self.possible_runs >= self.call.route.max_attempts {
            return None;
        }
        let service = self.call.route.service_of(&self.call.id)?;
        let typical = self.dispatcher.typical_latency(service);
        let left = self.call.deadline.since(self.dispatcher.site.now());
        Some(hedge_delay(typical, left))
    }

    /// Waits for the time of a hedged attempt and, with a queue, for a server; `None` if no
    /// hedged attempt is allowed.
    fn hedge(&self, in_flight: usize) -> Option<Hedge<'a>> {
        let delay = self.hedge_delay(in_flight)?;
        let Some(place) = self.place else {
            return Some(Box::pin(async move {
                tokio::time::sleep(delay.as_duration()).await;
                None
            }));
        };
        let (call, dispatcher) = (self.call, self.dispatcher);
        let service = call.route.service_of(&call.id)?;
        let turn = dispatcher.hedge_turn(call, service, place, self.tried.clone(), delay);
        Some(Box::pin(turn))
    }

    /// Starts a hedged attempt, at the server of `permit` if there is a queue; `None` if the
    /// retry budget allows none or there is no server.
    fn start_hedge(&mut self, permit: Option<Permit>) -> Option<SentAttempt> {
        self.hedged = true;
        let sent = match (self.place, permit) {
            (None, _) => {
                let paid = self.dispatcher.state().budget.spend();
                let chosen = paid && self.may_attempt();
                chosen.then(|| self.choose_server()).flatten()?
            }
            (Some(_), Some(permit)) if self.may_attempt() => self.sent_attempt(permit),
            (Some(_), _) => return None,
        };
        let (call, server) = (&self.call.id, &sent.server.incarnation.id);
        tracing::info!(call, server, "hedged attempt sent");
        Some(sent)
    }

    /// Whether the request may run more than once.
    fn is_idempotent(&self) -> bool {
        self.call.route.kind == RouteKind::Safe
    }

    /// Whether `answer` is forwarded to the caller. The server errors of idempotent requests
    /// aren't, as another server may succeed.
    fn is_final(&self, answer: &FullResponse) -> bool {
        !answer.status.is_server_error() || !self.is_idempotent()
    }

    /// The call's outcome once no further attempt is allowed or possible. Releases the trial if
    /// it did not run.
    fn finish(&self, last_answer: Option<FullResponse>) -> CallOutcome {
        if let Some(trial) = self.trial.filter(|_| self.possible_runs == 0) {
            self.dispatcher.crashes.release_trial(trial);
        }
        let failures = self.failures;
        if let Some(answer) = last_answer {
            return CallOutcome::Answered { answer, failures };
        }
        let reason = self.last_reason.to_owned();
        let full_wait = || {
            let service = self.call.route.service_of(&self.call.id);
            let place = self.place.as_ref().zip(service);
            place.map_or(RETRY_AFTER_FULL, |(place, service)| {
                self.dispatcher.retry_after(service, place)
            })
        };
        match (self.possible_runs, self.tried.is_empty()) {
            (0, _) if self.last_reason == QUARANTINE_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_QUARANTINE,
            },
            (0, _) if self.last_reason == STALE_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_STALE_CONFIG,
            },
            (0, _) if self.last_reason == STOPPING_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_STOPPING,
            },
            (0, _) if self.refusal.is_some() => CallOutcome::NotRun {
                reason,
                wait: self
                    .refusal
                    .as_ref()
                    .map_or(RETRY_AFTER_FULL, |refusal| refusal.wait),
            },
            (0, true) => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_NO_SERVER,
            },
            (0, false) => CallOutcome::NotRun {
                reason,
                wait: full_wait(),
            },
            _ => CallOutcome::Lost { failures, reason },
        }
    }
}

/// Whether the answer has status 500, which counts as a failure. Other server errors don't
/// count: a server also answers with one when the deadline has passed because earlier attempts
/// used up the time, and a batch item must not be given up because of that.
fn is_failure(answer: &FullResponse) -> bool {
    answer.status == StatusCode::INTERNAL_SERVER_ERROR
}

/// Waits for the time of a hedged attempt, or forever if none is allowed.
async fn wait_or_never(hedge: &mut Option<Hedge<'_>>) -> Option<Permit> {
    match hedge {
        Some(hedge) => hedge.await,
        None => std::future::pending().await,
    }
}
