//! Decides whether a server has ended under a run whose connection broke.
//!
//! Load pattern: a server that restarts at once looks as if it had never ended, and a busy
//! instance handles a server's reports hundreds of ms after they arrived.

use crate::{
    base::Millis,
    routing::ServerIncarnation, //
};

/// A run whose connection broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun<'a> {
    /// When this instance noticed the break.
    pub at: Millis,
    /// The incarnation that was running it.
    pub incarnation: &'a ServerIncarnation,
}

/// An answer of the server.
#[derive(Clone, Copy, Debug)]
pub struct Sighting<'a> {
    /// When this instance asked for it. The time of its arrival shows nothing, as it may have
    /// been sent long before.
    pub asked_at: Millis,
    /// The incarnation that gave it.
    pub incarnation: &'a ServerIncarnation,
}

/// What became of the server under a broken run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerFate {
    /// It still runs: only the connection broke.
    Alive,
    /// It has ended.
    Ended,
}

/// How long a process that ends may still answer on other connections: it closes them one
/// after the other.
const MAX_EXIT_TIME: Millis = Millis(250);

/// What `seen` shows about the server of `run`; `None` if it was asked for too early.
pub fn server_fate(run: BrokenRun<'_>, seen: Sighting<'_>) -> Option<ServerFate> {
    if is_later(seen.incarnation, run.incarnation) {
        return Some(ServerFate::Ended);
    }
    let asked_late = seen.asked_at > run.at + MAX_EXIT_TIME;
    let alive = asked_late && seen.incarnation == run.incarnation;
    alive.then_some(ServerFate::Alive)
}

/// Whether `next` started after `incarnation`. Servers that don't report their start time
/// are distinguished by their ids.
pub fn is_later(next: &ServerIncarnation, incarnation: &ServerIncarnation) -> bool {
    let by_id = next.started_at == Millis(0) && next.id != incarnation.id;
    next.started_at > incarnation.started_at || by_id
}
