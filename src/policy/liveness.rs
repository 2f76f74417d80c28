//! Whether the runner that claimed a bundle still works.
//!
//! Load pattern: after a start, a restart or an outage all runners claim at the
//! same moment, often before the heartbeat that says that they work. What a runner
//! wrote last decides: a claim is a sign of life as good as a heartbeat.

use crate::base::Millis;

/// A runner that has written nothing for so long is taken for gone. Heartbeats come
/// every second; one may be lost or late.
const SILENCE_TIMEOUT: Millis = Millis(2_300);

/// The last heartbeat of a runner.
#[derive(Clone, Copy, Debug)]
pub struct LastHeartbeat {
    /// When it was seen here.
    pub at: Millis,
    /// When the store took it; 0 when that is not known.
    pub revision: u64,
    /// Names the runner's life.
    pub token: u64,
    /// Whether its engine works, or still ends its runs.
    pub working: bool,
}

/// The last time that the holder of a claim wrote it.
#[derive(Clone, Copy, Debug)]
pub struct ClaimWrite {
    /// When it was seen here.
    pub at: Millis,
    /// When the store took it; 0 when that is not known.
    pub revision: u64,
    /// Names the life of the holder that wrote it.
    pub token: u64,
}

/// Whether a runner that has been silent since `at` still counts as alive.
pub fn is_alive(at: Millis, now: Millis) -> bool {
    now.since(at) < SILENCE_TIMEOUT
}

/// Whether the holder that wrote `write` still works, by its last heartbeat.
///
/// Only a heartbeat that is newer than the claim speaks against it. Before, the
/// heartbeat of a runner's start, which says that it does not work yet, made others
/// take over what it had claimed since: an item that fails at each run was run by
/// three runners, seven times for the three tries that its route allows.
pub fn is_working(write: ClaimWrite, heartbeat: Option<LastHeartbeat>, now: Millis) -> bool {
    let Some(heartbeat) = heartbeat else {
        return is_alive(write.at, now);
    };
    if heartbeat.token != write.token {
        // INVARIANT: lives are numbered in the order in which they begin, so a
        // claim by a later life than the heartbeat's is the newer word.
        return write.token > heartbeat.token && is_alive(write.at, now);
    }
    match heartbeat.revision >= write.revision {
        true => heartbeat.working && is_alive(heartbeat.at, now),
        // An outage of the store renews the heartbeats' times, not the claims'.
        false => is_alive(write.at.max(heartbeat.at), now),
    }
}
