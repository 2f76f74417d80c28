//! Remembers the request keys that an agent has seen, so that a repeated request does
//! not run again.

use crate::base::{
    Millis,
    RequestId, //
};
use std::collections::{
    HashMap,
    VecDeque, //
};

/// The outcome of claiming a key.
#[derive(Debug, Eq, PartialEq)]
pub enum KeyClaim {
    /// The key is new to this agent, and is now claimed.
    Fresh,
    /// There is no room for another key: none of the kept ones is older than the window.
    Full,
    /// The key was claimed before, by this request.
    Taken(RequestId),
}

/// Claimed keys, each kept for a window of time.
///
/// # Invariants
///
/// A key is forgotten only when it is released or older than the window, never for lack
/// of room: new keys are refused instead.
#[derive(Debug)]
pub struct SeenKeys {
    /// By key: the request that claimed it.
    keys: HashMap<String, RequestId>,
    limit: usize,
    /// Claimed keys, oldest first.
    order: VecDeque<(Millis, String)>,
    window: Millis,
}

impl SeenKeys {
    /// Keeps at most `limit` keys, each for `window`.
    pub fn new(window: Millis, limit: usize) -> Self {
        Self {
            keys: HashMap::new(),
            limit,
            order: VecDeque::new(),
            window,
        }
    }

    /// Claims `key` for `request`.
    pub fn claim(&mut self, now: Millis, key: &str, request: RequestId) -> KeyClaim {
        self.forget_old(now);
        if let Some(earlier) = self.keys.get(key) {
            return KeyClaim::Taken(*earlier);
        }
        if self.keys.len() >= self.limit {
            return KeyClaim::Full;
        }

        self.keys.insert(key.to_owned(), request);
        self.order.push_back((now, key.to_owned()));
        KeyClaim::Fresh
    }

    /// Frees `key` again, because `request` was removed before it started.
    pub fn release(&mut self, key: &str, request: RequestId) {
        if self.keys.get(key) == Some(&request) {
            self.keys.remove(key);
            self.order.retain(|(_, kept)| kept != key);
        }
    }

    /// Removes the keys that are older than the window.
    fn forget_old(&mut self, now: Millis) {
        while let Some((at, _)) = self.order.front() {
            if now.since(*at) <= self.window {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.keys.remove(&key);
            }
        }
    }
}
