//! Which request keys an agent has seen, so that a repeat does not run again.

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
    /// The key is new here, and now taken.
    Fresh,
    /// The window is full of younger keys; nothing can be said of this one.
    Full,
    /// The key belongs to a request that was begun.
    Taken(RequestId),
}

/// Claimed keys, kept for a window.
///
/// # Invariants
///
/// A key is forgotten only when it is older than the window, never for want
/// of room: room that is short refuses new keys instead.
#[derive(Debug)]
pub struct SeenKeys {
    keys: HashMap<String, RequestId>,
    limit: usize,
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

    /// Frees `key` again, since `request` was removed before it started.
    pub fn release(&mut self, key: &str, request: RequestId) {
        if self.keys.get(key) == Some(&request) {
            self.keys.remove(key);
            self.order.retain(|(_, kept)| kept != key);
        }
    }

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
