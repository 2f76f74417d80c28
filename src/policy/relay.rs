//! The tree in which instances pass on the store's changes.
//!
//! Load pattern: thousands of instances follow the same few tables, which change many
//! times a second, while the store answers some thousand calls a second. In each data
//! centre a few instances of a program, the roots, ask the store. The others ask a
//! parent, which may be a root or another instance; the number of children of each
//! instance is limited. Any instance may end, freeze or be partitioned, many of them at
//! the same moment.

use crate::base::{
    Millis,
    stable_hash, //
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr, //
};

/// The number of instances of a program that ask the store in each data centre. Two may
/// be lost at once; the third still serves the others.
pub const ROOT_COUNT: usize = 3;

/// The most children of one instance. A runner asks about 25 times a second, and each
/// request takes about 0.1 ms: 4% of a core.
pub const MAX_CHILDREN: usize = 16;

/// How much older than the hold time of a request an answer may be: enough for a request
/// that was lost and the next one.
const STALE_SLACK: Millis = Millis(700);

/// A child that has not asked for this long is dropped. Longer than any request is
/// held.
const CHILD_TIMEOUT: Millis = Millis(4_000);

/// How long a parent that was left is not asked again: it may be frozen or partitioned.
const LEFT_RETENTION: Millis = Millis(3_000);

/// A root that has been unreachable for this long is replaced. One that restarts is
/// back within this time.
const GONE_TIMEOUT: Millis = Millis(600);

/// Whether a parent's answer of this `age` is too old to be used, for a table whose
/// requests the store holds for up to `hold` while there are no changes.
pub fn is_stale(age: Millis, hold: Millis) -> bool {
    age > hold + STALE_SLACK
}

/// The children of an instance.
#[derive(Debug, Default)]
pub struct Children {
    /// By the child's instance name.
    known: BTreeMap<String, Child>,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    /// Where the child itself can be asked.
    address: SocketAddr,
    /// When the child last asked.
    asked: Millis,
}

impl Children {
    /// Accepts a request of `instance`, which can itself be asked at `address`; returns
    /// false if there is no room for another child.
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

    /// The addresses of the children.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|child| child.address).collect()
    }

    /// The number of children.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}

/// What an instance knows of its possible parents.
#[derive(Debug, Default)]
pub struct Parents {
    /// Since when each has been unreachable.
    gone: HashMap<SocketAddr, Millis>,
    /// When each was left.
    left: HashMap<SocketAddr, Millis>,
}

impl Parents {
    /// Records that this instance leaves the parent at `address`, because it did not
    /// answer or its answer was too old.
    pub fn leave(&mut self, address: SocketAddr, now: Millis) {
        self.left.insert(address, now);
    }

    /// Records that nobody answers at `address`.
    pub fn record_unreachable(&mut self, address: SocketAddr, now: Millis) {
        self.gone.entry(address).or_insert(now);
    }

    /// Records that an instance answers at `address`.
    pub fn record_reachable(&mut self, address: SocketAddr) {
        self.gone.remove(&address);
    }

    /// Whether `address` has been unreachable for long enough to be replaced.
    pub fn is_gone(&self, address: SocketAddr, now: Millis) -> bool {
        let since = self.gone.get(&address);
        since.is_some_and(|since| now.since(*since) >= GONE_TIMEOUT)
    }

    /// The order in which `instance` asks the possible parents at `addresses`, without
    /// those that it left recently. It differs between instances, so that they spread
    /// over the parents.
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

/// Sort key of a possible parent. With rendezvous hashing, an address that is added or
/// removed leaves the order of the others as it is.
fn weight(instance: &str, address: SocketAddr) -> u64 {
    stable_hash(&[instance.as_bytes(), address.to_string().as_bytes()])
}

/// The root slot, of [`ROOT_COUNT`], that `instance` tries to claim first.
pub fn first_slot(instance: &str) -> usize {
    stable_hash(&[instance.as_bytes()]) as usize % ROOT_COUNT
}
