//! Sends requests to one address over pooled keep-alive connections.

use super::{
    AnswerCheck,
    CallError,
    InvalidAnswer,
    StreamBody,
    answer_budget::{AnswerBudget, AnswerHold},
    body_budget::{BodyHold, MAX_HELD_BYTES},
    call_error::{
        BrokenSnafu, ConnectSnafu, ForeignSnafu, InvalidSnafu, TimeoutSnafu, TooLargeSnafu,
        WithdrawnSnafu, is_reset,
    },
    check_status,
    connection::{Connection, IdleState, SendFailure},
    idle_connection::{closes_connection, usable_until},
    matching::{Matching, RequestKey},
    pool::{Grant, Place, Pool, Turn}, //
};
use crate::{
    base::{Clock, Millis},
    policy::connection_limit::BrokenConnection, //
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
    body::Incoming,
    header::{HOST, HeaderValue}, //
};
use snafu::{
    OptionExt,
    ResultExt, //
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    }, //
};
use tokio::net::TcpStream;

/// A response whose body has been read.
#[derive(Clone, Debug)]
pub struct FullResponse {
    pub body: Bytes,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

/// A response whose body is still to be read.
pub struct StreamingResponse {
    pub body: StreamBody,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

/// A client of one address, with a pool of connections. Clones share the pool.
#[derive(Clone)]
pub struct Peer {
    address: SocketAddr,
    /// The memory for its answers; `None` for a peer whose answers are not kept for callers.
    answers: Option<Arc<AnswerBudget>>,
    /// What counts as the answer to a request with an id.
    check: AnswerCheck,
    matching: Matching,
    pool: Arc<Pool>,
}

/// How long opening a connection may take. A peer in another data centre answers within a
/// few milliseconds, one without power never, and the operating system repeats a lost SYN
/// only after a second.
const CONNECT_TIMEOUT: Millis = Millis(600);

/// How long sent bytes may stay unacknowledged before the operating system closes the
/// connection: a peer behind a network partition doesn't even send a reset.
const TCP_USER_TIMEOUT: Millis = Millis(3_000);

/// How long an ending process takes to close its connections and its listener.
const PROCESS_EXIT_TIME: Millis = Millis(10);

/// The idle time before the first TCP keepalive probe, and the time between probes.
const TCP_KEEPALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// A machine that lost power resets its old connections once it is back, also those whose
/// requests it had read. That takes longer than this.
const MIN_REBOOT_TIME: Millis = Millis(1_000);

/// The largest response body that is read into memory: several times a page of the store.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// How long the rest of an answer of unknown length may wait for room.
const GROWTH_TIMEOUT: Millis = Millis(1_000);

/// The receive buffer of a connection whose answers are kept for callers, in bytes. What a
/// caller does not read stays at the server.
const RECEIVE_BUFFER: usize = 32 * 1024;

/// How long a request waits for idle connections to be ready, all of them together. A connection
/// is not ready while the peer, which has answered already, still reads the request before.
const READY_TIMEOUT: Millis = Millis(20);

/// How long the rest of a body that is not needed may take. Reading it to the end lets the next
/// request use the connection.
const DISCARD_TIMEOUT: Millis = Millis(100);

/// Whether a request may be sent. Asked again at the moment when it is sent, and while it waits for
/// a connection.
pub type MaySend<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// How often a request that waits for a connection asks whether it may be sent.
const MAY_SEND_INTERVAL: Millis = Millis(50);

/// How a request is sent and its answer read.
#[derive(Clone, Copy)]
pub struct Exchange<'a> {
    /// Whether the request is sent only over a new connection or one that was used a moment ago,
    /// as it must run at most once.
    pub fresh_only: bool,
    /// Whether the request may still be sent.
    pub may_send: MaySend<'a>,
    /// Whether the body of an answer with this head is needed. Another one is discarded, and the
    /// response has an empty body.
    pub needs_body: fn(StatusCode, &HeaderMap) -> bool,
    /// The time for the complete answer.
    pub timeout: Millis,
}

/// A connection that was just opened.
struct NewConnection {
    opened_at: Millis,
    /// The number of other connections open at that time.
    others: usize,
    connection: Connection,
}

/// Whether a call's request has been given to a connection. Until then the peer can't have
/// run it.
#[derive(Default)]
struct Progress(AtomicBool);

impl Progress {
    fn set_written(&self, written: bool) {
        self.0.store(written, Ordering::Relaxed);
    }

    fn is_written(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Peer {
    /// A peer at `address` that answers each request once, without connections yet.
    pub fn open(address: SocketAddr, clock: Clock) -> Self {
        Self::open_as("other", Matching::Order, address, clock)
    }

    /// As [`Peer::open`], for a peer whose answers are matched as `matching` says; `role` says
    /// what the peer is, as a label of metrics.
    pub fn open_as(
        role: &'static str,
        matching: Matching,
        address: SocketAddr,
        clock: Clock,
    ) -> Self {
        Self {
            address,
            answers: None,
            check: check_status,
            matching,
            pool: Pool::open(address, clock, role),
        }
    }

    /// The same peer, whose answers are kept for callers in the memory of `answers`.
    pub fn for_callers(self, answers: Arc<AnswerBudget>) -> Self {
        Self {
            answers: Some(answers),
            ..self
        }
    }

    /// The same peer, whose answers to requests with an id are checked by `check`.
    pub fn checked(self, check: AnswerCheck) -> Self {
        Self { check, ..self }
    }

    /// Drops the idle connections, which may be dead after the peer was unreachable.
    pub fn forget_connections(&self) {
        self.pool.clear();
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the pool has a usable connection.
    pub fn is_connected(&self) -> bool {
        self.pool.is_connected()
    }

    /// Whether a call could be sent now: a connection is idle, or another may be opened.
    pub fn has_capacity(&self) -> bool {
        self.pool.has_capacity()
    }

    /// The number of connections that are open or being opened.
    pub fn open_count(&self) -> usize {
        self.pool.open_count()
    }

    /// Limits the number of open connections, to at least 1; `None` for no limit. A call
    /// above the limit waits for a connection, in the order of the calls and within its
    /// timeout. While there is a limit, a connection that the peer resets shortly after it
    /// was opened halves the limit for a while.
    pub fn set_max_open(&self, max: Option<usize>) {
        self.pool.set_max_open(max);
    }

    /// Sends `request` and reads the complete response, all within `timeout`.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have run the request.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<FullResponse, CallError> {
        let exchange = Exchange {
            fresh_only: false,
            may_send: &|| true,
            needs_body: |_, _| true,
            timeout,
        };
        self.exchange(request, exchange).await
    }

    /// As [`Peer::call`], for a request that must run at most once: it is sent over a new
    /// connection or one that was used a moment ago.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have run the request.
    pub async fn call_once(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<FullResponse, CallError> {
        let exchange = Exchange {
            fresh_only: true,
            may_send: &|| true,
            needs_body: |_, _| true,
            timeout,
        };
        self.exchange(request, exchange).await
    }

    /// Sends `request` and reads the response as `exchange` says.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have run the request.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        exchange: Exchange<'_>,
    ) -> Result<FullResponse, CallError> {
        let Exchange {
            fresh_only,
            may_send,
            timeout,
            ..
        } = exchange;
        let progress = Progress::default();
        let work = async {
            let response = self.send(request, fresh_only, may_send, &progress).await?;
            if (exchange.needs_body)(response.status, &response.headers) {
                return self.read_body(response, timeout).await;
            }
            response.body.discard(timeout.min(DISCARD_TIMEOUT)).await;
            Ok(FullResponse {
                body: Bytes::new(),
                headers: response.headers,
                status: response.status,
            })
        };
        self.with_timeout(work, timeout, &progress).await
    }

    /// Sends `request`, if `may_send` holds then, and waits at most `timeout` for the head of the
    /// response.
    ///
    /// # Errors
    ///
    /// A [`CallError`], whose verdict says whether the peer may have run the request.
    pub async fn open_stream(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Millis,
        may_send: MaySend<'_>,
    ) -> Result<StreamingResponse, CallError> {
        let progress = Progress::default();
        let sending = self.send(request, false, may_send, &progress);
        self.with_timeout(sending, timeout, &progress).await
    }

    /// Whether the peer refuses new connections, as nothing listens at its address any more;
    /// false if no attempt to connect shows that within `timeout`. A connection that stays open
    /// goes into the pool.
    ///
    /// An ending process closes its connections and its listener one after the other. A
    /// connection opened in between fails or is closed at once; then another is tried.
    pub async fn refuses_connections(&self, timeout: Millis) -> bool {
        let probe = async {
            loop {
                let place = self.pool.take_extra_place();
                let connection = match self.connect(place).await {
                    Ok(new) => Some(new.connection),
                    Err(error) if error.is_refused() => return true,
                    Err(_) => None,
                };
                tokio::time::sleep(PROCESS_EXIT_TIME.as_duration()).await;
                if let Some(connection) = connection.filter(|connection| !connection.is_closed()) {
                    let until = usable_until(self.pool.now(), &HeaderMap::new());
                    self.pool.put(connection, until);
                    return false;
                }
            }
        };
        let result = tokio::time::timeout(timeout.as_duration(), probe);
        result.await.unwrap_or(false)
    }

    /// Runs `work` for at most `timeout`. If it takes longer after the request was written,
    /// drops all idle connections.
    async fn with_timeout<T>(
        &self,
        work: impl Future<Output = Result<T, CallError>>,
        timeout: Millis,
        progress: &Progress,
    ) -> Result<T, CallError> {
        if let Ok(result) = tokio::time::timeout(timeout.as_duration(), work).await {
            return result;
        }
        let address = self.address;
        if self.pool.is_limited() && !progress.is_written() {
            let message = format!("no free connection within {timeout}");
            return not_connected(address, message, false).fail();
        }
        // Open connections can stop responding permanently while new ones work, so
        // none of the idle ones is reused after a timeout.
        self.pool.clear();
        TimeoutSnafu { address, timeout }.fail()
    }

    /// Reads the body; each part may take `timeout`.
    async fn read_body(
        &self,
        mut response: StreamingResponse,
        timeout: Millis,
    ) -> Result<FullResponse, CallError> {
        let address = self.address;
        let mut hold = BodyHold::open(self.pool.role());
        let mut place = AnswerHold::default();
        let announced = response.body.announced().min(MAX_RESPONSE_BYTES);
        self.take_place(&mut place, announced).await;
        let mut body = BytesMut::with_capacity(announced);
        while let Some(part) = response.body.next(timeout).await? {
            let limit = MAX_RESPONSE_BYTES;
            let length = body.len() + part.len();
            (length <= limit)
                .then_some(())
                .context(TooLargeSnafu { address, limit })?;
            let limit = MAX_HELD_BYTES;
            hold.add(part.len())
                .then_some(())
                .context(TooLargeSnafu { address, limit })?;
            if length > body.capacity() {
                // What is allocated counts, not what has arrived.
                let capacity = length.max(2 * body.capacity());
                let growing = self.take_place(&mut place, capacity);
                // Answers of unknown length that have a part of their places could wait for each
                // other.
                tokio::time::timeout(GROWTH_TIMEOUT.as_duration(), growing)
                    .await
                    .ok()
                    .context(TooLargeSnafu { address, limit })?;
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&part);
        }
        hold.complete();
        Ok(FullResponse {
            body: place.attach(body.freeze()),
            headers: response.headers,
            status: response.status,
        })
    }

    /// Waits until there is room for `bytes` of an answer.
    async fn take_place(&self, place: &mut AnswerHold, bytes: usize) {
        if let Some(answers) = &self.answers {
            answers.grow(place, bytes).await;
        }
    }

    /// Sends `request` over an idle connection, or over a new one if there is none; waits for
    /// one while the limit is reached. An idle connection that turns out to be closed before
    /// any byte of the request was written is skipped.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        fresh_only: bool,
        may_send: MaySend<'_>,
        progress: &Progress,
    ) -> Result<StreamingResponse, CallError> {
        let address = self.address;
        let mut request = request;
        let id = self.matching.id_of(request.headers()).cloned();
        let key = id.as_ref().map(RequestKey::of);
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(address.to_string());
            request
                .headers_mut()
                .extend(host.ok().map(|host| (HOST, host)));
        }

        let place = loop {
            let mut connection = match self.take(key, fresh_only, may_send).await? {
                Grant::Idle(idle) => idle.connection,
                Grant::Place(place) => break place,
            };
            progress.set_written(true);
            let sent_at = self.pool.now();
            let failed = match connection.send(request, key).await {
                Ok(answer) => return self.accept(id.as_ref(), connection, answer),
                Err(failed) => failed,
            };
            match failed.unsent {
                Some(unsent) => request = unsent,
                None => {
                    let unread = self.is_unread(&failed, sent_at);
                    let SendFailure { begun, error, .. } = failed;
                    tracing::info!(server = %address, reused = true, unread, begun, %error, "connection broke");
                    let context = BrokenSnafu {
                        address,
                        over_limit: false,
                        unread,
                    };
                    return Err(error).context(context);
                }
            }
            progress.set_written(false);
        };

        let NewConnection {
            opened_at,
            others,
            mut connection,
        } = self.connect(place).await?;
        if !may_send() {
            let until = usable_until(self.pool.now(), &HeaderMap::new());
            self.pool.put(connection, until);
            return WithdrawnSnafu { address }.fail();
        }
        progress.set_written(true);
        let sent_at = self.pool.now();
        let failed = match connection.send(request, key).await {
            Ok(answer) => return self.accept(id.as_ref(), connection, answer),
            Err(failed) => failed,
        };
        let unsent = failed.unsent.is_some();
        let unread = unsent || self.is_unread(&failed, sent_at);
        let SendFailure { begun, error, .. } = failed;
        let age = self.pool.now().since(opened_at);
        let over_limit = self.pool.record_broken(BrokenConnection {
            age,
            others,
            reset: unsent || (is_reset(&error) && !begun),
        });
        let age = age.0;
        tracing::info!(server = %address, reused = false, age, unsent, unread, over_limit, begun, %error, "connection broke");
        match unsent && self.pool.is_limited() {
            true => not_connected(address, error.to_string(), over_limit).fail(),
            false => Err(error).context(BrokenSnafu {
                address,
                over_limit,
                unread,
            }),
        }
    }

    /// Whether the peer reset the connection without having read the request, which was given
    /// to the connection at `sent_at`. A peer that began to answer has read it.
    fn is_unread(&self, failed: &SendFailure, sent_at: Millis) -> bool {
        let early = self.pool.now().since(sent_at) < MIN_REBOOT_TIME;
        is_reset(&failed.error) && !failed.begun && early
    }

    /// Takes an idle connection on which the request `key` can be sent, or the place for a new
    /// one, while `may_send` holds.
    async fn take(
        &self,
        key: Option<RequestKey>,
        fresh_only: bool,
        may_send: MaySend<'_>,
    ) -> Result<Grant, CallError> {
        let address = self.address;
        // Without an id, only the first answer on a connection is known to be its own.
        if key.is_none() && matches!(self.matching, Matching::Id(_)) {
            return Ok(Grant::Place(self.pool.take_extra_place()));
        }
        let mut patience = READY_TIMEOUT;
        loop {
            let grant = match self.pool.take(key, fresh_only) {
                Turn::Now(grant) => Some(grant),
                Turn::Wait(waiting) => tokio::select! {
                    biased;
                    grant = waiting.granted() => grant,
                    () = wait_forbidden(may_send) => return WithdrawnSnafu { address }.fail(),
                },
            };
            let mut idle = match grant {
                Some(Grant::Idle(idle)) => idle,
                Some(Grant::Place(place)) => return Ok(Grant::Place(place)),
                None => continue,
            };
            match idle.connection.is_ready(patience).await {
                true if !may_send() => {
                    self.pool.put(idle.connection, idle.usable_until);
                    return WithdrawnSnafu { address }.fail();
                }
                true if self.is_empty(&idle.connection) => return Ok(Grant::Idle(idle)),
                true => {}
                false => patience = Millis(0),
            }
        }
    }

    /// Whether nothing has arrived on a connection that awaits no answer.
    fn is_empty(&self, connection: &Connection) -> bool {
        let state = connection.idle_state();
        if state == IdleState::UnsolicitedBytes {
            self.count_foreign("unsolicited-bytes");
            tracing::warn!(server = %self.address, role = self.pool.role(), "unsolicited bytes on an idle connection");
        }
        state == IdleState::Empty
    }

    fn count_foreign(&self, reason: &'static str) {
        let role = self.pool.role();
        metrics::counter!("redwing_foreign_answers_total", "role" => role, "reason" => reason)
            .increment(1);
    }

    /// Passes on the answer to the request with this id. A response that is none, or the answer
    /// to another request, is not read, and its connection is closed.
    fn accept(
        &self,
        id: Option<&HeaderValue>,
        connection: Connection,
        answer: hyper::Response<Incoming>,
    ) -> Result<StreamingResponse, CallError> {
        let check = id.map_or(check_status as AnswerCheck, |_| self.check);
        let checked = check(answer.status(), answer.headers());
        let Err(reason) = self.matching.check(id, answer.headers()) else {
            if let Err(reason) = checked {
                return self.reject(id, answer.status(), reason);
            }
            // A second answer without an id would be taken for the next one without an id.
            let reusable = id.is_some() || matches!(self.matching, Matching::Order);
            let connection = reusable.then_some(connection);
            return Ok(self.streaming_response(connection, answer));
        };
        self.count_foreign(reason.label());
        let role = self.pool.role();
        let text = |id: &HeaderValue| String::from_utf8_lossy(id.as_bytes()).into_owned();
        let (id, found) = (
            id.map(text),
            self.matching.id_of(answer.headers()).map(text),
        );
        let status = answer.status().as_u16();
        tracing::warn!(server = %self.address, role, id, found, status, %reason, "answer to another request");
        let address = self.address;
        ForeignSnafu { address, reason }.fail()
    }

    /// Records a response that is not an answer.
    fn reject<T>(
        &self,
        id: Option<&HeaderValue>,
        status: StatusCode,
        reason: InvalidAnswer,
    ) -> Result<T, CallError> {
        let (address, role, status) = (self.address, self.pool.role(), status.as_u16());
        tracing::warn!(server = %address, role, ?id, status, %reason, "response is not an answer");
        metrics::counter!("redwing_invalid_answers_total", "role" => role, "reason" => reason.label())
            .increment(1);
        InvalidSnafu { address, reason }.fail()
    }

    /// Converts `answer`, whose body is still to be read. Its connection goes to the pool after
    /// that, if it is given here.
    fn streaming_response(
        &self,
        connection: Option<Connection>,
        answer: hyper::Response<Incoming>,
    ) -> StreamingResponse {
        let (head, body) = answer.into_parts();
        let connection = connection.filter(|_| !closes_connection(&head.headers));
        StreamingResponse {
            body: StreamBody {
                address: self.address,
                body,
                connection,
                pool: self.pool.clone(),
                usable_until: usable_until(self.pool.now(), &head.headers),
            },
            headers: head.headers,
            status: head.status,
        }
    }

    /// Opens a connection, which holds `place` until it is closed.
    async fn connect(&self, place: Place) -> Result<NewConnection, CallError> {
        let address = self.address;
        let failed = |error: &dyn std::fmt::Display, refused| {
            let context = ConnectSnafu {
                address,
                message: error.to_string(),
                over_limit: false,
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
        configure_socket(&stream).map_err(|error| failed(&error, false))?;
        if self.answers.is_some() {
            let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER);
        }

        let (connection, driver) = Connection::open(stream)
            .await
            .map_err(|error| failed(&error, false))?;
        metrics::counter!("redwing_connections_opened_total").increment(1);
        let others = self.pool.open_count().saturating_sub(1);
        tokio::spawn(async move {
            let _place = place;
            if let Err(error) = driver.await {
                tracing::debug!(%address, %error, "connection to peer failed");
            }
        });
        Ok(NewConnection {
            opened_at: self.pool.now(),
            others,
            connection,
        })
    }
}

/// Waits until `may_send` doesn't hold any more.
async fn wait_forbidden(may_send: MaySend<'_>) {
    while may_send() {
        tokio::time::sleep(MAY_SEND_INTERVAL.as_duration()).await;
    }
}

/// The error of a request that was not written to any connection.
fn not_connected(
    address: SocketAddr,
    message: String,
    over_limit: bool,
) -> ConnectSnafu<SocketAddr, String, bool, bool> {
    ConnectSnafu {
        address,
        message,
        over_limit,
        refused: false,
    }
}

/// Makes the operating system detect a peer that disappears without a reset: unacknowledged
/// bytes time out, and idle connections are probed.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.as_duration()))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(TCP_KEEPALIVE_INTERVAL)
        .with_interval(TCP_KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
