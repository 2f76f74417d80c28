//! Quarantines requests that crash the servers that run them.
//!
//! Load pattern: a few servers crash each day, with all requests that they are working
//! on. Once in a while a request crashes each server that runs it. It then arrives
//! again at any instance, in bursts of its caller's retries.

use crate::{
    base::{Fingerprint, Millis},
    routing::ServerIncarnation, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// It runs like any other request.
    Clear,
    /// One server has crashed under it: it runs at one instance at a time.
    Watched,
    /// Two servers have crashed under it: it runs apart from other suspects.
    Suspect,
    /// It is in quarantine, and one attempt may show whether it belongs there.
    Trial,
    /// It is in quarantine, and does not run.
    Barred,
}

/// The number of servers that crash under a request before it is quarantined. The loss
/// of a rack takes down two servers under a call and its retry; three in a row, with no
/// answer in between, are far more likely caused by the request than by chance.
pub const MAX_CRASHES: usize = 3;

/// How long after the last crash a quarantined request is tried again, by the number of
/// earlier trials. It may merely have run beside the request that crashes servers: that
/// one is in quarantine by the first trial, and the servers have restarted. A request
/// that does crash servers costs one more at each trial, and is not tried again after
/// the last of them.
const TRIAL_DELAYS: [Millis; 2] = [Millis(5_000), Millis(600_000)];

/// How long a crash counts. A quarantined request may run again once the caller's data
/// or the server's program is fixed, which takes people a day.
pub const CRASH_RETENTION: Millis = Millis(24 * 3_600_000);

/// The most requests with crashes that are remembered, enough for the loss of a whole
/// data centre with some thousand requests in progress; about 3 MB.
const MAX_REQUESTS: usize = 20_000;

/// The servers that crashed under each request since it was last answered: those that
/// ended unexpectedly while they may have been working on it.
#[derive(Debug, Default)]
pub struct Quarantine {
    answered: Answered,
    /// By request: the incarnations of servers that crashed, and when, by the store's
    /// clock.
    requests: HashMap<Fingerprint, BTreeMap<ServerIncarnation, Millis>>,
}

impl Quarantine {
    /// Records that the server `incarnation` crashed under `request` at `at`, by the
    /// store's clock. Returns false if that was known, or if there is no room for it.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        incarnation: ServerIncarnation,
        at: Millis,
    ) -> bool {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            return false;
        }
        let crashes = self.requests.entry(request).or_default();
        crashes.insert(incarnation, at).is_none()
    }

    /// Removes a crash that no longer counts.
    pub fn forget(&mut self, request: Fingerprint, incarnation: &ServerIncarnation) {
        let Some(crashes) = self.requests.get_mut(&request) else {
            return;
        };
        crashes.remove(incarnation);
        if crashes.is_empty() {
            self.requests.remove(&request);
        }
    }

    /// Records that a server answered `request` at `now` and still runs: another
    /// request caused the crashes. Returns the servers whose crashes counted against
    /// it.
    pub fn clear(&mut self, request: Fingerprint, now: Millis) -> Vec<ServerIncarnation> {
        self.answered.record(request, now);
        let crashes = self.requests.remove(&request).unwrap_or_default();
        crashes.into_keys().collect()
    }

    /// Whether `request` was answered shortly before `now`. A request that several
    /// callers send is at several servers at once, and may lose all of them within
    /// milliseconds to another request: such crashes don't count.
    pub fn is_answered(&self, request: Fingerprint, now: Millis) -> bool {
        self.answered.has(request, now)
    }

    /// The number of servers that crashed under `request`.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// How `request` may run at `now`, by the store's clock.
    pub fn state(&self, request: Fingerprint, now: Millis) -> QuarantineState {
        let Some(crashes) = self.requests.get(&request) else {
            return QuarantineState::Clear;
        };
        let count = crashes.len();
        if count < MAX_CRASHES {
            return match count {
                0 => QuarantineState::Clear,
                1 => QuarantineState::Watched,
                _ => QuarantineState::Suspect,
            };
        }
        let last = crashes.values().max().copied().unwrap_or_default();
        let wait = TRIAL_DELAYS.get(count - MAX_CRASHES);
        match wait.is_some_and(|wait| now.since(last) >= *wait) {
            true => QuarantineState::Trial,
            false => QuarantineState::Barred,
        }
    }

    /// Returns crashes that are older than [`CRASH_RETENTION`] at `now`, at most `most` of
    /// them.
    pub fn expired(&self, now: Millis, most: usize) -> Vec<(Fingerprint, ServerIncarnation)> {
        let all = self.requests.iter().flat_map(|(request, crashes)| {
            let crashes = crashes.iter();
            crashes.map(move |(incarnation, at)| (*request, incarnation, *at))
        });
        let old = all.filter(|(_, _, at)| now.since(*at) > CRASH_RETENTION);
        old.take(most)
            .map(|(request, incarnation, _)| (request, incarnation.clone()))
            .collect()
    }
}

/// Recently answered requests, in two generations. When a new generation is started,
/// the older one is dropped.
#[derive(Debug, Default)]
struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    /// When the newer generation was started.
    since: Millis,
}

/// The minimum time for which an answer is remembered. Crashes that follow the answer
/// within this time don't count. It is longer than a burst of crashes, which lasts for a
/// call and its retries, and shorter than callers tolerate a request that no server
/// answers any more.
const ANSWER_RETENTION: Millis = Millis(5_000);

/// The most answers in one generation; about 64 KB. A busier instance remembers answers
/// for a shorter time.
const MAX_ANSWERED: usize = 4_096;

impl Answered {
    fn record(&mut self, request: Fingerprint, now: Millis) {
        if now.since(self.since) >= ANSWER_RETENTION || self.newer.len() >= MAX_ANSWERED {
            let idle = now.since(self.since) >= ANSWER_RETENTION + ANSWER_RETENTION;
            self.older = std::mem::take(&mut self.newer);
            if idle {
                self.older.clear();
            }
            self.since = now;
        }
        self.newer.insert(request);
    }

    fn has(&self, request: Fingerprint, now: Millis) -> bool {
        let age = now.since(self.since);
        let newer = age < ANSWER_RETENTION + ANSWER_RETENTION && self.newer.contains(&request);
        newer || (age < ANSWER_RETENTION && self.older.contains(&request))
    }
}
