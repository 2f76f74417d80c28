//! From a caller's request to its answer.

use super::{
    batches::Batches,
    plain,
    reply,
    streams, //
};
use crate::{
    base::{Asked, Clock, Fingerprint, Millis},
    calls::{Call, Caller},
    duty::{Answer, Context, Phase},
    platform::{self, Ingress},
    routing::{Config, Kind, Route},
    view::Site, //
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
    pub(super) caller: Arc<Caller>,
    pub(super) clock: Clock,
    pub(super) site: Arc<Site>,
}

/// When a caller is asked to come back while no configuration is known yet:
/// the store answers in milliseconds once it is reached.
const WAIT_CONFIG: Millis = Millis(300);

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
        let Some(config) = self.site.config() else {
            tracing::info!(path = head.uri.path(), "refused: no configuration yet");
            return reply::refusal(WAIT_CONFIG, "no configuration yet");
        };
        match platform::classify(&head.method, &head.uri, &head.headers) {
            Ingress::End { batch } => self.batches.end(&batch).await,
            Ingress::ItemBody { batch, item } => self.batches.item_body(&batch, &item).await,
            Ingress::Results { batch, from, wait } => {
                self.batches.results(&batch, from, wait).await
            }
            Ingress::Routed => self.routed(arrived, &config, head, body).await,
            Ingress::Unknown => reply::status(StatusCode::BAD_REQUEST, "no such call"),
        }
    }

    async fn routed(
        &self,
        arrived: Millis,
        config: &Config,
        head: Parts,
        body: Incoming,
    ) -> Answer {
        let host = head.headers.get("host").and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default();
        let path = head.uri.path();
        let Some(route) = config.route(host, path).cloned() else {
            let version = config.version;
            tracing::info!(host, path, version, "no route");
            return reply::status(StatusCode::NOT_FOUND, "no route");
        };
        let until = until(arrived, &route, &head);
        let left = until.since(self.clock.now());
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
        if route.kind == Kind::Batch && head.method == hyper::Method::POST {
            return self.batches.submit(id, host, path, &body, until).await;
        }

        let target = head.uri.path_and_query();
        let target = target.map_or_else(|| path.to_owned(), ToString::to_string);
        let fingerprint = Fingerprint::of(Asked {
            body: &body,
            credential: platform::credential(&head.headers),
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
            until,
        };
        match call.route.kind {
            Kind::Stream { .. } => streams::answer(&self.caller, call).await,
            Kind::Batch | Kind::Safe | Kind::Unsafe => {
                plain::answer(&self.caller, &call, arrived).await
            }
        }
    }
}

/// When the request is given up: at its caller's deadline or its route's
/// timeout, whichever comes first.
fn until(arrived: Millis, route: &Route, head: &Parts) -> Millis {
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
