//! Dispatches callers' requests and answers them.

use super::{
    access::{self, AccessControl, Admitted, BatchScope},
    batches::{Batches, PageAnswer, Submitter, store_failed},
    body,
    buffered,
    pressure::Pressure,
    reply,
    streams, //
};
use crate::{
    base::{Clock, Fingerprint, FingerprintInput, Millis},
    calls::{Call, Dispatcher},
    duty::{Answer, BodyReader, Connection, Reader, Shutdown},
    platform::{self, BatchCall, Ingress},
    policy::{call_queue::Urgency, memory_budget::HeldKind},
    routing::{Route, RouteKind, Workspace}, //
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::request::Parts, //
};
use std::sync::Arc;

/// Answers all requests that arrive at the callers' listener.
pub(super) struct Frontend {
    pub(super) batches: Batches,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) clock: Clock,
    pub(super) access: AccessControl,
    pub(super) pressure: Pressure,
    pub(super) shutdown: Arc<Shutdown>,
}

impl Frontend {
    /// Answers one request. While the program stops or its event loop lags, the response
    /// asks the caller to close the connection.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> Answer {
        let started = self.clock.micros();
        let id = attempt_id(request.headers()).map(str::to_owned);
        // Polled first, as it has the truer answer where both are due.
        let mut answer = tokio::select! {
            biased;
            answer = self.dispatch(request) => answer,
            () = self.shutdown.answers_due() => reply::stop_timeout(id.as_deref()),
        };
        let lag = self.pressure.lag.as_ref();
        if self.shutdown.has_begun() || lag.is_some_and(|lag| lag.is_overloaded()) {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let taken = self.clock.micros() - started;
        metrics::histogram!("redwing_request_seconds").record(taken as f64 / 1e6);
        let status = answer.status().as_u16().to_string();
        metrics::counter!("redwing_requests_total", "status" => status).increment(1);
        answer
    }

    async fn dispatch(&self, request: Request<Incoming>) -> Answer {
        let arrived = self.clock.now();
        let (head, body) = request.into_parts();
        if !self.shutdown.admits(arrived) {
            let mut answer = reply::stop_refusal(attempt_id(&head.headers));
            body::close_unread(&head, &mut answer);
            return answer;
        }
        match platform::classify(&head.method, &head.uri, &head.headers) {
            Ingress::Batch { batch, call } => self.answer_batch_call(&head, &batch, call).await,
            Ingress::Routed => self.answer_routed(arrived, head, body).await,
            Ingress::Malformed => reply::status(StatusCode::BAD_REQUEST, "no such call"),
        }
    }

    /// Answers a call about a batch that was submitted before. Callers of other
    /// workspaces don't learn whether it exists.
    async fn answer_batch_call(&self, head: &Parts, id: &str, call: BatchCall) -> Answer {
        let scope = match self.access.batch_scope(head).await {
            Ok(scope) => scope,
            Err(refusal) => return refusal.answer(),
        };
        let (workspace, denial) = match &scope {
            BatchScope::Unowned { denial } => (None, *denial),
            BatchScope::Workspace(workspace) => (Some(workspace.name.as_str()), None),
        };
        let name = match self.batches.find(workspace, id).await {
            Ok(Some(name)) => name,
            Ok(None) => {
                tracing::info!(
                    batch = id,
                    workspace,
                    ?denial,
                    "batch not found for this caller"
                );
                return match denial {
                    Some(denial) => access::denied(denial),
                    None => reply::status(StatusCode::NOT_FOUND, "no such batch"),
                };
            }
            Err(error) => return store_failed(id, &error),
        };
        let workspace = workspace.unwrap_or_default();
        let page = match call {
            BatchCall::End => return self.batches.end(&name).await,
            BatchCall::ItemBody { item } => self.batches.item_body(&name, workspace, &item).await,
            BatchCall::Results { from, wait } => {
                self.batches.results(&name, workspace, from, wait).await
            }
        };
        let PageAnswer { answer, hold } = page;
        let answer = self.hold_answer(answer, head, HeldKind::Page, workspace);
        // The answer has memory of its own from here on.
        drop(hold);
        answer
    }

    /// Answers a request by its route: stores a batch, or calls a backend server.
    async fn answer_routed(&self, arrived: Millis, head: Parts, body: Incoming) -> Answer {
        let admitted = match self.access.admit(&head).await {
            Ok(admitted) => admitted,
            Err(refusal) => return refusal.answer(),
        };
        let workspace = admitted.workspace.clone();
        let workspace = workspace.as_ref().map(|workspace| workspace.name.as_str());
        let read = match self.read_body(arrived, &head, &admitted, body).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let answer = self.answer_read(arrived, &head, admitted, read).await;
        self.hold_answer(
            answer,
            &head,
            HeldKind::Answer,
            workspace.unwrap_or_default(),
        )
    }

    /// Answers a request whose body was read.
    async fn answer_read(
        &self,
        arrived: Millis,
        head: &Parts,
        admitted: Admitted,
        body: Bytes,
    ) -> Answer {
        let Admitted {
            route, workspace, ..
        } = admitted;
        let host = access::host(head);
        let path = head.uri.path();
        let deadline = deadline_of(arrived, &route, head);
        // The body may have arrived long after the head.
        if !self.shutdown.admits(deadline) {
            return reply::stop_refusal(attempt_id(&head.headers));
        }
        let Some(id) = head.headers.get(platform::ATTEMPT_ID) else {
            return reply::status(StatusCode::BAD_REQUEST, "the request has no id");
        };
        let Ok(id) = id.to_str() else {
            return reply::status(StatusCode::BAD_REQUEST, "the request's id is not text");
        };
        if is_submission(&route, head) {
            let submitter = Submitter {
                host,
                path,
                priority: workspace.as_ref().and_then(|workspace| workspace.priority),
                workspace: workspace.as_ref().map(|workspace| workspace.name.as_str()),
            };
            return self.batches.submit(id, submitter, body, deadline).await;
        }

        let target = head.uri.path_and_query();
        let target = target.map_or_else(|| path.to_owned(), ToString::to_string);
        let fingerprint = Fingerprint::of(FingerprintInput {
            body: &body,
            caller: caller_identity(workspace.as_deref(), head),
            host,
            id: "",
            method: head.method.as_str(),
            path: &target,
        });
        let call = Call {
            body,
            fingerprint,
            headers: platform::forwarded_request_headers(&head.headers),
            id: id.to_owned(),
            method: head.method.clone(),
            path: target,
            route,
            deadline,
            urgency: Urgency::Interactive,
            workspace,
        };
        match call.route.kind {
            RouteKind::Stream { .. } => self.answer_stream(head, call).await,
            RouteKind::Batch | RouteKind::Safe | RouteKind::Unsafe => {
                buffered::answer(&self.dispatcher, &call, arrived).await
            }
        }
    }

    /// Answers a call whose response is streamed, if there is memory for its buffers.
    async fn answer_stream(&self, head: &Parts, call: Call) -> Answer {
        let workspace = call.workspace.as_ref();
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        let memory = &self.pressure.memory;
        match memory.reserve_stream(&reader(head, HeldKind::Answer, workspace)) {
            Ok(hold) => hold.keep(streams::answer(&self.dispatcher, call).await),
            Err(refusal) => {
                let wait = memory.refuse(&call.id, HeldKind::Answer, refusal);
                reply::refusal(wait, "no memory for the answer")
            }
        }
    }

    /// Reads the body of an admitted request until its deadline, or answers the caller.
    async fn read_body(
        &self,
        arrived: Millis,
        head: &Parts,
        admitted: &Admitted,
        body: Incoming,
    ) -> Result<Bytes, Answer> {
        let limit = admitted.config.limits.max_body;
        let deadline = deadline_of(arrived, &admitted.route, head);
        let time_left = deadline.since(self.clock.now()).as_duration();
        let memory = &self.pressure.memory;
        let id = attempt_id(&head.headers).unwrap_or_default();
        let workspace = admitted.workspace.as_ref();
        let reader = BodyReader {
            connection: head.extensions.get::<Arc<Connection>>(),
            id,
            limit,
            memory,
            price: match is_submission(&admitted.route, head) {
                true => body::batch_price,
                false => body::call_price,
            },
            workspace: workspace.map_or("", |workspace| workspace.name.as_str()),
        };
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(time_left, reader.read(body)) => Some(read),
            () = self.shutdown.refuses(deadline) => None,
            () = self.shutdown.answers_due() => None,
        };
        let mut answer = match read {
            Some(Ok(Ok(body))) => return Ok(body),
            Some(Ok(Err(error))) => body::refuse(&error, id, memory),
            Some(Err(_)) => body::too_late(),
            None => reply::stop_refusal(Some(id)),
        };
        body::close_unread(head, &mut answer);
        Err(answer)
    }

    /// Counts an answer toward the memory budget until its caller has read it.
    fn hold_answer(&self, answer: Answer, head: &Parts, kind: HeldKind, workspace: &str) -> Answer {
        let reader = reader(head, kind, workspace);
        self.pressure.memory.hold_answer(answer, reader)
    }
}

/// The caller of `head`, which reads an answer of this kind.
fn reader(head: &Parts, kind: HeldKind, workspace: &str) -> Reader {
    Reader {
        connection: head.extensions.get::<Arc<Connection>>().cloned(),
        kind,
        workspace: workspace.to_owned(),
    }
}

/// The id of a request; `None` without one that is text.
fn attempt_id(headers: &HeaderMap) -> Option<&str> {
    headers.get(platform::ATTEMPT_ID)?.to_str().ok()
}

/// Whether the request submits a batch.
fn is_submission(route: &Route, head: &Parts) -> bool {
    route.kind == RouteKind::Batch && head.method == hyper::Method::POST
}

/// The part of the request's fingerprint that distinguishes callers with the same
/// request: the workspace's name, so that it survives a change of keys, or else the
/// `Authorization` header.
fn caller_identity<'a>(workspace: Option<&'a Workspace>, head: &'a Parts) -> &'a [u8] {
    match workspace {
        Some(workspace) => workspace.name.as_bytes(),
        None => platform::authorization(&head.headers),
    }
}

/// The request's deadline: its caller's or its route's timeout, whichever ends first.
fn deadline_of(arrived: Millis, route: &Route, head: &Parts) -> Millis {
    let route_end = arrived + route.timeout;
    match platform::caller_timeout(&head.headers) {
        Some(timeout) => route_end.min(arrived + timeout),
        None => route_end,
    }
}
