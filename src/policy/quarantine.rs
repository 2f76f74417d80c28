//! Which requests run no more, as servers end under them.
//!
//! Load pattern: a few servers end a day, with all requests that they are working
//! on; once in a while it is a request that ends each server that runs it, and that
//! comes again at any instance, in bursts of its caller's retries.

use crate::{
    base::{Fingerprint, Millis},
    routing::Life, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineState {
    /// It runs as any other.
    Clear,
    /// One server has ended under it: it runs at one instance at a time.
    Watched,
    /// Two servers have ended under it: it runs apart from others like it.
    Suspect,
    /// It is in quarantine, and one attempt may show whether rightly.
    Trial,
    /// It is in quarantine.
    Barred,
}

/// Servers that may end under one request. A loss of a rack takes two servers from
/// under a call and its retry; three in a row, with no answer between, are the
/// request's doing far more likely than chance.
pub const MAX_CRASHES: usize = 3;

/// How long after the last crash a request in quarantine is tried once more, by how
/// often it was tried before. It may have been beside the one that ends servers each
/// time: that one is in quarantine by the first trial, and the servers are back. A
/// request that does end servers costs one more at each trial.
const TRIAL_DELAYS: [Millis; 2] = [Millis(5_000), Millis(600_000)];

/// How long a crash counts. A request that is in quarantine comes back when its
/// caller's data or the server's program is mended, which takes people a day.
pub const RETENTION: Millis = Millis(24 * 3_600_000);

/// Requests that are remembered at once: a loss of a whole data centre with some
/// thousand requests under way; about 3 MB.
const MAX_REQUESTS: usize = 20_000;

/// The servers that ended under each request since it was last answered.
#[derive(Debug, Default)]
pub struct Quarantine {
    answered: Answered,
    requests: HashMap<Fingerprint, BTreeMap<Life, Millis>>,
}

impl Quarantine {
    /// The server `incarnation` ended under `request`, `at` by the store's clock; false
    /// when that was known, or can't be remembered.
    pub fn note_crash(&mut self, request: Fingerprint, incarnation: Life, at: Millis) -> bool {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            return false;
        }
        let crashes = self.requests.entry(request).or_default();
        crashes.insert(incarnation, at).is_none()
    }

    /// The crash counts no more.
    pub fn forget(&mut self, request: Fingerprint, incarnation: &Life) {
        let Some(crashes) = self.requests.get_mut(&request) else {
            return;
        };
        crashes.remove(incarnation);
        if crashes.is_empty() {
            self.requests.remove(&request);
        }
    }

    /// A server answered `request` at `now` and lives: what ended servers was
    /// another. Returns the lives that counted against it.
    pub fn clear(&mut self, request: Fingerprint, now: Millis) -> Vec<Life> {
        self.answered.note(request, now);
        let crashes = self.requests.remove(&request).unwrap_or_default();
        crashes.into_keys().collect()
    }

    /// Whether `request` was answered a moment before `now`. Callers that share it
    /// are at several servers at once, and lose them all within milliseconds to
    /// another request: such ends don't count.
    pub fn is_answered(&self, request: Fingerprint, now: Millis) -> bool {
        self.answered.has(request, now)
    }

    /// How many servers ended under `request`.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// What may be done with `request` at `now` by the store's clock.
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

    /// Crashes that are older than [`RETENTION`] at `now`, at most `most` of them.
    pub fn expired(&self, now: Millis, most: usize) -> Vec<(Fingerprint, Life)> {
        let all = self.requests.iter().flat_map(|(request, crashes)| {
            let crashes = crashes.iter();
            crashes.map(move |(incarnation, at)| (*request, incarnation, *at))
        });
        let old = all.filter(|(_, _, at)| now.since(*at) > RETENTION);
        old.take(most)
            .map(|(request, incarnation, _)| (request, incarnation.clone()))
            .collect()
    }
}

/// Requests that were answered of late, kept in two halves of which the older one
/// is dropped in turn.
#[derive(Debug, Default)]
struct Answered {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    since: Millis,
}

/// How long an answer is remembered at least: longer than a burst of crashes, which
/// takes a call and its retries, and shorter than callers bear a request that no
/// server answers any more.
const ANSWER_RETENTION: Millis = Millis(5_000);

/// The most answers in one half; about 64 KB. A busier instance remembers less long.
const MAX_ANSWERED: usize = 4_096;

impl Answered {
    fn note(&mut self, request: Fingerprint, now: Millis) {
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
