//! Requests to one address over kept connections.

use super::{
    CallError,
    StreamBody,
    call_error::{BrokenSnafu, ConnectSnafu, TimeoutSnafu, TooLargeSnafu},
    idle_line::{FRESH, IdleLine, closes, usable_until}, //
};
use crate::base::{
    Clock,
    Millis, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Request,
    StatusCode,
    client::conn::http1::{Builder, SendRequest}, //
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::{
    OptionExt,
    ResultExt, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError}, //
};
use tokio::net::TcpStream;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub body: Bytes,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

/// An answer whose body is still to be read.
pub struct Opened {
    pub body: StreamBody,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

/// One address and the connections kept to it.
#[derive(Clone)]
pub struct Peer {
    address: SocketAddr,
    lines: Arc<Lines>,
}

/// How long a connection may take to come about. A peer in another data centre
/// answers in a few milliseconds; one that has no power never does, and the
/// system's own retry of a lost opening packet comes after a second.
const CONNECT_TIMEOUT: Millis = Millis(600);

/// How long sent bytes may stay unacknowledged before the system gives the
/// connection up. A peer behind a partition sends nothing, not even a reset.
const USER_TIMEOUT: Millis = Millis(3_000);

/// How long a process that ends takes to close all that it has open.
const CLOSING: Millis = Millis(10);

/// Silence after which the system probes a kept connection, and between probes.
const KEEPALIVE: std::time::Duration = std::time::Duration::from_secs(2);

/// The most connections kept idle to one address.
const IDLE_MOST: usize = 32;

/// The largest answer that is taken whole.
const ANSWER_MOST: usize = 16 * 1024 * 1024;

/// The idle connections of one peer, newest last.
pub(super) struct Lines {
    clock: Clock,
    idle: Mutex<Vec<IdleLine>>,
}

impl Lines {
    pub(super) fn put(&self, sender: SendRequest<Full<Bytes>>, usable_until: Millis) {
        let line = IdleLine {
            sender,
            since: self.clock.now(),
            usable_until,
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|line| !line.sender.is_closed());
        if idle.len() < IDLE_MOST {
            idle.push(line);
        }
    }

    /// The connection used last, which is the one least likely to be closed;
    /// with `fresh`, only one that was used a moment ago.
    fn take(&self, fresh: bool) -> Option<IdleLine> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|line| !line.sender.is_closed() && line.usable_until > now);
        let stale = |line: &IdleLine| fresh && now.since(line.since) > FRESH;
        match idle.last().is_some_and(stale) {
            true => None,
            false => idle.pop(),
        }
    }

    fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }
}

impl Peer {
    /// A peer at `address`, to which nothing is open yet.
    pub fn open(address: SocketAddr, clock: Clock) -> Self {
        let idle = Mutex::default();
        let lines = Arc::new(Lines { clock, idle });
        Self { address, lines }
    }

    /// Drops the kept connections: the peer was away, and they may be dead.
    pub fn forget_connections(&self) {
        self.lines.clear();
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection is kept over which a request can go at once.
    pub fn is_connected(&self) -> bool {
        let now = self.lines.clock.now();
        let idle = self
            .lines
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let usable = |line: &IdleLine| !line.sender.is_closed() && line.usable_until > now;
        idle.iter().any(usable)
    }

    /// Sends `request` and reads the whole answer, all within `within`.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have acted.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        within: Millis,
    ) -> Result<Answer, CallError> {
        self.whole(request, within, false).await
    }

    /// As [`Peer::call`], for a request that must run at most once: it goes
    /// over a connection that is new or was used a moment ago.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have acted.
    pub async fn call_once(
        &self,
        request: Request<Full<Bytes>>,
        within: Millis,
    ) -> Result<Answer, CallError> {
        self.whole(request, within, true).await
    }

    /// Sends `request` and waits at most `within` for the head of the answer.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have acted.
    pub async fn open_stream(
        &self,
        request: Request<Full<Bytes>>,
        within: Millis,
    ) -> Result<Opened, CallError> {
        self.bounded(self.start(request, false), within).await
    }

    /// Whether nothing listens at the peer's address any more, found out within
    /// `within` by new connections, of which one that stands is kept.
    ///
    /// A process that ends closes its connections and its listener one after the
    /// other. A connection that comes about in between is closed at once, or fails
    /// while it is set up: then it is looked at again a moment later.
    pub async fn is_gone(&self, within: Millis) -> bool {
        let look = async {
            loop {
                let line = match self.connect().await {
                    Ok(line) => Some(line),
                    Err(error) if error.is_refused() => return true,
                    Err(_) => None,
                };
                tokio::time::sleep(CLOSING.as_duration()).await;
                if let Some(line) = line.filter(|line| !line.is_closed()) {
                    let until = usable_until(self.lines.clock.now(), &HeaderMap::new());
                    self.lines.put(line, until);
                    return false;
                }
            }
        };
        let looked = tokio::time::timeout(within.as_duration(), look);
        looked.await.unwrap_or(false)
    }

    async fn whole(
        &self,
        request: Request<Full<Bytes>>,
        within: Millis,
        fresh: bool,
    ) -> Result<Answer, CallError> {
        let whole = async {
            let opened = self.start(request, fresh).await?;
            self.collect(opened, within).await
        };
        self.bounded(whole, within).await
    }

    async fn bounded<T>(
        &self,
        work: impl Future<Output = Result<T, CallError>>,
        within: Millis,
    ) -> Result<T, CallError> {
        match tokio::time::timeout(within.as_duration(), work).await {
            Ok(result) => result,
            Err(_) => {
                // Open connections can go silent for good while new ones work:
                // after a silence none of the kept ones is trusted.
                self.lines.clear();
                let address = self.address;
                TimeoutSnafu { address, within }.fail()
            }
        }
    }

    async fn collect(&self, mut opened: Opened, within: Millis) -> Result<Answer, CallError> {
        let mut body = BytesMut::new();
        while let Some(part) = opened.body.next(within).await? {
            let address = self.address;
            let limit = ANSWER_MOST;
            (body.len() + part.len() <= limit)
                .then_some(())
                .context(TooLargeSnafu { address, limit })?;
            body.extend_from_slice(&part);
        }
        Ok(Answer {
            body: body.freeze(),
            headers: opened.headers,
            status: opened.status,
        })
    }

    /// Sends over a kept connection, or over a new one when the kept one turns
    /// out to be closed before any byte of the request was written.
    async fn start(&self, request: Request<Full<Bytes>>, fresh: bool) -> Result<Opened, CallError> {
        let address = self.address;
        let mut request = request;
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(address.to_string());
            request
                .headers_mut()
                .extend(host.ok().map(|host| (HOST, host)));
        }

        while let Some(line) = self.lines.take(fresh) {
            let mut sender = line.sender;
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.opened(sender, answer)),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(failed.into_error()).context(BrokenSnafu { address }),
                },
            }
        }

        let mut sender = self.connect().await?;
        let answer = sender.send_request(request).await;
        let answer = answer.context(BrokenSnafu { address })?;
        Ok(self.opened(sender, answer))
    }

    fn opened(
        &self,
        sender: SendRequest<Full<Bytes>>,
        answer: hyper::Response<hyper::body::Incoming>,
    ) -> Opened {
        let (head, body) = answer.into_parts();
        let sender = (!closes(&head.headers)).then_some(sender);
        Opened {
            body: StreamBody {
                address: self.address,
                body,
                lines: self.lines.clone(),
                sender,
                usable_until: usable_until(self.lines.clock.now(), &head.headers),
            },
            headers: head.headers,
            status: head.status,
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let address = self.address;
        let failed = |error: &dyn std::fmt::Display, refused| {
            let message = error.to_string();
            let context = ConnectSnafu {
                address,
                message,
                refused,
            };
            context.build()
        };
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT.as_duration(), connecting)
            .await
            .map_err(|_| failed(&format!("no connection within {CONNECT_TIMEOUT}"), false))?
            .map_err(|error| {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused;
                failed(&error, refused)
            })?;
        guard_against_silence(&stream).map_err(|error| failed(&error, false))?;

        let (sender, connection) = Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(&error, false))?;
        metrics::counter!("redwing_connections_opened_total").increment(1);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection ended");
            }
        });
        Ok(sender)
    }
}

/// Lets the system notice a peer that falls silent without a reset: unsent
/// bytes time out, and idle connections are probed.
fn guard_against_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT.as_duration()))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&probes)
}
