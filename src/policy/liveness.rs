//! Decides whether the runner that claimed a bundle still works.
//!
//! Load pattern: after a start, a restart or an outage all runners claim bundles at the
//! same moment, often before they write the heartbeat that says that they work. The
//! runner's latest write decides: a claim shows that it is alive just as a heartbeat
//! does.

use crate::base::Millis;

/// A runner that has written nothing for this long counts as dead. Heartbeats are
/// written every second; one may be lost or late.
const SILENCE_TIMEOUT: Millis = Millis(2_300);

/// The last heartbeat of a runner.
#[derive(Clone, Copy, Debug)]
pub struct LastHeartbeat {
    /// When this process saw it.
    pub at: Millis,
    /// The store's revision of the write; 0 if unknown.
    pub revision: u64,
    /// Identifies the runner's incarnation; a later one has a higher token.
    pub token: u64,
    /// Whether the runner works, or is leaving and still finishes its runs.
    pub working: bool,
}

/// The last write of a claim by its holder.
#[derive(Clone, Copy, Debug)]
pub struct ClaimWrite {
    /// When this process saw it.
    pub at: Millis,
    /// The store's revision of the write; 0 if unknown.
    pub revision: u64,
    /// Identifies the incarnation of the holder that wrote it.
    pub token: u64,
}

/// Whether a runner whose last write was seen at `at` counts as alive.
pub fn is_alive(at: Millis, now: Millis) -> bool {
    now.since(at) < SILENCE_TIMEOUT
}

/// Whether the holder that wrote the claim still works, by its last heartbeat.
///
/// Only a heartbeat that is newer than the claim can show that the holder does not
/// work. When older ones counted, the heartbeat of a runner's start, which says that it
/// does not work yet, made others take over what it had claimed since: an item that
/// fails at each run was run seven times by three runners, while its route allows three
/// attempts.
pub fn is_working(write: ClaimWrite, heartbeat: Option<LastHeartbeat>, now: Millis) -> bool {
    let Some(heartbeat) = heartbeat else {
        return is_alive(write.at, now);
    };
    if heartbeat.token != write.token {
        // INVARIANT: tokens increase from one incarnation to the next, so a claim by a
        // later incarnation than the heartbeat's is newer than the heartbeat.
        return write.token > heartbeat.token && is_alive(write.at, now);
    }
    match heartbeat.revision >= write.revision {
        true => heartbeat.working && is_alive(heartbeat.at, now),
        // After an outage of the store, the times of heartbeats are reset to its end,
        // but not those of claims.
        false => is_alive(write.at.max(heartbeat.at), now),
    }
}
