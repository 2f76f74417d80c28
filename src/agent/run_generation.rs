//! One generation at the model engine, with the versions that made its tokens.

use super::{
    gate::{Confirmed, FAILURES_OUT, Gate, enclosed},
    job_io::JobIo, //
};
use crate::{
    base::{Cause, Failure, Millis, Priority, Span, Tokens, Verdict, WeightVersion},
    engine::{Completion, EngineEvent, TokenStream},
    wire::{EngineState, FinishReason, FromAgent, Generation}, //
};
use std::sync::Arc;
use tokio::{
    sync::watch,
    time::timeout, //
};

/// A generation whose engine gives no token for this long is broken off.
const STALL: Millis = Millis(10_000);

/// Tokens of a rollout sent in one message.
const BATCH: u32 = 64;

/// Turns that may end in doubt before the generation is given up here.
const DOUBTS: u32 = 3;

/// A generation under way.
///
/// # Invariants
///
/// `spans` label tokens only when two equal states of the engine enclose the
/// time in which they were made; `certain` is the end of what is labelled.
pub(super) struct Run<'a> {
    certain: u32,
    gate: &'a Gate,
    generation: &'a Generation,
    io: &'a JobIo,
    priority: Priority,
    /// Tokens that the entry has been sent.
    sent: u32,
    spans: Vec<Span>,
    tokens: Tokens,
}

/// How one turn at the engine ended.
enum Turn {
    /// The state changed under the tokens: those in doubt are void.
    Doubt,
    Finished(FinishReason),
    /// The weights are about to change: all tokens so far are labelled.
    Paused,
}

impl<'a> Run<'a> {
    pub(super) fn new(
        gate: &'a Gate,
        generation: &'a Generation,
        priority: Priority,
        io: &'a JobIo,
    ) -> Self {
        let done = generation.done.len();
        Self {
            certain: done,
            gate,
            generation,
            io,
            priority,
            sent: done,
            spans: Vec::new(),
            tokens: generation.done.clone(),
        }
    }

    /// Runs to the end; returns the spans of the tokens made here.
    pub(super) async fn run(mut self) -> Result<Vec<Span>, Failure> {
        let mut doubts = 0;
        loop {
            let lock = self.gate.lock(&self.generation.model);
            let guard = lock.read().await;
            let turn = self.turn().await;
            drop(guard);
            match turn {
                Ok(Turn::Doubt) if doubts < DOUBTS => {
                    doubts += 1;
                    self.void().await;
                }
                Ok(Turn::Doubt) => {
                    self.void().await;
                    return Err(self.uncertain());
                }
                Ok(Turn::Finished(finish)) => return Ok(self.finish(finish).await),
                Ok(Turn::Paused) => {}
                Err(failure) => {
                    self.void().await;
                    return Err(self.truthful(failure));
                }
            }
        }
    }

    async fn turn(&mut self) -> Result<Turn, Failure> {
        let model = &self.generation.model;
        let before = self.gate.state();
        if before.version(model).is_none() {
            return Err(self.uncertain());
        }
        let mut pausing = self.gate.pausing.subscribe();
        let mut watch = self.gate.watch();
        watch.mark_unchanged();
        let priority = Priority::Live as u8 - self.priority as u8;
        let completion = Completion::from_generation(self.generation, &self.tokens, priority);
        let mut stream = self.gate.engine.generate(&completion).await?;
        let mut seen = self.tokens.len();

        loop {
            tokio::select! {
                event = next(&mut stream) => match event? {
                    EngineEvent::Finished(finish) => {
                        return Ok(match self.enclose(&before).await? {
                            true => Turn::Finished(finish),
                            false => Turn::Doubt,
                        });
                    }
                    EngineEvent::Token(text) => self.take(&text).await,
                },
                Ok(()) = watch.changed() => {
                    let Some(version) = self.checked(&mut watch, &before)? else {
                        return Ok(Turn::Doubt);
                    };
                    // What had come before the last answer came before this
                    // question was asked, so this answer covers it.
                    self.label(seen, version).await;
                    seen = self.tokens.len();
                }
                Ok(_) = pausing.wait_for(|paused| paused.as_ref() == Some(model)) => {
                    return Ok(match self.enclose(&before).await? {
                        true => Turn::Paused,
                        false => Turn::Doubt,
                    });
                }
            }
        }
    }

    /// The version, if the engine's latest answer still equals `before`.
    fn checked(
        &self,
        watch: &mut watch::Receiver<Confirmed>,
        before: &Arc<EngineState>,
    ) -> Result<Option<WeightVersion>, Failure> {
        let confirmed = watch.borrow_and_update();
        if confirmed.failures >= FAILURES_OUT {
            let detail = "the engine stopped answering";
            return Err(Failure::may_have_run(Cause::BackendBroken, detail));
        }
        Ok(enclosed(before, &confirmed.state, &self.generation.model))
    }

    /// Asks the engine once more and labels all tokens if nothing changed.
    async fn enclose(&mut self, before: &EngineState) -> Result<bool, Failure> {
        let after = self.gate.confirm().await?;
        let Some(version) = enclosed(before, &after, &self.generation.model) else {
            return Ok(false);
        };
        self.label(self.tokens.len(), version).await;
        Ok(true)
    }

    async fn finish(self, finish: FinishReason) -> Vec<Span> {
        let slot = self.io.slot;
        let finish = Some(finish);
        self.io.finish(FromAgent::End { slot, finish }).await;
        self.spans
    }

    async fn flush(&mut self) {
        let tokens: Tokens = self.tokens.iter().skip(self.sent as usize).collect();
        if tokens.is_empty() {
            return;
        }
        let from = self.sent;
        self.sent = self.tokens.len();
        let slot = self.io.slot;
        let cost = tokens.text().len() + 4 * tokens.len() as usize;
        let message = FromAgent::Tokens { slot, from, tokens };
        self.io.send(cost, message).await;
    }

    async fn label(&mut self, to: u32, version: WeightVersion) {
        self.flush().await;
        if to <= self.certain {
            return;
        }
        // INVARIANT: the caller holds two equal states around these tokens.
        let span = Span {
            from: self.certain,
            to,
            version,
        };
        Span::push(&mut self.spans, span);
        self.certain = to;
        let slot = self.io.slot;
        let spans = vec![span];
        self.io.send(0, FromAgent::Spans { slot, spans }).await;
    }

    async fn take(&mut self, text: &str) {
        self.tokens.push(text);
        let waiting = self.tokens.len() - self.sent;
        if self.priority != Priority::Rollout || waiting >= BATCH {
            self.flush().await;
        }
    }

    /// A failure as it stands for the whole request: once tokens were made
    /// here, it has run.
    fn truthful(&self, mut failure: Failure) -> Failure {
        if !self.spans.is_empty() && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }

    fn uncertain(&self) -> Failure {
        let detail = format!("the weights of `{}` are in doubt", self.generation.model);
        self.truthful(Failure::not_run(Cause::VersionUncertain, detail))
    }

    /// Drops the tokens whose version is in doubt, here and at the entry.
    async fn void(&mut self) {
        let lost = self.tokens.len() - self.certain;
        if lost == 0 {
            return;
        }
        metrics::counter!("redwing_tokens_voided_total").increment(u64::from(lost));
        self.tokens.truncate(self.certain);
        if self.sent > self.certain {
            self.sent = self.certain;
            let (slot, from) = (self.io.slot, self.certain);
            let tokens = Tokens::default();
            let message = FromAgent::Tokens { slot, from, tokens };
            self.io.send(0, message).await;
        }
    }
}

async fn next(stream: &mut TokenStream) -> Result<EngineEvent, Failure> {
    match timeout(STALL.as_duration(), stream.next()).await {
        Ok(event) => event,
        Err(_) => {
            let detail = "the engine gave no token for too long";
            Err(Failure::may_have_run(Cause::BackendBroken, detail))
        }
    }
}
