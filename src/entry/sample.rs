//! Produces one sample: a generation and its score.

use super::{
    command::{Command, MAX_QUEUED_REPLIES, NewCall, Reply},
    request_ids::RequestIds, //
};
use crate::{
    base::{
        Cause,
        Clock,
        Failure,
        Millis,
        Priority,
        RequestId,
        Span,
        Tokens,
        WeightVersion, //
    },
    policy::{admission::Limits, step::Sample},
    wire::{CallHead, FinishReason, Generation, MESSAGE_COST, Work}, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use serde::Deserialize;
use tokio::sync::mpsc;

/// Produces samples for one team.
#[derive(Clone)]
pub(super) struct Sampler {
    pub(super) clock: Clock,
    pub(super) request_ids: RequestIds,
    pub(super) pool: String,
    pub(super) scorer: String,
    pub(super) team: String,
    pub(super) traffic: mpsc::Sender<Command>,
}

/// The class of samples in accounts and log lines.
const ROLLOUT_CLASS: &str = "rollout";

/// Admission does not limit samples: their number is limited by the team's settings for
/// rollouts.
const NO_LIMITS: Limits = Limits {
    class: u32::MAX,
    team: u32::MAX,
};

/// How long one call for a score may take.
const SCORE_TIMEOUT: Millis = Millis(10_000);

/// The most calls for one score.
const MAX_SCORE_ATTEMPTS: u32 = 5;

/// The delay between two calls for a score.
const SCORE_RETRY_DELAY: Millis = Millis(200);

/// The answer of a scoring service.
#[derive(Deserialize)]
struct Score {
    score: f64,
}

/// A finished generation.
struct FinishedGeneration {
    finish: FinishReason,
    spans: Vec<Span>,
    tokens: Tokens,
}

impl Sampler {
    /// Generates with weights of at least `min_version`, then has the result scored.
    pub(super) async fn sample(
        &self,
        generation: Generation,
        min_version: WeightVersion,
        deadline: Millis,
    ) -> Result<Sample, Failure> {
        let request = self.request_ids.next();
        let prompt = generation.prompt.clone();
        let generated = self
            .generate(request, generation, min_version, deadline)
            .await?;
        let score = self.score(&prompt, &generated.tokens, request).await?;
        Ok(Sample {
            finish: generated.finish.word(),
            request,
            score,
            spans: generated.spans,
            tokens: generated.tokens,
        })
    }

    /// Runs the generation to its end.
    async fn generate(
        &self,
        request: RequestId,
        generation: Generation,
        min_version: WeightVersion,
        deadline: Millis,
    ) -> Result<FinishedGeneration, Failure> {
        let pool = self.pool.clone();
        let work = Work::Generate(generation);
        let mut call = self.new_call(request, pool, work, min_version, deadline);
        call.priority = Priority::Rollout;
        let mut replies = self.send(call).await?;
        let mut tokens = Tokens::default();
        let mut spans: Vec<Span> = Vec::new();
        while let Some(reply) = replies.recv().await {
            match reply {
                Reply::End(Some(finish)) => {
                    return Ok(FinishedGeneration {
                        finish,
                        spans,
                        tokens,
                    });
                }
                Reply::Failed(failure) => return Err(failure),
                Reply::Spans(more) => {
                    Span::extend(&mut spans, more);
                    self.return_credit(request, MESSAGE_COST).await;
                }
                Reply::Tokens(from, part) => {
                    tokens.splice(from, &part);
                    let cost = part.text().len() as u32 + 4 * part.len() + MESSAGE_COST;
                    self.return_credit(request, cost).await;
                }
                Reply::Credit(_) | Reply::Data(_) | Reply::End(None) | Reply::Head { .. } => {}
            }
        }
        Err(traffic_ended())
    }

    /// Gets the score from the team's scoring service. The request key is the sample's
    /// request id, so that the service can tell a repeat from a new sample.
    async fn score(
        &self,
        prompt: &str,
        tokens: &Tokens,
        sample: RequestId,
    ) -> Result<f64, Failure> {
        let body = serde_json::json!({ "prompt": prompt, "text": tokens.text() }).to_string();
        let mut attempts = 0;
        loop {
            attempts += 1;
            match self.score_once(body.clone(), sample).await {
                Ok(score) => return Ok(score),
                Err(failure) if attempts >= MAX_SCORE_ATTEMPTS => return Err(failure),
                Err(_) => tokio::time::sleep(SCORE_RETRY_DELAY.as_duration()).await,
            }
        }
    }

    /// Makes one call for the score.
    async fn score_once(&self, body: String, sample: RequestId) -> Result<f64, Failure> {
        let request = self.request_ids.next();
        let json = Bytes::from_static(b"application/json");
        let work = Work::Call(CallHead {
            body: Bytes::from(body),
            headers: vec![("content-type".to_owned(), json)],
            method: "POST".to_owned(),
            path: "/score".to_owned(),
            whole: true,
        });
        let deadline = self.clock.now() + SCORE_TIMEOUT;
        let pool = self.scorer.clone();
        let mut call = self.new_call(request, pool, work, WeightVersion(0), deadline);
        call.key = Some(sample.to_string());
        let mut replies = self.send(call).await?;
        let mut status_code = 0;
        let mut answer = BytesMut::new();
        while let Some(reply) = replies.recv().await {
            match reply {
                Reply::Data(bytes) => {
                    answer.extend_from_slice(&bytes);
                    let cost = bytes.len() as u32 + MESSAGE_COST;
                    self.return_credit(request, cost).await;
                }
                Reply::End(_) if status_code == 200 => {
                    let score: Result<Score, _> = serde_json::from_slice(&answer);
                    return score
                        .map(|score| score.score)
                        .map_err(|_| missing_score(status_code));
                }
                Reply::End(_) => return Err(missing_score(status_code)),
                Reply::Failed(failure) => return Err(failure),
                Reply::Head { status, .. } => status_code = status,
                Reply::Credit(_) | Reply::Spans(_) | Reply::Tokens(..) => {}
            }
        }
        Err(traffic_ended())
    }

    /// A call of the team. `send` sets its reply channel.
    fn new_call(
        &self,
        request: RequestId,
        pool: String,
        work: Work,
        min_version: WeightVersion,
        deadline: Millis,
    ) -> NewCall {
        NewCall {
            class: ROLLOUT_CLASS.to_owned(),
            deadline,
            idempotent: true,
            key: None,
            min_version,
            limits: NO_LIMITS,
            pool,
            priority: Priority::Background,
            reply: mpsc::channel(1).0,
            request,
            retry_share: 100,
            team: self.team.clone(),
            work,
        }
    }

    /// Returns credit for consumed replies.
    async fn return_credit(&self, request: RequestId, bytes: u32) {
        let _ = self.traffic.send(Command::Credit { request, bytes }).await;
    }

    /// Passes the call to the traffic duty; returns the replies to it.
    async fn send(&self, mut call: NewCall) -> Result<mpsc::Receiver<Reply>, Failure> {
        let (reply, replies) = mpsc::channel(MAX_QUEUED_REPLIES);
        call.reply = reply;
        match self.traffic.send(Command::Start(Box::new(call))).await {
            Ok(()) => Ok(replies),
            Err(_) => Err(traffic_ended()),
        }
    }
}

/// The failure of a call whose replies end before its answer is complete.
fn traffic_ended() -> Failure {
    Failure::may_have_run(Cause::Draining, "the traffic duty has ended")
}

/// The failure of a call for a score whose answer has none.
fn missing_score(status: u16) -> Failure {
    let detail = format!("the scoring service answered with status {status}, without a score");
    Failure::may_have_run(Cause::BackendBroken, detail)
}
