//! One HTTP/1.1 connection to a peer, and what the peer has sent of an answer's head.

use super::matching::RequestKey;
use crate::base::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    client::conn::http1::{Builder, Connection as Driver, SendRequest}, //
};
use hyper_util::rt::TokioIo;
use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration, //
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream, //
};

/// An open connection, to send requests over one after another.
pub(super) struct Connection {
    /// The requests with an id that were sent over it.
    carried: Vec<RequestKey>,
    received: Arc<Received>,
    requests: SendRequest<Full<Bytes>>,
    /// Gone once the connection is closed.
    stream: Weak<Mutex<TcpStream>>,
}

/// The most requests with an id that one connection carries, as it remembers them.
const MAX_REQUESTS: usize = 256;

/// What has arrived on a connection that awaits no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IdleState {
    /// The peer has closed it.
    Closed,
    /// Nothing.
    Empty,
    /// Bytes that belong to no request.
    UnsolicitedBytes,
}

/// Why a request got no head of an answer.
pub(super) struct SendFailure {
    /// Whether any byte of an answer had arrived.
    pub(super) begun: bool,
    pub(super) error: hyper::Error,
    /// The request, if no byte of it was written.
    pub(super) unsent: Option<Request<Full<Bytes>>>,
}

impl Connection {
    /// Speaks HTTP over `stream`. Returns the connection, and the future that drives it until
    /// it is closed.
    ///
    /// # Errors
    ///
    /// The error of the handshake.
    pub(super) async fn open(
        stream: TcpStream,
    ) -> hyper::Result<(Self, Driver<TokioIo<MeteredStream>, Full<Bytes>>)> {
        let received = Arc::<Received>::default();
        let stream = Arc::new(Mutex::new(stream));
        let shared = Arc::downgrade(&stream);
        let stream = MeteredStream {
            received: received.clone(),
            stream,
        };
        let (requests, driver) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let connection = Self {
            carried: Vec::new(),
            received,
            requests,
            stream: shared,
        };
        Ok((connection, driver))
    }

    /// Whether it has carried the request `key`, so that a second answer to it may still arrive.
    pub(super) fn has_carried(&self, key: Option<RequestKey>) -> bool {
        key.is_some_and(|key| self.carried.contains(&key))
    }

    /// Whether it has carried as many requests as it may.
    pub(super) fn is_exhausted(&self) -> bool {
        self.carried.len() >= MAX_REQUESTS
    }

    /// Looks at what has arrived since the last answer. The task that drives the connection may
    /// not have read it yet, and would take it for the answer to the next request.
    pub(super) fn idle_state(&self) -> IdleState {
        let Some(stream) = self.stream.upgrade() else {
            return IdleState::Closed;
        };
        let stream = lock(&stream);
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*stream).peek(&mut byte) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::UnsolicitedBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Empty,
            Err(_) => IdleState::Closed,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Waits at most `wait` until a request can be sent; false if the connection is closed, or
    /// the request before is still being written then.
    pub(super) async fn is_ready(&mut self, wait: Millis) -> bool {
        let ready = tokio::time::timeout(wait.as_duration(), self.requests.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sends the request `key`, if it has an id, and waits for the head of the answer. If this is
    /// dropped before, the connection is reset.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        key: Option<RequestKey>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.carried.extend(key);
        self.received.begin();
        let awaited = AwaitedAnswer {
            is_complete: false,
            received: &self.received,
            stream: &self.stream,
        };
        let answer = self.requests.try_send_request(request).await;
        awaited.complete();
        let begun = self.received.end();
        answer.map_err(|mut failed| SendFailure {
            begun,
            unsent: failed.take_message(),
            error: failed.into_error(),
        })
    }
}

/// The wait for the head of an answer. If it is dropped before it is complete, the connection is
/// reset when it closes: otherwise, the operating system would go on sending the request for as
/// long as the peer doesn't acknowledge it, and the request could run long after it was abandoned.
struct AwaitedAnswer<'a> {
    is_complete: bool,
    received: &'a Received,
    stream: &'a Weak<Mutex<TcpStream>>,
}

impl AwaitedAnswer<'_> {
    fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        if let Some(stream) = self.stream.upgrade() {
            let stream = lock(&stream);
            let reset = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            self.received
                .abandoned
                .store(reset.is_ok(), Ordering::Relaxed);
        }
    }
}

/// The most bytes that are buffered of a head or of a body.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// The most bytes that may arrive before a head is complete: interim responses, the head
/// itself, and what is read of the body with it. Interim responses are discarded as they
/// arrive, and would otherwise keep the processor busy until the caller's time is over.
const MAX_HEAD_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// Counts the bytes that arrive while a head is awaited.
#[derive(Default)]
struct Received {
    /// The connection is reset when it closes.
    abandoned: AtomicBool,
    awaiting: AtomicBool,
    bytes: AtomicUsize,
}

impl Received {
    /// A request is about to be sent.
    fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.awaiting.store(true, Ordering::Relaxed);
    }

    /// The head is complete, or will not be. Returns whether any byte of it had arrived.
    fn end(&self) -> bool {
        self.awaiting.store(false, Ordering::Relaxed);
        self.bytes.load(Ordering::Relaxed) > 0
    }

    /// Counts bytes that arrived. Returns false if a head would be too long with them.
    fn add(&self, bytes: usize) -> bool {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        !self.awaiting.load(Ordering::Relaxed) || before + bytes <= MAX_HEAD_BYTES
    }
}

/// A socket whose incoming bytes are counted.
pub(super) struct MeteredStream {
    received: Arc<Received>,
    /// Shared with the connection, which only looks at what has arrived.
    stream: Arc<Mutex<TcpStream>>,
}

fn lock(stream: &Mutex<TcpStream>) -> MutexGuard<'_, TcpStream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut *lock(&self.stream)).poll_read(cx, buffer))?;
        if !self.received.add(buffer.filled().len() - before) {
            let message = format!("no complete head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.stream)).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *lock(&self.stream)).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The end of the stream would be delivered like the bytes before it.
        if self.received.abandoned.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut *lock(&self.stream)).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *lock(&self.stream)).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.stream).is_write_vectored()
    }
}
