//! The queue before one backend server.

use crate::base::{
    Cause,
    Failure,
    Millis,
    Priority,
    RequestId, //
};
use std::collections::{
    HashSet,
    VecDeque, //
};

/// A waiting request; `K` names it to the owner of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Item<K> {
    /// Which hand-over of the request this is.
    pub attempt: u8,
    pub deadline: Millis,
    pub key: K,
    pub priority: Priority,
    pub request: RequestId,
}

/// What becomes of an offered request.
#[derive(Debug, PartialEq)]
pub enum Offer {
    Queued,
    Refused(Failure),
    Run,
}

/// Requests waiting for and running at one backend server.
///
/// # Invariants
///
/// `running` never exceeds `capacity` by offers or by [`AgentQueue::next`].
/// A request whose tombstone is kept is never run.
#[derive(Debug)]
pub struct AgentQueue<K> {
    capacity: u32,
    draining: bool,
    limit: usize,
    running: u32,
    tombstones: Tombstones,
    /// One line for each priority, indexed by it.
    waiting: [VecDeque<Item<K>>; Priority::ALL.len()],
}

/// Of this many starts, one goes to the lowest waiting priority, so that
/// rollouts keep a floor under live load.
const FLOOR_SHARE: u64 = 8;

impl<K: Copy + PartialEq> AgentQueue<K> {
    /// A queue for a server that takes `capacity` requests at once, in which
    /// at most `limit` wait.
    pub fn new(capacity: u32, limit: usize) -> Self {
        Self {
            capacity,
            draining: false,
            limit,
            running: 0,
            tombstones: Tombstones::default(),
            waiting: Default::default(),
        }
    }

    /// Refuses all offers from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Gives back the place of a finished request.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// The next request to run, if the server has room; `turn` counts the calls.
    pub fn next(&mut self, turn: u64) -> Option<Item<K>> {
        if self.running >= self.capacity {
            return None;
        }

        let floor = turn % FLOOR_SHARE == FLOOR_SHARE - 1;
        let mut lines: Vec<&mut VecDeque<Item<K>>> = self.waiting.iter_mut().collect();
        if !floor {
            lines.reverse();
        }
        let item = lines.into_iter().find_map(VecDeque::pop_front)?;
        self.running += 1;
        Some(item)
    }

    /// Takes `item` in, runs it at once, or refuses it.
    pub fn offer(&mut self, now: Millis, item: Item<K>) -> Offer {
        if self.tombstones.holds(item.request, item.attempt) {
            let detail = "the request was revoked before this copy of it arrived";
            return Offer::Refused(Failure::not_run(Cause::Cancelled, detail));
        }
        if self.draining {
            let detail = "the backend server is leaving";
            return Offer::Refused(Failure::not_run(Cause::Draining, detail));
        }
        if item.deadline <= now {
            return Offer::Refused(late());
        }
        if self.running < self.capacity && self.queued() == 0 {
            self.running += 1;
            return Offer::Run;
        }
        if self.queued() >= self.limit {
            let detail = format!("{} requests wait for the backend server", self.limit);
            let failure = Failure::not_run(Cause::Overloaded, detail);
            return Offer::Refused(failure.retry_after(Millis(100)));
        }

        self.waiting[item.priority as usize].push_back(item);
        Offer::Queued
    }

    /// The requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Withdraws `request`, and refuses every later copy of this attempt.
    pub fn revoke(&mut self, request: RequestId, attempt: u8) -> Option<Item<K>> {
        self.tombstones.add(request, attempt);
        self.withdraw(request)
    }

    /// Removes `request` if it waits.
    pub fn withdraw(&mut self, request: RequestId) -> Option<Item<K>> {
        for line in &mut self.waiting {
            if let Some(at) = line.iter().position(|item| item.request == request) {
                return line.remove(at);
            }
        }
        None
    }

    /// The requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Changes how many requests the server takes at once.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Takes out the waiting requests whose deadline has passed.
    pub fn shed(&mut self, now: Millis) -> Vec<Item<K>> {
        let mut late = Vec::new();
        for line in &mut self.waiting {
            line.retain(|item| {
                let keep = item.deadline > now;
                if !keep {
                    late.push(*item);
                }
                keep
            });
        }
        late
    }

    /// Takes out all waiting requests, for a stop.
    pub fn take_all(&mut self) -> Vec<Item<K>> {
        let lines = self.waiting.iter_mut();
        lines.flat_map(|line| line.drain(..)).collect()
    }
}

/// The failure of a request whose deadline passed while it waited.
pub fn late() -> Failure {
    let detail = "the deadline passed while the request waited";
    Failure::not_run(Cause::DeadlinePassed, detail)
}

/// The latest revoked requests.
#[derive(Debug, Default)]
struct Tombstones {
    known: HashSet<(RequestId, u8)>,
    order: VecDeque<(RequestId, u8)>,
}

/// The tombstones kept. Copies of a start come over one link in order or not
/// at all, so a tombstone is needed for seconds; this holds minutes.
const MAX_TOMBSTONES: usize = 4_096;

impl Tombstones {
    fn add(&mut self, request: RequestId, attempt: u8) {
        if !self.known.insert((request, attempt)) {
            return;
        }
        self.order.push_back((request, attempt));
        if self.order.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.known.remove(&oldest);
        }
    }

    fn holds(&self, request: RequestId, attempt: u8) -> bool {
        self.known.contains(&(request, attempt))
    }
}
