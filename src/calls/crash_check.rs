//! Finds out whether a server process has ended while it ran a request, counts that as a
//! crash against the request, and refuses requests that are in quarantine.

use super::{
    Call,
    Dispatcher,
    attempt::ServerStatus, //
};
use crate::{
    base::{Fingerprint, Millis},
    policy::quarantine::QuarantineState,
    routing::Server,
    view::ClaimedTrial, //
};
use std::sync::Arc;
use tokio::runtime::Handle;

/// The delay before the first check whether a server has ended while it ran an abandoned
/// request. Longer than calls usually run, and shorter than a server's restart, which takes
/// at least 1 s.
const FIRST_CHECK_DELAY: Millis = Millis(500);

/// The delay between the first check and the second and last one. By then the announcement
/// of a restarted server's next incarnation has arrived.
const SECOND_CHECK_DELAY: Millis = Millis(1_500);

/// How long a check whether a server has ended may take: a few round trips between data
/// centres. The call waits for it before its next attempt.
const CHECK_TIMEOUT: Millis = Millis(100);

/// The reason for refusing a call whose request is in quarantine.
pub(super) const QUARANTINE_REASON: &str = "quarantine";

/// The retry delay for a request in quarantine: long, as a person has to look at it first.
pub(super) const RETRY_AFTER_QUARANTINE: Millis = Millis(60_000);

impl Dispatcher {
    /// Claims the trial of `call`'s request, if the request is in quarantine, a trial is due
    /// and no other instance has claimed it.
    pub(super) async fn claim_trial(&self, call: &Call) -> Option<ClaimedTrial> {
        let request = call.fingerprint;
        self.crashes.wait_listed().await;
        match self.crashes.quarantine_state(request) {
            QuarantineState::Trial => self.crashes.claim_trial(request).await,
            _ => None,
        }
    }

    /// Whether quarantine forbids this attempt of `call`; `trial` says whether the attempt is
    /// the one that a claimed trial allows.
    pub(super) fn is_barred(&self, call: &Call, trial: bool) -> bool {
        match self.crashes.quarantine_state(call.fingerprint) {
            QuarantineState::Clear => false,
            QuarantineState::Trial => !trial,
            QuarantineState::Barred => true,
        }
    }

    /// Schedules two checks whether `server` has ended while it ran `request`, whose answer
    /// nothing waits for any more. A check is skipped if the server can't be running the
    /// request by then. Without the checks, a crash is not counted against a request whose
    /// caller disconnected before the server ended.
    pub(super) fn check_later(&self, server: &Arc<Server>, request: Fingerprint) {
        let (Some(dispatcher), Ok(runtime)) = (self.weak_self.upgrade(), Handle::try_current())
        else {
            return;
        };
        let server = server.clone();
        let was_in_service = self.is_in_service(&server);
        runtime.spawn(async move {
            let is_pending = || {
                dispatcher
                    .state()
                    .servers
                    .is_pending(&server.incarnation, request)
            };
            tokio::time::sleep(FIRST_CHECK_DELAY.as_duration()).await;
            if is_pending() {
                dispatcher
                    .check_status(&server, ServerStatus::ConnectionLost, was_in_service)
                    .await;
            }
            // The first check takes a server that has already restarted for alive.
            tokio::time::sleep(SECOND_CHECK_DELAY.as_duration()).await;
            if is_pending() && dispatcher.is_replaced(&server) {
                dispatcher.record_crash(&server, was_in_service);
            }
        });
    }

    /// Checks whether `server` has ended after an attempt that showed `status`. If it has, the
    /// crash counts against the requests that the server was running.
    pub(super) async fn check_server(&self, server: &Server, status: ServerStatus) {
        let was_in_service = self.is_in_service(server);
        self.check_status(server, status, was_in_service).await;
    }

    /// As [`Dispatcher::check_server`]. A server that was not in service any more when the attempt
    /// failed has ended as planned, which is no crash.
    async fn check_status(&self, server: &Server, status: ServerStatus, was_in_service: bool) {
        let asked = self.site.now();
        let has_ended = match status {
            ServerStatus::ConnectionLost | ServerStatus::ConnectionReset => {
                let peer = self.peer(server.address);
                self.is_replaced(server) || peer.refuses_connections(CHECK_TIMEOUT).await
            }
            ServerStatus::Gone => true,
            ServerStatus::Alive | ServerStatus::Unknown => false,
        };
        if status != ServerStatus::Alive {
            let taken = self.site.now().since(asked).0;
            let server = &server.incarnation.id;
            tracing::info!(
                server,
                ?status,
                has_ended,
                was_in_service,
                taken,
                "checked whether a server has ended"
            );
        }
        if has_ended {
            self.record_crash(server, was_in_service);
        }
    }

    /// Records that `server` has ended. Unless the end was planned, it counts as a crash against
    /// the requests recently abandoned there.
    fn record_crash(&self, server: &Server, was_in_service: bool) {
        let now = self.site.now();
        let requests = self
            .state()
            .servers
            .end_incarnation(&server.incarnation, now);
        if was_in_service {
            self.crashes.record_crash(&server.incarnation, &requests);
        }
    }

    /// Whether this incarnation of `server` is announced and not draining.
    pub(super) fn is_in_service(&self, server: &Server) -> bool {
        let directory = self.site.directory();
        let known = directory.get(&server.incarnation.id);
        known.is_some_and(|known| known.incarnation == server.incarnation && !known.draining)
    }

    /// Whether another incarnation of the same service is announced at the server's address.
    fn is_replaced(&self, server: &Server) -> bool {
        let current = self.site.server_at(server.address, &server.service);
        current.is_some_and(|current| current.incarnation != server.incarnation)
    }
}
