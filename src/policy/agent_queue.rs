//! The queue before one backend server.

use super::{
    fair_line::FairQueue,
    router::Policy, //
};
use crate::base::{
    Cause,
    Failure,
    Millis,
    Priority,
    RequestId, //
};
use std::collections::{
    HashMap,
    HashSet,
    VecDeque, //
};

/// A waiting request; `K` names it to the owner of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Item<K> {
    pub arrived: Millis,
    /// Which hand-over of the request this is.
    pub attempt: u8,
    pub deadline: Millis,
    pub key: K,
    pub priority: Priority,
    pub request: RequestId,
    /// A hash of the team's name.
    pub team: u64,
}

impl<K> Item<K> {
    /// Whether half of its time has gone by in waiting.
    fn is_past_half_time(&self, now: Millis) -> bool {
        now.since(self.arrived) > self.deadline.since(now)
    }
}

/// What becomes of an offered request.
#[derive(Debug)]
pub enum OfferOutcome<K> {
    /// It waits; in a full queue it took the place of another team's.
    Queued(Option<Item<K>>),
    Refused(Failure),
    Run,
}

/// Requests waiting for and running at one backend server.
///
/// Under [`Policy::Baseline`] it is one line, first in first out, of a fixed
/// length, and what waited too long is run all the same.
///
/// # Invariants
///
/// `running` never exceeds `capacity` by offers or by [`AgentQueue::next`], and
/// is the sum over `teams`.
/// A request whose tombstone is kept is never run.
#[derive(Debug)]
pub struct AgentQueue<K> {
    capacity: u32,
    draining: bool,
    max_waiting: usize,
    policy: Policy,
    running: u32,
    /// How many of each team run.
    teams: HashMap<u64, u32>,
    tombstones: Tombstones,
    /// One line for each priority, indexed by it.
    waiting: [FairQueue<Item<K>>; Priority::ALL.len()],
}

/// Of this many starts, one goes to the lowest waiting priority, so that
/// rollouts keep a floor under live load.
const LOWEST_PRIORITY_INTERVAL: u64 = 8;

impl<K: Copy + PartialEq> AgentQueue<K> {
    /// A queue for a server that takes `capacity` requests at once, in which
    /// at most `max_waiting` wait.
    pub fn new(policy: Policy, capacity: u32, max_waiting: usize) -> Self {
        Self {
            capacity,
            draining: false,
            max_waiting,
            policy,
            running: 0,
            teams: HashMap::new(),
            tombstones: Tombstones::default(),
            waiting: Default::default(),
        }
    }

    /// Refuses all offers from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Gives back the place of a finished request of `team`.
    pub fn finish(&mut self, team: u64) {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.teams.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.teams.remove(&team);
            }
        }
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// The next request to run, if the server has room; `turn` counts the calls.
    ///
    /// When a team's oldest has waited for half of its time, the team's newest
    /// goes first: in an overload the old ones would all be answered just too
    /// late, and the new ones after them.
    pub fn next(&mut self, now: Millis, turn: u64) -> Option<Item<K>> {
        if self.running >= self.capacity {
            return None;
        }

        let floor = turn % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1;
        let mut lines: Vec<&mut FairQueue<Item<K>>> = self.waiting.iter_mut().collect();
        if !floor {
            lines.reverse();
        }
        let current = self.policy == Policy::Current;
        let newest = |oldest: &Item<K>| current && oldest.is_past_half_time(now);
        let running = |team| self.teams.get(&team).copied().unwrap_or(0);
        let item = lines
            .into_iter()
            .find_map(|line| line.pop(running, newest))?;
        self.start(item.team);
        Some(item)
    }

    /// Takes `item` in, runs it at once, or refuses it.
    pub fn offer(&mut self, now: Millis, item: Item<K>) -> OfferOutcome<K> {
        if self.tombstones.holds(item.request, item.attempt) {
            let detail = "the request was revoked before this copy of it arrived";
            return OfferOutcome::Refused(Failure::not_run(Cause::Cancelled, detail));
        }
        if self.draining {
            let detail = "the backend server is leaving";
            return OfferOutcome::Refused(Failure::not_run(Cause::Draining, detail));
        }
        if item.deadline <= now && self.policy == Policy::Current {
            return OfferOutcome::Refused(deadline_failure());
        }
        if self.running < self.capacity && self.queued() == 0 {
            self.start(item.team);
            return OfferOutcome::Run;
        }
        if self.policy == Policy::Baseline {
            return self.offer_baseline(item);
        }

        let displaced = match self.queued() >= self.max_waiting {
            true => match self.displace(&item) {
                Some(displaced) => Some(displaced),
                None => return OfferOutcome::Refused(overload_failure(self.max_waiting)),
            },
            false => None,
        };
        self.waiting[item.priority as usize].push(item.team, item);
        OfferOutcome::Queued(displaced)
    }

    /// The requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(FairQueue::len).sum()
    }

    /// Withdraws `request`, and refuses every later copy of this attempt.
    pub fn revoke(&mut self, request: RequestId, attempt: u8) -> Option<Item<K>> {
        self.tombstones.add(request, attempt);
        self.withdraw(request)
    }

    /// The requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes out the waiting requests that are hopeless: their deadline comes
    /// before they could be answered, `service` after a start at the earliest.
    ///
    /// To run them would use the server's time for answers that nobody waits
    /// for any more, which is how an overload keeps itself going.
    pub fn shed(&mut self, now: Millis, service: Millis) -> Vec<Item<K>> {
        if self.policy == Policy::Baseline {
            return Vec::new();
        }
        let lines = self.waiting.iter_mut();
        lines
            .flat_map(|line| line.extract_if(|item| item.deadline <= now + service))
            .collect()
    }

    /// Removes `request` if it waits.
    pub fn withdraw(&mut self, request: RequestId) -> Option<Item<K>> {
        let mut lines = self.waiting.iter_mut();
        lines.find_map(|line| line.extract_if(|item| item.request == request).pop())
    }

    /// Makes room for `item` in a full queue: a lower priority's newest goes
    /// first, else the newest of the team that waits with the most, if that
    /// team has more than the item's own.
    fn displace(&mut self, item: &Item<K>) -> Option<Item<K>> {
        for line in &mut self.waiting[..item.priority as usize] {
            if let Some((team, _)) = line.longest() {
                return line.pop_newest(team);
            }
        }
        let line = &mut self.waiting[item.priority as usize];
        let (team, length) = line.longest()?;
        match length > line.len_of(item.team) + 1 {
            true => line.pop_newest(team),
            false => None,
        }
    }

    fn start(&mut self, team: u64) {
        self.running += 1;
        *self.teams.entry(team).or_default() += 1;
    }

    fn offer_baseline(&mut self, item: Item<K>) -> OfferOutcome<K> {
        if self.queued() >= self.max_waiting {
            return OfferOutcome::Refused(overload_failure(self.max_waiting));
        }
        self.waiting[0].push(0, item);
        OfferOutcome::Queued(None)
    }
}

/// The failure of a request for which the queue has no room.
pub fn overload_failure(max_waiting: usize) -> Failure {
    let detail = format!("{max_waiting} requests wait for the backend server");
    Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(100))
}

/// The failure of a request whose deadline passed while it waited.
pub fn deadline_failure() -> Failure {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::base::{
        Incarnation,
        Issuer, //
    };

    fn item(sequence: u32, team: u64, priority: Priority) -> Item<u32> {
        Item {
            arrived: Millis(0),
            attempt: 0,
            deadline: Millis(1_000),
            key: sequence,
            priority,
            request: RequestId {
                incarnation: Incarnation(1),
                issuer: Issuer(1),
                second: 0,
                sequence,
            },
            team,
        }
    }

    fn full_queue() -> AgentQueue<u32> {
        let mut queue = AgentQueue::new(Policy::Current, 1, 4);
        assert!(matches!(
            queue.offer(Millis(0), item(0, 1, Priority::Live)),
            OfferOutcome::Run
        ));
        for sequence in 1..=4 {
            let offer = queue.offer(Millis(0), item(sequence, 1, Priority::Background));
            assert!(matches!(offer, OfferOutcome::Queued(None)));
        }
        queue
    }

    struct Test {
        displaced: Option<u32>,
        offered: Item<u32>,
        refused: bool,
    }

    impl Test {
        fn run(self) {
            let mut queue = full_queue();
            let (displaced, refused) = match queue.offer(Millis(0), self.offered) {
                OfferOutcome::Queued(displaced) => (displaced.map(|item| item.key), false),
                OfferOutcome::Refused(_) => (None, true),
                OfferOutcome::Run => panic!("run beyond the capacity"),
            };
            assert_eq!((displaced, refused), (self.displaced, self.refused));
            assert_eq!(queue.queued(), 4);
        }
    }

    #[test]
    fn a_full_queue_is_shared() {
        for (offered, displaced, refused) in [
            (item(9, 1, Priority::Background), None, true),
            (item(9, 2, Priority::Background), Some(4), false),
            (item(9, 1, Priority::Live), Some(4), false),
            (item(9, 2, Priority::Rollout), None, true),
        ] {
            Test {
                displaced,
                offered,
                refused,
            }
            .run();
        }
    }

    /// A revoke races the start of its request: the caller is told that it did
    /// not run. The revoke comes first, the start late, over another path.
    /// Without the tombstone the late copy would run after all.
    #[test]
    fn a_revoked_request_never_runs() {
        let mut queue = AgentQueue::new(Policy::Current, 4, 4);
        let late = item(7, 1, Priority::Live);
        assert!(queue.revoke(late.request, late.attempt).is_none());
        assert!(matches!(
            queue.offer(Millis(0), late),
            OfferOutcome::Refused(_)
        ));
        let next = Item { attempt: 1, ..late };
        assert!(matches!(queue.offer(Millis(0), next), OfferOutcome::Run));
    }

    #[test]
    fn in_an_overload_the_newest_goes_first() {
        for (now, key) in [(Millis(100), 1), (Millis(501), 4)] {
            let mut queue = full_queue();
            queue.finish(1);
            assert_eq!(queue.next(now, 0).unwrap().key, key);
        }
    }

    #[test]
    fn the_hopeless_are_shed() {
        let mut queue = full_queue();
        assert!(queue.shed(Millis(900), Millis(50)).is_empty());
        assert_eq!(queue.shed(Millis(900), Millis(100)).len(), 4);
        assert_eq!(queue.queued(), 0);
    }

    #[test]
    fn rollouts_keep_a_floor() {
        let mut queue = AgentQueue::new(Policy::Current, 1, 100);
        queue.offer(Millis(0), item(0, 1, Priority::Live));
        for sequence in 1..=40 {
            queue.offer(Millis(0), item(sequence, 1, Priority::Live));
            queue.offer(Millis(0), item(100 + sequence, 1, Priority::Rollout));
        }
        let mut rollouts = 0;
        for turn in 0..16 {
            queue.finish(1);
            let next = queue.next(Millis(1), turn).unwrap();
            rollouts += u32::from(next.priority == Priority::Rollout);
        }
        assert_eq!(rollouts, 2);
    }
}
