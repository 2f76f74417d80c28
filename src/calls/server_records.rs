//! What this process has observed of each backend server: latency, failures, load, and the
//! requests that the server may be running.

use super::attempt::{
    AttemptOutcome,
    ServerStatus, //
};
use crate::{
    base::{Fingerprint, Millis, Verdict},
    policy::{
        health::CircuitBreaker,
        latency::Latency,
        server_choice::Candidate,
        server_load::{ServerHistory, ServerLoad}, //
    },
    routing::{Server, ServerIncarnation}, //
};
use std::{
    collections::HashMap,
    hash::BuildHasher, //
};

/// The observations of one server incarnation.
#[derive(Debug, Default)]
struct Record {
    /// Requests that were sent to the server and that it has neither answered nor refused.
    pending: Vec<PendingRequest>,
    /// When this process found out that the server had ended.
    ended_at: Option<Millis>,
    breaker: CircuitBreaker,
    /// Calls of this process, which include no streams, and the server's reports.
    history: ServerHistory,
    latency: Latency,
    /// When the last call was sent.
    last_used: Millis,
}

/// A request that a server may be running.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    /// When this process stopped waiting for the answer; `None` while it waits.
    abandoned_at: Option<Millis>,
    request: Fingerprint,
}

/// A sent request that got no answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRequest {
    pub(super) sent_at: Millis,
    /// What the failed attempt shows about the server.
    pub(super) server_status: ServerStatus,
    /// Whether the server may have run it.
    pub(super) verdict: Verdict,
}

impl LostRequest {
    /// Whether the server may be running the request, so that its crash counts against it.
    fn may_be_running(self) -> bool {
        self.verdict.may_have_run() && self.server_status != ServerStatus::ConnectionReset
    }
}

/// The records of all servers, by incarnation.
#[derive(Debug, Default)]
pub(super) struct ServerRecords {
    records: HashMap<ServerIncarnation, Record>,
}

/// How long a server's load report is used; calls last tens of milliseconds.
const MAX_REPORT_AGE: Millis = Millis(300);

/// A cleanup drops the records of servers that were sent no call for this long.
const MAX_RECORD_IDLE: Millis = Millis(60_000);

/// How long after a request was abandoned (its caller disconnected, or its deadline
/// passed) the server may still be running it, so that a crash counts against it.
const MAX_ABANDONED_AGE: Millis = Millis(3_000);

/// The most pending requests recorded per server; its slots and queue hold fewer.
const MAX_PENDING: usize = 256;

/// The number of records above which unused ones are dropped.
const CLEANUP_THRESHOLD: usize = 4_096;

impl ServerRecords {
    /// Describes `server` as a candidate for a call. `data_centre` is this process's, `tried`
    /// says whether the call was sent to the server before, and `typical` is the service's
    /// typical latency in ms.
    pub(super) fn candidate(
        &self,
        server: &Server,
        data_centre: &str,
        tried: bool,
        typical: f64,
        now: Millis,
    ) -> Candidate {
        let record = self.records.get(&server.incarnation);
        let recent =
            |(load, age): (ServerLoad, Millis)| (age < MAX_REPORT_AGE).then_some(load.total());
        let history = record.map_or_else(ServerHistory::default, |record| record.history);
        // The hasher's random state differs between processes and lasts as long as they do.
        let rank = self.records.hasher().hash_one(&server.incarnation.id);
        Candidate {
            connected: false,
            in_flight: self.in_flight(&server.incarnation),
            latency: record.map_or(typical, |record| record.latency.estimate(now, typical)),
            local: server.data_centre == data_centre,
            observed: history.observed(now, typical, rank),
            reported: self.last_report(&server.incarnation, now).and_then(recent),
            slots: server.slots,
            tried,
            trusted: record.is_none_or(|record| record.breaker.allows(now)),
        }
    }

    /// This process's calls at `server`, without streams.
    pub(super) fn in_flight(&self, server: &ServerIncarnation) -> u32 {
        let record = self.records.get(server);
        record.map_or(0, |record| record.history.in_flight())
    }

    /// The last load that `server` reported, and the report's age.
    pub(super) fn last_report(
        &self,
        server: &ServerIncarnation,
        now: Millis,
    ) -> Option<(ServerLoad, Millis)> {
        self.records.get(server)?.history.report(now)
    }

    /// Counts a call to `server` as in flight.
    pub(super) fn begin_call(&mut self, server: &ServerIncarnation, now: Millis) {
        if self.records.len() > CLEANUP_THRESHOLD {
            let unused = |record: &Record| {
                record.history.in_flight() == 0 && now.since(record.last_used) > MAX_RECORD_IDLE
            };
            self.records.retain(|_, record| !unused(record));
        }
        let record = self.records.entry(server.clone()).or_default();
        record.history.begin_call(now);
        record.last_used = now;
        record.breaker.begin_trial(now);
    }

    /// Stops counting a call to `server` as in flight.
    pub(super) fn end_call(&mut self, server: &ServerIncarnation) {
        if let Some(record) = self.records.get_mut(server) {
            record.history.end_call();
        }
    }

    /// Records a successful call that took `taken` ms; `typical` is the service's typical
    /// latency.
    pub(super) fn record_success(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
        typical: f64,
        taken: f64,
    ) {
        if let Some(record) = self.records.get_mut(server) {
            record.breaker.record_success();
            record.latency.record(now, typical, taken);
            record.history.record_success(now, typical, taken);
        }
    }

    /// Records a failure of the server; true if this opens its circuit breaker.
    pub(super) fn record_failure(&mut self, server: &ServerIncarnation, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        record.history.record_failure(now);
        let was_open = record.breaker.is_open();
        record.breaker.record_failure(now);
        !was_open && record.breaker.is_open()
    }

    /// Records an answer with a server error, which leaves the circuit breaker as it is.
    pub(super) fn record_error(&mut self, server: &ServerIncarnation, now: Millis) {
        if let Some(record) = self.records.get_mut(server) {
            record.history.record_failure(now);
        }
    }

    /// Records that the server had not answered after `waited` ms, which is a lower bound of
    /// its latency.
    pub(super) fn record_min_latency(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
        typical: f64,
        waited: f64,
    ) {
        if let Some(record) = self.records.get_mut(server) {
            record.latency.record(now, typical, waited);
            record.history.record_min_latency(now, typical, waited);
        }
    }

    /// Records the load that the server reported.
    pub(super) fn record_load(
        &mut self,
        server: &ServerIncarnation,
        now: Millis,
        load: ServerLoad,
    ) {
        if let Some(record) = self.records.get_mut(server) {
            record.history.record_report(now, load);
        }
    }

    /// Records that `request` is sent to `server`.
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

    /// Records that `server` answered or refused `request`, which was sent at `sent_at`. The
    /// server was alive after that, so requests abandoned earlier have not crashed it.
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

    /// Records the outcome of `request`, which was sent to `server` at `sent_at`; true if the
    /// server may still be running it.
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
            AttemptOutcome::Failed {
                server_status,
                verdict,
                ..
            } => {
                let lost = LostRequest {
                    sent_at,
                    server_status: *server_status,
                    verdict: *verdict,
                };
                self.record_loss(server, request, lost, now)
            }
        }
    }

    /// Records that `server` did not answer `request`; true if the server may still be running
    /// it. A request that did not run can't have crashed the server, nor can one that the
    /// server had not read. The same holds for one that was sent after the server was found to
    /// have ended, as it may only have reached the process while that shut down. Such requests
    /// are no longer pending.
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
        if too_late || !lost.may_be_running() {
            record.remove_pending(request);
            return false;
        }
        self.abandon(server, request, now)
    }

    /// Records that nothing waits for the answer to `request` any more; true if the server may
    /// still be running it.
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

    /// Whether `server` may be running `request`.
    pub(super) fn is_pending(&self, server: &ServerIncarnation, request: Fingerprint) -> bool {
        let record = self.records.get(server);
        let mut pending = record.iter().flat_map(|record| &record.pending);
        pending.any(|pending| pending.request == request)
    }

    /// Records that `server` has ended; returns the recently abandoned requests that it may
    /// have been running.
    ///
    /// Requests that still await an answer stay pending and are not returned: the attempt of
    /// each records its own outcome, and some are still connecting and never reached the server.
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
                .is_some_and(|at| now.since(at) < MAX_ABANDONED_AGE)
        };
        let abandoned: Vec<PendingRequest> = abandoned;
        let recent = abandoned.into_iter().filter(recent);
        recent.map(|pending| pending.request).collect()
    }
}

impl Record {
    /// Removes one `request` that awaits its answer.
    fn remove_pending(&mut self, request: Fingerprint) {
        let same =
            |pending: &PendingRequest| pending.request == request && pending.abandoned_at.is_none();
        if let Some(index) = self.pending.iter().position(same) {
            self.pending.swap_remove(index);
        }
    }
}
