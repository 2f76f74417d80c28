//! One call's attempts, one after another or beside another.

use super::{
    Call,
    CallEnd,
    Caller,
    attempt::{Attempt, judge},
    caller::{REFUSALS_MOST, STALE, Sent, WAIT_FULL, WAIT_NO_SERVER},
    look::{QUARANTINE, WAIT_QUARANTINE}, //
};
use crate::{
    base::{Millis, Verdict},
    net::Answer,
    policy::{freshness::STALE_RETRY_AFTER, server_choice::hedge_delay},
    routing::{Kind, Life},
    view, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use hyper::StatusCode;

/// One call's attempts.
pub(super) struct Run<'a> {
    call: &'a Call,
    caller: &'a Caller,
    /// Servers that answered that they failed.
    failures: u32,
    /// Whether another server was asked beside a slow one.
    hedged: bool,
    /// Why the last attempt failed.
    last: &'static str,
    /// Attempts that may have run.
    ran: u32,
    /// Attempts that did not.
    refusals: u32,
    /// The call is in quarantine, and this is the trial of it.
    trial: Option<view::Attempt>,
    tried: Vec<Life>,
}

impl<'a> Run<'a> {
    /// A call of which nothing was sent yet.
    pub(super) fn new(caller: &'a Caller, call: &'a Call) -> Self {
        Self {
            call,
            caller,
            failures: 0,
            hedged: false,
            last: "no-server",
            ran: 0,
            refusals: 0,
            trial: None,
            tried: Vec::new(),
        }
    }

    pub(super) async fn run(mut self) -> CallEnd {
        let call = self.call;
        let caller = self.caller;
        let mut under_way = FuturesUnordered::new();
        let mut kept: Option<Answer> = None;
        self.trial = caller.take_trial(call).await;
        loop {
            if under_way.is_empty() {
                let Some(sent) = self.next() else {
                    return self.end(kept);
                };
                under_way.push(caller.send(call, sent));
            }
            let hedge = sleep_or_never(self.hedge_wait(under_way.len()));
            let (sent, outcome) = tokio::select! {
                Some(done) = under_way.next() => done,
                () = hedge => {
                    if let Some(sent) = self.hedge() {
                        under_way.push(caller.send(call, sent));
                    }
                    continue;
                }
            };
            let attempt = judge(&call.id, outcome);
            caller.learn(call, &sent, &attempt);
            match attempt {
                Attempt::Answered(answer) if self.is_final(&answer) => {
                    caller.crashes.survived(call.fingerprint);
                    let failures = self.failures + u32::from(is_failure(&answer));
                    return CallEnd::Answered { answer, failures };
                }
                Attempt::Answered(answer) => {
                    caller.crashes.survived(call.fingerprint);
                    self.failures += u32::from(is_failure(&answer));
                    self.ran += 1;
                    kept = Some(answer);
                }
                Attempt::Failed {
                    end,
                    reason,
                    verdict,
                    ..
                } => {
                    caller.look_after(&sent.server, end).await;
                    self.fail(reason, verdict);
                }
            }
        }
    }

    fn fail(&mut self, reason: &'static str, verdict: Verdict) {
        self.last = reason;
        match verdict {
            Verdict::NotRun => self.refusals += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.ran += 1,
        }
    }

    /// The server for another attempt, if the call may have one.
    fn next(&mut self) -> Option<Sent> {
        // A call that ends each server that runs it would end all of them: its
        // attempts here and its caller's returns elsewhere are one request, whose
        // crashes all instances count together.
        let trial = self.trial.is_some() && self.tried.is_empty();
        if self.caller.is_barred(self.call, trial) {
            self.last = QUARANTINE;
            return None;
        }
        if self.caller.is_stale(self.call) {
            self.last = STALE;
            return None;
        }
        let repeatable = self.is_idempotent() || self.ran == 0;
        let allowed = repeatable
            && self.refusals < REFUSALS_MOST
            && self.ran + self.pending() < self.call.route.attempts;
        if !allowed {
            return None;
        }
        let server = self.caller.pick(self.call, &self.tried)?;
        if self.tried.contains(&server.life) && self.refusals > 0 {
            return None;
        }
        self.tried.push(server.life.clone());
        let at = self.caller.site.now();
        Some(Sent { at, server })
    }

    /// Attempts that are under way.
    fn pending(&self) -> u32 {
        self.tried.len() as u32 - self.ran - self.refusals
    }

    /// How long the attempt under way may stay silent before another server is
    /// asked beside it; `None` for good.
    fn hedge_wait(&self, under_way: usize) -> Option<Millis> {
        // A request that may end its servers isn't sent to two at once.
        let harmless = self.caller.crashes.ended(self.call.fingerprint) == 0;
        let wanted = under_way == 1 && self.is_idempotent() && !self.hedged && harmless;
        if !wanted || self.pending() + self.ran >= self.call.route.attempts {
            return None;
        }
        let service = self.call.route.service_of(&self.call.id)?;
        let typical = self.caller.typical(service);
        let left = self.call.until.since(self.caller.site.now());
        Some(hedge_delay(typical, left))
    }

    /// The server to ask beside a slow one, if successes have paid for it.
    fn hedge(&mut self) -> Option<Sent> {
        self.hedged = true;
        let paid = self.caller.state().budget.spend();
        let sent = paid.then(|| self.next()).flatten()?;
        let (call, server) = (&self.call.id, &sent.server.life.id);
        tracing::info!(call, server, "asked beside a slow server");
        Some(sent)
    }

    fn is_idempotent(&self) -> bool {
        self.call.route.kind == Kind::Safe
    }

    /// Whether `answer` is handed on, or another server should be asked: a
    /// server's own failure may not be another's.
    fn is_final(&self, answer: &Answer) -> bool {
        !answer.status.is_server_error() || !self.is_idempotent()
    }

    fn end(&self, kept: Option<Answer>) -> CallEnd {
        if let Some(trial) = self.trial.filter(|_| self.ran == 0) {
            self.caller.crashes.release_attempt(trial);
        }
        let failures = self.failures;
        if let Some(answer) = kept {
            return CallEnd::Answered { answer, failures };
        }
        let reason = self.last.to_owned();
        match (self.ran, self.tried.is_empty()) {
            (0, _) if self.last == QUARANTINE => CallEnd::NotRun {
                reason,
                wait: WAIT_QUARANTINE,
            },
            (0, _) if self.last == STALE => CallEnd::NotRun {
                reason,
                wait: STALE_RETRY_AFTER,
            },
            (0, true) => CallEnd::NotRun {
                reason,
                wait: WAIT_NO_SERVER,
            },
            (0, false) => CallEnd::NotRun {
                reason,
                wait: WAIT_FULL,
            },
            _ => CallEnd::Lost { failures, reason },
        }
    }
}

/// Whether a server says that it failed. Its answer that the time was over is
/// no failure: such answers come when attempts before have used up the time,
/// and an item was given up for one.
fn is_failure(answer: &Answer) -> bool {
    answer.status == StatusCode::INTERNAL_SERVER_ERROR
}

async fn sleep_or_never(wait: Option<Millis>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait.as_duration()).await,
        None => std::future::pending().await,
    }
}
