//! Decides whether and when a request runs again after servers crashed under it.
//!
//! Load pattern: a few servers crash each day, with all requests that they are working
//! on. Once in a while a call crashes each server that runs it. It then arrives again at
//! any instance, in bursts of its caller's retries, and is quarantined. Items don't crash
//! servers by themselves: they run again however many crashed under them, after a pause.

use crate::{
    base::{Fingerprint, Millis, stable_hash},
    routing::ServerIncarnation, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

/// What crashes mean for the requests of a program.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashPolicy {
    /// Requests of callers are quarantined.
    #[default]
    Quarantine,
    /// Items and their scorer calls are never refused. After repeated crashes they pause.
    Pause,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// It runs like any other request.
    Clear,
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

/// The crashes after which an item runs again at once: the loss of a rack takes down two
/// engines under an item.
const CRASHES_WITHOUT_PAUSE: usize = 2;

/// How much longer an item pauses with each further crash, and the most by which the pauses
/// after the same number of crashes differ.
const PAUSE_STEP: Millis = Millis(1_000);

/// The longest pause of an item. Steps wait for their last items, and no item may be without
/// an engine for 5 s while engines have room.
pub const MAX_PAUSE: Millis = Millis(3_000);

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
    policy: CrashPolicy,
    /// By request: the incarnations of servers that crashed, and when, by the store's
    /// clock.
    requests: HashMap<Fingerprint, BTreeMap<ServerIncarnation, Millis>>,
}

impl Quarantine {
    /// A quarantine without crashes.
    pub fn new(policy: CrashPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Whether a request under which `count` servers crashed is quarantined.
    pub fn is_quarantined(&self, count: usize) -> bool {
        self.policy == CrashPolicy::Quarantine && count >= MAX_CRASHES
    }

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
        if !self.is_quarantined(count) {
            return QuarantineState::Clear;
        }
        let last = crashes.values().max().copied().unwrap_or_default();
        let wait = TRIAL_DELAYS.get(count - MAX_CRASHES);
        match wait.is_some_and(|wait| now.since(last) >= *wait) {
            true => QuarantineState::Trial,
            false => QuarantineState::Barred,
        }
    }

    /// How long an item pauses at `now`, by the store's clock, before it runs again: for at most
    /// [`MAX_PAUSE`], whatever the clocks of other instances wrote. Items that lost their
    /// engines together pause for different times, so that they don't all meet at the next one.
    pub fn pause(&self, request: Fingerprint, now: Millis) -> Millis {
        let Some(crashes) = self.requests.get(&request) else {
            return Millis(0);
        };
        let steps = crashes.len().saturating_sub(CRASHES_WITHOUT_PAUSE) as u64;
        if steps == 0 {
            return Millis(0);
        }
        let last = crashes.values().max().copied().unwrap_or_default();
        let count = crashes.len().to_le_bytes();
        let spread = stable_hash(&[request.to_string().as_bytes(), &count]) % PAUSE_STEP.0;
        let base = Millis(steps * PAUSE_STEP.0).min(MAX_PAUSE - PAUSE_STEP);
        (base + Millis(spread)).since(now.since(last))
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
