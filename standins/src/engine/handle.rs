//! The stand-in engine's handle and its HTTP interface.

use super::{
    Faults,
    Tuning,
    batch,
    cache::Cache,
    state::{Sequence, State, StreamItem}, //
};
use crate::{
    server::{Server, read_json},
    truth, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::{Frame, Incoming}, //
};
use redwingpond::{
    base::Clock,
    duty::{Answer, json, text},
    engine::{Choice, Chunk, Completion}, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration, //
};
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle, //
};

/// A running engine; dropping it stops it.
pub struct Engine {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    loop_task: JoinHandle<()>,
    server: Server,
}

pub(super) struct Inner {
    pub(super) clock: Clock,
    state: Mutex<State>,
    pub(super) tuning: Tuning,
    /// Wakes the decoding loop when a sequence is added.
    pub(super) work_added: Notify,
}

/// The number of items that one stream buffers for a slow reader. Decoding of the
/// sequence stops while the buffer is full.
const STREAM_CAPACITY: usize = 256;

/// The response body of `/v1/kv/export` and the request body of `/v1/kv/import`.
#[derive(Deserialize, Serialize)]
struct KvBlocks {
    blocks: Vec<u64>,
}

/// The request body of `/v1/kv/export`.
#[derive(Deserialize)]
struct KvExportRequest {
    prompt: String,
}

impl Engine {
    /// Starts an engine that listens at `address`.
    pub async fn open(address: SocketAddr, tuning: Tuning) -> io::Result<Self> {
        let clock = Clock::open();
        let state = State::new(&tuning, clock.now().0);
        let inner = Arc::new(Inner {
            clock,
            state: Mutex::new(state),
            tuning,
            work_added: Notify::new(),
        });
        let answer = |inner: Arc<Inner>, request| async move { inner.answer(request).await };
        let server = Server::open_shared(address, &inner, answer).await?;
        Ok(Self {
            address: server.address,
            loop_task: tokio::spawn(batch::run(inner.clone())),
            inner,
            server,
        })
    }

    /// The numbers of prefix blocks found in the cache and not found.
    pub fn cache_hits(&self) -> (u64, u64) {
        let state = self.inner.state();
        (state.cache.hits, state.cache.misses)
    }

    /// Crashes the engine: closes every connection and clears the state except the
    /// prompts seen. The engine listens again after `down`.
    pub fn crash(&self, down: Duration) {
        let (inner, up) = (self.inner.clone(), self.server.switch());
        crash(&inner, &up, down);
    }

    /// The tokens generated since the last boot.
    pub fn tokens_produced(&self) -> u64 {
        self.inner.state().tokens_produced
    }

    /// Whether a generation with this prompt and seed ever began here, also before
    /// a crash.
    pub fn has_seen(&self, prompt: &str, seed: u64) -> bool {
        self.inner.state().seen.contains(&(prompt.to_owned(), seed))
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.set_faults(faults);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.loop_task.abort();
    }
}

fn crash(inner: &Arc<Inner>, up: &Arc<watch::Sender<bool>>, down: Duration) {
    up.send_replace(false);
    let boot = inner.clock.now().0;
    let mut state = inner.state();
    let seen = std::mem::take(&mut state.seen);
    *state = State::new(&inner.tuning, boot);
    state.seen = seen;
    drop(state);
    let up = up.clone();
    tokio::spawn(async move {
        tokio::time::sleep(down).await;
        up.send_replace(true);
    });
}

impl Inner {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        if faults.mute {
            state.running.iter_mut().for_each(|one| one.muted = true);
        }
        state.faults = faults;
    }

    async fn answer(&self, request: Request<Incoming>) -> io::Result<Answer> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if path == "/admin/faults" {
            let faults = read_json(body).await?;
            self.set_faults(faults);
            return Ok(text(StatusCode::OK, "text/plain", "ok\n"));
        }
        while self.state().faults.paused {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        match (&parts.method, path) {
            (&Method::GET, "/v1/events") => {
                let query = parts.uri.query().unwrap_or_default();
                Ok(self.events(query))
            }
            (&Method::GET, "/v1/load") => Ok(self.load_report()),
            (&Method::GET, "/v1/state") => {
                let state = self.state().wire_state(&self.tuning);
                Ok(json(StatusCode::OK, &state))
            }
            (&Method::POST, "/v1/completions") => Ok(self.complete(read_json(body).await?)),
            (&Method::POST, "/v1/kv/export") => {
                let export: KvExportRequest = read_json(body).await?;
                let mut blocks = Cache::hashes(&export.prompt);
                let cached = self.state().cache.cached_prefix(&blocks);
                blocks.truncate(cached);
                Ok(json(StatusCode::OK, &KvBlocks { blocks }))
            }
            (&Method::POST, "/v1/kv/import") => {
                let kv: KvBlocks = read_json(body).await?;
                let now = self.clock.now().0;
                self.state().cache.insert(now, &kv.blocks);
                Ok(text(StatusCode::OK, "text/plain", "ok\n"))
            }
            (&Method::POST, "/v1/orders") => {
                let status = self.execute_order(read_json(body).await?).await;
                let mut state = self.state();
                if state.faults.lose_orders > 0 {
                    state.faults.lose_orders -= 1;
                    return Err(io::Error::other("answer dropped by an injected fault"));
                }
                Ok(text(status, "text/plain", "done\n"))
            }
            _ => Ok(text(StatusCode::NOT_FOUND, "text/plain", "no such path\n")),
        }
    }

    /// Queues a completion and answers with its stream.
    fn complete(&self, completion: Completion) -> Answer {
        let (out, tokens) = mpsc::channel(STREAM_CAPACITY);
        let mut state = self.state();
        if !state.models.contains_key(&completion.model) {
            return text(StatusCode::NOT_FOUND, "text/plain", "no such model\n");
        }
        state
            .seen
            .insert((completion.prompt.clone(), completion.seed));
        let prefix = format!("{}{}", completion.prompt, completion.done.concat());
        let uncached = state
            .cache
            .insert(self.clock.now().0, &Cache::hashes(&prefix));
        let prefill = uncached as u64 * self.tuning.prefill_us;
        state.waiting.push(Sequence {
            length: truth::length(&completion.prompt, completion.seed, completion.max_tokens),
            max_tokens: completion.max_tokens,
            model: completion.model,
            muted: false,
            next: completion.done.len() as u32,
            out,
            priority: completion.priority,
            prompt: completion.prompt,
            ready_at: self.clock.micros() + prefill,
            seed: completion.seed,
        });
        drop(state);
        self.work_added.notify_one();
        stream_response(tokens)
    }

    /// Answers with the cache events after the query's `since`.
    fn events(&self, query: &str) -> Answer {
        let since = query.strip_prefix("since=").and_then(|n| n.parse().ok());
        let since: u64 = since.unwrap_or(0);
        let state = self.state();
        let faults = state.faults;
        let until = self.clock.now().0.saturating_sub(faults.event_lag_ms);
        let events: Vec<_> = state
            .cache
            .events
            .iter()
            .filter(|event| event.sequence > since && event.at <= until)
            .filter(|event| faults.event_gap == 0 || event.sequence % faults.event_gap != 0)
            .collect();
        json(StatusCode::OK, &events)
    }

    /// Answers with the newest load report that is at least `load_lag_ms` old.
    fn load_report(&self) -> Answer {
        let state = self.state();
        let until = self.clock.now().0.saturating_sub(state.faults.load_lag_ms);
        let mut reports = state.load_reports.iter().rev();
        let report = reports.find(|(at, ..)| *at <= until);
        let (at, running, waiting) = report.copied().unwrap_or_default();
        let report = serde_json::json!({ "at": at, "running": running, "waiting": waiting });
        json(StatusCode::OK, &report)
    }
}

/// An event stream of `tokens`, ended by `[DONE]`.
fn stream_response(tokens: mpsc::Receiver<StreamItem>) -> Answer {
    let frames = futures_util::stream::unfold(Some(tokens), |state| async {
        let mut tokens = state?;
        match tokens.recv().await {
            Some(StreamItem::Token(text)) => {
                Some((Ok(chunk_frame(Some(text), None)), Some(tokens)))
            }
            Some(StreamItem::Finished(finish)) => {
                let last = chunk_frame(None, Some(finish.word()));
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                let both = [last.into_data().unwrap_or_default(), done].concat();
                Some((Ok(Frame::data(Bytes::from(both))), None))
            }
            // The engine crashed: the stream breaks off without its end marker.
            None => Some((Err(io::Error::other("the engine crashed")), None)),
        }
    });
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    answer
}

/// One chunk of a completion as a server-sent event.
fn chunk_frame(text: Option<String>, finish: Option<&str>) -> Frame<Bytes> {
    let chunk = Chunk {
        choices: vec![Choice {
            finish_reason: finish.map(str::to_owned),
            text,
            ..Choice::default()
        }],
    };
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    Frame::data(Bytes::from(format!("data: {data}\n\n")))
}
