//! HTTP towards callers: one application call from its arrival to its answer.

use super::{
    call_options::{Options, options, passed_on},
    call_target::Target,
    chat_api::{ChatCall, Shape},
    claimer::{self, Claim},
    command::{Command, NewCall, REPLIES, Reply},
    directory::Directory,
    issue::Issue,
    reply_body::Replies,
    request_body::{pump, whole}, //
};
use crate::{
    agent::run_call::REQUEST_ID,
    base::{Cause, Clock, Failure, Millis, RequestId, WeightVersion},
    duty::{Answer, problem, text},
    policy::claim_batch::PendingClaim,
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

/// What is needed to answer callers.
#[derive(Clone)]
pub(super) struct AppApi {
    pub(super) claims: mpsc::Sender<Claim>,
    pub(super) clock: Clock,
    pub(super) delivered: mpsc::Sender<RequestId>,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) issue: Issue,
    pub(super) traffic: mpsc::Sender<Command>,
}

/// The header of an answer that names the settings it was made under.
const REVISION: &str = "redwing-settings-revision";

/// The bytes of a body that is gathered before the call is routed, so that
/// it can be sent to a second server.
const WHOLE_BODY: usize = 64 * 1024;

/// The bytes of a request to an engine.
const CHAT_BODY: usize = 160 * 1024;

impl AppApi {
    /// Answers one call at `/v1/app/TEAM/CLASS/REST`.
    pub(super) async fn handle(&self, request: Request<Incoming>) -> Answer {
        let id = self.issue.next();
        let revision = self.directory.borrow().revision();
        let mut answer = match self.call(id, request).await {
            Ok(answer) => answer,
            Err(failure) => problem(&failure, Some(id)),
        };
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(HeaderName::from_static(REQUEST_ID), value);
        }
        headers.insert(REVISION, HeaderValue::from(revision));
        answer
    }

    async fn call(&self, id: RequestId, request: Request<Incoming>) -> Result<Answer, Failure> {
        let path = request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_owned();
        let directory = self.directory.borrow().clone();
        let (target, rest) = Target::find(&directory, &path, request.headers())?;
        let now = self.clock.now();
        let options = options(&target, now, request.method(), request.headers())?;
        match target.kind {
            BackendKind::Engine => self.chat(id, request, target, options, rest).await,
            BackendKind::Service => self.plain(id, request, target, options, rest).await,
        }
    }

    async fn chat(
        &self,
        id: RequestId,
        request: Request<Incoming>,
        target: Target,
        options: Options,
        rest: String,
    ) -> Result<Answer, Failure> {
        let shape = Shape::at(&rest).filter(|_| request.method() == Method::POST);
        let shape = shape.ok_or_else(|| {
            let detail = "an engine pool answers POST at /v1/completions and /v1/chat/completions";
            Failure::not_run(Cause::NotFound, detail)
        })?;
        let body = whole(request.into_body(), CHAT_BODY).await?;
        let call = ChatCall::parse(shape, &body)?;
        let work = Work::Generate(call.generation.clone());
        let claimed = self.claim(id, &target, &options).await?;
        let answer = match self.start(id, target, options, work) {
            Ok(replies) => generated(call, replies).await,
            Err(failure) => Err(failure),
        };
        if let Err(failure) = &answer {
            self.release(claimed, failure);
        }
        answer
    }

    async fn plain(
        &self,
        id: RequestId,
        request: Request<Incoming>,
        target: Target,
        options: Options,
        rest: String,
    ) -> Result<Answer, Failure> {
        let (parts, body) = request.into_parts();
        let expected = body.size_hint().upper();
        let whole_body = expected.is_some_and(|size| size <= WHOLE_BODY as u64);
        let (first, streamed) = match whole_body {
            true => (whole(body, WHOLE_BODY).await?, None),
            false => (Bytes::new(), Some(body)),
        };
        let claimed = self.claim(id, &target, &options).await?;
        let work = Work::Call(CallHead {
            body: first,
            headers: passed_on(&parts.headers),
            method: parts.method.to_string(),
            path: rest,
            whole: whole_body,
        });
        let mut replies = match self.start(id, target, options, work) {
            Ok(replies) => replies,
            Err(failure) => {
                self.release(claimed, &failure);
                return Err(failure);
            }
        };
        if let Some(body) = streamed {
            let (traffic, window) = (self.traffic.clone(), replies.window.clone());
            tokio::spawn(pump(body, id, traffic, window));
        }

        match replies.next().await {
            Some(Reply::Failed(failure)) => {
                self.release(claimed, &failure);
                Err(failure)
            }
            Some(Reply::Head { status, headers }) => Ok(answer(status, headers, replies)),
            Some(_) | None => Err(stopped()),
        }
    }

    /// Claims the key of a call that must run at most once, before anything
    /// of it leaves this process; returns the key's row.
    async fn claim(
        &self,
        request: RequestId,
        target: &Target,
        options: &Options,
    ) -> Result<Option<String>, Failure> {
        let Some(key) = options.key.as_deref().filter(|_| !options.idempotent) else {
            return Ok(None);
        };
        let path = claimer::path(&target.names.0, key);
        let wanted = PendingClaim {
            path: path.clone(),
            request,
        };
        let (reply, ruling) = oneshot::channel();
        self.claims
            .try_send(Claim::Take(wanted, reply))
            .map_err(|_| {
                let detail = "too many request keys wait to be claimed";
                Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(500))
            })?;
        let left = options.deadline.since(self.clock.now());
        match timeout(left.as_duration(), ruling).await {
            Ok(Ok(ruling)) => ruling.map(|()| Some(path)),
            Ok(Err(_)) => Err(Failure::not_run(Cause::Draining, "the entry is stopping")),
            Err(_) => {
                let detail = "the deadline passed before the key was claimed";
                Err(Failure::not_run(Cause::DeadlinePassed, detail))
            }
        }
    }

    /// Gives a claimed key back if its call did not run.
    fn release(&self, claimed: Option<String>, failure: &Failure) {
        if let Some(path) = claimed
            && !failure.verdict.may_have_run()
        {
            // If the ring is full the key stays claimed: the caller's repeat
            // is refused as a duplicate, which errs on the safe side.
            let _ = self.claims.try_send(Claim::Release(path));
        }
    }

    fn start(
        &self,
        request: RequestId,
        target: Target,
        options: Options,
        work: Work,
    ) -> Result<Replies, Failure> {
        let (reply, ring) = mpsc::channel(REPLIES);
        let (team, class) = target.names;
        let call = NewCall {
            class,
            deadline: options.deadline,
            idempotent: options.idempotent,
            key: options.key,
            least: WeightVersion(0),
            limits: target.limits,
            pool: target.class.pool,
            priority: target.class.priority,
            reply,
            request,
            retry_share: target.retry_share,
            team,
            work,
        };
        // The ring's length bounds how far the traffic duty can fall behind;
        // past it a call is refused at once rather than made to wait.
        self.traffic
            .try_send(Command::Start(Box::new(call)))
            .map_err(|_| {
                let failure = Failure::not_run(Cause::Overloaded, "this entry is overloaded");
                failure.retry_after(Millis(200))
            })?;
        Ok(Replies {
            delivered: self.delivered.clone(),
            expected: None,
            owed: 0,
            passed: 0,
            request,
            ring,
            traffic: self.traffic.clone(),
            window: Arc::new(Semaphore::new(STREAM_WINDOW as usize)),
        })
    }
}

fn answer(status: u16, headers: Vec<(String, Bytes)>, mut replies: Replies) -> Answer {
    let length = headers
        .iter()
        .find(|(name, _)| name == CONTENT_LENGTH.as_str());
    let length = length.and_then(|(_, value)| std::str::from_utf8(value).ok()?.parse().ok());
    replies.expected = length;
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

/// The answer of a generation, whole or streamed.
async fn generated(call: ChatCall, mut replies: Replies) -> Result<Answer, Failure> {
    if !call.stream {
        let body = call.whole(replies).await?;
        return Ok(text(StatusCode::OK, "application/json", body));
    }
    match replies.next().await {
        Some(Reply::Failed(failure)) => Err(failure),
        Some(first) => {
            let mut answer = Response::new(call.events(first, replies));
            let kind = HeaderValue::from_static("text/event-stream");
            answer.headers_mut().insert(CONTENT_TYPE, kind);
            Ok(answer)
        }
        None => Err(stopped()),
    }
}

fn stopped() -> Failure {
    Failure::may_have_run(Cause::LinkLost, "this entry ended the call without a word")
}
