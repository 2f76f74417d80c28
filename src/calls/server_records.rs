//! What this process saw of each server.

use super::attempt::{
    AttemptOutcome,
    ServerStatus, //
};
use crate::{
    base::{Fingerprint, Millis, Verdict},
    policy::{health::Health, latency::Latency, server_choice::Candidate},
    routing::{Server, ServerIncarnation}, //
};
use std::collections::HashMap;

/// One server's record.
#[derive(Debug, Default)]
struct Record {
    /// Requests of which the server has not been seen to answer or refuse them.
    pending: Vec<PendingRequest>,
    /// When it was seen to have ended.
    ended_at: Option<Millis>,
    breaker: Health,
    in_flight: u32,
    latency: Latency,
    /// Running and waiting calls by the server's own word, and when it said so.
    reported_load: Option<(u32, Millis)>,
    last_used: Millis,
}

/// A request that a server may be working on.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    /// When it was given up here; `None` while its answer is awaited.
    abandoned_at: Option<Millis>,
    request: Fingerprint,
}

/// When a request was sent, and whether it may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRequest {
    pub(super) sent_at: Millis,
    pub(super) verdict: Verdict,
}

/// The records of all servers, by life.
#[derive(Debug, Default)]
pub(super) struct ServerRecords {
    records: HashMap<ServerIncarnation, Record>,
}

/// A server's word on its load counts this long; calls last tens of ms.
const REPORT_MAX_AGE: Millis = Millis(300);

/// Records of servers that got no call for so long are dropped.
const RECORD_MAX_IDLE: Millis = Millis(60_000);

/// A server that ends may still have worked on a request that was given up this
/// long before: its caller left, or its time was over.
const ABANDONED_MAX_AGE: Millis = Millis(3_000);

/// Requests of one server that are kept apart; its slots and queue hold fewer.
const MAX_PENDING: usize = 256;

/// Above this many records the unused ones are looked for.
const CLEANUP_THRESHOLD: usize = 4_096;

impl ServerRecords {
    /// The server as a candidate for a call that usually takes `usual` ms.
    pub(super) fn candidate(
        &self,
        server: &Server,
        data_centre: &str,
        tried: bool,
        usual: f64,
        now: Millis,
    ) -> Candidate {
        let record = self.records.get(&server.incarnation);
        let recent = |(load, at): (u32, Millis)| (now.since(at) < REPORT_MAX_AGE).then_some(load);
        Candidate {
            connected: false,
            in_flight: record.map_or(0, |record| record.in_flight),
            latency: record.map_or(usual, |record| record.latency.estimate(now, usual)),
            local: server.data_centre == data_centre,
            reported: record
                .and_then(|record| record.reported_load)
                .and_then(recent),
            slots: server.slots,
            tried,
            trusted: record.is_none_or(|record| record.breaker.may_get(now)),
        }
    }

    /// A call is sent to `server`.
    pub(super) fn begin_call(&mut self, server: &ServerIncarnation, now: Millis) {
        if self.records.len() > CLEANUP_THRESHOLD {
            let unused = |record: &Record| {
                record.in_flight == 0 && now.since(record.last_used) > RECORD_MAX_IDLE
            };
            self.records.retain(|_, record| !unused(record));
        }
        let record = self.records.entry(server.clone()).or_default();
        record.in_flight += 1;
        record.last_used = now;
        record.breaker.try_once(now);
    }

    /// A call at `server` is no longer under way.
    pub(super) fn end_call(&mut self, server: &ServerIncarnation) {
        if let Some(record) = self.records.get_mut(server) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// An answer came after `taken` ms, where `usual` is usual.
    pub(super) fn record_success(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
        usual: f64,
        taken: f64,
    ) {
        if let Some(record) = self.records.get_mut(server) {
            record.breaker.succeed();
            record.latency.note(now, usual, taken);
        }
    }

    /// The server failed; true when this takes it out.
    pub(super) fn record_failure(&mut self, server: &ServerIncarnation, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let before = record.breaker.is_out();
        record.breaker.fail(now);
        !before && record.breaker.is_out()
    }

    /// No answer came within `waited` ms: what it takes is at least that.
    pub(super) fn record_min_latency(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
        usual: f64,
        waited: f64,
    ) {
        if let Some(record) = self.records.get_mut(server) {
            record.latency.note(now, usual, waited);
        }
    }

    /// The server said how many calls it has.
    pub(super) fn record_load(&mut self, server: &ServerIncarnation, now: Millis, load: u32) {
        if let Some(record) = self.records.get_mut(server) {
            record.reported_load = Some((load, now));
        }
    }

    /// `request` is sent to `server`.
    pub(super) fn add_pending(&mut self, server: &ServerIncarnation, request: Fingerprint) {
        let record = self.records.entry(server.clone()).or_default();
        if record.pending.len() == MAX_PENDING {
            record.pending.remove(0);
        }
        let abandoned_at = None;
        record.pending.push(PendingRequest {
            abandoned_at,
            request,
        });
    }

    /// `server` answered or refused `request`, which was sent at `began`: it lives,
    /// and what was given up before then has not ended it.
    pub(super) fn record_reply(
        &mut self,
        server: &ServerIncarnation,
        request: Fingerprint,
        sent_at: Millis,
    ) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        record.ended_at = None;
        record.remove_pending(request);
        record
            .pending
            .retain(|pending| pending.abandoned_at.is_none_or(|at| at >= sent_at));
    }

    /// Notes what became of `request`, which was sent to `server` at `began`; true
    /// when the server may still be working on it.
    pub(super) fn record_outcome(
        &mut self,
        server: &ServerIncarnation,
        request: Fingerprint,
        sent_at: Millis,
        attempt: &AttemptOutcome,
        now: Millis,
    ) -> bool {
        match attempt {
            AttemptOutcome::Answered(_)
            | AttemptOutcome::Failed {
                server_status: ServerStatus::Alive,
                ..
            } => {
                self.record_reply(server, request, sent_at);
                false
            }
            AttemptOutcome::Failed { verdict, .. } => {
                let lost = LostRequest {
                    sent_at,
                    verdict: *verdict,
                };
                self.record_loss(server, request, lost, now)
            }
        }
    }

    /// `request` got no answer of `server`; true when the server may still be
    /// working on it. One that never reached it, or that was sent once its end was
    /// known and may have met it closing down, has not ended it.
    pub(super) fn record_loss(
        &mut self,
        server: &ServerIncarnation,
        request: Fingerprint,
        lost: LostRequest,
        now: Millis,
    ) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let too_late = record.ended_at.is_some_and(|at| lost.sent_at >= at);
        if too_late || !lost.verdict.may_have_run() {
            record.remove_pending(request);
            return false;
        }
        self.abandon(server, request, now)
    }

    /// Nobody waits for the answer to `request` any more; true when the server may
    /// still be working on it.
    pub(super) fn abandon(
        &mut self,
        server: &ServerIncarnation,
        request: Fingerprint,
        now: Millis,
    ) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let mut waiting = record.pending.iter_mut();
        let pending =
            waiting.find(|pending| pending.request == request && pending.abandoned_at.is_none());
        let is_pending = pending.is_some();
        if let Some(pending) = pending {
            pending.abandoned_at = Some(now);
        }
        is_pending
    }

    /// Whether `server` may be working on `request`.
    pub(super) fn is_pending(&self, server: &ServerIncarnation, request: Fingerprint) -> bool {
        let record = self.records.get(server);
        let mut pending = record.iter().flat_map(|record| &record.pending);
        pending.any(|pending| pending.request == request)
    }

    /// `server` has ended; returns the requests that were given up there of late.
    ///
    /// Those whose answers are awaited find out by themselves what became of them:
    /// some are still connecting, and have never reached it.
    pub(super) fn end_incarnation(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
    ) -> Vec<Fingerprint> {
        let Some(record) = self.records.get_mut(server) else {
            return Vec::new();
        };
        record.ended_at.get_or_insert(now);
        let (abandoned, awaited) = std::mem::take(&mut record.pending)
            .into_iter()
            .partition(|pending| pending.abandoned_at.is_some());
        record.pending = awaited;
        let recent = |pending: &PendingRequest| {
            pending
                .abandoned_at
                .is_some_and(|at| now.since(at) < ABANDONED_MAX_AGE)
        };
        let abandoned: Vec<PendingRequest> = abandoned;
        let recent = abandoned.into_iter().filter(recent);
        recent.map(|pending| pending.request).collect()
    }
}

impl Record {
    fn remove_pending(&mut self, request: Fingerprint) {
        let same =
            |pending: &PendingRequest| pending.request == request && pending.abandoned_at.is_none();
        if let Some(index) = self.pending.iter().position(same) {
            self.pending.swap_remove(index);
        }
    }
}
