//! What this process saw of each server.

use super::attempt::{
    Attempt,
    End, //
};
use crate::{
    base::{Fingerprint, Millis, Verdict},
    policy::{health::CircuitBreaker, latency::Latency, server_choice::Candidate},
    routing::{Life, Server}, //
};
use std::collections::HashMap;

/// One server's record.
#[derive(Debug, Default)]
struct Record {
    /// Requests of which the server has not been seen to answer or refuse them.
    asked: Vec<Asked>,
    /// When it was seen to have ended.
    ended: Option<Millis>,
    health: CircuitBreaker,
    in_flight: u32,
    latency: Latency,
    /// Running and waiting calls by the server's own word, and when it said so.
    reported: Option<(u32, Millis)>,
    used: Millis,
}

/// A request that a server may be working on.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// When it was given up here; `None` while its answer is awaited.
    left: Option<Millis>,
    request: Fingerprint,
}

/// When a request was sent, and whether it may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub(super) began: Millis,
    pub(super) verdict: Verdict,
}

/// The records of all servers, by life.
#[derive(Debug, Default)]
pub(super) struct Book {
    records: HashMap<Life, Record>,
}

/// A server's word on its load counts this long; calls last tens of ms.
const REPORT_FRESH: Millis = Millis(300);

/// Records of servers that got no call for so long are dropped.
const FORGET: Millis = Millis(60_000);

/// A server that ends may still have worked on a request that was given up this
/// long before: its caller left, or its time was over.
const LEFT_KEPT: Millis = Millis(3_000);

/// Requests of one server that are kept apart; its slots and queue hold fewer.
const ASKED_MOST: usize = 256;

/// Above this many records the unused ones are looked for.
const RECORDS_MOST: usize = 4_096;

impl Book {
    /// The server as a candidate for a call that usually takes `usual` ms.
    pub(super) fn candidate(
        &self,
        server: &Server,
        home: &str,
        tried: bool,
        usual: f64,
        now: Millis,
    ) -> Candidate {
        let record = self.records.get(&server.life);
        let fresh = |(load, at): (u32, Millis)| (now.since(at) < REPORT_FRESH).then_some(load);
        Candidate {
            connected: false,
            in_flight: record.map_or(0, |record| record.in_flight),
            latency: record.map_or(usual, |record| record.latency.estimate(now, usual)),
            local: server.data_centre == home,
            reported: record.and_then(|record| record.reported).and_then(fresh),
            slots: server.slots,
            tried,
            trusted: record.is_none_or(|record| record.health.allows(now)),
        }
    }

    /// A call is sent to `server`.
    pub(super) fn begin(&mut self, server: &Life, now: Millis) {
        if self.records.len() > RECORDS_MOST {
            let unused = |record: &Record| record.in_flight == 0 && now.since(record.used) > FORGET;
            self.records.retain(|_, record| !unused(record));
        }
        let record = self.records.entry(server.clone()).or_default();
        record.in_flight += 1;
        record.used = now;
        record.health.begin_trial(now);
    }

    /// A call at `server` is no longer under way.
    pub(super) fn end(&mut self, server: &Life) {
        if let Some(record) = self.records.get_mut(server) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// An answer came after `taken` ms, where `usual` is usual.
    pub(super) fn succeed(&mut self, server: &Life, now: Millis, usual: f64, taken: f64) {
        if let Some(record) = self.records.get_mut(server) {
            record.health.record_success();
            record.latency.note(now, usual, taken);
        }
    }

    /// The server failed; true when this takes it out.
    pub(super) fn fail(&mut self, server: &Life, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let before = record.health.is_open();
        record.health.record_failure(now);
        !before && record.health.is_open()
    }

    /// No answer came within `waited` ms: what it takes is at least that.
    pub(super) fn lag(&mut self, server: &Life, now: Millis, usual: f64, waited: f64) {
        if let Some(record) = self.records.get_mut(server) {
            record.latency.note(now, usual, waited);
        }
    }

    /// The server said how many calls it has.
    pub(super) fn report(&mut self, server: &Life, now: Millis, load: u32) {
        if let Some(record) = self.records.get_mut(server) {
            record.reported = Some((load, now));
        }
    }

    /// `request` is sent to `server`.
    pub(super) fn ask(&mut self, server: &Life, request: Fingerprint) {
        let record = self.records.entry(server.clone()).or_default();
        if record.asked.len() == ASKED_MOST {
            record.asked.remove(0);
        }
        let left = None;
        record.asked.push(Asked { left, request });
    }

    /// `server` answered or refused `request`, which was sent at `began`: it lives,
    /// and what was given up before then has not ended it.
    pub(super) fn reply(&mut self, server: &Life, request: Fingerprint, began: Millis) {
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        record.ended = None;
        record.drop_one(request);
        record
            .asked
            .retain(|asked| asked.left.is_none_or(|left| left >= began));
    }

    /// Notes what became of `request`, which was sent to `server` at `began`; true
    /// when the server may still be working on it.
    pub(super) fn settle(
        &mut self,
        server: &Life,
        request: Fingerprint,
        began: Millis,
        attempt: &Attempt,
        now: Millis,
    ) -> bool {
        match attempt {
            Attempt::Answered(_)
            | Attempt::Failed {
                end: End::Lives, ..
            } => {
                self.reply(server, request, began);
                false
            }
            Attempt::Failed { verdict, .. } => {
                let sent = Sending {
                    began,
                    verdict: *verdict,
                };
                self.lose(server, request, sent, now)
            }
        }
    }

    /// `request` got no answer of `server`; true when the server may still be
    /// working on it. One that never reached it, or that was sent once its end was
    /// known and may have met it closing down, has not ended it.
    pub(super) fn lose(
        &mut self,
        server: &Life,
        request: Fingerprint,
        sent: Sending,
        now: Millis,
    ) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let too_late = record.ended.is_some_and(|at| sent.began >= at);
        if too_late || !sent.verdict.may_have_run() {
            record.drop_one(request);
            return false;
        }
        self.leave(server, request, now)
    }

    /// Nobody waits for the answer to `request` any more; true when the server may
    /// still be working on it.
    pub(super) fn leave(&mut self, server: &Life, request: Fingerprint, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let mut waiting = record.asked.iter_mut();
        let asked = waiting.find(|asked| asked.request == request && asked.left.is_none());
        let is_open = asked.is_some();
        if let Some(asked) = asked {
            asked.left = Some(now);
        }
        is_open
    }

    /// Whether `server` may be working on `request`.
    pub(super) fn is_open(&self, server: &Life, request: Fingerprint) -> bool {
        let record = self.records.get(server);
        let mut asked = record.iter().flat_map(|record| &record.asked);
        asked.any(|asked| asked.request == request)
    }

    /// `server` has ended; returns the requests that were given up there of late.
    ///
    /// Those whose answers are awaited find out by themselves what became of them:
    /// some are still connecting, and have never reached it.
    pub(super) fn end_life(&mut self, server: &Life, now: Millis) -> Vec<Fingerprint> {
        let Some(record) = self.records.get_mut(server) else {
            return Vec::new();
        };
        record.ended.get_or_insert(now);
        let (left, awaited) = std::mem::take(&mut record.asked)
            .into_iter()
            .partition(|asked| asked.left.is_some());
        record.asked = awaited;
        let recent = |asked: &Asked| asked.left.is_some_and(|left| now.since(left) < LEFT_KEPT);
        let left: Vec<Asked> = left;
        let recent = left.into_iter().filter(recent);
        recent.map(|asked| asked.request).collect()
    }
}

impl Record {
    fn drop_one(&mut self, request: Fingerprint) {
        let same = |asked: &Asked| asked.request == request && asked.left.is_none();
        if let Some(place) = self.asked.iter().position(same) {
            self.asked.swap_remove(place);
        }
    }
}
