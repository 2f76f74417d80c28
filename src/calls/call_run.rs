//! One call's attempts, one after another or beside another.

use super::{
    Call,
    CallOutcome,
    Caller,
    attempt::{AttemptOutcome, classify},
    caller::{MAX_REFUSALS, RETRY_AFTER_FULL, RETRY_AFTER_NO_SERVER, STALE_REASON, SentAttempt},
    crash_check::{QUARANTINE_REASON, RETRY_AFTER_QUARANTINE}, //
};
use crate::{
    base::{Millis, Verdict},
    net::FullResponse,
    policy::{freshness::WAIT_STALE, server_choice::hedge_after},
    routing::{RouteKind, ServerIncarnation},
    view, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use hyper::StatusCode;

/// One call's attempts.
pub(super) struct CallRun<'a> {
    call: &'a Call,
    caller: &'a Caller,
    /// Servers that answered that they failed.
    failures: u32,
    /// Whether another server was asked beside a slow one.
    hedged: bool,
    /// Why the last attempt failed.
    last_reason: &'static str,
    /// Attempts that may have run.
    may_have_run: u32,
    /// Attempts that did not.
    refusals: u32,
    /// The call is in quarantine, and this is the trial of it.
    trial: Option<view::Attempt>,
    tried: Vec<ServerIncarnation>,
}

impl<'a> CallRun<'a> {
    /// A call of which nothing was sent yet.
    pub(super) fn new(caller: &'a Caller, call: &'a Call) -> Self {
        Self {
            call,
            caller,
            failures: 0,
            hedged: false,
            last_reason: "no-server",
            may_have_run: 0,
            refusals: 0,
            trial: None,
            tried: Vec::new(),
        }
    }

    pub(super) async fn run(mut self) -> CallOutcome {
        let call = self.call;
        let caller = self.caller;
        let mut in_flight = FuturesUnordered::new();
        let mut last_answer: Option<FullResponse> = None;
        self.trial = caller.take_trial(call).await;
        loop {
            if in_flight.is_empty() {
                let Some(sent) = self.next_attempt() else {
                    return self.finish(last_answer);
                };
                in_flight.push(caller.send(call, sent));
            }
            let hedge = sleep_or_never(self.hedge_delay(in_flight.len()));
            let (sent, outcome) = tokio::select! {
                Some(done) = in_flight.next() => done,
                () = hedge => {
                    if let Some(sent) = self.start_hedge() {
                        in_flight.push(caller.send(call, sent));
                    }
                    continue;
                }
            };
            let attempt = classify(&call.id, outcome);
            caller.record_outcome(call, &sent, &attempt);
            match attempt {
                AttemptOutcome::Answered(answer) if self.is_final(&answer) => {
                    caller.crashes.survived(call.fingerprint);
                    let failures = self.failures + u32::from(is_failure(&answer));
                    return CallOutcome::Answered { answer, failures };
                }
                AttemptOutcome::Answered(answer) => {
                    caller.crashes.survived(call.fingerprint);
                    self.failures += u32::from(is_failure(&answer));
                    self.may_have_run += 1;
                    last_answer = Some(answer);
                }
                AttemptOutcome::Failed {
                    server_status,
                    reason,
                    verdict,
                    ..
                } => {
                    caller.check_server(&sent.server, server_status).await;
                    self.record_failure(reason, verdict);
                }
            }
        }
    }

    fn record_failure(&mut self, reason: &'static str, verdict: Verdict) {
        self.last_reason = reason;
        match verdict {
            Verdict::NotRun => self.refusals += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.may_have_run += 1,
        }
    }

    /// The server for another attempt, if the call may have one.
    fn next_attempt(&mut self) -> Option<SentAttempt> {
        // A call that ends each server that runs it would end all of them: its
        // attempts here and its caller's returns elsewhere are one request, whose
        // crashes all instances count together.
        let trial = self.trial.is_some() && self.tried.is_empty();
        if self.caller.is_barred(self.call, trial) {
            self.last_reason = QUARANTINE_REASON;
            return None;
        }
        if self.caller.is_config_stale(self.call) {
            self.last_reason = STALE_REASON;
            return None;
        }
        let repeatable = self.is_idempotent() || self.may_have_run == 0;
        let allowed = repeatable
            && self.refusals < MAX_REFUSALS
            && self.may_have_run + self.in_flight() < self.call.route.max_attempts;
        if !allowed {
            return None;
        }
        let server = self.caller.choose_server(self.call, &self.tried)?;
        if self.tried.contains(&server.incarnation) && self.refusals > 0 {
            return None;
        }
        self.tried.push(server.incarnation.clone());
        let sent_at = self.caller.site.now();
        Some(SentAttempt { sent_at, server })
    }

    /// Attempts that are under way.
    fn in_flight(&self) -> u32 {
        self.tried.len() as u32 - self.may_have_run - self.refusals
    }

    /// How long the attempt under way may stay silent before another server is
    /// asked beside it; `None` for good.
    fn hedge_delay(&self, in_flight: usize) -> Option<Millis> {
        // A request that may end its servers isn't sent to two at once.
        let harmless = self.caller.crashes.ended(self.call.fingerprint) == 0;
        let wanted = in_flight == 1 && self.is_idempotent() && !self.hedged && harmless;
        if !wanted || self.in_flight() + self.may_have_run >= self.call.route.max_attempts {
            return None;
        }
        let service = self.call.route.service_of(&self.call.id)?;
        let typical = self.caller.typical_latency(service);
        let left = self.call.deadline.since(self.caller.site.now());
        Some(hedge_after(typical, left))
    }

    /// The server to ask beside a slow one, if successes have paid for it.
    fn start_hedge(&mut self) -> Option<SentAttempt> {
        self.hedged = true;
        let paid = self.caller.state().budget.spend();
        let sent = paid.then(|| self.next_attempt()).flatten()?;
        let (call, server) = (&self.call.id, &sent.server.incarnation.id);
        tracing::info!(call, server, "asked beside a slow server");
        Some(sent)
    }

    fn is_idempotent(&self) -> bool {
        self.call.route.kind == RouteKind::Safe
    }

    /// Whether `answer` is handed on, or another server should be asked: a
    /// server's own failure may not be another's.
    fn is_final(&self, answer: &FullResponse) -> bool {
        !answer.status.is_server_error() || !self.is_idempotent()
    }

    fn finish(&self, last_answer: Option<FullResponse>) -> CallOutcome {
        if let Some(trial) = self.trial.filter(|_| self.may_have_run == 0) {
            self.caller.crashes.release_attempt(trial);
        }
        let failures = self.failures;
        if let Some(answer) = last_answer {
            return CallOutcome::Answered { answer, failures };
        }
        let reason = self.last_reason.to_owned();
        match (self.may_have_run, self.tried.is_empty()) {
            (0, _) if self.last_reason == QUARANTINE_REASON => CallOutcome::NotRun {
                reason,
                wait: RETRY_AFTER_QUARANTINE,
            },
            (0, _) if self.last_reason == STALE_REASON => CallOutcome::NotRun {
                reason,
                wait: WAIT_STALE,
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

/// Whether a server says that it failed. Its answer that the time was over is
/// no failure: such answers come when attempts before have used up the time,
/// and an item was given up for one.
fn is_failure(answer: &FullResponse) -> bool {
    answer.status == StatusCode::INTERNAL_SERVER_ERROR
}

async fn sleep_or_never(wait: Option<Millis>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait.as_duration()).await,
        None => std::future::pending().await,
    }
}
