//! How the traffic duty admits calls, routes them and sends them to agents.

use super::{
    call::{Call, CallKey, OpenAttempt},
    command::{NewCall, Reply},
    server::{Server, ServerKey},
    traffic::Traffic, //
};
use crate::{
    base::{Cause, Event, Failure, Millis, RequestId, stable_hash},
    policy::router::{self, Candidate, Policy, Reason},
    wire::{Slot, Start, ToAgent}, //
};
use bytes::Bytes;
use slotmap::Key;

/// The delay before a call for which no server was found is routed again.
const NO_SERVER_RETRY_DELAY: Millis = Millis(50);

/// How long after its admission a call may wait for a server.
const NO_SERVER_TIMEOUT: Millis = Millis(2_000);

impl Traffic {
    /// Admits a call and routes it, or refuses it.
    pub(super) fn admit_call(&mut self, new: NewCall) {
        let now = self.context.clock.now();
        let request = new.request;
        self.ledger.open(request, &new.team, &new.class);
        if let Err(failure) = self.admission.admit(&new.team, &new.class, new.limits) {
            let (cause, verdict) = (failure.cause, failure.verdict);
            tracing::info!(
                target: "decision",
                request = %request,
                team = new.team,
                class = new.class,
                cause = cause.word(),
                "call refused by admission"
            );
            self.ledger
                .record(now, request, Event::Failed { cause, verdict });
            let _ = new.reply.try_send(Reply::Failed(failure));
            return;
        }

        self.ledger.record(now, request, Event::Admitted);
        let key = self.calls.insert(Call::new(new, now));
        self.call_keys.insert(request, key);
        self.route(key);
    }

    /// Chooses a server for the call and starts an attempt there. If no server is
    /// eligible, the call waits or fails.
    pub(super) fn route(&mut self, key: CallKey) {
        let now = self.context.clock.now();
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let candidates = self.candidates(call, now);
        let Some((server, reason)) = self.choose(call, &candidates) else {
            self.retry_routing(key, now);
            return;
        };

        self.sequence += 1;
        let eligible = candidates.iter().filter(|c| c.eligible).count();
        tracing::info!(
            target: "decision",
            request = %call.spec.request,
            team = call.spec.team,
            class = call.spec.class,
            pool = call.spec.pool,
            seen = candidates.len(),
            eligible,
            chosen = self.servers.get(server).map(|s| s.instance.name.as_str()),
            reason = reason.word(),
            attempt = call.attempts,
            "call routed"
        );
        self.start_attempt(key, server, reason, now);
    }

    /// Sends a further part of a request's body to the agent that has the request.
    pub(super) fn forward_body(&mut self, request: RequestId, bytes: Bytes, last: bool) {
        self.send_to_current(request, |slot| ToAgent::Data { slot, bytes, last });
    }

    /// The servers of the call's pool, as the router sees them.
    fn candidates(&self, call: &Call, now: Millis) -> Vec<Candidate<ServerKey>> {
        let pool = self
            .servers
            .iter()
            .filter(|(_, server)| server.instance.pool.as_deref() == Some(&call.spec.pool));
        let all: Vec<(ServerKey, &Server)> = pool.collect();
        // Once all servers of the pool have been tried, each may be tried again.
        let exhausted = all.iter().all(|(key, _)| call.tried.contains(key));
        all.into_iter()
            .map(|(key, server)| {
                let tried = !exhausted && call.tried.contains(&key);
                let lacks_weights = call
                    .model()
                    .is_some_and(|model| !server.has_weights(model, call.spec.min_version));
                let mut candidate = server.candidate(key, now, tried || lacks_weights);
                // The baseline ignores whether the agent takes new work, and whether this
                // call has tried the server.
                if self.settings.policy == Policy::Baseline {
                    candidate.eligible = server.link.is_some() && server.listed && !lacks_weights;
                }
                candidate
            })
            .collect()
    }

    /// Chooses a server. Instead of a random number, the router gets a hash of the request
    /// id and the number of attempts.
    fn choose(
        &self,
        call: &Call,
        candidates: &[Candidate<ServerKey>],
    ) -> Option<(ServerKey, Reason)> {
        let request = call.spec.request;
        let draw = stable_hash(&[
            &request.sequence.to_le_bytes(),
            &request.issuer.0.to_le_bytes(),
            &[call.attempts],
        ]);
        router::choose(self.settings.policy, candidates, self.sequence, draw)
    }

    /// Starts an attempt: sends the call to the agent of `server`.
    fn start_attempt(&mut self, key: CallKey, server: ServerKey, reason: Reason, now: Millis) {
        let attempt = self.attempts.insert(OpenAttempt {
            call: key,
            sent: now,
            server,
        });
        let (Some(call), Some(target)) = (self.calls.get_mut(key), self.servers.get_mut(server))
        else {
            return;
        };
        let start = Start {
            attempt: call.attempts,
            budget: call.spec.deadline.since(now),
            class: call.spec.class.clone(),
            idempotent: call.spec.idempotent,
            key: call.spec.key.clone(),
            priority: call.spec.priority,
            request: call.spec.request,
            slot: Slot(attempt.data().as_ffi()),
            team: call.spec.team.clone(),
            work: call.work(),
        };
        call.attempts += 1;
        call.current = Some(attempt);
        target.in_flight += 1;
        target.health.begin_trial(now);
        let routed = Event::Routed {
            reason: reason.word().to_owned(),
            server: target.instance.name.clone(),
        };
        self.ledger.record(now, start.request, routed);

        let start = ToAgent::Start(Box::new(start));
        let sent = target
            .link
            .as_ref()
            .is_some_and(|link| link.try_send(start));
        if !sent {
            // No part of the call has left this process.
            let detail = "the link to the agent takes no more";
            let failure = Failure::not_run(Cause::LinkLost, detail);
            self.fail_attempt(attempt, failure);
        }
    }

    /// Has the call routed again after a delay, or fails it if it has waited too long.
    fn retry_routing(&mut self, key: CallKey, now: Millis) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if now.since(call.admitted_at) < NO_SERVER_TIMEOUT
            && now + NO_SERVER_RETRY_DELAY < call.spec.deadline
        {
            call.next_try = now + NO_SERVER_RETRY_DELAY;
            return;
        }
        let detail = format!("no server of pool `{}` can take the call", call.spec.pool);
        let failure = Failure::not_run(Cause::NoServer, detail).retry_after(Millis(500));
        self.fail_call(key, failure);
    }
}
