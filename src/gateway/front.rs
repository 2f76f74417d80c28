//! From a caller's request to its answer.

use super::{
    batches::{Batches, Submitter, store_away},
    door::{self, Admitted, Door, Reader},
    plain,
    reply,
    streams, //
};
use crate::{
    base::{Asked, Clock, Fingerprint, Millis},
    calls::{Call, Dispatcher},
    duty::{Answer, Context, Phase},
    platform::{self, BatchCall, Ingress},
    routing::{Route, RouteKind, Workspace}, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::request::Parts, //
};
use std::sync::Arc;

/// Answers callers.
pub(super) struct Front {
    pub(super) batches: Batches,
    pub(super) caller: Arc<Dispatcher>,
    pub(super) clock: Clock,
    pub(super) door: Door,
}

impl Front {
    /// Answers one request. While the program drains, the caller is told to
    /// use another connection for the next.
    pub(super) async fn answer(&self, context: &Context, request: Request<Incoming>) -> Answer {
        let began = self.clock.micros();
        let mut answer = self.dispatch(request).await;
        if context.phase() >= Phase::Draining {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let taken = self.clock.micros() - began;
        metrics::histogram!("redwing_request_seconds").record(taken as f64 / 1e6);
        let status = answer.status().as_u16().to_string();
        metrics::counter!("redwing_requests_total", "status" => status).increment(1);
        answer
    }

    async fn dispatch(&self, request: Request<Incoming>) -> Answer {
        let arrived = self.clock.now();
        let (head, body) = request.into_parts();
        match platform::classify(&head.method, &head.uri, &head.headers) {
            Ingress::Batch { batch, call } => self.batch_call(&head, &batch, call).await,
            Ingress::Routed => self.routed(arrived, head, body).await,
            Ingress::Unknown => reply::status(StatusCode::BAD_REQUEST, "no such call"),
        }
    }

    /// Answers a call about a batch. Its workspace's callers alone see it; others
    /// don't learn whether it exists.
    async fn batch_call(&self, head: &Parts, id: &str, call: BatchCall) -> Answer {
        let reader = match self.door.reader(head).await {
            Ok(reader) => reader,
            Err(refusal) => return refusal.answer(),
        };
        let (workspace, denial) = match &reader {
            Reader::Anybody { denial } => (None, *denial),
            Reader::Of(workspace) => (Some(workspace.name.as_str()), None),
        };
        let name = match self.batches.find(workspace, id).await {
            Ok(Some(name)) => name,
            Ok(None) => {
                tracing::info!(
                    batch = id,
                    workspace,
                    ?denial,
                    "no such batch for this caller"
                );
                return match denial {
                    Some(denial) => door::denied(denial),
                    None => reply::status(StatusCode::NOT_FOUND, "no such batch"),
                };
            }
            Err(error) => return store_away(id, &error),
        };
        match call {
            BatchCall::End => self.batches.end(&name).await,
            BatchCall::ItemBody { item } => self.batches.item_body(&name, &item).await,
            BatchCall::Results { from, wait } => self.batches.results(&name, from, wait).await,
        }
    }

    async fn routed(&self, arrived: Millis, head: Parts, body: Incoming) -> Answer {
        let Admitted {
            config,
            route,
            workspace,
        } = match self.door.admit(&head).await {
            Ok(admitted) => admitted,
            Err(refusal) => return refusal.answer(),
        };
        let host = door::host(&head);
        let path = head.uri.path();
        let deadline = deadline(arrived, &route, &head);
        let left = deadline.since(self.clock.now());
        let read = read_body(body, config.limits.body_bytes);
        let body = match tokio::time::timeout(left.as_duration(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(answer)) => return answer,
            Err(_) => return reply::status(StatusCode::REQUEST_TIMEOUT, "the body came too late"),
        };
        let Some(id) = head.headers.get(platform::ATTEMPT_ID) else {
            return reply::status(StatusCode::BAD_REQUEST, "the request has no id");
        };
        let Ok(id) = id.to_str() else {
            return reply::status(StatusCode::BAD_REQUEST, "the request's id is not text");
        };
        if route.kind == RouteKind::Batch && head.method == hyper::Method::POST {
            let from = Submitter {
                host,
                path,
                priority: workspace.as_ref().and_then(|workspace| workspace.priority),
                workspace: workspace.as_ref().map(|workspace| workspace.name.as_str()),
            };
            return self.batches.submit(id, from, &body, deadline).await;
        }

        let target = head.uri.path_and_query();
        let target = target.map_or_else(|| path.to_owned(), ToString::to_string);
        let fingerprint = Fingerprint::of(Asked {
            body: &body,
            credential: credential(workspace.as_deref(), &head),
            host,
            id: "",
            method: head.method.as_str(),
            path: &target,
        });
        let call = Call {
            body,
            fingerprint,
            headers: platform::forwarded(&head.headers),
            id: id.to_owned(),
            method: head.method.clone(),
            path: target,
            route,
            deadline,
            workspace,
        };
        match call.route.kind {
            RouteKind::Stream { .. } => streams::answer(&self.caller, call).await,
            RouteKind::Batch | RouteKind::Safe | RouteKind::Unsafe => {
                plain::answer(&self.caller, &call, arrived).await
            }
        }
    }
}

/// What tells this caller from others that ask the same; a new key doesn't make it
/// another one.
fn credential<'a>(workspace: Option<&'a Workspace>, head: &'a Parts) -> &'a [u8] {
    match workspace {
        Some(workspace) => workspace.name.as_bytes(),
        None => platform::authorization(&head.headers),
    }
}

/// When the request is given up: at its caller's deadline or its route's
/// timeout, whichever comes first.
fn deadline(arrived: Millis, route: &Route, head: &Parts) -> Millis {
    let route_end = arrived + route.timeout;
    match platform::caller_deadline(&head.headers) {
        Some(deadline) => route_end.min(arrived + deadline),
        None => route_end,
    }
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Answer> {
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(reply::status(status, "the body is too large"))
        }
        Err(error) => {
            tracing::debug!(%error, "a request's body was not read");
            Err(reply::status(StatusCode::BAD_REQUEST, "the body broke off"))
        }
    }
}
