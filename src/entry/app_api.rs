//! The HTTP API for callers: answers application calls.

use super::{
    call_options::{Options, forwarded_headers, read_options},
    call_target::Target,
    chat_api::{ChatCall, Endpoint},
    claimer::{self, ClaimRequest},
    command::{Command, MAX_QUEUED_REPLIES, NewCall, Reply},
    directory::Directory,
    reply_body::Replies,
    request_body::{BODY_TIMEOUT, Bodies, stream_body}, //
    request_ids::RequestIds,
};
use crate::{
    agent::run_call::REQUEST_ID,
    base::{Cause, Clock, Failure, Millis, RequestId, WeightVersion},
    duty::{Answer, Connection, problem, text},
    policy::key_claims::PendingClaim,
    settings::BackendKind,
    wire::{CallHead, STREAM_WINDOW, Work}, //
};
use bytes::Bytes;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue}, //
};
use std::sync::Arc;
use tokio::{
    sync::{Semaphore, mpsc, oneshot, watch},
    time::timeout, //
};

/// The channels and state needed to answer application calls; cheap to clone.
#[derive(Clone)]
pub(super) struct AppApi {
    pub(super) bodies: Bodies,
    /// Requests to the duty that claims request keys.
    pub(super) claims: mpsc::Sender<ClaimRequest>,
    pub(super) clock: Clock,
    /// Receives the ids of requests whose whole answer was handed to the caller's connection.
    pub(super) delivered: mpsc::Sender<RequestId>,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) request_ids: RequestIds,
    pub(super) traffic: mpsc::Sender<Command>,
}

/// The response header with the revision of the settings that were in force when the
/// call arrived.
const REVISION_HEADER: &str = "redwing-settings-revision";

/// The largest body, in bytes, that is read whole before the call is routed, so that it
/// can be sent again to another server. Larger bodies, and those of unknown length, are
/// streamed.
const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// The largest body of a call to an engine pool, in bytes.
const MAX_CHAT_BODY: usize = 160 * 1024;

impl AppApi {
    /// Answers one call at `/v1/app/TEAM/CLASS/REST`.
    pub(super) async fn handle(&self, request: Request<Incoming>) -> Answer {
        let id = self.request_ids.next();
        let revision = self.directory.borrow().revision();
        let mut answer = match self.route(id, request).await {
            Ok(answer) => answer,
            Err(failure) => problem(&failure, Some(id)),
        };
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(HeaderName::from_static(REQUEST_ID), value);
        }
        headers.insert(REVISION_HEADER, HeaderValue::from(revision));
        answer
    }

    /// Finds the class of the call, and runs the call in the pool of the class.
    async fn route(&self, id: RequestId, request: Request<Incoming>) -> Result<Answer, Failure> {
        let path = request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let directory = self.directory.borrow().clone();
        let (target, rest) = Target::find(&directory, &path, request.headers())?;
        let now = self.clock.now();
        let options = read_options(&target, now, request.method(), request.headers())?;
        match target.kind {
            BackendKind::Engine => self.chat_call(id, request, target, options, rest).await,
            BackendKind::Service => self.service_call(id, request, target, options, rest).await,
        }
    }

    /// Runs a call to an engine pool.
    async fn chat_call(
        &self,
        id: RequestId,
        request: Request<Incoming>,
        target: Target,
        options: Options,
        rest: String,
    ) -> Result<Answer, Failure> {
        let endpoint = Endpoint::from_path(&rest).filter(|_| request.method() == Method::POST);
        let endpoint = endpoint.ok_or_else(|| {
            let detail = "an engine pool answers POST at /v1/completions and /v1/chat/completions";
            Failure::not_run(Cause::NotFound, detail)
        })?;
        let name = id.to_string();
        let read = self
            .bodies
            .read(request, &name, MAX_CHAT_BODY, BODY_TIMEOUT);
        let body = read.await?;
        let call = ChatCall::parse(endpoint, &body)?;
        let work = Work::Generate(call.generation.clone());
        let claim_path = self.claim_key(id, &target, &options).await?;
        let answer = match self.start_call(id, target, options, work) {
            Ok(replies) => chat_response(call, replies).await,
            Err(failure) => Err(failure),
        };
        if let Err(failure) = &answer {
            self.release_key(claim_path, failure);
        }
        answer
    }

    /// Runs a call to a service pool.
    async fn service_call(
        &self,
        id: RequestId,
        request: Request<Incoming>,
        target: Target,
        options: Options,
        rest: String,
    ) -> Result<Answer, Failure> {
        let expected = request.body().size_hint().upper();
        let is_buffered = expected.is_some_and(|size| size <= MAX_BUFFERED_BODY as u64);
        let (method, headers) = (request.method().clone(), request.headers().clone());
        let (buffered, streamed) = match is_buffered {
            true => {
                let (name, limit) = (id.to_string(), MAX_BUFFERED_BODY);
                let read = self.bodies.read(request, &name, limit, BODY_TIMEOUT);
                (read.await?, None)
            }
            false => {
                if let Some(connection) = request.extensions().get::<Arc<Connection>>() {
                    connection.widen();
                }
                (Bytes::new(), Some(request.into_body()))
            }
        };
        let claim_path = self.claim_key(id, &target, &options).await?;
        let work = Work::Call(CallHead {
            body: buffered,
            headers: forwarded_headers(&headers),
            method: method.to_string(),
            path: rest,
            whole: is_buffered,
        });
        let mut replies = match self.start_call(id, target, options, work) {
            Ok(replies) => replies,
            Err(failure) => {
                self.release_key(claim_path, &failure);
                return Err(failure);
            }
        };
        if let Some(body) = streamed {
            let (traffic, window) = (self.traffic.clone(), replies.window.clone());
            tokio::spawn(stream_body(body, id, traffic, window));
        }

        match replies.next().await {
            Some(Reply::Failed(failure)) => {
                self.release_key(claim_path, &failure);
                Err(failure)
            }
            Some(Reply::Head { status, headers }) => Ok(response(status, headers, replies)),
            Some(_) | None => Err(ended_without_reply()),
        }
    }

    /// Claims the request key of a non-idempotent call, before any part of the call
    /// leaves this process. Returns the path of the key's row; `None` if the call needs
    /// no claim.
    async fn claim_key(
        &self,
        request: RequestId,
        target: &Target,
        options: &Options,
    ) -> Result<Option<String>, Failure> {
        let Some(key) = options.key.as_deref().filter(|_| !options.idempotent) else {
            return Ok(None);
        };
        let path = claimer::claim_path(&target.names.0, key);
        let pending = PendingClaim {
            path: path.clone(),
            request,
        };
        let (reply, outcome) = oneshot::channel();
        self.claims
            .try_send(ClaimRequest::Take(pending, reply))
            .map_err(|_| {
                let detail = "too many request keys wait to be claimed";
                Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(500))
            })?;
        let time_left = options.deadline.since(self.clock.now());
        match timeout(time_left.as_duration(), outcome).await {
            Ok(Ok(outcome)) => outcome.map(|()| Some(path)),
            Ok(Err(_)) => Err(Failure::not_run(Cause::Draining, "the entry is stopping")),
            Err(_) => {
                let detail = "the deadline passed before the key was claimed";
                Err(Failure::not_run(Cause::DeadlinePassed, detail))
            }
        }
    }

    /// Releases a claimed key if its call did not run.
    fn release_key(&self, claim_path: Option<String>, failure: &Failure) {
        if let Some(path) = claim_path
            && !failure.verdict.may_have_run()
        {
            // If the queue is full, the key stays claimed. A repeat of the call is then
            // refused as a duplicate, which is safe.
            let _ = self.claims.try_send(ClaimRequest::Release(path));
        }
    }

    /// Passes the call to the traffic duty; returns the replies to it.
    fn start_call(
        &self,
        request: RequestId,
        target: Target,
        options: Options,
        work: Work,
    ) -> Result<Replies, Failure> {
        let (reply, receiver) = mpsc::channel(MAX_QUEUED_REPLIES);
        let (team, class) = target.names;
        let call = NewCall {
            class,
            deadline: options.deadline,
            idempotent: options.idempotent,
            key: options.key,
            min_version: WeightVersion(0),
            limits: target.limits,
            pool: target.class.pool,
            priority: target.class.priority,
            reply,
            request,
            retry_share: target.retry_share,
            team,
            work,
        };
        // The queue's length bounds how far the traffic duty can fall behind. When the
        // queue is full, a call is refused at once rather than delayed.
        self.traffic
            .try_send(Command::Start(Box::new(call)))
            .map_err(|_| {
                let failure = Failure::not_run(Cause::Overloaded, "this entry is overloaded");
                failure.retry_after(Millis(200))
            })?;
        Ok(Replies {
            delivered: self.delivered.clone(),
            expected_length: None,
            owed_credit: 0,
            bytes_sent: 0,
            request,
            receiver,
            traffic: self.traffic.clone(),
            window: Arc::new(Semaphore::new(STREAM_WINDOW as usize)),
        })
    }
}

/// The response to a service call, from the head of the backend server's response.
fn response(status: u16, headers: Vec<(String, Bytes)>, mut replies: Replies) -> Answer {
    let length = headers
        .iter()
        .find(|(name, _)| name == CONTENT_LENGTH.as_str());
    let length = length.and_then(|(_, value)| std::str::from_utf8(value).ok()?.parse().ok());
    replies.expected_length = length;
    let mut answer = Response::new(replies.into_body());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}

/// The response to a generation: one JSON body, or server-sent events if the caller
/// asked for a stream.
async fn chat_response(call: ChatCall, mut replies: Replies) -> Result<Answer, Failure> {
    if !call.stream {
        let body = call.full_response(replies).await?;
        return Ok(text(StatusCode::OK, "application/json", body));
    }
    match replies.next().await {
        Some(Reply::Failed(failure)) => Err(failure),
        Some(first) => {
            let mut answer = Response::new(call.event_stream(first, replies));
            let kind = HeaderValue::from_static("text/event-stream");
            answer.headers_mut().insert(CONTENT_TYPE, kind);
            Ok(answer)
        }
        None => Err(ended_without_reply()),
    }
}

/// The failure of a call whose replies ended before the first one, or began with an
/// unexpected one.
fn ended_without_reply() -> Failure {
    Failure::may_have_run(Cause::LinkLost, "this entry ended the call without a word")
}
