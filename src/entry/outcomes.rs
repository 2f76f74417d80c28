//! How the traffic duty passes replies on, retries failed attempts and ends calls.

use super::{
    call::{AttemptKey, Call, CallKey},
    command::Reply,
    server::{DEFAULT_LATENCY_MS, ServerKey},
    traffic::Traffic, //
};
use crate::{
    base::{Cause, Event, Failure, Millis, RequestId, Span, Verdict},
    policy::{
        retry::{self, Decision},
        retry_budget::RetryBudget,
        router::Policy, //
    },
    wire::{FromAgent, Slot, ToAgent}, //
};
use slotmap::Key;

/// How long after a call's deadline to wait for the agent's reply. Only the agent can say
/// that a request did not run.
const AGENT_GRACE: Millis = Millis(150);

impl Traffic {
    /// Passes an agent's message about an attempt in progress on to the caller, or ends the
    /// attempt.
    pub(super) fn on_call_message(&mut self, key: AttemptKey, call: CallKey, message: FromAgent) {
        let delivered = match message {
            FromAgent::Credit { bytes, .. } => self.reply_to(call, Reply::Credit(bytes)),
            FromAgent::Data { bytes, .. } => self.reply_to(call, Reply::Data(bytes)),
            FromAgent::End { finish, .. } => {
                self.finish(key, call, Reply::End(finish));
                return;
            }
            FromAgent::Failed { failure, .. } => {
                self.fail_attempt(key, failure);
                return;
            }
            FromAgent::Head {
                status, headers, ..
            } => {
                if let Some(call) = self.calls.get_mut(call) {
                    call.visible = true;
                }
                self.reply_to(call, Reply::Head { status, headers })
            }
            FromAgent::Spans { spans, .. } => self.on_spans(call, spans),
            FromAgent::Tokens { from, tokens, .. } => {
                let spliced = self
                    .calls
                    .get_mut(call)
                    .is_some_and(|call| call.tokens.splice(from, &tokens));
                spliced && self.reply_to(call, Reply::Tokens(from, tokens))
            }
            FromAgent::Account { .. } | FromAgent::Ordered { .. } | FromAgent::Report(_) => true,
        };
        if !delivered {
            self.abandon(call);
        }
    }

    /// Fails the attempts and orders on a link that was lost.
    pub(super) fn on_link_down(&mut self, server: ServerKey, reason: &'static str) {
        let now = self.context.clock.now();
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        let name = state.instance.name.clone();
        tracing::info!(server = name, reason, "link to agent lost");
        metrics::counter!("redwing_links_down_total", "reason" => reason).increment(1);
        state.link = None;
        state.health.record_failure(now);

        let lost: Vec<AttemptKey> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            let detail = format!("the link to `{name}` was lost: {reason}");
            self.fail_attempt(key, Failure::may_have_run(Cause::LinkLost, detail));
        }
        let orders = self.orders.extract_if(|_, order| order.server == server);
        for (_, order) in orders {
            let detail = "the link was lost";
            let failure = Failure::may_have_run(Cause::LinkLost, detail);
            let _ = order.reply.send(Err(failure));
        }
    }

    /// Ends an attempt that has failed; its call is retried or fails.
    pub(super) fn fail_attempt(&mut self, key: AttemptKey, failure: Failure) {
        let now = self.context.clock.now();
        let Some(attempt) = self.end_attempt(key) else {
            return;
        };
        self.record_server_failure(attempt.server, &failure, now);
        let Some(call) = self.calls.get_mut(attempt.call) else {
            return;
        };
        call.current = None;
        call.in_doubt |= failure.verdict.may_have_run();
        call.tried.push(attempt.server);

        let decision = match self.settings.policy {
            Policy::Baseline => retry::decide_baseline(now, call.retry_input(), &failure),
            Policy::Current => retry::decide(now, call.retry_input(), &failure),
        };
        let pool = (call.spec.team.clone(), call.spec.pool.clone());
        let share = call.spec.retry_share as f64 / 100.0;
        let decision = match decision {
            Decision::Retry { paid: true, .. } => {
                let budget = self.retry_budgets.entry(pool);
                match budget.or_insert_with(|| RetryBudget::new(share)).spend() {
                    true => decision,
                    false => Decision::GiveUp,
                }
            }
            Decision::GiveUp | Decision::Retry { .. } => decision,
        };
        tracing::info!(
            target: "decision",
            request = %call.spec.request,
            team = call.spec.team,
            class = call.spec.class,
            cause = failure.cause.word(),
            verdict = ?failure.verdict,
            attempts = call.attempts,
            decision = ?decision,
            "attempt failed"
        );
        match decision {
            Decision::GiveUp => self.fail_call(attempt.call, failure),
            Decision::Retry { wait, .. } => {
                let event = Event::Retried {
                    cause: failure.cause,
                    verdict: failure.verdict,
                };
                self.ledger.record(now, call.spec.request, event);
                call.drop_unconfirmed();
                call.next_try = now + wait;
                if wait == Millis(0) {
                    self.route(attempt.call);
                }
            }
        }
    }

    /// Ends the call, and sends `failure` to its caller.
    pub(super) fn fail_call(&mut self, key: CallKey, mut failure: Failure) {
        let now = self.context.clock.now();
        let Some(call) = self.remove(key) else {
            return;
        };
        if call.in_doubt && failure.verdict == Verdict::NotRun {
            // The last attempt did not run, but an earlier one may have.
            failure.verdict = Verdict::MayHaveRun;
        }
        let (cause, verdict) = (failure.cause, failure.verdict);
        let event = Event::Failed { cause, verdict };
        self.ledger.record(now, call.spec.request, event);
        metrics::counter!("redwing_calls_failed_total", "cause" => cause.word()).increment(1);
        call.reply(Reply::Failed(failure));
    }

    /// Records that the whole answers to `requests` were handed to the callers'
    /// connections.
    pub(super) fn record_delivered(&mut self, requests: &[RequestId]) {
        let now = self.context.clock.now();
        for request in requests {
            self.ledger.record(now, *request, Event::Delivered);
        }
    }

    /// Checks every call. Ends it if the caller has left or the deadline has passed; routes
    /// it if its delay is over.
    pub(super) fn check_calls(&mut self, now: Millis) {
        let keys: Vec<CallKey> = self.calls.keys().collect();
        for key in keys {
            let Some(call) = self.calls.get(key) else {
                continue;
            };
            if call.spec.reply.is_closed() {
                self.abandon(key);
                continue;
            }
            match call.current {
                None if now >= call.spec.deadline => {
                    let detail = "the deadline passed before a server took the call";
                    self.fail_call(key, Failure::not_run(Cause::DeadlinePassed, detail));
                }
                None if now >= call.next_try => self.route(key),
                Some(_) if now >= call.spec.deadline + AGENT_GRACE => {
                    self.cancel(key);
                    let detail = "the deadline passed and the agent said nothing";
                    self.fail_call(key, Failure::may_have_run(Cause::DeadlinePassed, detail));
                }
                Some(_) | None => {}
            }
        }
    }

    /// Cancels a call whose replies can't be passed on: the caller has left or does not read
    /// them, or the agent's tokens leave a gap.
    fn abandon(&mut self, key: CallKey) {
        self.cancel(key);
        let detail = "the caller is gone";
        self.fail_call(key, Failure::may_have_run(Cause::Cancelled, detail));
    }

    /// Tells the agent that has the call to cancel it.
    fn cancel(&mut self, key: CallKey) {
        if let Some(call) = self.calls.get(key) {
            self.send_to_current(call.spec.request, |slot: Slot| ToAgent::Cancel { slot });
        }
    }

    /// Removes an attempt.
    fn end_attempt(&mut self, key: AttemptKey) -> Option<super::call::OpenAttempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(server) = self.servers.get_mut(attempt.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }

    /// Ends a call whose attempt has succeeded, and sends the last reply.
    fn finish(&mut self, key: AttemptKey, call: CallKey, end: Reply) {
        let now = self.context.clock.now();
        let attempt = self.end_attempt(key);
        let Some(call) = self.remove(call) else {
            return;
        };
        if let Some(attempt) = attempt
            && let Some(server) = self.servers.get_mut(attempt.server)
        {
            server.health.record_success();
            server
                .latency
                .record(now, DEFAULT_LATENCY_MS, call.scaled_duration(attempt, now));
        }
        let request = call.spec.request;
        if let Some(model) = call.model() {
            let model = model.to_owned();
            let spans = call.spans.clone();
            self.ledger
                .record(now, request, Event::Versions { model, spans });
        }
        self.ledger.record(now, request, Event::Finished);
        metrics::counter!("redwing_calls_finished_total").increment(1);
        let pool = (call.spec.team.clone(), call.spec.pool.clone());
        if let Some(budget) = self.retry_budgets.get_mut(&pool) {
            budget.record_success();
        }
        call.reply(end);
    }

    /// Records the failure in the server's circuit breaker, if the server is at fault.
    fn record_server_failure(&mut self, server: ServerKey, failure: &Failure, now: Millis) {
        let at_fault = matches!(
            failure.cause,
            Cause::BackendBroken | Cause::BackendUnreachable | Cause::VersionUncertain
        );
        if let Some(server) = self.servers.get_mut(server).filter(|_| at_fault) {
            server.health.record_failure(now);
        }
    }

    /// Records confirmed weight versions, and passes them on.
    fn on_spans(&mut self, key: CallKey, spans: Vec<Span>) -> bool {
        let Some(call) = self.calls.get_mut(key) else {
            return false;
        };
        Span::extend(&mut call.spans, spans.iter().copied());
        call.reply(Reply::Spans(spans))
    }

    /// Removes a call, with its attempt in progress and its place in admission.
    fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        self.call_keys.remove(&call.spec.request);
        self.admission.release(&call.spec.team, &call.spec.class);
        if let Some(attempt) = call.current
            && !attempt.is_null()
        {
            self.end_attempt(attempt);
        }
        Some(call)
    }
}
