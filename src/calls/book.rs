//! What this process saw of each server.

use crate::{
    base::Millis,
    policy::{health::Health, latency::Latency, server_choice::Candidate},
    routing::{Life, Server}, //
};
use std::collections::HashMap;

/// One server's record.
#[derive(Debug, Default)]
struct Record {
    health: Health,
    in_flight: u32,
    latency: Latency,
    /// Running and waiting calls by the server's own word, and when it said so.
    reported: Option<(u32, Millis)>,
    used: Millis,
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

/// Above this many records the unused ones are looked for.
const RECORDS_MOST: usize = 4_096;

impl Book {
    /// The server as a candidate for a call.
    pub(super) fn candidate(
        &self,
        server: &Server,
        home: &str,
        tried: bool,
        now: Millis,
    ) -> Candidate {
        let record = self.records.get(&server.life);
        let fresh = |(load, at): (u32, Millis)| (now.since(at) < REPORT_FRESH).then_some(load);
        Candidate {
            connected: false,
            in_flight: record.map_or(0, |record| record.in_flight),
            latency: record.map_or(1.0, |record| record.latency.estimate(now)),
            local: server.data_centre == home,
            reported: record.and_then(|record| record.reported).and_then(fresh),
            slots: server.slots,
            tried,
            trusted: record.is_none_or(|record| record.health.may_get(now)),
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
        record.health.try_once(now);
    }

    /// A call at `server` is no longer under way.
    pub(super) fn end(&mut self, server: &Life) {
        if let Some(record) = self.records.get_mut(server) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// An answer came after `taken` ms.
    pub(super) fn succeed(&mut self, server: &Life, now: Millis, taken: f64) {
        if let Some(record) = self.records.get_mut(server) {
            record.health.succeed();
            record.latency.note(now, taken);
        }
    }

    /// The server failed; true when this takes it out.
    pub(super) fn fail(&mut self, server: &Life, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(server) else {
            return false;
        };
        let before = record.health.is_out();
        record.health.fail(now);
        !before && record.health.is_out()
    }

    /// No answer came within `waited` ms: what it takes is at least that.
    pub(super) fn lag(&mut self, server: &Life, now: Millis, waited: f64) {
        if let Some(record) = self.records.get_mut(server) {
            record.latency.note(now, waited);
        }
    }

    /// The server said how many calls it has.
    pub(super) fn report(&mut self, server: &Life, now: Millis, load: u32) {
        if let Some(record) = self.records.get_mut(server) {
            record.reported = Some((load, now));
        }
    }
}
