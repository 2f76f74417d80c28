//! Looks whether servers have ended under calls, and holds calls in quarantine back.

use super::{
    Call,
    Caller,
    attempt::ServerStatus, //
};
use crate::{
    base::{Fingerprint, Millis},
    policy::quarantine::Verdict,
    routing::Server,
    view::Attempt, //
};
use std::sync::Arc;
use tokio::runtime::Handle;

/// When to look whether a server has ended under a request for which nobody waits
/// any more: longer than calls run as a rule, and sooner than a server is back, which
/// takes a second at least.
const FIRST_CHECK_DELAY: Millis = Millis(500);

/// When to look for the last time, after that: the announcement of a server's next life
/// is known by then.
const SECOND_CHECK_DELAY: Millis = Millis(1_500);

/// How long the look whether a server has ended may take: some round trips between
/// data centres. The call waits for it before it is sent on.
const CHECK_TIMEOUT: Millis = Millis(100);

/// Why a call in quarantine is refused.
pub(super) const QUARANTINE_REASON: &str = "quarantine";

/// When a call in quarantine is worth asking again: once people have looked at it.
pub(super) const RETRY_AFTER_QUARANTINE: Millis = Millis(60_000);

impl Caller {
    /// The trial of `call`, if it is in quarantine and this is the one to try it.
    pub(super) async fn take_trial(&self, call: &Call) -> Option<Attempt> {
        let request = call.fingerprint;
        self.crashes.wait_listed().await;
        match self.crashes.judge(request) {
            Verdict::Trial => self.crashes.claim_trial(request).await,
            _ => None,
        }
    }

    /// Whether `call` may not be sent: it is in quarantine, and this is not the one
    /// attempt of its `trial`.
    pub(super) fn is_barred(&self, call: &Call, trial: bool) -> bool {
        match self.crashes.judge(call.fingerprint) {
            Verdict::Clear | Verdict::Watched | Verdict::Suspect => false,
            Verdict::Trial => !trial,
            Verdict::Barred => true,
        }
    }

    /// Looks after a while whether `server` has ended, if by then nothing has shown
    /// what became of `request`, for whose answer nobody waits any more. Without it
    /// a request whose caller leaves before its server ends counts for nothing.
    pub(super) fn check_later(&self, server: &Arc<Server>, request: Fingerprint) {
        let (Some(caller), Ok(runtime)) = (self.weak_self.upgrade(), Handle::try_current()) else {
            return;
        };
        let server = server.clone();
        let was_in_service = self.is_in_service(&server);
        runtime.spawn(async move {
            let is_pending = || {
                caller
                    .state()
                    .servers
                    .is_pending(&server.incarnation, request)
            };
            tokio::time::sleep(FIRST_CHECK_DELAY.as_duration()).await;
            if is_pending() {
                caller
                    .check_status(&server, ServerStatus::ConnectionLost, was_in_service)
                    .await;
            }
            // A server that was back before that look seemed to live.
            tokio::time::sleep(SECOND_CHECK_DELAY.as_duration()).await;
            if is_pending() && caller.is_replaced(&server) {
                caller.record_crash(&server, was_in_service);
            }
        });
    }

    /// Finds out whether `server` has ended, by what an attempt told of it. If so,
    /// its end counts against the requests that it was working on.
    pub(super) async fn check_server(&self, server: &Server, status: ServerStatus) {
        let was_in_service = self.is_in_service(server);
        self.check_status(server, status, was_in_service).await;
    }

    /// A server that was not `announced` any more when the attempt failed was leaving,
    /// and has ended as planned.
    async fn check_status(&self, server: &Server, status: ServerStatus, was_in_service: bool) {
        let has_ended = match status {
            ServerStatus::ConnectionLost => {
                let peer = self.peer(server.address);
                self.is_replaced(server) || peer.refuses_connections(CHECK_TIMEOUT).await
            }
            ServerStatus::Gone => true,
            ServerStatus::Alive | ServerStatus::Unknown => false,
        };
        if has_ended {
            self.record_crash(server, was_in_service);
        }
    }

    /// Counts the end of `server` against the requests that were given up there of late.
    fn record_crash(&self, server: &Server, was_in_service: bool) {
        let now = self.site.now();
        let requests = self
            .state()
            .servers
            .end_incarnation(&server.incarnation, now);
        if was_in_service {
            self.crashes.note(&server.incarnation, &requests);
        }
    }

    /// Whether `server` is announced and takes work.
    fn is_in_service(&self, server: &Server) -> bool {
        let directory = self.site.directory();
        let known = directory.get(&server.incarnation.id);
        known.is_some_and(|known| known.incarnation == server.incarnation && !known.draining)
    }

    /// Whether another life of the service is announced at the server's address.
    fn is_replaced(&self, server: &Server) -> bool {
        let now = self.site.server_at(server.address, &server.service);
        now.is_some_and(|now| now.incarnation != server.incarnation)
    }
}
