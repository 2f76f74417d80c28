//! Which instance learns the store's changes from which other.
//!
//! Load pattern: thousands of instances follow the same few tables, which change many
//! times a second, and the store answers some thousand calls a second. In each data
//! centre a few instances of a program ask the store, and feed the others: a tree in
//! which nobody feeds more than some others. Any of them may end, freeze, or be cut
//! off, many at the same moment.

use crate::base::{
    Millis,
    stable_hash, //
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr, //
};

/// The instances of a program that ask the store in each data centre. Two may be lost at
/// once, and the third feeds the others.
pub const ROOTS: usize = 3;

/// The most instances that one feeds. A runner asks some 25 times a second, and each
/// question takes about 0.1 ms: 4% of a core.
pub const MAX_CHILDREN: usize = 16;

/// What is told may be older than the time that a question is held by this: a question
/// that was lost, and the next one.
const STALE_SLACK: Millis = Millis(700);

/// An instance that has not asked for so long is fed no more: longer than the longest
/// time that a question is held.
const CHILD_TIMEOUT: Millis = Millis(4_000);

/// A feeder that was left is not asked again before: it may be frozen, or cut off.
const LEFT_RETENTION: Millis = Millis(3_000);

/// A root that can't be reached for so long is replaced: one that starts again is back
/// within this time.
const GONE_TIMEOUT: Millis = Millis(600);

/// Whether what a feeder tells is too old to go by, for a table whose questions are
/// `hold` long.
pub fn is_stale(age: Millis, hold: Millis) -> bool {
    age > hold + STALE_SLACK
}

/// The instances that one feeds.
#[derive(Debug, Default)]
pub struct Children {
    known: BTreeMap<String, Child>,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    address: SocketAddr,
    asked: Millis,
}

impl Children {
    /// Takes the question of `instance`, which itself can be asked at `address`; false
    /// when there is no room for another.
    pub fn admit(&mut self, instance: &str, address: SocketAddr, now: Millis) -> bool {
        self.known
            .retain(|_, child| now.since(child.asked) < CHILD_TIMEOUT);
        if self.known.len() >= MAX_CHILDREN && !self.known.contains_key(instance) {
            return false;
        }
        let asked = now;
        self.known
            .insert(instance.to_owned(), Child { address, asked });
        true
    }

    /// Where those that are fed can be asked.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|child| child.address).collect()
    }

    /// How many are fed.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}

/// What one instance found of those that could feed it.
#[derive(Debug, Default)]
pub struct Parents {
    /// Since when they can't be reached.
    gone: HashMap<SocketAddr, Millis>,
    /// When they were left.
    left: HashMap<SocketAddr, Millis>,
}

impl Parents {
    /// The feeder told nothing, or what is too old.
    pub fn leave(&mut self, address: SocketAddr, now: Millis) {
        self.left.insert(address, now);
    }

    /// Nobody answers at `address`.
    pub fn note_unreachable(&mut self, address: SocketAddr, now: Millis) {
        self.gone.entry(address).or_insert(now);
    }

    /// Somebody answers at `address`.
    pub fn note_reachable(&mut self, address: SocketAddr) {
        self.gone.remove(&address);
    }

    /// Whether nobody has answered at `address` for long enough to replace it.
    pub fn is_gone(&self, address: SocketAddr, now: Millis) -> bool {
        let since = self.gone.get(&address);
        since.is_some_and(|since| now.since(*since) >= GONE_TIMEOUT)
    }

    /// The order in which `instance` asks those at `addresses`: another one for each
    /// instance, so that they share them, without those that were left of late.
    pub fn order(
        &mut self,
        instance: &str,
        addresses: &[SocketAddr],
        now: Millis,
    ) -> Vec<SocketAddr> {
        self.left.retain(|_, at| now.since(*at) < LEFT_RETENTION);
        let asked = addresses.iter().copied();
        let mut order: Vec<SocketAddr> = asked.filter(|of| !self.left.contains_key(of)).collect();
        order.sort_by_cached_key(|address| weight(instance, *address));
        order
    }
}

/// Rendezvous hashing: an address that comes or goes changes only its own place.
fn weight(instance: &str, address: SocketAddr) -> u64 {
    stable_hash(&[instance.as_bytes(), address.to_string().as_bytes()])
}

/// The place among the [`ROOTS`] that `instance` tries to take first.
pub fn first_slot(instance: &str) -> usize {
    stable_hash(&[instance.as_bytes()]) as usize % ROOTS
}
