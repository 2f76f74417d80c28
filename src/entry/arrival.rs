//! How the traffic duty takes calls in, routes them and sends them out.

use super::{
    call::{Call, CallKey, Handover},
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

/// The wait before a call that found no server looks again.
const LOOK_AGAIN: Millis = Millis(50);

/// How long a call looks for a server before it is refused.
const LOOK: Millis = Millis(2_000);

impl Traffic {
    /// Takes a call in, or refuses it.
    pub(super) fn arrive(&mut self, new: NewCall) {
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
                "shed"
            );
            self.ledger
                .note(now, request, Event::Failed { cause, verdict });
            let _ = new.reply.try_send(Reply::Failed(failure));
            return;
        }

        self.ledger.note(now, request, Event::Admitted);
        let key = self.calls.insert(Call::new(new, now));
        self.ids.insert(request, key);
        self.route(key);
    }

    /// Finds a server for the call and hands it over.
    pub(super) fn route(&mut self, key: CallKey) {
        let now = self.context.clock.now();
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let candidates = self.candidates(call, now);
        let Some((server, reason)) = self.choose(call, &candidates) else {
            self.look_again(key, now);
            return;
        };

        self.turn += 1;
        let eligible = candidates.iter().filter(|c| c.eligible).count();
        tracing::info!(
            target: "decision",
            request = %call.new.request,
            team = call.new.team,
            class = call.new.class,
            pool = call.new.pool,
            seen = candidates.len(),
            eligible,
            chosen = self.servers.get(server).map(|s| s.instance.name.as_str()),
            reason = reason.word(),
            attempt = call.attempts,
            "routed"
        );
        self.hand_over(key, server, reason, now);
    }

    /// A further part of a request's body.
    pub(super) fn pass_body(&mut self, request: RequestId, bytes: Bytes, last: bool) {
        self.to_current(request, |slot| ToAgent::Data { slot, bytes, last });
    }

    fn candidates(&self, call: &Call, now: Millis) -> Vec<Candidate<ServerKey>> {
        let pool = self
            .servers
            .iter()
            .filter(|(_, server)| server.instance.pool.as_deref() == Some(&call.new.pool));
        let all: Vec<(ServerKey, &Server)> = pool.collect();
        // When all were tried, each may be tried again.
        let exhausted = all.iter().all(|(key, _)| call.tried.contains(key));
        all.into_iter()
            .map(|(key, server)| {
                let tried = !exhausted && call.tried.contains(&key);
                let unfit = call
                    .model()
                    .is_some_and(|model| !server.has(model, call.new.least));
                let mut candidate = server.candidate(key, now, tried || unfit);
                if self.settings.policy == Policy::Baseline {
                    candidate.eligible = server.link.is_some() && server.listed && !unfit;
                }
                candidate
            })
            .collect()
    }

    fn choose(
        &self,
        call: &Call,
        candidates: &[Candidate<ServerKey>],
    ) -> Option<(ServerKey, Reason)> {
        let request = call.new.request;
        let draw = stable_hash(&[
            &request.sequence.to_le_bytes(),
            &request.issuer.0.to_le_bytes(),
            &[call.attempts],
        ]);
        router::choose(self.settings.policy, candidates, self.turn, draw)
    }

    fn hand_over(&mut self, key: CallKey, server: ServerKey, reason: Reason, now: Millis) {
        let attempt = self.attempts.insert(Handover {
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
            budget: call.new.deadline.since(now),
            class: call.new.class.clone(),
            idempotent: call.new.idempotent,
            key: call.new.key.clone(),
            priority: call.new.priority,
            request: call.new.request,
            slot: Slot(attempt.data().as_ffi()),
            team: call.new.team.clone(),
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
        self.ledger.note(now, start.request, routed);

        let start = ToAgent::Start(Box::new(start));
        let sent = target
            .link
            .as_ref()
            .is_some_and(|link| link.try_send(start));
        if !sent {
            // Nothing of it left this process.
            let detail = "the link to the agent takes no more";
            let failure = Failure::not_run(Cause::LinkLost, detail);
            self.fail_attempt(attempt, failure);
        }
    }

    fn look_again(&mut self, key: CallKey, now: Millis) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if now.since(call.opened) < LOOK && now + LOOK_AGAIN < call.new.deadline {
            call.next_try = now + LOOK_AGAIN;
            return;
        }
        let detail = format!("no server of pool `{}` can take the call", call.new.pool);
        let failure = Failure::not_run(Cause::NoServer, detail).retry_after(Millis(500));
        self.give_up(key, failure);
    }
}
