//! How many calls this process may have at one backend server.
//!
//! Load pattern: tens to thousands of processes share a few servers, and callers ask for more
//! than these can do, or most servers fall silent at once. Without a limit, each process sends
//! every call to several full servers, and each server's queue is so long that all of its
//! answers are late.

use super::{
    call_queue::Urgency,
    conditions::ServerState,
    server_load::ServerLoad, //
};
use crate::base::Millis;

/// The limit of one server incarnation, and what it is derived from.
///
/// A limit below 1 stands for one call at a time with a rest after each, so that many
/// processes together stay below the slots of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimit {
    /// The processes that call the service; 0 if unknown.
    callers: u32,
    /// Calls that went well since the limit was last changed.
    good: u32,
    in_flight: u32,
    /// When the server last answered or refused a call.
    last_reply: Option<Millis>,
    last_sent: Option<Millis>,
    limit: f64,
    /// The longest of the last answers, in ms; zero before the first.
    longest: f64,
    /// When the limit was last lowered.
    lowered_at: Option<Millis>,
    /// The pause after the last refusal; zero once a call went well.
    pause: Millis,
    paused_at: Millis,
    refusals: u32,
    reported_at: Option<Millis>,
    /// How long no call is sent after `rested_from`, if the limit is below 1.
    rest: Millis,
    rested_from: Millis,
    /// The share that the limit was last started at.
    share: f64,
    slots: u32,
    streams: u32,
    /// Calls sent since the server last replied.
    unanswered: u32,
    /// Since when the server owes a reply.
    unanswered_since: Option<Millis>,
}

/// What is known of a server besides this process's calls to it.
#[derive(Clone, Copy, Debug)]
pub struct Outside {
    /// Whether the turn to try a server that others found unresponsive is this process's.
    pub selected: bool,
    /// What another instance found out, and how long ago.
    pub shared: Option<(ServerState, Millis)>,
    /// Whether the circuit breaker allows a call.
    pub trusted: bool,
    /// The typical latency of the service, in ms.
    pub typical: f64,
}

/// Whether a server may get a call now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    Free,
    /// This process has as many calls there as it may have.
    Full,
    /// The server is expected to answer no calls.
    Lost,
    /// The server has refused a call, or rests.
    Paused {
        until: Millis,
    },
}

/// The pause after a first refusal; about a quarter of a call's duration.
const MIN_PAUSE: Millis = Millis(20);

/// The longest pause; a caller that waits longer has lost half of its time.
const MAX_PAUSE: Millis = Millis(640);

/// How much longer pauses and rests are for calls with time to spare, so that the first room
/// at a full server goes to calls that people wait for.
const BACKGROUND_PAUSE_FACTOR: u64 = 4;

/// The lowest limit: one call and a rest of 63 times its duration.
const MIN_LIMIT: f64 = 1.0 / 64.0;

/// The longest rest after a call.
const MAX_REST: Millis = Millis(1_000);

/// A server is crowded if more calls wait than this part of its slots. With half of the slots,
/// the wait there took a sixth of the target latency, and calls of small workspaces were late.
const CROWDED_SHARE: u32 = 4;

/// The load of a server to which a limit is lowered, as a multiple of its slots.
const WANTED_LOAD: f64 = 1.0;

/// How much longer a process rests after a call than the call took, for each multiple of its
/// slots that the server has to do. With 71 processes that always have a call to send, a
/// server of 6 slots then has about 11 calls. The share follows from the report alone, so that
/// processes without calls leave their part to the others.
const REST_FACTOR: f64 = 3.0;

/// The factor by which a limit below 1 rises with each answer of a server with free slots. All
/// processes see these at the same time.
const FREE_FACTOR: f64 = 2.0;

/// The bounds of the factor by which one report lowers the limit.
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 0.95;

/// The factor by which the limit rises with each round while the server has free slots.
const FREE_RISE: f64 = 1.5;

/// How long a server may owe a reply, as a multiple of the typical latency. One call in a
/// hundred takes five times as long as others.
const SILENCE_FACTOR: f64 = 6.0;

/// The same as a multiple of the server's longest answer, so that a slow server is not taken
/// for a silent one.
const LONGEST_FACTOR: f64 = 2.0;

/// How fast the longest answer is forgotten with each answer.
const LONGEST_DECAY: f64 = 0.9;

/// The shortest time after which a server that owes a reply counts as silent.
const MIN_SILENCE: Millis = Millis(300);

/// The same for a server that has not answered yet, as its speed is unknown.
const MIN_FIRST_SILENCE: Millis = Millis(1_000);

/// How often a silent server gets a call.
const TRIAL_INTERVAL: Millis = Millis(2_000);

/// The consecutive refusals after which other instances are told of the server; the pauses
/// in between add up to about 600 ms.
const REPORTED_REFUSALS: u32 = 5;

/// The consecutive calls without reply after which other instances are told of the server. A
/// process with few calls sends each silent server only one; an answer to any instance clears
/// a wrong report.
const REPORTED_SILENCES: u32 = 1;

/// The shortest time between two reports about a server.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// The number of slots assumed of a server that announces none.
const DEFAULT_SLOTS: u32 = 4;

impl ServerLimit {
    /// The limit of a server with `slots`, to which `callers` processes send calls; 0 if the
    /// number of either is unknown.
    pub fn new(slots: u32, callers: u32) -> Self {
        let slots = if slots == 0 { DEFAULT_SLOTS } else { slots };
        let share = share(slots, callers);
        Self {
            callers,
            good: 0,
            in_flight: 0,
            last_reply: None,
            last_sent: None,
            limit: share,
            longest: 0.0,
            lowered_at: None,
            pause: Millis(0),
            paused_at: Millis(0),
            refusals: 0,
            reported_at: None,
            rest: Millis(0),
            rested_from: Millis(0),
            share,
            slots,
            streams: 0,
            unanswered: 0,
            unanswered_since: None,
        }
    }

    /// Starts the limit again if the number of `callers` has made its share twice as large or
    /// half as large.
    pub fn update_callers(&mut self, callers: u32) {
        self.callers = callers;
        let share = share(self.slots, callers);
        if share >= self.share * 2.0 || share * 2.0 <= self.share {
            self.limit = share;
            self.share = share;
        }
    }

    /// The calls that this process may have at the server on average.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The calls and streams that this process has at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight + self.streams
    }

    /// When the last call was sent.
    pub fn last_sent(&self) -> Option<Millis> {
        self.last_sent
    }

    /// Whether the server may get a call of `urgency` now.
    pub fn room(&self, urgency: Urgency, outside: Outside, now: Millis) -> Room {
        if !outside.trusted {
            return Room::Lost;
        }
        let shared = outside.shared.filter(|(_, age)| {
            let observed_at = now - *age;
            self.last_reply.is_none_or(|at| at <= observed_at)
        });
        let found_silent = matches!(shared, Some((ServerState::Unresponsive, _)));
        if self.is_silent(outside.typical, now) || found_silent {
            let due = self
                .last_sent
                .is_none_or(|at| now.since(at) >= TRIAL_INTERVAL);
            return match due && (outside.selected || !found_silent) {
                true => Room::Free,
                false => Room::Lost,
            };
        }
        let factor = match urgency {
            Urgency::Interactive => 1,
            Urgency::Background => BACKGROUND_PAUSE_FACTOR,
        };
        let pause_end = self.paused_at + Millis(self.pause.0 * factor);
        let rest_end = self.rested_from + Millis(self.rest.0 * factor);
        let until = pause_end.max(rest_end);
        if now < until {
            return Room::Paused { until };
        }
        let allowed = match shared {
            Some(_) => 1,
            None => (self.limit as u32).max(1),
        };
        match self.in_flight() < allowed {
            true => Room::Free,
            false => Room::Full,
        }
    }

    /// Counts a call that is sent now.
    pub fn begin(&mut self, now: Millis) {
        self.in_flight += 1;
        self.last_sent = Some(now);
        self.unanswered += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Counts a stream, whose end shows nothing about the server's speed.
    pub fn begin_stream(&mut self) {
        self.streams += 1;
    }

    /// Stops counting a call.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Stops counting a stream.
    pub fn end_stream(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records the answer to a call that was sent at `sent_at` and still counts as in flight.
    /// `load` is the server's report.
    pub fn record_answer(&mut self, sent_at: Millis, load: Option<ServerLoad>, now: Millis) {
        self.record_reply(now);
        self.pause = Millis(0);
        self.refusals = 0;
        let taken = now.since(sent_at).0.max(1) as f64;
        self.longest = taken.max(self.longest * LONGEST_DECAY);
        if let Some(slots) = load.and_then(|load| load.slots) {
            self.slots = slots.max(1);
        }
        match load {
            Some(load) if load.waiting > 0 && self.limit <= 1.0 => {
                self.good = 0;
                let load = f64::from(load.total()) / f64::from(self.slots);
                self.limit = (1.0 / (1.0 + REST_FACTOR * load)).max(MIN_LIMIT);
                self.lowered_at = Some(now);
            }
            Some(load) if load.running < self.slots && self.limit < 1.0 => {
                self.good = 0;
                self.limit = (self.limit * FREE_FACTOR).min(1.0);
            }
            Some(load) if load.waiting > self.slots / CROWDED_SHARE => {
                let wanted = f64::from(self.slots) * WANTED_LOAD;
                let factor = wanted / f64::from(load.total());
                self.lower(factor.clamp(MIN_FACTOR, MAX_FACTOR), sent_at, now);
            }
            // The server is busy and answers in time.
            Some(load) if load.waiting > 0 => self.good = 0,
            Some(load) => self.raise(load.running < self.slots),
            None => self.raise(false),
        }
        if self.limit < 1.0 {
            let rest = Millis((taken * (1.0 / self.limit - 1.0)) as u64);
            self.rest = rest.min(MAX_REST);
            self.rested_from = now;
        } else {
            self.rest = Millis(0);
        }
    }

    /// Records that the server refused a call that was sent at `sent_at`. Refusals of calls
    /// that were sent together count once.
    pub fn record_refusal(&mut self, sent_at: Millis, now: Millis) {
        self.record_reply(now);
        self.refusals += 1;
        if self.lowered_at.is_some_and(|at| sent_at < at) && self.pause > Millis(0) {
            return;
        }
        let doubled = Millis(self.pause.0 * 2);
        self.pause = doubled.clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_at = now;
        self.lower(0.5, sent_at, now);
    }

    /// Records that nothing waits any more for the reply to a call that was sent at `sent_at`
    /// and still counts as in flight. `typical` is the service's typical latency in ms.
    pub fn record_abandoned(&mut self, sent_at: Millis, typical: f64, now: Millis) {
        // A caller that leaves early shows nothing about the server.
        if now.since(sent_at) < self.silence_limit(typical) {
            self.unanswered = self.unanswered.saturating_sub(1);
            if self.unanswered == 0 {
                self.unanswered_since = None;
            }
        }
    }

    /// Records that the server shows that it is alive.
    pub fn record_reply(&mut self, now: Millis) {
        self.last_reply = Some(now);
        self.unanswered = self.in_flight.saturating_sub(1);
        self.unanswered_since = (self.unanswered > 0).then_some(now);
    }

    /// The state to report to other instances, if one is due; it counts as reported.
    pub fn take_report(&mut self, typical: f64, now: Millis) -> Option<ServerState> {
        let silent = self.is_silent(typical, now) && self.unanswered >= REPORTED_SILENCES;
        let state = match (silent, self.refusals >= REPORTED_REFUSALS) {
            (true, _) => ServerState::Unresponsive,
            (false, true) => ServerState::Failing,
            (false, false) => return None,
        };
        if self
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL)
        {
            return None;
        }
        self.reported_at = Some(now);
        Some(state)
    }

    /// Whether other instances were told of the server since the last call of this; it does
    /// not count as reported any more.
    pub fn take_reported(&mut self) -> bool {
        self.reported_at.take().is_some()
    }

    /// Whether the server owes a reply for too long. `typical` is the service's typical
    /// latency in ms.
    pub fn is_silent(&self, typical: f64, now: Millis) -> bool {
        let limit = self.silence_limit(typical);
        self.unanswered_since
            .is_some_and(|at| now.since(at) > limit)
    }

    /// How long the server may owe a reply.
    fn silence_limit(&self, typical: f64) -> Millis {
        let least = match self.longest > 0.0 {
            true => MIN_SILENCE,
            false => MIN_FIRST_SILENCE,
        };
        let usual = (typical * SILENCE_FACTOR).max(self.longest * LONGEST_FACTOR);
        least.max(Millis(usual as u64))
    }

    /// Lowers the limit, unless it was lowered after `sent_at`: replies to calls that were
    /// sent together show the same load.
    fn lower(&mut self, factor: f64, sent_at: Millis, now: Millis) {
        if self.lowered_at.is_some_and(|at| sent_at < at) {
            return;
        }
        self.good = 0;
        self.limit = (self.limit * factor).max(MIN_LIMIT);
        self.lowered_at = Some(now);
    }

    /// Raises the limit if a whole round of calls went well and the limit was used. All
    /// processes together raise it by one per round, as each adds its share. A server with
    /// `free` slots gets calls back sooner.
    fn raise(&mut self, free: bool) {
        self.good += 1;
        let allowed = (self.limit as u32).max(1);
        if self.good < allowed || self.in_flight() < allowed {
            return;
        }
        self.good = 0;
        let step = 1.0 / f64::from(self.callers.max(1));
        let raised = match free {
            true => (self.limit * FREE_RISE).max(self.limit + step),
            false => self.limit + step,
        };
        self.limit = raised.min(f64::from(self.slots) * 2.0);
    }
}

/// A process's share of a server's slots.
fn share(slots: u32, callers: u32) -> f64 {
    (f64::from(slots) / f64::from(callers.max(1))).max(1.0)
}
