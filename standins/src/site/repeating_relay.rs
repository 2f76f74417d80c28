//! A relay before a server, which sends chosen answers a second time, late.

use super::raw_request::{
    RawRequest,
    accept_connections, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING}, //
};
use hyper_util::rt::TokioIo;
use redwingpond::platform::ATTEMPT_ID;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration, //
};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf}, //
    },
    task::JoinHandle, //
};

/// What the second answer to a request is.
#[derive(Clone, Copy, Debug)]
pub enum SecondAnswer {
    /// The same bytes as the first.
    Copy,
    /// These bytes. `{id}` stands for the id of the request that they answer, and `{next}` for
    /// that of the request in whose place they arrive.
    Bytes(&'static str),
}

/// When a second answer is sent, on the connection of the first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LateMoment {
    /// After the next request whose path begins with [`Repetition::reader`] was read, directly
    /// before its answer.
    BeforeNext,
    /// As [`Self::BeforeNext`], but without waiting for that answer, which follows after a
    /// pause.
    LongBeforeNext,
    /// Directly after the first answer, while the connection is idle.
    WhileIdle,
}

/// The answers to send a second time.
#[derive(Clone, Copy, Debug)]
pub struct Repetition {
    pub answer: SecondAnswer,
    pub moment: LateMoment,
    /// The prefix of the paths of the requests in whose place second answers arrive.
    pub reader: &'static str,
    /// The number of answers that are sent once before the first that is sent twice.
    pub skipped: usize,
    /// The prefix of the paths of the requests that are answered twice.
    pub source: &'static str,
}

/// A request that a connection carried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CarriedRequest {
    /// Empty for a request without an id.
    pub id: String,
    pub path: String,
}

/// What a connection to the relay carried.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    /// The number of requests that had been read when a second answer was sent; `None` if none
    /// was.
    pub late_after: Option<usize>,
    pub requests: Vec<CarriedRequest>,
}

/// A running relay; dropping it stops accepting connections.
pub struct RepeatingRelay {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

struct Inner {
    state: Mutex<State>,
    target: SocketAddr,
}

/// The time from a second answer to the answer of the request in whose place it was sent, with
/// [`LateMoment::LongBeforeNext`].
const ANSWER_PAUSE: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    connections: Vec<CarriedRequests>,
    /// The number of answers that were kept to be sent again.
    kept: usize,
    /// See [`RepeatingRelay::open_requests`].
    open: usize,
    /// Taken when a second answer is sent.
    plan: Option<Repetition>,
    /// Counts the plans, so that no answer is kept beyond its plan.
    plan_number: usize,
    /// The number of second answers that were sent whole.
    sent: usize,
}

/// A second answer that waits for the next request on its connection.
struct KeptAnswer {
    bytes: Vec<u8>,
    plan_number: usize,
}

impl RepeatingRelay {
    /// Starts a relay to the server at `target`.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            state: Mutex::default(),
            target,
        });
        let served = inner.clone();
        let serve = move |client| {
            let served = served.clone();
            async move { served.serve(client).await }
        };
        let (address, task) = accept_connections(serve).await?;
        Ok(Self {
            address,
            inner,
            task,
        })
    }

    /// Sends one answer a second time.
    pub fn set_repetition(&self, repetition: Repetition) {
        let mut state = self.inner.state();
        state.plan = Some(repetition);
        state.plan_number += 1;
    }

    /// The number of answers that were kept to be sent again.
    pub fn kept(&self) -> usize {
        self.inner.state().kept
    }

    /// The number of second answers that were sent.
    pub fn sent(&self) -> usize {
        self.inner.state().sent
    }

    /// The number of requests that were read and that the server has not answered yet, or whose
    /// answers are still being sent. They are sent to the server even if the client closes its
    /// connection.
    pub fn open_requests(&self) -> usize {
        self.inner.state().open
    }

    /// What each connection carried, in the order in which they were opened.
    pub fn connections(&self) -> Vec<CarriedRequests> {
        self.inner.state().connections.clone()
    }

    /// The requests that were sent over a connection after a second answer had arrived there.
    pub fn requests_after_late(&self) -> Vec<CarriedRequest> {
        let state = self.inner.state();
        let after = state.connections.iter().flat_map(|connection| {
            let late_after = connection.late_after.unwrap_or(connection.requests.len());
            &connection.requests[late_after..]
        });
        after.cloned().collect()
    }
}

impl Drop for RepeatingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a request as open until dropped.
struct OpenRequest<'a>(&'a Inner);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

impl RawRequest {
    fn headers(&self) -> io::Result<HeaderMap> {
        let lines = self.head.lines().skip(1);
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| {
            let name = HeaderName::try_from(name).map_err(io::Error::other)?;
            let value = HeaderValue::try_from(value.trim()).map_err(io::Error::other)?;
            Ok((name, value))
        });
        headers.collect()
    }

    /// The request as it is sent to the server.
    fn build(&self) -> io::Result<Request<Full<Bytes>>> {
        let mut first = self.head.split(' ');
        let method = first.next().unwrap_or_default();
        let body = Bytes::copy_from_slice(&self.body);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::try_from(method).map_err(io::Error::other)?;
        *request.uri_mut() = self.path().parse().map_err(io::Error::other)?;
        *request.headers_mut() = self.headers()?;
        Ok(request)
    }

    fn id(&self) -> io::Result<String> {
        let headers = self.headers()?;
        let id = headers.get(ATTEMPT_ID).map(HeaderValue::to_str);
        let id = id.transpose().map_err(io::Error::other)?;
        Ok(id.unwrap_or_default().to_owned())
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves the requests of a connection one after the other.
    async fn serve(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let (mut from_client, mut to_client) = client.split();
        let server = TcpStream::connect(self.target).await?;
        server.set_nodelay(true)?;
        let opened = handshake(TokioIo::new(server)).await;
        let (mut server, driver) = opened.map_err(io::Error::other)?;
        tokio::spawn(driver);
        let connection = self.add_connection();
        let mut kept = None;
        while let Some(request) = RawRequest::read(&mut from_client).await? {
            let _open = self.add_request(connection, &request)?;
            let early = self.take_late(connection, &request, &mut kept, true)?;
            let answer = ask(&mut server, &request);
            let (sent, answer) = tokio::join!(self.send_early(early, &mut to_client), answer);
            let answer = answer?;
            if sent? {
                tokio::time::sleep(ANSWER_PAUSE).await;
            }
            let late = self.take_late(connection, &request, &mut kept, false)?;
            self.send_late(late, &mut to_client).await?;
            let bytes = tokio::select! {
                bytes = forward(answer, &mut to_client) => bytes?,
                () = closed(&mut from_client) => return Ok(()),
            };
            let idle = self.keep(connection, &request, bytes, &mut kept)?;
            self.send_late(idle, &mut to_client).await?;
        }
        Ok(())
    }

    fn add_connection(&self) -> usize {
        let mut state = self.state();
        state.connections.push(CarriedRequests::default());
        state.connections.len() - 1
    }

    fn add_request(&self, connection: usize, request: &RawRequest) -> io::Result<OpenRequest<'_>> {
        let carried = CarriedRequest {
            id: request.id()?,
            path: request.path().to_owned(),
        };
        let mut state = self.state();
        state.connections[connection].requests.push(carried);
        state.open += 1;
        Ok(OpenRequest(self))
    }

    /// Keeps the second answer to `request` if it is to be answered twice; `bytes` is the first.
    /// Returns it if it is due now.
    fn keep(
        &self,
        connection: usize,
        request: &RawRequest,
        bytes: Vec<u8>,
        kept: &mut Option<KeptAnswer>,
    ) -> io::Result<Option<Vec<u8>>> {
        let Some((repetition, plan_number)) = self.take_answered(request) else {
            return Ok(None);
        };
        let bytes = match repetition.answer {
            SecondAnswer::Bytes(bytes) => bytes.replace("{id}", &request.id()?).into_bytes(),
            SecondAnswer::Copy => bytes,
        };
        *kept = Some(KeptAnswer { bytes, plan_number });
        match repetition.moment {
            LateMoment::WhileIdle => self.take_late(connection, request, kept, false),
            LateMoment::BeforeNext | LateMoment::LongBeforeNext => Ok(None),
        }
    }

    /// The present plan and its number, if the answer to `request` is to be sent twice.
    fn take_answered(&self, request: &RawRequest) -> Option<(Repetition, usize)> {
        let mut state = self.state();
        let plan_number = state.plan_number;
        let plan = state.plan.as_mut()?;
        if !request.path().starts_with(plan.source) {
            return None;
        }
        if plan.skipped > 0 {
            plan.skipped -= 1;
            return None;
        }
        let plan = *plan;
        state.kept += 1;
        Some((plan, plan_number))
    }

    /// Takes the second answer to be sent now on a connection that carried `request` last;
    /// `early` says that the server may not have answered that.
    fn take_late(
        &self,
        connection: usize,
        request: &RawRequest,
        kept: &mut Option<KeptAnswer>,
        early: bool,
    ) -> io::Result<Option<Vec<u8>>> {
        let mut state = self.state();
        let is_due = state.plan.is_some_and(|plan| {
            let is_present = kept
                .as_ref()
                .is_some_and(|kept| kept.plan_number == state.plan_number);
            let is_reader = request.path().starts_with(plan.reader);
            is_present
                && match plan.moment {
                    LateMoment::BeforeNext => is_reader && !early,
                    LateMoment::LongBeforeNext => is_reader && early,
                    LateMoment::WhileIdle => !early,
                }
        });
        let Some(late) = kept.take_if(|_| is_due) else {
            return Ok(None);
        };
        state.plan = None;
        let connection = &mut state.connections[connection];
        connection.late_after = Some(connection.requests.len());
        let text = String::from_utf8_lossy(&late.bytes);
        Ok(Some(text.replace("{next}", &request.id()?).into_bytes()))
    }

    /// As [`Self::send_late`]; returns whether there was a second answer.
    async fn send_early(
        &self,
        late: Option<Vec<u8>>,
        to_client: &mut WriteHalf<'_>,
    ) -> io::Result<bool> {
        let is_early = late.is_some();
        self.send_late(late, to_client).await?;
        Ok(is_early)
    }

    async fn send_late(
        &self,
        late: Option<Vec<u8>>,
        to_client: &mut WriteHalf<'_>,
    ) -> io::Result<()> {
        if let Some(late) = late {
            to_client.write_all(&late).await?;
            self.state().sent += 1;
        }
        Ok(())
    }
}

/// Sends a request to the server and waits for the head of the answer.
async fn ask(
    server: &mut SendRequest<Full<Bytes>>,
    request: &RawRequest,
) -> io::Result<Response<Incoming>> {
    server.ready().await.map_err(io::Error::other)?;
    let answer = server.send_request(request.build()?).await;
    answer.map_err(io::Error::other)
}

/// Sends an answer to the client while it arrives; returns its bytes.
async fn forward(answer: Response<Incoming>, to_client: &mut WriteHalf<'_>) -> io::Result<Vec<u8>> {
    let (head, mut body) = answer.into_parts();
    let mut bytes = format!("HTTP/1.1 {}\r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    to_client.write_all(&bytes).await?;

    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(io::Error::other)?.into_data() else {
            continue;
        };
        let begun = bytes.len();
        if chunked {
            bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        bytes.extend_from_slice(&data);
        if chunked {
            bytes.extend_from_slice(b"\r\n");
        }
        to_client.write_all(&bytes[begun..]).await?;
    }
    if chunked {
        bytes.extend_from_slice(b"0\r\n\r\n");
        to_client.write_all(b"0\r\n\r\n").await?;
    }
    Ok(bytes)
}

/// Waits until the client closes the connection.
async fn closed(from_client: &mut ReadHalf<'_>) {
    if matches!(from_client.peek(&mut [0; 1]).await, Ok(1..)) {
        std::future::pending::<()>().await;
    }
}
