//! The state of a server's connections, which the server and its handlers share.

use super::Answer;
use crate::base::{
    Clock,
    Millis, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    combinators::UnsyncBoxBody, //
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use socket2::SockRef;
use std::{
    collections::HashMap,
    io,
    io::IoSlice,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering}, //
    },
    task::{Poll, ready}, //
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::timeout, //
};

/// One connection of a client. A handler finds it among the extensions of its request.
#[derive(Debug, Default)]
pub struct Connection {
    /// The last write found the client's window full.
    blocked: AtomicBool,
    /// The client's address.
    client: Option<SocketAddr>,
    pub(super) closing: Notify,
    pub(super) cutting: Notify,
    /// When the last request ended, in ms.
    idle_since: AtomicU64,
    lingers: AtomicBool,
    /// The connection carries several requests at a time (HTTP/2).
    multiplexed: AtomicBool,
    /// Bytes have arrived since the last request ended, such as a part of the next one's head.
    receiving: AtomicBool,
    /// The number of requests under way.
    requests: AtomicUsize,
    /// The bytes that were moved when the client was last seen to make progress, and when that
    /// was, in ms.
    progress: (AtomicU64, AtomicU64),
    read: AtomicU64,
    /// The socket, once the HTTP connection on it has ended.
    stream: Mutex<Option<TcpStream>>,
    /// The number of requests whose bodies are arriving.
    uploads: AtomicUsize,
    /// A larger receive window is wanted.
    widens: AtomicBool,
    written: AtomicU64,
}

/// How long the rest of an unread request body is discarded after the response. If the socket
/// was closed at once, the client's kernel would get a reset and could discard the response.
const LINGER_TIME: Millis = Millis(1_000);

/// The size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 16 * 1024;

/// How long a connection must have been idle before it is closed in favour of a new one. A new
/// connection has usually sent its request by then.
const MIN_IDLE: Millis = Millis(500);

/// How long a client must have kept its connection waiting before it is closed in favour of a
/// new one.
const MIN_STALL: Millis = Millis(2_000);

/// How long responses ask clients to close their connections after a new one found no place.
/// Busy clients would keep all places otherwise.
const CROWDED_TIME: Millis = Millis(1_000);

/// The least that counts as progress of a client, in bytes.
const LEAST_MOVED: u64 = 2 * 1024;

/// The receive buffer of a connection on which a large body arrives, in bytes.
const WIDE_BUFFER: usize = 64 * 1024;

impl Connection {
    /// The client's address.
    pub(super) fn client(&self) -> Option<SocketAddr> {
        self.client
    }

    /// Closes the connection without finishing its responses.
    pub fn cut(&self) {
        self.cutting.notify_one();
    }

    /// Discards what the client still sends after the last response, for a short time.
    pub fn linger(&self) {
        self.lingers.store(true, Ordering::Relaxed);
    }

    /// The bytes that the client's socket has taken.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Whether the last write found the client's window full.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Asks for a larger receive window, as a large body is being read.
    pub fn widen(&self) {
        self.widens.store(true, Ordering::Relaxed);
    }

    /// Counts a body as arriving until the guard is dropped.
    pub(super) fn expect_body(self: &Arc<Self>) -> UploadGuard {
        self.uploads.fetch_add(1, Ordering::Relaxed);
        UploadGuard {
            connection: self.clone(),
        }
    }

    /// Since when the client has kept the connection waiting, with a head, a body or an answer
    /// that it doesn't read; `None` if it makes progress, or waits itself. Progress is seen only
    /// at each call.
    fn stalled_since(&self, now: Millis) -> Option<Millis> {
        let load = |number: &AtomicU64| number.load(Ordering::Relaxed);
        let moved = load(&self.read) + load(&self.written);
        let (seen, at) = &self.progress;
        if moved >= load(seen) + LEAST_MOVED {
            seen.store(moved, Ordering::Relaxed);
            at.store(now.0, Ordering::Relaxed);
        }
        let uploads = self.uploads.load(Ordering::Relaxed);
        let only_uploads = self.requests.load(Ordering::Relaxed) <= uploads;
        let waits = only_uploads || self.is_blocked();
        waits.then(|| Millis(load(at)))
    }

    /// Since when no request has been under way; `None` while one is, while one arrives, or
    /// while the client doesn't read what was written to it. On a multiplexed connection, bytes
    /// may also arrive without a request.
    fn idle_since(&self) -> Option<Millis> {
        let is = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        let arriving = is(&self.receiving) && !is(&self.multiplexed);
        let busy = arriving || is(&self.blocked) || self.requests.load(Ordering::Relaxed) > 0;
        (!busy).then(|| Millis(self.idle_since.load(Ordering::Relaxed)))
    }

    /// Discards what arrives on the socket of an ended connection, if that was asked for.
    pub(super) async fn finish(&self) {
        self.receiving.store(false, Ordering::Relaxed);
        let stream = lock(&self.stream).take();
        if !self.lingers.load(Ordering::Relaxed) {
            return;
        }
        if let Some(mut stream) = stream {
            let discard = async {
                let _ = stream.shutdown().await;
                let mut buffer = vec![0; DISCARD_BYTES];
                while let Ok(1..) = stream.read(&mut buffer).await {}
            };
            tokio::select! {
                _ = timeout(LINGER_TIME.as_duration(), discard) => {}
                () = self.closing.notified() => {}
            }
        }
    }
}

/// Counts a request as under way until it is dropped.
pub(super) struct RequestGuard {
    clock: Clock,
    connection: Arc<Connection>,
}

impl RequestGuard {
    pub(super) fn new(connection: &Arc<Connection>, multiplexed: bool, clock: Clock) -> Self {
        connection.multiplexed.store(multiplexed, Ordering::Relaxed);
        connection.requests.fetch_add(1, Ordering::Relaxed);
        Self {
            clock,
            connection: connection.clone(),
        }
    }

    /// Keeps the request under way until the body of its response is dropped.
    pub(super) fn attach(self, answer: Answer) -> Answer {
        answer.map(|body| {
            let guarded = GuardedBody { body, _guard: self };
            guarded.boxed_unsync()
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.clock.now().0;
        self.connection.idle_since.store(now, Ordering::Relaxed);
        self.connection.receiving.store(false, Ordering::Relaxed);
        self.connection.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a body as arriving until it is dropped.
pub(super) struct UploadGuard {
    connection: Arc<Connection>,
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.connection.uploads.fetch_sub(1, Ordering::Relaxed);
    }
}

struct GuardedBody {
    body: UnsyncBoxBody<Bytes, io::Error>,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The open connections of a server.
#[derive(Debug, Default)]
pub(super) struct Connections {
    /// Until when responses ask clients to close their connections, in ms.
    crowded_until: AtomicU64,
    next: AtomicU64,
    open: Mutex<HashMap<u64, Arc<Connection>>>,
}

/// An open connection, which is counted until this is dropped.
pub(super) struct OpenConnection {
    connections: Arc<Connections>,
    id: u64,
    pub(super) state: Arc<Connection>,
}

impl Connections {
    /// Counts a new connection of `listener`. At the maximum, it takes the place of the one that
    /// has been idle for longest, or else of the one whose client has kept it waiting for
    /// longest; `None` if there is none.
    pub(super) fn open(
        self: &Arc<Self>,
        listener: &'static str,
        client: SocketAddr,
        max: usize,
        now: Millis,
    ) -> Option<OpenConnection> {
        let mut open = lock(&self.open);
        if open.len() >= max {
            let Some((id, is_idle)) = replaced(&open, now) else {
                let until = now + CROWDED_TIME;
                self.crowded_until.store(until.0, Ordering::Relaxed);
                tracing::warn!(listener, %client, max, "client refused: all connections are in use");
                metrics::counter!("redwing_clients_refused_total", "listener" => listener)
                    .increment(1);
                return None;
            };
            let old = open.remove(&id)?;
            match is_idle {
                true => old.closing.notify_one(),
                false => {
                    let client = old.client.map(tracing::field::display);
                    tracing::warn!(listener, client, max, "stalled client cut for a new one");
                    metrics::counter!("redwing_clients_cut_total", "listener" => listener)
                        .increment(1);
                    old.cut();
                }
            }
        }
        let state = Arc::new(Connection {
            client: Some(client),
            idle_since: AtomicU64::new(now.0),
            progress: (AtomicU64::new(0), AtomicU64::new(now.0)),
            ..Connection::default()
        });
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        open.insert(id, state.clone());
        Some(OpenConnection {
            connections: self.clone(),
            id,
            state,
        })
    }
}

impl OpenConnection {
    /// The state of the listener that this connection shares with the others.
    pub(super) fn crowd(&self) -> Crowd {
        Crowd(self.connections.clone())
    }
}

/// Tells whether new connections find no place.
#[derive(Clone)]
pub(super) struct Crowd(Arc<Connections>);

impl Crowd {
    pub(super) fn is_present(&self, now: Millis) -> bool {
        now.0 < self.0.crowded_until.load(Ordering::Relaxed)
    }
}

/// The connection that a new one replaces, and whether it is idle.
fn replaced(open: &HashMap<u64, Arc<Connection>>, now: Millis) -> Option<(u64, bool)> {
    let mut idle = None;
    let mut stalled = None;
    for (id, state) in open {
        // Progress is only seen here, so every connection is looked at.
        let stall = state.stalled_since(now);
        let since = stall.filter(|at| now.since(*at) >= MIN_STALL);
        stalled = earlier(stalled, since.map(|at| (at, *id)));
        let since = state.idle_since();
        let since = since.filter(|at| now.since(*at) >= MIN_IDLE);
        idle = earlier(idle, since.map(|at| (at, *id)));
    }
    let idle = idle.map(|(_, id)| (id, true));
    idle.or(stalled.map(|(_, id)| (id, false)))
}

fn earlier(a: Option<(Millis, u64)>, b: Option<(Millis, u64)>) -> Option<(Millis, u64)> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.connections.open).remove(&self.id);
    }
}

/// A client's socket that counts what the client takes. When it is dropped, the socket goes
/// back to the connection's state.
pub(super) struct CountedStream {
    state: Arc<Connection>,
    stream: Option<TcpStream>,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, state: Arc<Connection>) -> Self {
        let stream = Some(stream);
        Self { state, stream }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.state
            .blocked
            .store(written.is_pending(), Ordering::Relaxed);
        let written = ready!(written)?;
        self.state
            .written
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        *lock(&self.state.stream) = self.stream.take();
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if self.state.widens.swap(false, Ordering::Relaxed)
            && let Some(stream) = &self.stream
        {
            let _ = SockRef::from(stream).set_recv_buffer_size(WIDE_BUFFER);
        }
        let read = self.stream()?.poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.state.receiving.store(true, Ordering::Relaxed);
            self.state.read.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write(context, buffer);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.stream()?.poll_write_vectored(context, buffers);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(TcpStream::is_write_vectored)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
