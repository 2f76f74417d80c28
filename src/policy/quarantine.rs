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
    HashMap, //
};

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs as any other.
    Clear,
    /// Two servers have ended under it: it runs apart from others like it.
    Suspect,
    /// It runs no more.
    Barred,
}

/// Servers that may end under one request. A loss of a rack takes two servers from
/// under a call and its retry; three in a row, with no answer between, are the
/// request's doing far more likely than chance.
pub const ENDED_MOST: usize = 3;

/// How long a crash counts. A request that is in quarantine comes back when its
/// caller's data or the server's program is mended, which takes people a day.
pub const RETENTION: Millis = Millis(24 * 3_600_000);

/// Requests that are remembered at once: a loss of a whole data centre with some
/// thousand requests under way; about 3 MB.
const REQUESTS_MOST: usize = 20_000;

/// The servers that ended under each request since it was last answered.
#[derive(Debug, Default)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, BTreeMap<Life, Millis>>,
}

impl Quarantine {
    /// The server `life` ended under `request`, `at` by the store's clock; false
    /// when that was known, or can't be remembered.
    pub fn note(&mut self, request: Fingerprint, life: Life, at: Millis) -> bool {
        if self.requests.len() >= REQUESTS_MOST && !self.requests.contains_key(&request) {
            return false;
        }
        let ended = self.requests.entry(request).or_default();
        ended.insert(life, at).is_none()
    }

    /// The crash counts no more.
    pub fn forget(&mut self, request: Fingerprint, life: &Life) {
        let Some(ended) = self.requests.get_mut(&request) else {
            return;
        };
        ended.remove(life);
        if ended.is_empty() {
            self.requests.remove(&request);
        }
    }

    /// A server answered `request` and lives: what ended servers was another.
    /// Returns the lives that counted against it.
    pub fn acquit(&mut self, request: Fingerprint) -> Vec<Life> {
        let ended = self.requests.remove(&request).unwrap_or_default();
        ended.into_keys().collect()
    }

    /// How many servers ended under `request`.
    pub fn ended(&self, request: Fingerprint) -> usize {
        self.requests.get(&request).map_or(0, BTreeMap::len)
    }

    /// What may be done with `request`.
    pub fn judge(&self, request: Fingerprint) -> Verdict {
        match self.ended(request) {
            0 | 1 => Verdict::Clear,
            ended if ended < ENDED_MOST => Verdict::Suspect,
            _ => Verdict::Barred,
        }
    }

    /// Crashes that are older than [`RETENTION`] at `now`, at most `most` of them.
    pub fn expired(&self, now: Millis, most: usize) -> Vec<(Fingerprint, Life)> {
        let all = self.requests.iter().flat_map(|(request, ended)| {
            let lives = ended.iter();
            lives.map(move |(life, at)| (*request, life, *at))
        });
        let old = all.filter(|(_, _, at)| now.since(*at) > RETENTION);
        old.take(most)
            .map(|(request, life, _)| (request, life.clone()))
            .collect()
    }
}
