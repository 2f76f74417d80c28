//! Runs one generation at the model engine, and labels its tokens with weight versions.

use super::{
    engine_access::{ConfirmedState, EngineAccess, FAILURE_THRESHOLD, version_between},
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

/// The time limit for the next token or event of the engine.
const TOKEN_TIMEOUT: Millis = Millis(10_000);

/// Tokens of a rollout are sent in batches of this size; those of other priorities one by
/// one.
const MAX_BATCHED_TOKENS: u32 = 64;

/// How many turns with the outcome `Uncertain` are repeated; the generation fails at the
/// next one.
const MAX_UNCERTAIN_TURNS: u32 = 3;

/// A running generation. It consists of turns: each is one request to the engine, and ends
/// when the generation finishes or has to be continued by another turn.
///
/// # Invariants
///
/// `spans` label tokens only if the model's state was the same before and after they were
/// generated.
pub(super) struct GenerationRun<'a> {
    /// The number of tokens whose version is known; those after them are unlabelled.
    labelled: u32,
    engine_access: &'a EngineAccess,
    generation: &'a Generation,
    io: &'a JobIo,
    priority: Priority,
    /// The number of tokens that the entry has, including those generated elsewhere.
    sent: u32,
    /// The versions of the tokens generated here.
    spans: Vec<Span>,
    /// All tokens of the generation so far, including those generated elsewhere.
    tokens: Tokens,
}

/// How a turn ended.
enum TurnOutcome {
    /// The engine was restarted or began to load the model during the turn: the unlabelled
    /// tokens are void.
    Uncertain,
    /// The generation is complete and all tokens are labelled.
    Finished(FinishReason),
    /// An order is about to change the weights. All tokens so far are labelled, and the
    /// next turn continues after them.
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

    /// Runs the generation to its end; returns the versions of the tokens generated here.
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

    /// Runs one turn: streams tokens to the entry, and labels them with each answer about
    /// the engine's state.
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
                    // The tokens received before the previous answer about the state
                    // were received before the poll asked again, so the new answer
                    // covers them.
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

    /// The version of the model, if its last confirmed state is the one in `before`; `None`
    /// if it has changed. Fails if the engine does not answer any more.
    fn confirmed_version(
        &self,
        watch: &mut watch::Receiver<ConfirmedState>,
        before: &Arc<EngineState>,
    ) -> Result<Option<WeightVersion>, Failure> {
        let confirmed = watch.borrow_and_update();
        if confirmed.failures >= FAILURE_THRESHOLD {
            let detail = "the engine stopped answering";
            return Err(Failure::may_have_run(Cause::BackendBroken, detail));
        }
        Ok(version_between(
            before,
            &confirmed.state,
            &self.generation.model,
        ))
    }

    /// Asks the engine for its state. If the model's state is still the one in `before`,
    /// labels all tokens and returns true.
    async fn confirm_and_label(&mut self, before: &EngineState) -> Result<bool, Failure> {
        let after = self.engine_access.refresh_state().await?;
        let Some(version) = version_between(before, &after, &self.generation.model) else {
            return Ok(false);
        };
        self.label_until(self.tokens.len(), version).await;
        Ok(true)
    }

    /// Sends the end of the answer; returns the versions of the tokens generated here.
    async fn finish(self, finish: FinishReason) -> Vec<Span> {
        let slot = self.io.slot;
        let finish = Some(finish);
        self.io.send_last(FromAgent::End { slot, finish }).await;
        self.spans
    }

    /// Sends the tokens that the entry does not have yet.
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

    /// Labels the unlabelled tokens below index `to` with `version`.
    async fn label_until(&mut self, to: u32, version: WeightVersion) {
        self.flush().await;
        if to <= self.labelled {
            return;
        }
        // INVARIANT: the caller saw equal states before and after these tokens.
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

    /// Adds a token, and sends it at once or with its batch.
    async fn push_token(&mut self, text: &str) {
        self.tokens.push(text);
        let waiting = self.tokens.len() - self.sent;
        if self.priority != Priority::Rollout || waiting >= MAX_BATCHED_TOKENS {
            self.flush().await;
        }
    }

    /// Changes the verdict `NotRun` of a failure to `MayHaveRun` if tokens generated here
    /// have been labelled, because the request as a whole has then run.
    fn with_true_verdict(&self, mut failure: Failure) -> Failure {
        if !self.spans.is_empty() && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }

    /// The failure of a generation whose weight version is not certain.
    fn uncertain_failure(&self) -> Failure {
        let detail = format!("the weights of `{}` are in doubt", self.generation.model);
        self.with_true_verdict(Failure::not_run(Cause::VersionUncertain, detail))
    }

    /// Drops the unlabelled tokens, here and at the entry.
    async fn void_unlabelled(&mut self) {
        let voided = self.tokens.len() - self.labelled;
        if voided == 0 {
            return;
        }
        metrics::counter!("redwing_tokens_voided_total").increment(u64::from(voided));
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

/// Waits for the next event of the engine, within [`TOKEN_TIMEOUT`].
async fn next_event(stream: &mut TokenStream) -> Result<EngineEvent, Failure> {
    match timeout(TOKEN_TIMEOUT.as_duration(), stream.next()).await {
        Ok(event) => event,
        Err(_) => {
            let detail = "the engine gave no token for too long";
            Err(Failure::may_have_run(Cause::BackendBroken, detail))
        }
    }
}
