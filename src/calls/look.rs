//! Looks whether servers have ended under calls, and holds calls in quarantine back.

use super::{
    Call,
    Caller,
    attempt::End, //
};
use crate::{
    base::{Fingerprint, Millis},
    policy::quarantine::QuarantineState,
    routing::Server,
    view::Attempt, //
};
use std::sync::Arc;
use tokio::runtime::Handle;

/// When to look whether a server has ended under a request for which nobody waits
/// any more: longer than calls run as a rule, and sooner than a server is back, which
/// takes a second at least.
const LOOK_LATER: Millis = Millis(500);

/// When to look for the last time, after that: the announcement of a server's next life
/// is known by then.
const LOOK_LAST: Millis = Millis(1_500);

/// How long the look whether a server has ended may take: some round trips between
/// data centres. The call waits for it before it is sent on.
const LOOK_WITHIN: Millis = Millis(100);

/// Why a call in quarantine is refused.
pub(super) const QUARANTINE: &str = "quarantine";

/// When a call in quarantine is worth asking again: once people have looked at it.
pub(super) const WAIT_QUARANTINE: Millis = Millis(60_000);

impl Caller {
    /// The trial of `call`, if it is in quarantine and this is the one to try it.
    pub(super) async fn take_trial(&self, call: &Call) -> Option<Attempt> {
        let request = call.fingerprint;
        self.crashes.wait_listed().await;
        match self.crashes.judge(request) {
            QuarantineState::Trial => self.crashes.claim_trial(request).await,
            _ => None,
        }
    }

    /// Whether `call` may not be sent: it is in quarantine, and this is not the one
    /// attempt of its `trial`.
    pub(super) fn is_barred(&self, call: &Call, trial: bool) -> bool {
        match self.crashes.judge(call.fingerprint) {
            QuarantineState::Clear | QuarantineState::Watched | QuarantineState::Suspect => false,
            QuarantineState::Trial => !trial,
            QuarantineState::Barred => true,
        }
    }

    /// Looks after a while whether `server` has ended, if by then nothing has shown
    /// what became of `request`, for whose answer nobody waits any more. Without it
    /// a request whose caller leaves before its server ends counts for nothing.
    pub(super) fn look_later(&self, server: &Arc<Server>, request: Fingerprint) {
        let (Some(caller), Ok(runtime)) = (self.me.upgrade(), Handle::try_current()) else {
            return;
        };
        let server = server.clone();
        let announced = self.is_announced(&server);
        runtime.spawn(async move {
            let is_open = || caller.state().book.is_open(&server.life, request);
            tokio::time::sleep(LOOK_LATER.as_duration()).await;
            if is_open() {
                caller.look(&server, End::Broke, announced).await;
            }
            // A server that was back before that look seemed to live.
            tokio::time::sleep(LOOK_LAST.as_duration()).await;
            if is_open() && caller.is_replaced(&server) {
                caller.count_end(&server, announced);
            }
        });
    }

    /// Finds out whether `server` has ended, by what an attempt told of it. If so,
    /// its end counts against the requests that it was working on.
    pub(super) async fn look_after(&self, server: &Server, end: End) {
        let announced = self.is_announced(server);
        self.look(server, end, announced).await;
    }

    /// A server that was not `announced` any more when the attempt failed was leaving,
    /// and has ended as planned.
    async fn look(&self, server: &Server, end: End, announced: bool) {
        let has_ended = match end {
            End::Broke => {
                let peer = self.peer(server.address);
                self.is_replaced(server) || peer.is_gone(LOOK_WITHIN).await
            }
            End::Gone => true,
            End::Lives | End::Unknown => false,
        };
        if has_ended {
            self.count_end(server, announced);
        }
    }

    /// Counts the end of `server` against the requests that were given up there of late.
    fn count_end(&self, server: &Server, announced: bool) {
        let now = self.site.now();
        let requests = self.state().book.end_life(&server.life, now);
        if announced {
            self.crashes.note(&server.life, &requests);
        }
    }

    /// Whether `server` is announced and takes work.
    fn is_announced(&self, server: &Server) -> bool {
        let directory = self.site.directory();
        let known = directory.get(&server.life.id);
        known.is_some_and(|known| known.life == server.life && !known.draining)
    }

    /// Whether another life of the service is announced at the server's address.
    fn is_replaced(&self, server: &Server) -> bool {
        let now = self.site.server_at(server.address, &server.service);
        now.is_some_and(|now| now.life != server.life)
    }
}
