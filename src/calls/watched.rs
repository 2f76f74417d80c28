//! An attempt whose answer is read while it arrives.

use super::{
    attempt::End,
    book::Sending,
    caller::{Caller, Sent}, //
};
use crate::{
    base::{Fingerprint, Millis},
    net::CallError, //
};
use std::sync::Arc;

/// Counts a request as under way at its server until its answer has come or is
/// given up, which is when this is dropped.
pub struct Watched {
    caller: Arc<Caller>,
    request: Fingerprint,
    sent: Sent,
}

impl Watched {
    /// `request` is about to be sent.
    pub(super) fn open(caller: &Arc<Caller>, request: Fingerprint, sent: Sent) -> Self {
        let caller = caller.clone();
        caller.state().book.ask(&sent.server.life, request);
        Self {
            caller,
            request,
            sent,
        }
    }

    /// The server answered, or said that it won't.
    pub fn replied(&self) {
        let (server, at) = (&self.sent.server.life, self.sent.at);
        self.caller.state().book.reply(server, self.request, at);
    }

    /// The whole answer came.
    pub fn whole(&self) {
        self.replied();
        self.caller.crashes.record_answer(self.request);
    }

    /// The request failed with `error`: finds out whether its server has ended.
    pub async fn failed(&self, error: &CallError) {
        let end = End::of(error);
        let now = self.caller.site.now();
        let sent = Sending {
            began: self.sent.at,
            verdict: error.verdict(),
        };
        self.lose(sent, now);
        self.caller.look_after(&self.sent.server, end).await;
    }

    fn lose(&self, sent: Sending, now: Millis) {
        let server = &self.sent.server.life;
        let mut state = self.caller.state();
        state.book.lose(server, self.request, sent, now);
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let now = self.caller.site.now();
        let server = &self.sent.server.life;
        let is_open = self.caller.state().book.leave(server, self.request, now);
        if is_open {
            self.caller.look_later(&self.sent.server, self.request);
        }
    }
}
