//! One generation at the model engine, with the versions that made its tokens.

use super::{
    engine_access::{ConfirmedState, EngineAccess, FAILURE_LIMIT, version_between},
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
const TOKEN_TIMEOUT: Millis = Millis(10_000);

/// Tokens of a rollout sent in one message.
const MAX_BATCHED_TOKENS: u32 = 64;

/// Turns that may end in doubt before the generation is given up here.
const MAX_UNCERTAIN_TURNS: u32 = 3;

/// A generation under way.
///
/// # Invariants
///
/// `spans` label tokens only when two equal states of the engine enclose the
/// time in which they were made; `labelled` is the end of what is labelled.
pub(super) struct GenerationRun<'a> {
    labelled: u32,
    engine_access: &'a EngineAccess,
    generation: &'a Generation,
    io: &'a JobIo,
    priority: Priority,
    /// Tokens that the entry has been sent.
    sent: u32,
    spans: Vec<Span>,
    tokens: Tokens,
}

/// How one turn at the engine ended.
enum TurnOutcome {
    /// The state changed under the tokens: those in doubt are void.
    Uncertain,
    Finished(FinishReason),
    /// The weights are about to change: all tokens so far are labelled.
    Paused,
}

impl<'a> GenerationRun<'a> {
    pub(super) fn new(
        engine_access: &'a EngineAccess,
        generation: &'a Generation,
        priority: Priority,
        io: &'a JobIo,
    ) -> Self {
        let done = generation.done.len();
        Self {
            labelled: done,
            engine_access,
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
        let mut uncertain_turns = 0;
        loop {
            let lock = self.engine_access.model_lock(&self.generation.model);
            let guard = lock.read().await;
            let outcome = self.run_turn().await;
            drop(guard);
            match outcome {
                Ok(TurnOutcome::Uncertain) if uncertain_turns < MAX_UNCERTAIN_TURNS => {
                    uncertain_turns += 1;
                    self.void_unlabelled().await;
                }
                Ok(TurnOutcome::Uncertain) => {
                    self.void_unlabelled().await;
                    return Err(self.uncertain_failure());
                }
                Ok(TurnOutcome::Finished(finish)) => return Ok(self.finish(finish).await),
                Ok(TurnOutcome::Paused) => {}
                Err(failure) => {
                    self.void_unlabelled().await;
                    return Err(self.with_true_verdict(failure));
                }
            }
        }
    }

    async fn run_turn(&mut self) -> Result<TurnOutcome, Failure> {
        let model = &self.generation.model;
        let before = self.engine_access.state();
        if before.version(model).is_none() {
            return Err(self.uncertain_failure());
        }
        let mut paused_model = self.engine_access.paused_model.subscribe();
        let mut watch = self.engine_access.subscribe();
        watch.mark_unchanged();
        let priority = Priority::Live as u8 - self.priority as u8;
        let completion = Completion::from_generation(self.generation, &self.tokens, priority);
        let mut stream = self.engine_access.client.generate(&completion).await?;
        let mut received = self.tokens.len();

        loop {
            tokio::select! {
                event = next_event(&mut stream) => match event? {
                    EngineEvent::Finished(finish) => {
                        return Ok(match self.confirm_and_label(&before).await? {
                            true => TurnOutcome::Finished(finish),
                            false => TurnOutcome::Uncertain,
                        });
                    }
                    EngineEvent::Token(text) => self.push_token(&text).await,
                },
                Ok(()) = watch.changed() => {
                    let Some(version) = self.confirmed_version(&mut watch, &before)? else {
                        return Ok(TurnOutcome::Uncertain);
                    };
                    // What had come before the last answer came before this
                    // question was asked, so this answer covers it.
                    self.label_until(received, version).await;
                    received = self.tokens.len();
                }
                Ok(_) = paused_model.wait_for(|paused| paused.as_ref() == Some(model)) => {
                    return Ok(match self.confirm_and_label(&before).await? {
                        true => TurnOutcome::Paused,
                        false => TurnOutcome::Uncertain,
                    });
                }
            }
        }
    }

    /// The version, if the engine's latest answer still equals `before`.
    fn confirmed_version(
        &self,
        watch: &mut watch::Receiver<ConfirmedState>,
        before: &Arc<EngineState>,
    ) -> Result<Option<WeightVersion>, Failure> {
        let confirmed = watch.borrow_and_update();
        if confirmed.failures >= FAILURE_LIMIT {
            let detail = "the engine stopped answering";
            return Err(Failure::may_have_run(Cause::BackendBroken, detail));
        }
        Ok(version_between(
            before,
            &confirmed.state,
            &self.generation.model,
        ))
    }

    /// Asks the engine once more and labels all tokens if nothing changed.
    async fn confirm_and_label(&mut self, before: &EngineState) -> Result<bool, Failure> {
        let after = self.engine_access.refresh_state().await?;
        let Some(version) = version_between(before, &after, &self.generation.model) else {
            return Ok(false);
        };
        self.label_until(self.tokens.len(), version).await;
        Ok(true)
    }

    async fn finish(self, finish: FinishReason) -> Vec<Span> {
        let slot = self.io.slot;
        let finish = Some(finish);
        self.io.send_last(FromAgent::End { slot, finish }).await;
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

    async fn label_until(&mut self, to: u32, version: WeightVersion) {
        self.flush().await;
        if to <= self.labelled {
            return;
        }
        // INVARIANT: the caller holds two equal states around these tokens.
        let span = Span {
            from: self.labelled,
            to,
            version,
        };
        Span::push(&mut self.spans, span);
        self.labelled = to;
        let slot = self.io.slot;
        let spans = vec![span];
        self.io.send(0, FromAgent::Spans { slot, spans }).await;
    }

    async fn push_token(&mut self, text: &str) {
        self.tokens.push(text);
        let waiting = self.tokens.len() - self.sent;
        if self.priority != Priority::Rollout || waiting >= MAX_BATCHED_TOKENS {
            self.flush().await;
        }
    }

    /// A failure as it stands for the whole request: once tokens were made
    /// here, it has run.
    fn with_true_verdict(&self, mut failure: Failure) -> Failure {
        if !self.spans.is_empty() && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }

    fn uncertain_failure(&self) -> Failure {
        let detail = format!("the weights of `{}` are in doubt", self.generation.model);
        self.with_true_verdict(Failure::not_run(Cause::VersionUncertain, detail))
    }

    /// Drops the tokens whose version is in doubt, here and at the entry.
    async fn void_unlabelled(&mut self) {
        let lost = self.tokens.len() - self.labelled;
        if lost == 0 {
            return;
        }
        metrics::counter!("redwing_tokens_voided_total").increment(u64::from(lost));
        self.tokens.truncate(self.labelled);
        if self.sent > self.labelled {
            self.sent = self.labelled;
            let (slot, from) = (self.io.slot, self.labelled);
            let tokens = Tokens::default();
            let message = FromAgent::Tokens { slot, from, tokens };
            self.io.send(0, message).await;
        }
    }
}

async fn next_event(stream: &mut TokenStream) -> Result<EngineEvent, Failure> {
    match timeout(TOKEN_TIMEOUT.as_duration(), stream.next()).await {
        Ok(event) => event,
        Err(_) => {
            let detail = "the engine gave no token for too long";
            Err(Failure::may_have_run(Cause::BackendBroken, detail))
        }
    }
}
