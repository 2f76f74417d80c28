//! The queue of calls in front of one service: which calls wait, which are refused on arrival,
//! which one goes next and when a refused caller may return.
//!
//! Load pattern: callers ask for several times what the servers can do for some seconds, a
//! few workspaces send most of the calls, and all refused callers return at the same time.

use super::{
    fair_queue::FairQueue,
    server_limit::{Room, ServerLimit}, //
};
use crate::base::Millis;
use std::collections::{
    HashMap,
    VecDeque, //
};

/// What a call's delay costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// Its answer has full value until its deadline. It saves connections and leaves room at
    /// full servers to others.
    Background,
    /// Someone waits for the answer.
    Interactive,
}

/// A call that may have to wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitingCall {
    /// Whether it was admitted before and returns to its place.
    pub admitted: bool,
    pub deadline: Millis,
    /// Its number in the order of arrival.
    pub id: u64,
    /// 0 is the most urgent.
    pub priority: u32,
    pub queued_at: Millis,
    /// Whether its caller has probably been refused before, see [`CallQueue::is_return`].
    pub returned: bool,
    /// The number of servers that could serve it when it began to wait.
    pub servers: u32,
    /// A hash of the call's id, which spreads the returns of refused callers.
    pub spread: u64,
    /// When its answer begins to lose value.
    pub target: Millis,
    pub urgency: Urgency,
    /// Identifies its workspace.
    pub workspace: u64,
}

impl WaitingCall {
    /// Its place among the calls of its workspace. While callers ask for more than can be
    /// done, each answer to a caller that returns is late and takes the place of one in time;
    /// afterwards there is room for those that return.
    fn place(&self) -> (u32, bool, Millis, u64) {
        (self.priority, self.returned, self.deadline, self.id)
    }

    /// The latest time at which its answer is worth waiting for in the queue. A caller that
    /// returned has little to lose by a quarter of the time that it has left.
    fn latest_answer(&self) -> Millis {
        match (self.urgency, self.returned) {
            (Urgency::Background, _) => self.deadline,
            (Urgency::Interactive, false) => self.target.min(self.deadline),
            (Urgency::Interactive, true) => {
                let left = self.deadline.since(self.queued_at);
                self.target
                    .max(self.queued_at + Millis(left.0 / 4))
                    .min(self.deadline)
            }
        }
    }
}

/// What the servers of a service can take from this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Supply {
    /// The calls that run.
    pub in_flight: u32,
    /// The calls that may run at once.
    pub limit: f64,
    /// When the first of the servers that pause takes calls again.
    pub opens_at: Option<Millis>,
    /// The servers that are expected to answer.
    pub servers: u32,
    /// The typical latency of the service, in ms.
    pub typical: f64,
}

impl Supply {
    /// The supply by servers with these limits and rooms.
    pub fn of(servers: impl Iterator<Item = (ServerLimit, Room)>, typical: f64) -> Self {
        let mut supply = Self {
            typical,
            ..Self::default()
        };
        for (limit, room) in servers {
            match room {
                Room::Lost => continue,
                Room::Free | Room::Full => {}
                Room::Paused { until } => {
                    let first = supply.opens_at.map_or(until, |at| at.min(until));
                    supply.opens_at = Some(first);
                }
            }
            supply.in_flight += limit.in_flight();
            supply.limit += limit.limit();
            supply.servers += 1;
        }
        supply
    }
}

/// The decision on a call that no server can take now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is refused; its caller may return after `retry_after`.
    Refuse {
        ahead: u32,
        expected: Millis,
        reason: &'static str,
        retry_after: Millis,
    },
    /// It waits.
    Wait { ahead: u32, expected: Millis },
}

/// The waiting and running calls of one service in this process.
#[derive(Debug, Default)]
pub struct CallQueue {
    /// The running calls of [`Urgency::Background`].
    background: u32,
    /// The longest time that a caller had left on arrival, in ms.
    longest_left: Millis,
    /// When the last calls ended.
    ended: VecDeque<Millis>,
    /// When refused callers return.
    returns: Vec<Millis>,
    /// The running calls of each workspace.
    running: HashMap<u64, u32>,
    /// Since when, and when last, calls waited.
    saturated: Option<(Millis, Millis)>,
    waiting: FairQueue<WaitingCall>,
}

/// The time over which ended calls are counted; several calls end in it at any server.
const RATE_WINDOW: Millis = Millis(400);

/// How long the queue may be empty without the count of ended calls starting anew.
const MAX_GAP: Millis = Millis(100);

/// The most ends and returns that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// The most background calls at a time; one connection serves ten a second.
const MAX_BACKGROUND: u32 = 4;

/// The shortest time after which a refused caller returns.
const MIN_RETRY_AFTER: Millis = Millis(20);

/// The time after which a caller returns if no server is expected to answer: about half the
/// time between two trials of a silent server, and less than callers follow.
const RETRY_AFTER_LOST: Millis = Millis(300);

/// The rate below which no call is expected to end, in calls per ms.
const MIN_RATE: f64 = 0.000_1;

/// The reason for refusing a call that would be answered too late.
pub const REASON_LATE: &str = "queue-too-long";

/// The reason for refusing a call that no server is expected to answer.
pub const REASON_LOST: &str = "servers-lost";

impl CallQueue {
    /// The number of waiting calls.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// The running calls of all workspaces.
    pub fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// The running calls of each workspace.
    pub fn running_by_workspace(&self) -> &HashMap<u64, u32> {
        &self.running
    }

    /// Counts a call that is sent.
    pub fn begin(&mut self, workspace: u64, urgency: Urgency) {
        *self.running.entry(workspace).or_default() += 1;
        self.background += u32::from(urgency == Urgency::Background);
    }

    /// Stops counting a call that was sent.
    pub fn end(&mut self, workspace: u64, urgency: Urgency) {
        if let Some(count) = self.running.get_mut(&workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(&workspace);
            }
        }
        self.background = self
            .background
            .saturating_sub(u32::from(urgency == Urgency::Background));
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Millis) {
        if self.ended.len() == MAX_REMEMBERED {
            self.ended.pop_front();
        }
        self.ended.push_back(now);
        while self
            .ended
            .front()
            .is_some_and(|at| now.since(*at) > RATE_WINDOW)
        {
            self.ended.pop_front();
        }
    }

    /// Whether the caller of a call that arrives with `left` until its deadline has probably
    /// been refused before: callers that return have less time left than others.
    pub fn is_return(&mut self, left: Millis) -> bool {
        // Forgotten slowly, as the callers with the most time may be gone.
        self.longest_left = left.max(self.longest_left - Millis(1));
        left + MIN_RETRY_AFTER <= self.longest_left
    }

    /// Whether another call of `urgency` may run.
    pub fn allows(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Background => self.background < MAX_BACKGROUND,
            Urgency::Interactive => true,
        }
    }

    /// Decides on `call`, which no server can take now. `elsewhere` gives the running calls of
    /// a workspace at other instances.
    pub fn decide(
        &mut self,
        call: &WaitingCall,
        supply: Supply,
        elsewhere: &dyn Fn(u64) -> u32,
        now: Millis,
    ) -> Admission {
        let ahead = self.ahead(call, elsewhere);
        let expected = self.expected_wait(ahead, supply, now);
        let end = now + expected + Millis(supply.typical as u64);
        let latest = call.latest_answer();
        let reason = match (supply.servers, end > latest) {
            (0, _) => REASON_LOST,
            (_, true) if !call.admitted => REASON_LATE,
            (_, true | false) => return Admission::Wait { ahead, expected },
        };
        Admission::Refuse {
            ahead,
            expected,
            reason,
            retry_after: self.retry_after(call, supply, elsewhere, now),
        }
    }

    /// Adds `call` at the place that its priority, deadline and number give it.
    pub fn push(&mut self, call: WaitingCall, now: Millis) {
        self.note_waiting(now);
        self.waiting
            .insert_by_key(call.workspace, call, WaitingCall::place);
    }

    /// Removes the next call for which `fits` is true.
    pub fn pop(
        &mut self,
        elsewhere: &dyn Fn(u64) -> u32,
        mut fits: impl FnMut(&WaitingCall) -> bool,
        now: Millis,
    ) -> Option<WaitingCall> {
        if self.waiting.is_empty() {
            return None;
        }
        self.note_waiting(now);
        let running = &self.running;
        let count = |workspace| running_of(running, elsewhere, workspace);
        let background_allowed = self.background < MAX_BACKGROUND;
        self.waiting.pop_fitting(count, |call| {
            (call.urgency == Urgency::Interactive || background_allowed) && fits(call)
        })
    }

    /// Removes the call with number `id`, whose caller has left.
    pub fn remove(&mut self, id: u64) {
        self.waiting.extract_if(|call| call.id == id);
    }

    /// Removes the calls that can no longer be answered before their deadlines, because servers
    /// were lost or because the time is over.
    pub fn take_hopeless(
        &mut self,
        supply: Supply,
        elsewhere: &dyn Fn(u64) -> u32,
        now: Millis,
    ) -> Vec<WaitingCall> {
        let typical = Millis(supply.typical as u64);
        let is_hopeless = |call: &WaitingCall| {
            let latest = match call.returned {
                true => call.latest_answer(),
                false => call.deadline,
            };
            if supply.servers == 0 || now + Millis(typical.0 / 2) >= latest {
                return true;
            }
            if supply.servers >= call.servers {
                return false;
            }
            let ahead = self.ahead(call, elsewhere);
            now + self.expected_wait(ahead, supply, now) + typical > call.deadline
        };
        let out: Vec<u64> = self
            .waiting
            .iter()
            .filter(|call| is_hopeless(call))
            .map(|call| call.id)
            .collect();
        match out.is_empty() {
            true => Vec::new(),
            false => self.waiting.extract_if(|call| out.contains(&call.id)),
        }
    }

    /// After what time the refused caller of `call` may return. By then the calls ahead of it
    /// will have gone, including those of callers that were told to return before. The returns
    /// are spread over the following interval of the same length.
    pub fn retry_after(
        &mut self,
        call: &WaitingCall,
        supply: Supply,
        elsewhere: &dyn Fn(u64) -> u32,
        now: Millis,
    ) -> Millis {
        self.returns.retain(|at| *at > now);
        let left = call.deadline.since(now);
        // Callers follow up to a third of the time that they have left.
        let longest = Millis(left.0 / 3).max(MIN_RETRY_AFTER);
        let after = match supply.servers {
            0 => RETRY_AFTER_LOST,
            _ => {
                let ahead = self.ahead(call, elsewhere) + self.returns.len() as u32;
                self.expected_wait(ahead, supply, now)
            }
        };
        let after = after
            .max(MIN_RETRY_AFTER)
            .min(Millis(longest.0 / 2).max(MIN_RETRY_AFTER));
        let wait = after + Millis(call.spread % after.0.max(1));
        if self.returns.len() < MAX_REMEMBERED {
            self.returns.push(now + wait);
        }
        wait
    }

    /// The waiting calls that go before `call`: those of its workspace with an earlier place,
    /// and those that other workspaces may send until its workspace has as many running.
    fn ahead(&self, call: &WaitingCall, elsewhere: &dyn Fn(u64) -> u32) -> u32 {
        let running = |workspace| running_of(&self.running, elsewhere, workspace);
        let own = self
            .waiting
            .teams()
            .find(|(workspace, _)| *workspace == call.workspace)
            .map_or(0, |(_, queue)| {
                queue.partition_point(|other| other.place() < call.place()) as u32
            });
        let level = running(call.workspace) + own + 1;
        let others = self
            .waiting
            .teams()
            .filter(|(workspace, _)| *workspace != call.workspace)
            .map(|(workspace, queue)| {
                let before = level.saturating_sub(running(workspace));
                before.min(queue.len() as u32)
            });
        own + others.sum::<u32>()
    }

    /// The time until a call with `ahead` calls before it is sent.
    fn expected_wait(&self, ahead: u32, supply: Supply, now: Millis) -> Millis {
        let rate = self.rate(supply, now).max(MIN_RATE);
        let pause = supply.opens_at.map(|at| at.since(now).0 as f64);
        let end = match supply.in_flight {
            0 => pause.unwrap_or(1.0 / rate),
            running => supply.typical / f64::from(running),
        };
        let opening = pause.map_or(end, |pause| pause.min(end));
        Millis((opening + f64::from(ahead) / rate) as u64)
    }

    /// The calls that end per ms: those counted while calls waited, and for the rest of the
    /// window those that the limits allow.
    fn rate(&self, supply: Supply, now: Millis) -> f64 {
        let allowed = supply.limit / supply.typical.max(1.0);
        let since = match self.saturated {
            Some((since, last)) if now.since(last) <= MAX_GAP => since,
            _ => now,
        };
        let window = RATE_WINDOW.0 as f64;
        let counted = (now.since(since).0 as f64).min(window);
        let from = since.max(now - RATE_WINDOW);
        let ends = self.ended.iter().filter(|at| **at > from).count();
        (ends as f64 + allowed * (window - counted)) / window
    }

    /// Records that calls wait now.
    fn note_waiting(&mut self, now: Millis) {
        let since = match self.saturated {
            Some((since, last)) if now.since(last) <= MAX_GAP => since,
            _ => now,
        };
        self.saturated = Some((since, now));
    }
}

/// The running calls of `workspace` at all instances.
fn running_of(running: &HashMap<u64, u32>, elsewhere: &dyn Fn(u64) -> u32, workspace: u64) -> u32 {
    running.get(&workspace).copied().unwrap_or(0) + elsewhere(workspace)
}

/// Whether a background call may open a connection: no other call of the service runs, whose
/// connection it could use next, or it has waited for half of the time that it can spare.
pub fn may_connect(call: &WaitingCall, running: u32, typical: f64, now: Millis) -> bool {
    if call.urgency == Urgency::Interactive || running == 0 {
        return true;
    }
    let spare = call.target.since(call.queued_at) - Millis(typical as u64);
    now.since(call.queued_at) >= Millis(spare.0 / 2)
}
