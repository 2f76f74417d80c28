//! One call under way at an entry.

use super::{
    command::{NewCall, Reply},
    server::ServerKey, //
};
use crate::{
    base::{Millis, Span, Tokens},
    policy::retry::Attempt,
    wire::Work, //
};

slotmap::new_key_type! {
    /// A call's place in the entry's arena.
    pub struct CallKey;

    /// A hand-over's place; its number is the slot on the link.
    pub struct AttemptKey;
}

/// One hand-over of a call to an agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    pub(super) call: CallKey,
    /// When the call was handed over.
    pub(super) sent: Millis,
    pub(super) server: ServerKey,
}

/// The length to which generations' times are scaled.
const REFERENCE_TOKENS: f64 = 32.0;

/// A call from its admission to its last reply.
pub(super) struct Call {
    pub(super) attempts: u8,
    pub(super) current: Option<AttemptKey>,
    /// Whether an attempt that is over may have run.
    pub(super) may_have_run: bool,
    pub(super) spec: NewCall,
    /// When to look for a server again; only while no attempt is under way.
    pub(super) next_try: Millis,
    pub(super) admitted_at: Millis,
    pub(super) spans: Vec<Span>,
    /// The tokens of a generation so far.
    pub(super) tokens: Tokens,
    /// Servers that were tried and failed.
    pub(super) tried: Vec<ServerKey>,
    /// Whether the caller has part of an answer that can't be gone on with.
    pub(super) visible: bool,
}

impl Call {
    pub(super) fn new(spec: NewCall, now: Millis) -> Self {
        let tokens = match &spec.work {
            Work::Call(_) => Tokens::default(),
            Work::Generate(generation) => generation.done.clone(),
        };
        Self {
            attempts: 0,
            current: None,
            may_have_run: false,
            spec,
            next_try: now,
            admitted_at: now,
            spans: Vec::new(),
            tokens,
            tried: Vec::new(),
            visible: false,
        }
    }

    /// The call as the retry policy sees it.
    pub(super) fn retry_input(&self) -> Attempt {
        let replayable = match &self.spec.work {
            Work::Call(head) => head.whole,
            Work::Generate(_) => true,
        };
        Attempt {
            attempts: self.attempts,
            deadline: self.spec.deadline,
            idempotent: self.spec.idempotent,
            replayable,
            visible: self.visible,
        }
    }

    /// Drops the tokens whose version was not confirmed, so that another
    /// engine goes on behind the last certain one.
    pub(super) fn drop_unconfirmed(&mut self) {
        let confirmed = self.spans.last().map_or(0, |span| span.to);
        if self.tokens.len() > confirmed {
            self.tokens.truncate(confirmed);
            let _ = self.reply(Reply::Tokens(confirmed, Tokens::default()));
        }
    }

    /// How long the attempt took, in milliseconds, made comparable between
    /// generations of different lengths.
    pub(super) fn scaled_duration(&self, attempt: OpenAttempt, now: Millis) -> f64 {
        let elapsed = now.since(attempt.sent).0 as f64;
        match &self.spec.work {
            Work::Call(_) => elapsed,
            Work::Generate(_) => elapsed * REFERENCE_TOKENS / f64::from(self.tokens.len().max(1)),
        }
    }

    /// The model asked for, if it is a generation.
    pub(super) fn model(&self) -> Option<&str> {
        match &self.spec.work {
            Work::Call(_) => None,
            Work::Generate(generation) => Some(&generation.model),
        }
    }

    /// Passes `reply` on; false when the caller is gone or broke its window.
    pub(super) fn reply(&self, reply: Reply) -> bool {
        self.spec.reply.try_send(reply).is_ok()
    }

    /// The work for the next attempt.
    pub(super) fn work(&self) -> Work {
        let mut work = self.spec.work.clone();
        if let Work::Generate(generation) = &mut work {
            generation.done = self.tokens.clone();
        }
        work
    }
}
