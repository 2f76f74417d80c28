//! The completion and chat requests that callers send to engine pools.
//!
//! Supported members are `model`, `prompt` or `messages`, `max_tokens`, `temperature`,
//! `seed` and `stream`. A request with any other member is refused.

use super::reply_body::{
    Body,
    Replies,
    body_error, //
};
use crate::{
    base::{Cause, Failure, RequestId, Span, Tokens},
    duty::problem_details,
    engine::{Choice, Delta, Message},
    wire::{FinishReason, Generation, Sampling}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::body::Frame;
use serde::{
    Deserialize,
    Serialize, //
};

use super::command::Reply;

/// The API endpoint that a caller uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Endpoint {
    Chat,
    Completion,
}

/// The body of a request. Serde puts the name of this type into error texts, which are
/// sent to callers, so the name can't change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    messages: Option<Vec<Message>>,
    model: String,
    prompt: Option<String>,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_temperature")]
    temperature: f32,
}

/// A parsed request to an engine pool.
pub(super) struct ChatCall {
    pub(super) generation: Generation,
    pub(super) endpoint: Endpoint,
    pub(super) stream: bool,
}

/// Redwing's extension of the response: which weight versions generated the tokens.
#[derive(Serialize)]
struct Provenance<'a> {
    request_id: String,
    weight_versions: &'a [Span],
}

/// The body of a response, or one event of a streamed response.
#[derive(Serialize)]
struct CompletionResponse<'a> {
    choices: [Choice; 1],
    id: String,
    model: &'a str,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    redwing: Option<Provenance<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

fn default_temperature() -> f32 {
    1.0
}

fn default_tokens() -> u32 {
    256
}

impl Endpoint {
    /// The endpoint at `path`.
    pub(super) fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Completion),
            _ => None,
        }
    }

    /// The value of the member `object`.
    fn object(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Completion, _) => "text_completion",
        }
    }

    /// The one choice in a response or event, with `text` as its content.
    fn choice(self, text: String, stream: bool, finish: Option<FinishReason>) -> Choice {
        let finish_reason = finish.map(|finish| finish.word().to_owned());
        let empty = Choice {
            finish_reason,
            ..Choice::default()
        };
        match (self, stream) {
            (Self::Chat, false) => Choice {
                message: Some(Message {
                    content: text,
                    role: "assistant".to_owned(),
                }),
                ..empty
            },
            (Self::Chat, true) => Choice {
                delta: Some(Delta {
                    content: Some(text),
                    role: None,
                }),
                ..empty
            },
            (Self::Completion, _) => Choice {
                text: Some(text),
                ..empty
            },
        }
    }
}

impl ChatCall {
    /// Parses the body of a request to `endpoint`.
    pub(super) fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Failure> {
        let refuse = |detail: String| Failure::not_run(Cause::BadRequest, detail);
        let request: Asked =
            serde_json::from_slice(body).map_err(|error| refuse(error.to_string()))?;
        let prompt = match (endpoint, request.messages, request.prompt) {
            (Endpoint::Chat, Some(messages), None) => chat_prompt(&messages),
            (Endpoint::Completion, None, Some(prompt)) => prompt,
            (Endpoint::Chat, _, _) => {
                return Err(refuse("expected `messages`, no `prompt`".into()));
            }
            (Endpoint::Completion, _, _) => {
                return Err(refuse("expected `prompt`, no `messages`".into()));
            }
        };
        let limit = crate::policy::step_spec::MAX_TOKENS;
        if !(1..=limit).contains(&request.max_tokens) {
            return Err(refuse(format!("`max_tokens` is not within 1 to {limit}")));
        }
        Ok(Self {
            generation: Generation {
                done: Tokens::default(),
                model: request.model,
                prompt,
                sampling: Sampling {
                    max_tokens: request.max_tokens,
                    seed: request.seed,
                    temperature: request.temperature,
                },
            },
            endpoint,
            stream: request.stream,
        })
    }

    /// Waits for the whole generation; returns the body of the response.
    pub(super) async fn full_response(&self, mut replies: Replies) -> Result<Bytes, Failure> {
        let mut tokens = Tokens::default();
        let mut spans: Vec<Span> = Vec::new();
        while let Some(reply) = replies.next().await {
            match reply {
                Reply::End(finish) => {
                    let text = tokens.text().to_owned();
                    let answer = CompletionResponse {
                        choices: [self.endpoint.choice(text, false, finish)],
                        id: replies.request.to_string(),
                        model: &self.generation.model,
                        object: self.endpoint.object(false),
                        redwing: Some(provenance(replies.request, &spans)),
                        usage: Some(Usage {
                            completion_tokens: tokens.len(),
                        }),
                    };
                    replies.mark_delivered();
                    return Ok(Bytes::from(encode(&answer)));
                }
                Reply::Failed(failure) => return Err(failure),
                Reply::Spans(more) => {
                    replies.return_credit(0).await;
                    Span::extend(&mut spans, more);
                }
                Reply::Tokens(from, part) => {
                    replies.return_credit(flow_cost(&part)).await;
                    tokens.splice(from, &part);
                }
                Reply::Credit(_) | Reply::Data(_) | Reply::Head { .. } => {}
            }
        }
        Err(Failure::may_have_run(Cause::LinkLost, "the answer was cut"))
    }

    /// The response as server-sent events; `first` is the first reply to the call.
    pub(super) fn event_stream(self, first: Reply, replies: Replies) -> Body {
        let stream = ResponseStream {
            call: self,
            ended: None,
            first: Some(first),
            replies,
            sent_tokens: 0,
            spans: Vec::new(),
        };
        let frames = futures_util::stream::unfold(Some(stream), |state| async {
            let mut stream = state?;
            match stream.next().await {
                StreamItem::Error(detail) => Some((Err(body_error(&detail)), None)),
                StreamItem::End => None,
                StreamItem::Events(text) => {
                    Some((Ok(Frame::data(Bytes::from(text))), Some(stream)))
                }
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

/// A streamed response in progress.
struct ResponseStream {
    call: ChatCall,
    /// `None` until the last event; then whether the answer is complete.
    ended: Option<bool>,
    first: Option<Reply>,
    replies: Replies,
    /// The number of tokens sent to the caller.
    sent_tokens: u32,
    spans: Vec<Span>,
}

/// The next item of a streamed response.
enum StreamItem {
    /// The response breaks off, for this reason.
    Error(String),
    End,
    Events(String),
}

impl ResponseStream {
    /// Waits for the next item.
    async fn next(&mut self) -> StreamItem {
        match self.ended {
            Some(true) => return StreamItem::End,
            Some(false) => return StreamItem::Error("the generation failed".to_owned()),
            None => {}
        }
        loop {
            let reply = match self.first.take() {
                Some(first) => Some(first),
                None => self.replies.next().await,
            };
            match reply {
                Some(Reply::End(finish)) => {
                    self.ended = Some(true);
                    let last = self.event(String::new(), finish.or(Some(FinishReason::Stop)));
                    self.replies.mark_delivered();
                    return StreamItem::Events(format!("{last}data: [DONE]\n\n"));
                }
                Some(Reply::Failed(failure)) => {
                    self.ended = Some(false);
                    let problem = problem_details(&failure, Some(self.replies.request));
                    return StreamItem::Events(format!("event: error\ndata: {problem}\n\n"));
                }
                Some(Reply::Spans(more)) => {
                    self.replies.return_credit(0).await;
                    Span::extend(&mut self.spans, more);
                }
                Some(Reply::Tokens(from, part)) => {
                    self.replies.return_credit(flow_cost(&part)).await;
                    // Tokens that were sent can't be revoked, so the stream is broken off
                    // rather than continued with another text.
                    if from < self.sent_tokens {
                        return StreamItem::Error("tokens shown could not be confirmed".to_owned());
                    }
                    if part.is_empty() {
                        continue;
                    }
                    self.sent_tokens = from + part.len();
                    return StreamItem::Events(self.event(part.text().to_owned(), None));
                }
                Some(Reply::Credit(_) | Reply::Data(_) | Reply::Head { .. }) => {}
                None => return StreamItem::Error("the answer was cut".to_owned()),
            }
        }
    }

    /// One event, with further text or the finish reason.
    fn event(&self, text: String, finish: Option<FinishReason>) -> String {
        let call = &self.call;
        let provenance = finish.map(|_| provenance(self.replies.request, &self.spans));
        let answer = CompletionResponse {
            choices: [call.endpoint.choice(text, true, finish)],
            id: self.replies.request.to_string(),
            model: &call.generation.model,
            object: call.endpoint.object(true),
            redwing: provenance,
            usage: None,
        };
        format!("data: {}\n\n", encode(&answer))
    }
}

/// The prompt for the messages: one line each, with the role.
fn chat_prompt(messages: &[Message]) -> String {
    let lines: Vec<String> = messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content))
        .collect();
    lines.concat()
}

fn encode(answer: &CompletionResponse<'_>) -> String {
    serde_json::to_string(answer).unwrap_or_default()
}

fn provenance(request: RequestId, spans: &[Span]) -> Provenance<'_> {
    Provenance {
        request_id: request.to_string(),
        weight_versions: spans,
    }
}

/// The bytes that the tokens take of the flow-control window, without `MESSAGE_COST`.
fn flow_cost(part: &Tokens) -> usize {
    part.text().len() + 4 * part.len() as usize
}
