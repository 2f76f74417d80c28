//! HTTP/1.1 and HTTP/2 towards callers, trainers and operators.

use super::{
    Context,
    DutyError,
    Phase,
    bind_listener, //
};
use crate::base::{
    Failure,
    Millis,
    RequestId, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, RETRY_AFTER},
    service::service_fn, //
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown}, //
};
use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout, //
};

/// An answer whose body may end in an error, which cuts the connection so
/// that nobody takes a part for the whole.
pub type Answer = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// What one server accepts.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Open connections.
    pub max_connections: usize,
    /// The bytes of a request's head.
    pub max_head_bytes: usize,
    /// How long a request's head may take to arrive.
    pub head_timeout: Millis,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 16_384,
            max_head_bytes: 64 * 1024,
            head_timeout: Millis(10_000),
        }
    }
}

/// A bound listener that is not serving yet.
pub struct HttpServer {
    pub address: SocketAddr,
    limits: HttpLimits,
    listener: std::net::TcpListener,
}

impl HttpServer {
    /// Binds `address`; port 0 lets the system choose.
    pub fn bind(address: SocketAddr, limits: HttpLimits) -> Result<Self, DutyError> {
        let (address, listener) = bind_listener(address)?;
        Ok(Self {
            address,
            limits,
            listener,
        })
    }

    /// Serves until the program drains, and `leave` longer, so that a balancer
    /// that has not noticed yet gets answers; then finishes what is open.
    pub async fn serve<H, Fut>(self, context: &Context, close_delay: Millis, handler: H)
    where
        H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Answer> + Send + 'static,
    {
        let listener = match TcpListener::from_std(self.listener) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(%error, "can't listen");
                return;
            }
        };
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let stop_accepting = async {
            context.reached(Phase::Draining).await;
            tokio::select! {
                () = tokio::time::sleep(close_delay.as_duration()) => {}
                () = context.reached(Phase::Stopped) => {}
            }
        };
        tokio::pin!(stop_accepting);

        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        // Out of descriptors, most likely: without the wait
                        // the loop would spin until some are free.
                        tokio::time::sleep(Millis(20).as_duration()).await;
                        continue;
                    }
                },
                () = &mut stop_accepting => break,
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                continue;
            };
            let watcher = graceful.watcher();
            let handler = handler.clone();
            let limits = self.limits;
            tokio::spawn(async move {
                serve_connection(stream, limits, watcher, handler).await;
                drop(permit);
            });
        }

        drop(listener);
        tokio::select! {
            () = graceful.shutdown() => {}
            () = context.reached(Phase::Stopped) => {}
        }
    }
}

async fn serve_connection<H, Fut>(
    stream: TcpStream,
    limits: HttpLimits,
    watcher: hyper_util::server::graceful::Watcher,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    // A client that connects and sends nothing would hold the connection for
    // good: the protocol is told apart by its first bytes, before any timer.
    let mut byte = [0; 1];
    let first = stream.peek(&mut byte);
    if !matches!(
        timeout(limits.head_timeout.as_duration(), first).await,
        Ok(Ok(1))
    ) {
        return;
    }

    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.as_duration())
        .max_buf_size(limits.max_head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Millis(10_000).as_duration())
        .max_concurrent_streams(1_024)
        .max_header_list_size(limits.max_head_bytes as u32);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = builder.serve_connection(TokioIo::new(stream), service);
    let _ = watcher.watch(served.into_owned()).await;
}

/// An answer with a body of `kind`.
pub fn text(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// An answer in JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => text(status, "application/json", body),
        Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "not JSON"),
    }
}

/// A failure as problem details (RFC 9457) with `may_have_run` beside them.
pub fn problem_details(failure: &Failure, request: Option<RequestId>) -> String {
    let details = serde_json::json!({
        "type": format!("urn:redwing:problem:{}", failure.cause.word()),
        "title": failure.cause.word().replace('-', " "),
        "status": failure.cause.status(),
        "detail": failure.detail,
        "may_have_run": failure.verdict.may_have_run(),
        "request_id": request.map(|id| id.to_string()),
        "retry_after_ms": failure.retry_after.map(|wait| wait.0),
    });
    details.to_string()
}

/// An answer that tells of a failure.
pub fn problem(failure: &Failure, request: Option<RequestId>) -> Answer {
    let status = StatusCode::from_u16(failure.cause.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = problem_details(failure, request);
    let mut answer = text(status, "application/problem+json", body);
    if let Some(wait) = failure.retry_after {
        let seconds = hyper::header::HeaderValue::from(wait.0.div_ceil(1_000));
        answer.headers_mut().insert(RETRY_AFTER, seconds);
    }
    answer
}
