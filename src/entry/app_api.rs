//! HTTP towards callers: one application call from its arrival to its answer.

use super::{
    chat_api::{ChatCall, Shape},
    claimer::{self, Claim},
    command::{Command, NewCall, REPLIES, Reply},
    directory::Directory,
    issue::Issue,
    reply_body::Replies, //
};
use crate::{
    agent::run_call::{REQUEST_ID, REQUEST_KEY, is_end_to_end},
    base::{Cause, Clock, Failure, Millis, RequestId, WeightVersion},
    duty::{Answer, problem, text},
    policy::{admission::Limits, claim_batch::Wanted},
    settings::{BackendKind, ClassSettings, TeamSettings},
    wire::{CallHead, MAX_CHUNK, MESSAGE_COST, WINDOW, Work}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::{Body as _, Incoming},
    header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue}, //
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

/// The header with which a caller says whether a call may be repeated.
const IDEMPOTENT: &str = "redwing-idempotent";

/// The header with a call's time in milliseconds.
const DEADLINE: &str = "redwing-deadline-ms";

/// The header of an answer that names the settings it was made under.
const REVISION: &str = "redwing-settings-revision";

/// The bytes of a body that is gathered before the call is routed, so that
/// it can be sent to a second server.
const WHOLE_BODY: usize = 64 * 1024;

/// The bytes of a request to an engine.
const CHAT_BODY: usize = 160 * 1024;

/// How long a body, or the next part of a streamed one, may take to arrive.
const BODY_TIME: Millis = Millis(10_000);

/// The bytes of a request key.
const MAX_KEY: usize = 128;

/// What a caller asks of a class.
struct Options {
    /// The point in time at which the call's time is over.
    deadline: Millis,
    idempotent: bool,
    key: Option<String>,
}

/// A class and its team, as found for a call.
struct Target {
    class: ClassSettings,
    kind: BackendKind,
    limits: Limits,
    names: (String, String),
    retry_share: u64,
}

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
        let (target, rest) = self.target(&path, request.headers())?;
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
        let wanted = Wanted {
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
            window: Arc::new(Semaphore::new(WINDOW as usize)),
        })
    }

    /// Finds the class that `path` names, and the path behind it.
    fn target(&self, path: &str, headers: &HeaderMap) -> Result<(Target, String), Failure> {
        let not_found = |detail: String| Failure::not_run(Cause::NotFound, detail);
        let mut parts = path.splitn(6, '/').skip(3);
        let team_name = parts.next().unwrap_or_default();
        let class_name = parts.next().unwrap_or_default();
        let class_name = class_name.split('?').next().unwrap_or_default();
        let rest = format!("/{}", parts.next().unwrap_or_default());

        let directory = self.directory.borrow().clone();
        if !directory.is_known() {
            let failure = Failure::not_run(Cause::Unknown, "this entry has no settings yet");
            return Err(failure.retry_after(Millis(500)));
        }
        let shared = &directory.shared;
        let team = shared.teams.get(team_name);
        let team = team.ok_or_else(|| not_found(format!("no team `{team_name}`")))?;
        let class = team.classes.get(class_name);
        let class = class.ok_or_else(|| not_found(format!("no class `{class_name}`")))?;
        if class.internal && !may_call(team, class_name, headers) {
            let detail = format!("class `{class_name}` is internal: the call's key is not for it");
            return Err(Failure::not_run(Cause::Forbidden, detail));
        }
        let pool = shared.pools.get(&class.pool);
        let pool = pool.ok_or_else(|| not_found(format!("no pool `{}`", class.pool)))?;
        let target = Target {
            class: class.clone(),
            kind: pool.kind,
            limits: Limits {
                class: class.limit,
                team: team.limit,
            },
            names: (team_name.to_owned(), class_name.to_owned()),
            retry_share: team.retry_share,
        };
        Ok((target, rest))
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

fn may_call(team: &TeamSettings, class: &str, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.is_some_and(|key| team.may_call(key, class))
}

/// Reads what the caller says about the call itself.
fn options(
    target: &Target,
    now: Millis,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Options, Failure> {
    let refuse = |detail: String| Failure::not_run(Cause::BadRequest, detail);
    let header = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    let deadline = match header(DEADLINE) {
        None => target.class.deadline,
        Some(value) => {
            let number = value.parse().ok().filter(|ms| (1..=3_600_000).contains(ms));
            let number = number.ok_or_else(|| {
                refuse(format!("`{DEADLINE}` is `{value}`, expected 1 to 3600000"))
            })?;
            Millis(number)
        }
    };
    // Engines' answers have no effects; for services the method decides, as
    // HTTP defines it, unless the caller says otherwise.
    let by_method = target.kind == BackendKind::Engine || method.is_idempotent();
    let idempotent = match header(IDEMPOTENT) {
        None => by_method,
        Some("true") => true,
        Some("false") => false,
        Some(value) => {
            return Err(refuse(format!(
                "`{IDEMPOTENT}` is `{value}`, expected true or false"
            )));
        }
    };
    let key = header(REQUEST_KEY).map(str::to_owned);
    if key.as_ref().is_some_and(|key| {
        key.is_empty() || key.len() > MAX_KEY || !key.bytes().all(|b| b.is_ascii_graphic())
    }) {
        return Err(refuse(format!(
            "`{REQUEST_KEY}` is not 1 to {MAX_KEY} visible characters"
        )));
    }
    Ok(Options {
        deadline: now + deadline,
        idempotent,
        key,
    })
}

/// The caller's headers that a service gets to see.
fn passed_on(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            is_end_to_end(name) && !name.starts_with("redwing-") && *name != AUTHORIZATION
        })
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Sends a streamed body on as fast as the service takes it.
async fn pump(
    mut body: Incoming,
    request: RequestId,
    traffic: mpsc::Sender<Command>,
    window: Arc<Semaphore>,
) {
    loop {
        let frame = timeout(BODY_TIME.as_duration(), body.frame()).await;
        let mut data = match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
            Ok(None) => break,
            // The caller went away or stalled: the service gets no end of the
            // body, so it can't take the part for the whole.
            Ok(Some(Err(_))) | Err(_) => return,
        };
        while !data.is_empty() {
            let bytes = data.split_to(data.len().min(MAX_CHUNK));
            let cost = bytes.len() as u32 + MESSAGE_COST;
            let Ok(permit) = window.acquire_many(cost).await else {
                return;
            };
            permit.forget();
            let part = Command::Body {
                request,
                bytes,
                last: false,
            };
            if traffic.send(part).await.is_err() {
                return;
            }
        }
    }
    let last = Command::Body {
        bytes: Bytes::new(),
        last: true,
        request,
    };
    let _ = traffic.send(last).await;
}

fn stopped() -> Failure {
    Failure::may_have_run(Cause::LinkLost, "this entry ended the call without a word")
}

/// Gathers a body of at most `limit` bytes.
async fn whole(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let gathered = Limited::new(body, limit).collect();
    match timeout(BODY_TIME.as_duration(), gathered).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => {
            let too_large = error.is::<http_body_util::LengthLimitError>();
            let cause = if too_large {
                Cause::TooLarge
            } else {
                Cause::BadRequest
            };
            Err(Failure::not_run(cause, error.to_string()))
        }
        Err(_) => Err(Failure::not_run(
            Cause::BadRequest,
            "the body did not arrive in time",
        )),
    }
}
