//! Runs one call: its attempts, retries and at most one hedged attempt.

use super::{
    Call,
    CallOutcome,
    Dispatcher,
    attempt::{AttemptOutcome, classify},
    crash_check::{QUARANTINE_REASON, RETRY_AFTER_QUARANTINE},
    dispatcher::{
        MAX_ATTEMPTS_NOT_RUN, RETRY_AFTER_FULL, RETRY_AFTER_NO_SERVER, STALE_REASON, SentAttempt,
    }, //
};
use crate::{
    base::{Millis, Verdict},
    net::FullResponse,
    policy::{freshness::RETRY_AFTER_STALE_CONFIG, server_choice::hedge_delay},
    routing::{RouteKind, ServerIncarnation},
    view, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use hyper::StatusCode;

/// The state of one call while its attempts run.
pub(super) struct CallRun<'a> {
    call: &'a Call,
    dispatcher: &'a Dispatcher,
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
    /// The claimed trial, if the request is in quarantine.
    trial: Option<view::ClaimedAttempt>,
    /// The server of each attempt; a server that was tried twice is there twice.
    tried: Vec<ServerIncarnation>,
}

impl<'a> CallRun<'a> {
    /// A run of `call` without attempts yet.
    pub(super) fn new(dispatcher: &'a Dispatcher, call: &'a Call) -> Self {
        Self {
            call,
            dispatcher,
            failures: 0,
            hedged: false,
            last_reason: "no-server",
            possible_runs: 0,
            not_run: 0,
            trial: None,
            tried: Vec::new(),
        }
    }

    /// Makes attempts until one gets a response to forward or no other is allowed.
    pub(super) async fn run(mut self) -> CallOutcome {
        let call = self.call;
        let dispatcher = self.dispatcher;
        let mut in_flight = FuturesUnordered::new();
        let mut last_answer: Option<FullResponse> = None;
        self.trial = dispatcher.claim_trial(call).await;
        loop {
            if in_flight.is_empty() {
                let Some(sent) = self.next_attempt() else {
                    return self.finish(last_answer);
                };
                in_flight.push(dispatcher.send(call, sent));
            }
            let hedge = sleep_or_never(self.hedge_delay(in_flight.len()));
            let (sent, outcome) = tokio::select! {
                Some(done) = in_flight.next() => done,
                () = hedge => {
                    if let Some(sent) = self.start_hedge() {
                        in_flight.push(dispatcher.send(call, sent));
                    }
                    continue;
                }
            };
            let attempt = classify(&call.id, outcome);
            dispatcher.record_outcome(call, &sent, &attempt);
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
                    last_answer = Some(answer);
                }
                AttemptOutcome::Failed {
                    server_status,
                    reason,
                    verdict,
                    ..
                } => {
                    dispatcher.check_server(&sent.server, server_status).await;
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

    /// Chooses the server for another attempt, if the call may have one.
    fn next_attempt(&mut self) -> Option<SentAttempt> {
        // A request that crashes every server that runs it would take down all of them.
        // Its attempts here and its caller's retries at other instances count as one
        // request, whose crashes all instances share.
        let trial = self.trial.is_some() && self.tried.is_empty();
        if self.dispatcher.is_barred(self.call, trial) {
            self.last_reason = QUARANTINE_REASON;
            return None;
        }
        if self.dispatcher.is_config_stale(self.call) {
            self.last_reason = STALE_REASON;
            return None;
        }
        let repeatable = self.is_idempotent() || self.possible_runs == 0;
        let allowed = repeatable
            && self.not_run < MAX_ATTEMPTS_NOT_RUN
            && self.possible_runs + self.in_flight() < self.call.route.max_attempts;
        if !allowed {
            return None;
        }
        let server = self.dispatcher.choose_server(self.call, &self.tried)?;
        if self.tried.contains(&server.incarnation) && self.not_run > 0 {
            return None;
        }
        self.tried.push(server.incarnation.clone());
        let sent_at = self.dispatcher.site.now();
        Some(SentAttempt { sent_at, server })
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

    /// Chooses the server for a hedged attempt, if the retry budget allows one.
    fn start_hedge(&mut self) -> Option<SentAttempt> {
        self.hedged = true;
        let paid = self.dispatcher.state().budget.spend();
        let sent = paid.then(|| self.next_attempt()).flatten()?;
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
            self.dispatcher.crashes.release_attempt(trial);
        }
        let failures = self.failures;
        if let Some(answer) = last_answer {
            return CallOutcome::Answered { answer, failures };
        }
        let reason = self.last_reason.to_owned();
        match (self.possible_runs, self.tried.is_empty()) {
            (0, _) if self.last_reason == QUARANTINE_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_QUARANTINE,
            },
            (0, _) if self.last_reason == STALE_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_STALE_CONFIG,
            },
            (0, true) => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_NO_SERVER,
            },
            (0, false) => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_FULL,
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

/// Sleeps for `wait`, or forever if it is `None`.
async fn sleep_or_never(wait: Option<Millis>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait.as_duration()).await,
        None => std::future::pending().await,
    }
}
