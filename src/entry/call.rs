//! One call in progress at an entry.

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
    /// Identifies a call in the traffic duty.
    pub struct CallKey;

    /// Identifies an attempt in the traffic duty; its number is the slot on the link.
    pub struct AttemptKey;
}

/// An attempt in progress: a call that was sent to an agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    pub(super) call: CallKey,
    /// When the call was sent.
    pub(super) sent: Millis,
    pub(super) server: ServerKey,
}

/// The number of tokens to which the durations of generations are scaled.
const REFERENCE_TOKENS: f64 = 32.0;

/// A call from its admission to its last reply.
pub(super) struct Call {
    /// The number of attempts so far.
    pub(super) attempts: u8,
    /// The attempt in progress.
    pub(super) current: Option<AttemptKey>,
    /// Whether an attempt that has ended may have run.
    pub(super) in_doubt: bool,
    pub(super) spec: NewCall,
    /// When to route the call again; counts only while no attempt is in progress.
    pub(super) next_try: Millis,
    pub(super) admitted_at: Millis,
    /// The weight versions of the confirmed tokens.
    pub(super) spans: Vec<Span>,
    /// The tokens of a generation so far.
    pub(super) tokens: Tokens,
    /// The servers on which an attempt failed.
    pub(super) tried: Vec<ServerKey>,
    /// Whether the caller has seen part of an answer that another attempt can't
    /// continue.
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
            in_doubt: false,
            spec,
            next_try: now,
            admitted_at: now,
            spans: Vec::new(),
            tokens,
            tried: Vec::new(),
            visible: false,
        }
    }

    /// The input of the retry policy.
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

    /// Drops the tokens whose weight version was not confirmed, so that the next engine
    /// continues after the last confirmed one.
    pub(super) fn drop_unconfirmed(&mut self) {
        let confirmed = self.spans.last().map_or(0, |span| span.to);
        if self.tokens.len() > confirmed {
            self.tokens.truncate(confirmed);
            let _ = self.reply(Reply::Tokens(confirmed, Tokens::default()));
        }
    }

    /// The duration of the attempt in ms. That of a generation is scaled to
    /// `REFERENCE_TOKENS`, so that generations of different lengths are comparable.
    pub(super) fn scaled_duration(&self, attempt: OpenAttempt, now: Millis) -> f64 {
        let elapsed = now.since(attempt.sent).0 as f64;
        match &self.spec.work {
            Work::Call(_) => elapsed,
            Work::Generate(_) => elapsed * REFERENCE_TOKENS / f64::from(self.tokens.len().max(1)),
        }
    }

    /// The model of a generation; `None` for a service call.
    pub(super) fn model(&self) -> Option<&str> {
        match &self.spec.work {
            Work::Call(_) => None,
            Work::Generate(generation) => Some(&generation.model),
        }
    }

    /// Queues `reply` for the caller; false if the caller has left or its queue is full.
    pub(super) fn reply(&self, reply: Reply) -> bool {
        self.spec.reply.try_send(reply).is_ok()
    }

    /// The work for the next attempt; a generation continues after the tokens so far.
    pub(super) fn work(&self) -> Work {
        let mut work = self.spec.work.clone();
        if let Work::Generate(generation) = &mut work {
            generation.done = self.tokens.clone();
        }
        work
    }
}
