//! What a backend server reports of its load, and what a process has observed of the server.
//!
//! Load pattern: servers of different speeds share their machines with other programs. Work
//! takes several times as long for some hundred milliseconds, and a server's report is out of
//! date soon after it arrived.

use super::{
    health::FailureShare,
    latency::{Latency, UsualLatency}, //
};
use crate::base::Millis;

/// A server's report of its load, as of its last response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once; `None` if it doesn't say.
    pub slots: Option<u32>,
    /// How long work takes at this moment, in percent of the usual time; `None` if it doesn't
    /// say.
    pub slowness: Option<u32>,
}

impl ServerLoad {
    /// The number of requests at the server, running or waiting.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// The factor by which a call takes longer because others wait before it.
    fn queue_factor(&self) -> f64 {
        let slots = self.slots.filter(|slots| *slots > 0);
        slots.map_or(1.0, |slots| {
            1.0 + f64::from(self.waiting) / f64::from(slots)
        })
    }

    /// Whether one call more leaves less than a quarter of the slots free.
    fn is_crowded(&self) -> bool {
        let total = f64::from(self.total());
        self.slots
            .is_some_and(|slots| total + 1.0 > CROWDED_SHARE * f64::from(slots))
    }
}

/// The share of the slots above which a server counts as nearly full.
const CROWDED_SHARE: f64 = 0.75;

/// The time in which the reported load of other processes counts half; calls last tens of
/// milliseconds, and bursts some seconds.
const LOAD_HALF_LIFE: Millis = Millis(250);

/// The time in which a reported slowness moves half the way to the server's usual one. It
/// changes many times a second.
const SLOWNESS_HALF_LIFE: Millis = Millis(150);

/// The weight of a report in a server's usual slowness, and in the share of the time in which
/// it is nearly full.
const REPORT_WEIGHT: f64 = 0.05;

/// The limits of the slowness that is believed, as a factor. A server that reports 0 would
/// otherwise get all calls.
const SLOWNESS_LIMITS: (f64, f64) = (0.25, 16.0);

/// The largest factor that is believed of a nearly full server.
const MAX_CROWDING: f64 = 8.0;

/// The largest answer time as a multiple of the recent latency. One in a hundred calls takes
/// five times as long, and would open a connection to another server.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// What a process has observed of a server, as of one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// How many times as long a call takes because the server may be nearly full.
    pub crowding: f64,
    /// The share of attempts that failed, from 0 to 1.
    pub failures: f64,
    /// The duration of a call while no other waits, at the usual slowness; in ms.
    pub latency: f64,
    /// The calls at the server: this process's and, fading with the report's age, the others'.
    pub load: f64,
    /// Orders servers for this process; differs between processes.
    pub rank: u64,
    /// The age of the last report; `None` if there is none.
    pub report_age: Option<Millis>,
    /// How long the server has answered none of this process's calls while it had any, in ms.
    pub silence: f64,
    /// The slots that it reported; 0 if unknown.
    pub slots: u32,
    /// How long work takes now, as a multiple of the usual time.
    pub slowness: f64,
}

/// A report, and this process's calls at the server when it arrived.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Millis,
    in_flight: u32,
    load: ServerLoad,
}

/// What a process has observed of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHistory {
    /// Latency while the server was nearly full, and while it was not.
    crowded: UsualLatency,
    /// The share of reports by which the server was nearly full.
    crowded_share: f64,
    free: UsualLatency,
    failures: FailureShare,
    /// This process's calls at the server.
    in_flight: u32,
    /// When the server last answered, or got a call while it had none.
    progress_at: Millis,
    recent: Latency,
    report: Option<Report>,
    /// The average of the reported slowness less 1.
    slowness_excess: f64,
}

impl ServerHistory {
    /// Records that a call is sent.
    pub fn begin_call(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.progress_at = now;
        }
        self.in_flight += 1;
    }

    /// Records that a call is no longer in flight, for whatever reason.
    pub fn end_call(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load reported by a response.
    pub fn record_report(&mut self, now: Millis, load: ServerLoad) {
        self.progress_at = now;
        let crowded = f64::from(u8::from(load.is_crowded()));
        self.crowded_share += REPORT_WEIGHT * (crowded - self.crowded_share);
        if let Some(slowness) = reported_slowness(&load) {
            self.slowness_excess += REPORT_WEIGHT * (slowness - 1.0 - self.slowness_excess);
        }
        self.report = Some(Report {
            at: now,
            in_flight: self.in_flight,
            load,
        });
    }

    /// Records a successful call that took `taken` ms; `typical` is the service's typical
    /// latency in ms. The report of the same response must have been recorded before.
    pub fn record_success(&mut self, now: Millis, typical: f64, taken: f64) {
        self.progress_at = now;
        self.failures.record(now, false);
        let report = self.report.filter(|report| report.at == now);
        let (crowded, queue) = report.map_or((false, 1.0), |report| {
            (report.load.is_crowded(), report.load.queue_factor())
        });
        let alone = taken / (self.slowness(now) * queue);
        match crowded {
            true => self.crowded.record(now, typical, alone),
            false => {
                self.free.record(now, typical, alone);
                let usual = self.free.estimate(now, typical);
                let recent = self.recent.estimate(now, usual);
                let sample = alone.min(recent * MAX_SAMPLE_FACTOR);
                self.recent.record(now, usual, sample);
            }
        }
    }

    /// Records that the server had not answered after `waited` ms, which is a lower bound of
    /// its latency.
    pub fn record_min_latency(&mut self, now: Millis, typical: f64, waited: f64) {
        let usual = self.free.estimate(now, typical);
        if waited > self.recent.estimate(now, usual) {
            self.recent.record(now, usual, waited);
        }
    }

    /// Records an attempt that failed through the fault of the server or of the link to it, or
    /// that was answered with a server error.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures.record(now, true);
    }

    /// This process's calls at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last report and its age.
    pub fn report(&self, now: Millis) -> Option<(ServerLoad, Millis)> {
        self.report
            .map(|report| (report.load, now.since(report.at)))
    }

    /// What is known at `now`; `typical` is the service's typical latency in ms, and `rank`
    /// orders servers for this process.
    pub fn observed(&self, now: Millis, typical: f64, rank: u64) -> Observed {
        let report = self.report(now);
        let others = self.report.map_or(0.0, |report| {
            let others = report.load.total().saturating_sub(report.in_flight);
            f64::from(others) * halved(now.since(report.at), LOAD_HALF_LIFE)
        });
        let usual = self.free.estimate(now, typical);
        let crowding = (self.crowded.estimate(now, usual) / usual).clamp(1.0, MAX_CROWDING);
        let crowded = self.report.map_or(0.0, |report| {
            let reported = f64::from(u8::from(report.load.is_crowded()));
            let fresh = halved(now.since(report.at), LOAD_HALF_LIFE);
            self.crowded_share + (reported - self.crowded_share) * fresh
        });
        let silence = match self.in_flight {
            0 => Millis(0),
            _ => now.since(self.progress_at),
        };
        Observed {
            crowding: 1.0 + (crowding - 1.0) * crowded,
            failures: self.failures.value(now),
            latency: self.recent.estimate(now, usual),
            load: f64::from(self.in_flight) + others,
            rank,
            report_age: report.map(|(_, age)| age),
            silence: silence.0 as f64,
            slots: report.and_then(|(load, _)| load.slots).unwrap_or(0),
            slowness: self.slowness(now),
        }
    }

    /// How long work takes at `now`, as a multiple of the usual time: the reported slowness,
    /// which moves to the server's usual one with the report's age.
    fn slowness(&self, now: Millis) -> f64 {
        let usual = 1.0 + self.slowness_excess;
        let excess = self.report.map_or(0.0, |report| {
            let reported = reported_slowness(&report.load).unwrap_or(usual);
            (reported - usual) * halved(now.since(report.at), SLOWNESS_HALF_LIFE)
        });
        usual + excess
    }
}

/// The reported slowness as a factor, within [`SLOWNESS_LIMITS`].
fn reported_slowness(load: &ServerLoad) -> Option<f64> {
    let (least, most) = SLOWNESS_LIMITS;
    load.slowness
        .map(|percent| (f64::from(percent) / 100.0).clamp(least, most))
}

/// What is left of 1 after `age`, if it halves in each `half_life`.
fn halved(age: Millis, half_life: Millis) -> f64 {
    0.5_f64.powf(age.0 as f64 / half_life.0 as f64)
}
