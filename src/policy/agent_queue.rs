//! The queue of requests in front of one backend server.

use super::{
    fair_queue::FairQueue,
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

/// A waiting request; `key` identifies it to the owner of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Item<K> {
    pub arrived: Millis,
    /// The number of the attempt: it counts the hand-overs of the request to an agent.
    pub attempt: u8,
    pub deadline: Millis,
    pub key: K,
    pub priority: Priority,
    pub request: RequestId,
    /// A hash of the team's name.
    pub team: u64,
}

impl<K> Item<K> {
    /// Whether the request has waited for longer than the time left until its deadline.
    fn is_past_half_time(&self, now: Millis) -> bool {
        now.since(self.arrived) > self.deadline.since(now)
    }
}

/// The result of [`AgentQueue::offer`].
#[derive(Debug)]
pub enum OfferOutcome<K> {
    /// The request waits. If the queue was full, the contained request was removed for
    /// it.
    Queued(Option<Item<K>>),
    /// The request is not accepted.
    Refused(Failure),
    /// The request runs at once.
    Run,
}

/// Requests waiting for and running at one backend server.
///
/// Under [`Policy::Baseline`] it is one first-in-first-out queue of limited length that
/// ignores deadlines: a request that waited too long is run all the same.
///
/// # Invariants
///
/// Offers and [`AgentQueue::next`] never raise `running` above `capacity`, and
/// `running` is the sum over `teams`. A request whose tombstone is kept is never run.
#[derive(Debug)]
pub struct AgentQueue<K> {
    /// Requests that the server runs at once.
    capacity: u32,
    /// Whether all further offers are refused.
    draining: bool,
    max_queued: usize,
    policy: Policy,
    running: u32,
    /// The number of running requests of each team.
    teams: HashMap<u64, u32>,
    tombstones: Tombstones,
    /// One queue for each priority, indexed by it.
    waiting: [FairQueue<Item<K>>; Priority::ALL.len()],
}

/// One in this many starts goes to the lowest priority that waits, so that rollouts
/// make progress under constant live load.
const LOWEST_PRIORITY_INTERVAL: u64 = 8;

impl<K: Copy + PartialEq> AgentQueue<K> {
    /// A queue for a server that runs `capacity` requests at once; at most
    /// `max_queued` requests wait.
    pub fn new(policy: Policy, capacity: u32, max_queued: usize) -> Self {
        Self {
            capacity,
            draining: false,
            max_queued,
            policy,
            running: 0,
            teams: HashMap::new(),
            tombstones: Tombstones::default(),
            waiting: Default::default(),
        }
    }

    /// Refuses all further offers.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Frees the slot of a finished request of `team`.
    pub fn finish(&mut self, team: u64) {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.teams.get_mut(&team) {
            *count -= 1;
            if *count == 0 {
                self.teams.remove(&team);
            }
        }
    }

    /// Whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// Returns the next request to run, if the server has a free slot; `turn` is the
    /// number of earlier starts.
    ///
    /// Once a team's oldest request has spent half of its time waiting, the team's
    /// newest request goes first. In an overload the old requests would all be answered
    /// just too late, and the new ones after them as well.
    pub fn next(&mut self, now: Millis, turn: u64) -> Option<Item<K>> {
        if self.running >= self.capacity {
            return None;
        }

        let lowest_first = turn % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1;
        let mut queues: Vec<&mut FairQueue<Item<K>>> = self.waiting.iter_mut().collect();
        if !lowest_first {
            queues.reverse();
        }
        let current = self.policy == Policy::Current;
        let newest = |oldest: &Item<K>| current && oldest.is_past_half_time(now);
        let running = |team| self.teams.get(&team).copied().unwrap_or(0);
        let item = queues
            .into_iter()
            .find_map(|queue| queue.pop(running, newest))?;
        self.start(item.team);
        Some(item)
    }

    /// Runs `item` at once, queues it or refuses it.
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

        let displaced = match self.queued() >= self.max_queued {
            true => match self.displace(&item) {
                Some(displaced) => Some(displaced),
                None => return OfferOutcome::Refused(overload_failure(self.max_queued)),
            },
            false => None,
        };
        self.waiting[item.priority as usize].push(item.team, item);
        OfferOutcome::Queued(displaced)
    }

    /// The number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.iter().map(FairQueue::len).sum()
    }

    /// Removes `request` if it waits, and refuses a copy of this attempt that arrives
    /// later.
    pub fn revoke(&mut self, request: RequestId, attempt: u8) -> Option<Item<K>> {
        self.tombstones.add(request, attempt);
        self.withdraw(request)
    }

    /// The number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Removes and returns the waiting requests that can't be answered in time: if they
    /// started now, their answers would take at least `service`, and come after their
    /// deadlines.
    ///
    /// Running them would spend the server's time on answers that nobody waits for any
    /// more, which keeps an overload going.
    pub fn shed(&mut self, now: Millis, service: Millis) -> Vec<Item<K>> {
        if self.policy == Policy::Baseline {
            return Vec::new();
        }
        let queues = self.waiting.iter_mut();
        queues
            .flat_map(|queue| queue.extract_if(|item| item.deadline <= now + service))
            .collect()
    }

    /// Removes and returns `request` if it waits.
    pub fn withdraw(&mut self, request: RequestId) -> Option<Item<K>> {
        let mut queues = self.waiting.iter_mut();
        queues.find_map(|queue| queue.extract_if(|item| item.request == request).pop())
    }

    /// Makes room for `item` in a full queue. Removes the newest request of the lowest
    /// priority that waits, if that is below the priority of `item`; otherwise the
    /// newest request of the team with the most waiting requests of the same priority,
    /// if that team has at least two more than the team of `item`.
    fn displace(&mut self, item: &Item<K>) -> Option<Item<K>> {
        for queue in &mut self.waiting[..item.priority as usize] {
            if let Some((team, _)) = queue.longest() {
                return queue.pop_newest(team);
            }
        }
        let queue = &mut self.waiting[item.priority as usize];
        let (team, length) = queue.longest()?;
        match length > queue.len_of(item.team) + 1 {
            true => queue.pop_newest(team),
            false => None,
        }
    }

    /// Counts a request of `team` as running.
    fn start(&mut self, team: u64) {
        self.running += 1;
        *self.teams.entry(team).or_default() += 1;
    }

    /// Queues `item` under [`Policy::Baseline`].
    fn offer_baseline(&mut self, item: Item<K>) -> OfferOutcome<K> {
        if self.queued() >= self.max_queued {
            return OfferOutcome::Refused(overload_failure(self.max_queued));
        }
        self.waiting[0].push(0, item);
        OfferOutcome::Queued(None)
    }
}

/// The failure of a request that finds the queue full.
pub fn overload_failure(max_queued: usize) -> Failure {
    let detail = format!("{max_queued} requests wait for the backend server");
    Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(100))
}

/// The failure of a request whose deadline passed while it waited.
pub fn deadline_failure() -> Failure {
    let detail = "the deadline passed while the request waited";
    Failure::not_run(Cause::DeadlinePassed, detail)
}

/// The most recently revoked attempts, which are refused if they arrive later.
#[derive(Debug, Default)]
struct Tombstones {
    known: HashSet<(RequestId, u8)>,
    /// In the order in which they were revoked.
    order: VecDeque<(RequestId, u8)>,
}

/// The number of tombstones kept. Copies of a start arrive over one link, in order or
/// not at all, so a tombstone is needed for seconds; this many last for minutes.
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
    fn a_full_queue_is_shared_between_teams() {
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

    /// A revoke may overtake the start of its request, which takes another path, and the
    /// caller gets the answer that the request did not run. Without the tombstone the
    /// late copy would run.
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
    fn requests_that_cannot_be_answered_in_time_are_shed() {
        let mut queue = full_queue();
        assert!(queue.shed(Millis(900), Millis(50)).is_empty());
        assert_eq!(queue.shed(Millis(900), Millis(100)).len(), 4);
        assert_eq!(queue.queued(), 0);
    }

    #[test]
    fn rollouts_progress_under_live_load() {
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
