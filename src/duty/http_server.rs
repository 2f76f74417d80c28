//! An HTTP/1.1 and HTTP/2 server for callers, trainers and operators, and helpers to build its
//! responses.

use super::{
    Context,
    DutyError,
    Hold,
    Memory,
    Phase,
    bind_listener,
    connection::{Connections, CountedStream, OpenConnection, RequestGuard}, //
};
use crate::{
    base::{Clock, Failure, Millis, RequestId},
    policy::memory_budget::{HeldKind, MemoryRefusal, MemoryRequest}, //
};
use bytes::Bytes;
use futures_util::future::Either;
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    Version,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    service::service_fn, //
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder, //
};
use socket2::SockRef;
use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout, //
};

/// An HTTP response. If its body ends in an error, the connection is cut, so that the client
/// doesn't take a part of the body for the whole.
pub type Answer = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// Limits of one server for its clients.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// What the listener is for, in logs and metrics.
    pub listener: &'static str,
    /// The maximum number of open connections; further ones take the place of idle or stalled
    /// ones, or are closed at once.
    pub max_connections: usize,
    /// The maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// The maximum time for a request's head to arrive.
    pub head_timeout: Millis,
    /// The size of the kernel's receive buffer for each connection, in bytes, until a large body
    /// arrives; `None` for a size that the kernel adapts.
    pub receive_buffer: Option<usize>,
    /// The size of the kernel's send buffer for each connection, in bytes; `None` for a size
    /// that the kernel adapts.
    pub send_buffer: Option<usize>,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            listener: "peers",
            max_connections: 16_384,
            max_head: 64 * 1024,
            head_timeout: Millis(10_000),
            receive_buffer: None,
            send_buffer: None,
        }
    }
}

/// The most connections of operators and of checks, such as those of readiness.
const ADMIN_CONNECTIONS: usize = 64;

impl HttpLimits {
    /// The limits of a listener for operators and checks.
    pub fn admin(listener: &'static str) -> Self {
        Self {
            listener,
            max_connections: ADMIN_CONNECTIONS,
            max_head: 16 * 1024,
            receive_buffer: Some(SMALL_BUFFER),
            ..Self::default()
        }
    }
}

/// The receive buffer of a connection that sends small requests, in bytes. Otherwise, a client
/// could leave megabytes unread in it.
pub const SMALL_BUFFER: usize = 16 * 1024;

/// The most requests at a time on one HTTP/2 connection.
const MAX_STREAMS: u32 = 64;

/// How often the bytes of a head are held: as they came, and in the request's own fields.
const HEAD_COPIES: usize = 2;

/// The window of an HTTP/2 connection, and of each of its streams, in bytes.
const STREAM_WINDOW: u32 = 64 * 1024;

/// A bound listener that is not serving yet.
pub struct HttpServer {
    pub address: SocketAddr,
    limits: HttpLimits,
    listener: std::net::TcpListener,
    memory: Option<Arc<Memory>>,
}

impl HttpServer {
    /// Binds `address`; for port 0 the system chooses one.
    pub fn bind(address: SocketAddr, limits: HttpLimits) -> Result<Self, DutyError> {
        let (address, listener) = bind_listener(address)?;
        if let Some(bytes) = limits.receive_buffer {
            // Accepted sockets have the listener's size from their first byte on.
            let _ = SockRef::from(&listener).set_recv_buffer_size(bytes);
        }
        Ok(Self {
            address,
            limits,
            listener,
            memory: None,
        })
    }

    /// Counts the requests of multiplexed connections toward the budget of `memory`.
    pub fn count_requests(self, memory: Arc<Memory>) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Accepts connections until `close_delay` after the program began to drain, so that a
    /// load balancer that has not noticed the drain yet still gets responses. Then finishes
    /// the open requests. Returns at once when the program is stopped.
    pub async fn serve<H, Fut>(self, context: &Context, close_delay: Millis, handler: H)
    where
        H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Answer> + Send + 'static,
    {
        let listener = match TcpListener::from_std(self.listener) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(%error, "can't register the listener with the runtime");
                return;
            }
        };
        let (stopping, stop) = watch::channel(false);
        let connections = Arc::new(Connections::default());
        let stop_accepting = async {
            context.reached(Phase::Draining).await;
            tokio::select! {
                () = tokio::time::sleep(close_delay.as_duration()) => {}
                () = context.reached(Phase::Stopped) => {}
            }
        };
        tokio::pin!(stop_accepting);

        loop {
            let (stream, client) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(_) => {
                        // Most likely the process is out of file descriptors. Without the
                        // wait this loop would spin until one is free.
                        tokio::time::sleep(Millis(20).as_duration()).await;
                        continue;
                    }
                },
                () = &mut stop_accepting => break,
            };
            let limits = self.limits;
            let (max, now) = (limits.max_connections, context.clock.now());
            let Some(open) = connections.open(limits.listener, client, max, now) else {
                continue;
            };
            let (clock, stop) = (context.clock, stop.clone());
            let (handler, memory) = (handler.clone(), self.memory.clone());
            tokio::spawn(async move {
                serve_connection(stream, limits, memory, &open, stop, clock, handler).await;
                open.state.finish().await;
            });
        }

        drop(listener);
        drop(stop);
        let _ = stopping.send(true);
        tokio::select! {
            () = stopping.closed() => {}
            () = context.reached(Phase::Stopped) => {}
        }
    }
}

async fn serve_connection<H, Fut>(
    stream: TcpStream,
    limits: HttpLimits,
    memory: Option<Arc<Memory>>,
    open: &OpenConnection,
    mut stop: watch::Receiver<bool>,
    clock: Clock,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    if let Some(bytes) = limits.send_buffer {
        let _ = SockRef::from(&stream).set_send_buffer_size(bytes);
    }
    // The server detects the protocol by the first bytes, and no timer runs until then: without
    // this timeout, a client that sends nothing would keep the connection forever.
    let mut byte = [0; 1];
    let first = stream.peek(&mut byte);
    let state = &open.state;
    tokio::select! {
        biased;
        first = timeout(limits.head_timeout.as_duration(), first) => {
            if !matches!(first, Ok(Ok(1))) {
                return;
            }
        }
        () = state.closing.notified() => return,
        // Nothing has been sent on it, so that its client loses nothing.
        _ = stop.wait_for(|stop| *stop) => return,
    }

    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.as_duration())
        .max_buf_size(limits.max_head);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Millis(10_000).as_duration())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_connection_window_size(STREAM_WINDOW)
        .initial_stream_window_size(STREAM_WINDOW)
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_header_list_size(limits.max_head as u32);
    let (shared, crowd) = (state.clone(), open.crowd());
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(shared.clone());
        let multiplexed = request.version() == Version::HTTP_2;
        let guard = RequestGuard::new(&shared, multiplexed, clock);
        let counted = memory.as_ref().filter(|_| multiplexed);
        let counted = counted
            .map(|memory| hold_head(memory, &request))
            .transpose();
        let answer = match counted {
            Ok(hold) => Either::Left((handler(request), hold)),
            Err(refusal) => Either::Right(refuse_head(memory.as_ref(), refusal)),
        };
        let crowd = crowd.clone();
        async move {
            let mut answer = match answer {
                Either::Left((answer, hold)) => {
                    let answer = answer.await;
                    drop(hold);
                    answer
                }
                Either::Right(refused) => refused,
            };
            if !multiplexed && crowd.is_present(clock.now()) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(guard.attach(answer))
        }
    });
    let stream = CountedStream::new(stream, state.clone());
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    // The connection is polled first, so that a request that has arrived is answered before it
    // closes.
    tokio::select! {
        biased;
        _ = &mut served => return,
        () = state.cutting.notified() => return,
        () = state.closing.notified() => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
    served.as_mut().graceful_shutdown();
    tokio::select! {
        _ = served => {}
        () = state.cutting.notified() => {}
    }
}

/// Holds the memory of a request on a multiplexed connection, if it fits.
fn hold_head(memory: &Arc<Memory>, request: &Request<Incoming>) -> Result<Hold, MemoryRefusal> {
    let headers = request.headers().iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    memory.reserve(MemoryRequest {
        bytes: HEAD_COPIES * size + STREAM_WINDOW as usize,
        kind: HeldKind::Head,
        workspace: "",
    })
}

/// The response to a request whose head does not fit.
fn refuse_head(memory: Option<&Arc<Memory>>, refusal: MemoryRefusal) -> Answer {
    let wait = memory.map_or(refusal.wait, |memory| {
        memory.refuse("", HeldKind::Head, refusal)
    });
    unavailable(wait, "no memory for the request")
}

/// The response to a request that has not run and never will: status 503, with `wait` as its
/// `Retry-After` in fractional seconds, and one line of plain text.
pub fn unavailable(wait: Millis, reason: &str) -> Answer {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = text(status, "text/plain", format!("{reason}\n"));
    let seconds = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// A response with `body`, whose content type is `kind`.
pub fn text(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// A response with `value` as JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => text(status, "application/json", body),
        Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "not JSON"),
    }
}

/// A failure as problem details (RFC 9457) with additional members such as `may_have_run`.
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

/// A response that reports `failure` as problem details.
pub fn problem(failure: &Failure, request: Option<RequestId>) -> Answer {
    let status = StatusCode::from_u16(failure.cause.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = problem_details(failure, request);
    let mut answer = text(status, "application/problem+json", body);
    if let Some(wait) = failure.retry_after {
        let seconds = HeaderValue::from(wait.0.div_ceil(1_000));
        answer.headers_mut().insert(RETRY_AFTER, seconds);
    }
    answer
}
