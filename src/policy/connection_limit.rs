//! Limits the connections that this process has open at a backend server, and decides
//! which streams of unneeded runs are read to their end to keep their connections.
//!
//! Load pattern: tens of processes call the few servers that are left of a service, and
//! callers crowd in. A server accepts a fixed number of connections from all of them and
//! resets the others, which costs requests. Trainers end batches, and runners run the same
//! items, so that streams are stopped shortly before their end all the time.

use super::text_length::expected_total;
use crate::base::Millis;

/// The share of a server's connections that all processes together may use, in percent. The
/// rest is for restarts: the connections of the previous incarnation linger.
const USABLE_PERCENT: usize = 80;

/// The limit while it is not known how many processes call the service.
const DEFAULT_MAX_OPEN: usize = 2;

/// How long the limit stays halved after the server has refused a connection.
pub const HALVED_TIME: Millis = Millis(5_000);

/// A connection that breaks within this time after it was opened may have been refused. A
/// busy server accepts and resets connections some hundred ms late.
const MAX_REFUSAL_AGE: Millis = Millis(1_000);

/// The most connections that this process may have open at a server that accepts
/// `max_connections` from all processes. `callers` is the number of processes that call its
/// service, 0 if unknown. `None` if the server's own limit is not configured.
pub fn max_open(max_connections: Option<usize>, callers: u32) -> Option<usize> {
    let usable = max_connections? * USABLE_PERCENT / 100;
    let share = match callers {
        0 => usable.min(DEFAULT_MAX_OPEN),
        callers => usable / callers as usize,
    };
    Some(share.max(1))
}

/// A connection that broke before any byte of a response arrived.
#[derive(Clone, Copy, Debug)]
pub struct BrokenConnection {
    /// The time since it was opened.
    pub age: Millis,
    /// The number of other connections open at the server.
    pub others: usize,
    /// Whether the server reset it, rather than ending or falling silent.
    pub reset: bool,
}

impl BrokenConnection {
    /// Whether the server probably refused the connection because it has too many.
    pub fn is_refused(&self) -> bool {
        self.reset && self.others > 0 && self.age <= MAX_REFUSAL_AGE
    }
}

/// The limit of the connections to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    max: Option<usize>,
    /// The limit is halved until this time.
    halved_until: Millis,
}

impl ConnectionLimit {
    /// Sets the limit, at least 1; `None` for no limit. Returns whether it has changed.
    pub fn set(&mut self, max: Option<usize>) -> bool {
        let max = max.map(|max| max.max(1));
        let changed = self.max != max;
        self.max = max;
        changed
    }

    /// Halves the limit for [`HALVED_TIME`], as the server has refused a connection.
    pub fn record_refusal(&mut self, now: Millis) {
        self.halved_until = now + HALVED_TIME;
    }

    /// The most connections that may be open; `None` for no limit.
    pub fn max(&self, now: Millis) -> Option<usize> {
        let max = self.max?;
        match now < self.halved_until {
            true => Some((max / 2).max(1)),
            false => Some(max),
        }
    }

    /// Whether another connection may be opened while `open` are.
    pub fn permits(&self, open: usize, now: Millis) -> bool {
        self.max(now).is_none_or(|max| open < max)
    }
}

/// A run that nobody needs any more, while its engine sends the text.
#[derive(Clone, Copy, Debug)]
pub struct UnneededRun {
    /// The events that have arrived.
    pub events: usize,
    /// The text's expected tokens; 0 if unknown.
    pub expected: u32,
}

/// The measured speed of an engine; 0 while unknown.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// The time per event of a stream, in ms.
    pub pace: f64,
    /// The time that a slot takes per expected token, in ms.
    pub token_ms: f64,
}

/// A stream is read to its end if that is expected to take less than this. The engine then
/// does work for nobody; a new connection costs less than a second of a slot.
const MAX_REST: Millis = Millis(1_000);

impl UnneededRun {
    /// How long the rest of the stream is expected to take; `None` if unknown. An event may
    /// carry many tokens, so the time that the events so far have taken is subtracted from
    /// the time that the expected tokens take.
    pub fn rest(&self, speed: EngineSpeed) -> Option<Millis> {
        let estimate = f64::from(self.expected) * speed.token_ms;
        let done = self.events as f64 * speed.pace;
        let known = estimate > 0.0 && speed.pace > 0.0 && self.events > 0;
        if !known {
            return None;
        }
        let rest = expected_total(estimate, done) - done;
        Some(Millis(rest.ceil() as u64))
    }

    /// Whether the stream is read to its end while `free` slots of the engine are not used
    /// by other work.
    pub fn is_drained(&self, speed: EngineSpeed, free: u32) -> bool {
        free > 0 && self.rest(speed).is_some_and(|rest| rest < MAX_REST)
    }
}
