//! Tracks an attempt whose response body is read while it arrives.

use super::{
    attempt::ServerStatus,
    dispatcher::{Dispatcher, SentAttempt},
    server_records::LostRequest, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError, //
};
use std::sync::Arc;

/// A streamed attempt, recorded as pending at its server until it is answered or fails.
/// Dropping it before then abandons the request.
pub struct StreamAttempt {
    dispatcher: Arc<Dispatcher>,
    request: Fingerprint,
    sent: SentAttempt,
}

impl StreamAttempt {
    /// Records `request` as pending; it is about to be sent.
    pub(super) fn open(
        dispatcher: &Arc<Dispatcher>,
        request: Fingerprint,
        sent: SentAttempt,
    ) -> Self {
        let dispatcher = dispatcher.clone();
        dispatcher
            .state()
            .servers
            .add_pending(&sent.server.incarnation, request);
        Self {
            dispatcher,
            request,
            sent,
        }
    }

    /// Records that the server answered or refused the request.
    pub fn record_reply(&self) {
        let (server, sent_at) = (&self.sent.server.incarnation, self.sent.sent_at);
        self.dispatcher
            .state()
            .servers
            .record_reply(server, self.request, sent_at);
    }

    /// Records that the complete response arrived.
    pub fn complete(&self) {
        self.record_reply();
        self.dispatcher.crashes.record_answer(self.request);
    }

    /// Records that the request failed with `error`, and checks whether its server has ended.
    pub async fn fail(&self, error: &CallError) {
        let status = ServerStatus::from_error(error);
        let now = self.dispatcher.site.now();
        let lost = LostRequest {
            sent_at: self.sent.sent_at,
            server_status: status,
            verdict: error.verdict(),
        };
        self.record_loss(lost, now);
        self.dispatcher
            .check_server(&self.sent.server, status)
            .await;
    }

    /// Records that the request got no complete answer.
    fn record_loss(&self, lost: LostRequest, now: Millis) {
        let server = &self.sent.server.incarnation;
        let mut state = self.dispatcher.state();
        state.servers.record_loss(server, self.request, lost, now);
    }
}

impl Drop for StreamAttempt {
    fn drop(&mut self) {
        let now = self.dispatcher.site.now();
        let server = &self.sent.server.incarnation;
        let is_pending = self
            .dispatcher
            .state()
            .servers
            .abandon(server, self.request, now);
        if is_pending {
            self.dispatcher.check_later(&self.sent.server, self.request);
        }
    }
}
