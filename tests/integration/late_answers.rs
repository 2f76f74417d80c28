//! Which request reads an answer: a server may answer a request twice, the second time late.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    header::HeaderName, //
};
use redwingpond::{
    base::{Clock, Millis},
    net::{CallError, Matching, Mismatch, Peer}, //
};
use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore, //
};

const ID: HeaderName = HeaderName::from_static("x-attempt-id");

const TIMEOUT: Millis = Millis(5_000);

/// A server that answers each request by its path.
struct Server {
    /// The connection of each request, in the order of the requests.
    connections: Mutex<Vec<usize>>,
    /// One permit for each second answer that was sent.
    repeated: Semaphore,
}

impl Server {
    /// Starts a server; answers to its client are matched by their ids.
    async fn open() -> (Arc<Self>, Peer) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            connections: Mutex::default(),
            repeated: Semaphore::new(0),
        });
        let accepting = server.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let server = accepting.clone();
                tokio::spawn(async move { server.serve(number, stream).await });
            }
        });
        let peer = Peer::open_as("server", Matching::Id(ID), address, Clock::open());
        (server, peer)
    }

    async fn serve(&self, number: usize, mut stream: TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        while stream.read_buf(&mut head).await? > 0 {
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            self.connections.lock().unwrap().push(number);
            let head = String::from_utf8(std::mem::take(&mut head)).unwrap();
            let target = head.split(' ').nth(1).unwrap_or_default();
            let (path, headers) = target.split_once('?').unwrap_or((target, ""));
            let status = path
                .trim_start_matches('/')
                .split('/')
                .next()
                .unwrap_or("200");
            let headers: String = headers.split('&').map(header_line).collect();
            let answer = format!("HTTP/1.1 {status} Done\r\n{headers}content-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await?;
            if path.ends_with("/twice") {
                stream.write_all(answer.as_bytes()).await?;
                self.repeated.add_permits(1);
            }
        }
        Ok(())
    }

    /// The connection of each request so far, which are counted from 0.
    fn connections(&self) -> Vec<usize> {
        self.connections.lock().unwrap().clone()
    }
}

/// The header of an answer that is asked for by `name=value` in the request's query.
fn header_line(parameter: &str) -> String {
    match parameter.split_once('=') {
        Some((name, value)) => {
            let value = value.replace("%20", " ").replace("%09", "\t");
            let value = value.replace("%22", "\"");
            format!("{name}: {value}\r\n")
        }
        None => String::new(),
    }
}

fn request(id: Option<&str>, target: &str) -> Request<Full<Bytes>> {
    let mut request = Request::get(target);
    if let Some(id) = id {
        request = request.header(ID, id);
    }
    request.body(Full::default()).unwrap()
}

/// Guards against an answer whose status, headers or body reach another request, and against
/// a further request on a connection that is out of step.
#[tokio::test]
async fn an_answer_is_read_only_by_the_request_that_it_names() {
    struct Test {
        id: Option<&'static str>,
        headers: &'static str,
        mismatch: Option<Mismatch>,
        /// Whether the next request goes over the same connection.
        reused: bool,
    }

    let own = Test {
        id: Some("a"),
        headers: "x-attempt-id=a",
        mismatch: None,
        reused: true,
    };
    let foreign = |headers, mismatch| Test {
        headers,
        mismatch: Some(mismatch),
        reused: false,
        ..own
    };
    for status in [200, 202, 409, 421, 422, 429, 500, 503] {
        for test in [
            Test { ..own },
            Test {
                headers: "x-attempt-id=a&x-not-executed=1",
                ..own
            },
            foreign("x-attempt-id=b&x-not-executed=1", Mismatch::OtherId),
            foreign("x-attempt-id=A", Mismatch::OtherId),
            foreign("x-not-executed=1", Mismatch::NoId),
            foreign("x-attempt-id=", Mismatch::OtherId),
            foreign("x-attempt-id=a&x-attempt-id=b", Mismatch::SeveralIds),
            foreign("x-attempt-id=a&x-attempt-id=a", Mismatch::SeveralIds),
            Test {
                id: None,
                ..foreign("x-attempt-id=a", Mismatch::UnsolicitedId)
            },
            // A second answer to it would be taken for that to the next one without an id.
            Test {
                id: None,
                headers: "",
                mismatch: None,
                reused: false,
            },
        ] {
            let (server, peer) = Server::open().await;
            let target = format!("/{status}?{}", test.headers);
            let answer = peer.call(request(test.id, &target), TIMEOUT).await;
            let name = format!("{:?} {target}", test.id);
            match (answer, test.mismatch) {
                (Ok(answer), None) => assert_eq!(answer.status, status, "{name}"),
                (Err(error), Some(mismatch)) => {
                    assert!(error.verdict().may_have_run(), "{name}");
                    let CallError::Foreign { reason, .. } = error else {
                        panic!("{name}: {error}");
                    };
                    assert_eq!(reason, mismatch, "{name}");
                }
                (answer, _) => panic!("{name}: {answer:?}"),
            }
            let next = request(Some("next"), "/200?x-attempt-id=next");
            assert!(peer.call(next, TIMEOUT).await.is_ok(), "{name}");
            let second = usize::from(!test.reused);
            assert_eq!(server.connections(), [0, second], "{name}");
        }
    }
}

/// Guards against a late second answer that is taken for the answer to a repeated request,
/// which has the same id.
#[tokio::test]
async fn an_id_is_sent_once_on_a_connection() {
    struct Test {
        ids: &'static [&'static str],
        connections: &'static [usize],
    }

    for test in [
        Test {
            ids: &["a", "b", "c"],
            connections: &[0, 0, 0],
        },
        Test {
            ids: &["a", "a", "a"],
            connections: &[0, 1, 2],
        },
        Test {
            ids: &["a", "b", "a", "b", "c"],
            connections: &[0, 0, 1, 1, 1],
        },
        Test {
            ids: &["a", "a", "b", "b"],
            connections: &[0, 1, 1, 0],
        },
    ] {
        let (server, peer) = Server::open().await;
        for id in test.ids {
            let target = format!("/503?x-attempt-id={id}&x-not-executed=1");
            let answer = peer.call_once(request(Some(id), &target), TIMEOUT).await;
            assert_eq!(answer.unwrap().status, 503);
        }
        assert_eq!(server.connections(), test.connections, "{:?}", test.ids);
    }

    // With one connection allowed, a repeated request takes the place of the first.
    let (server, peer) = Server::open().await;
    peer.set_max_open(Some(1));
    for _ in 0..3 {
        let answer = peer.call(request(Some("a"), "/200?x-attempt-id=a"), TIMEOUT);
        assert!(answer.await.is_ok());
    }
    assert_eq!(server.connections(), [0, 1, 2]);
}

/// Guards against a connection that remembers ever more requests.
#[tokio::test]
async fn a_connection_carries_a_bounded_number_of_requests() {
    let (server, peer) = Server::open().await;
    for number in 0..600 {
        let id = number.to_string();
        let target = format!("/200?x-attempt-id={id}");
        assert!(
            peer.call(request(Some(&id), &target), TIMEOUT)
                .await
                .is_ok()
        );
    }
    let connections = server.connections();
    for number in 0..=2 {
        let carried = connections.iter().filter(|carried| **carried == number);
        assert!(matches!(carried.count(), 1..=256), "{connections:?}");
    }
}

/// Guards against bytes that wait on an idle connection and are taken for the answer to the
/// next request: that one has not been sent yet and goes over another connection.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_on_an_idle_connection_answer_no_request() {
    for status in [200, 503] {
        let (server, peer) = Server::open().await;
        for number in 0..20 {
            let id = number.to_string();
            let target = format!("/{status}/twice?x-attempt-id={id}&x-not-executed=1");
            let answer = peer.call_once(request(Some(&id), &target), TIMEOUT).await;
            assert_eq!(answer.unwrap().status, status);
            // The second answer has been sent, and is on the connection.
            server.repeated.acquire().await.unwrap().forget();
        }
        let connections: Vec<usize> = (0..20).collect();
        assert_eq!(server.connections(), connections);
    }
}

/// Guards against a request without an id that reads what was meant for one before it.
#[tokio::test]
async fn a_request_without_an_id_has_a_connection_of_its_own() {
    let (server, peer) = Server::open().await;
    for id in [Some("a"), None, Some("b"), None] {
        let headers = id.map_or_else(String::new, |id| format!("x-attempt-id={id}"));
        let target = format!("/200?{headers}");
        assert!(peer.call(request(id, &target), TIMEOUT).await.is_ok());
    }
    assert_eq!(server.connections(), [0, 1, 0, 2]);
}

/// Guards against a call that loses its place in the line to a connection that it can't use.
#[tokio::test]
async fn a_waiting_call_gets_a_connection_that_it_may_use() {
    let (server, peer) = Server::open().await;
    peer.set_max_open(Some(1));
    let call = |id: &'static str| {
        let target = format!("/200?x-attempt-id={id}");
        peer.call(request(Some(id), &target), TIMEOUT)
    };
    // The second call with the id `a` waits first; the third can use the connection.
    let (first, second, third) = tokio::join!(call("a"), call("a"), call("b"));
    assert!(first.is_ok() && second.is_ok() && third.is_ok());
    assert_eq!(server.connections(), [0, 0, 1]);
}

/// What a server does on its first connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Reads the head of a request.
    Head,
    /// Reads the rest of a request's body.
    Body,
    /// Waits until what was sent has arrived.
    Pause,
    Send(&'static str),
    /// Reads nothing for a time.
    Stall,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It gets its own answer.
    Own,
    /// The answer to another request came in place of its own.
    Foreign,
    /// No whole answer came.
    Broken,
}

/// A server whose first connection follows a list of steps. Each request after them and on other
/// connections gets its own answer.
struct ScriptedServer {
    /// The connection of each request, in the order of the requests.
    connections: Arc<Mutex<Vec<usize>>>,
    /// One permit once the steps have ended.
    done: Arc<Semaphore>,
}

/// How long bytes take to arrive.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// How long a server reads nothing. A request that could be sent at once takes far less.
const STALL_TIME: Duration = Duration::from_millis(2_500);

impl ScriptedServer {
    async fn open(steps: Vec<Step>) -> (Self, Peer) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            connections: Arc::default(),
            done: Arc::new(Semaphore::new(0)),
        };
        let (connections, done) = (server.connections.clone(), server.done.clone());
        tokio::spawn(async move {
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (connections, done) = (connections.clone(), done.clone());
                let steps = match number {
                    0 => steps.clone(),
                    _ => Vec::new(),
                };
                tokio::spawn(async move {
                    let mut carried = ScriptedConnection::new(number, connections, stream);
                    let followed = carried.follow(&steps).await;
                    if number == 0 {
                        done.add_permits(1);
                    }
                    followed?;
                    carried.answer_all().await
                });
            }
        });
        let peer = Peer::open_as("server", Matching::Id(ID), address, Clock::open());
        (server, peer)
    }

    fn connections(&self) -> Vec<usize> {
        self.connections.lock().unwrap().clone()
    }
}

/// A connection to a [`ScriptedServer`].
struct ScriptedConnection {
    connections: Arc<Mutex<Vec<usize>>>,
    /// The bytes of the request's body that are still to be read.
    body: usize,
    buffer: Vec<u8>,
    id: String,
    number: usize,
    stream: TcpStream,
}

impl ScriptedConnection {
    fn new(number: usize, connections: Arc<Mutex<Vec<usize>>>, stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        Self {
            connections,
            body: 0,
            buffer: Vec::new(),
            id: String::new(),
            number,
            stream,
        }
    }

    async fn read_head(&mut self) -> io::Result<()> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let rest = self.buffer.split_off(end);
        let head = String::from_utf8(std::mem::replace(&mut self.buffer, rest)).unwrap();
        let value = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().to_owned()
        };
        self.id = value("x-attempt-id: ");
        self.body = value("content-length: ").parse().unwrap_or(0);
        self.connections.lock().unwrap().push(self.number);
        Ok(())
    }

    async fn read_body(&mut self) -> io::Result<()> {
        while self.buffer.len() < self.body {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.buffer.drain(..self.body);
        Ok(())
    }

    async fn follow(&mut self, steps: &[Step]) -> io::Result<()> {
        for step in steps {
            match step {
                Step::Head => self.read_head().await?,
                Step::Body => self.read_body().await?,
                Step::Pause => tokio::time::sleep(DELIVERY_TIME).await,
                Step::Stall => tokio::time::sleep(STALL_TIME).await,
                Step::Send(bytes) => self.stream.write_all(bytes.as_bytes()).await?,
            }
        }
        Ok(())
    }

    async fn answer_all(&mut self) -> io::Result<()> {
        loop {
            self.read_head().await?;
            self.read_body().await?;
            let id = &self.id;
            let answer =
                format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ncontent-length: 3\r\n\r\nown");
            self.stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// The own answer to the request with this id.
macro_rules! own {
    ($id:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: ",
            $id,
            "\r\ncontent-length: 3\r\n\r\nown"
        )
    };
}

/// The answer to an earlier request.
const LATE: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: z\r\ncontent-length: 4\r\n\r\nlate";

/// Sends the request with this id and checks that nothing of another's answer is read.
async fn ask(peer: &Peer, method: &Method, id: &str, body: usize) -> Outcome {
    let request = Request::builder()
        .method(method)
        .uri("/x")
        .header(ID, id)
        .body(Full::new(Bytes::from(vec![0; body])));
    let answer = match peer.call(request.unwrap(), TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) => {
            assert!(error.verdict().may_have_run(), "{error}");
            assert!(!matches!(error, CallError::Timeout { .. }), "{error}");
            return match error {
                CallError::Foreign { .. } => Outcome::Foreign,
                _ => Outcome::Broken,
            };
        }
    };
    assert_eq!(answer.headers[ID], id);
    assert!(!answer.headers.contains_key("x-late"));
    let has_body = method != Method::HEAD && !matches!(answer.status.as_u16(), 204 | 304);
    assert_eq!(answer.body, if has_body { "own" } else { "" });
    Outcome::Own
}

/// What a server does, and how its first two requests end.
struct ScriptTest {
    steps: Vec<Step>,
    method: Method,
    /// The length of the first request's body.
    body: usize,
    first: Outcome,
    second: Outcome,
    /// Whether the second request goes over the first one's connection.
    reused: bool,
}

impl ScriptTest {
    async fn check(self) {
        let Self {
            steps,
            method,
            body,
            first,
            second,
            reused,
        } = self;
        let name = format!("{method} {steps:?}");
        let (server, peer) = ScriptedServer::open(steps).await;
        assert_eq!(ask(&peer, &method, "a", body).await, first, "{name}");
        if !reused {
            let done = server.done.acquire();
            let done = tokio::time::timeout(TIMEOUT.as_duration(), done).await;
            drop(done.expect("the server has sent all"));
        }
        assert_eq!(ask(&peer, &Method::GET, "b", 0).await, second, "{name}");
        let third = ask(&peer, &Method::GET, "c", 0).await;
        assert_eq!(third, Outcome::Own, "{name}");
        let connections = server.connections();
        let second_on = usize::from(!reused);
        // A connection that carried a foreign answer carries no other request.
        let third_on = match second {
            Outcome::Own => second_on,
            Outcome::Foreign | Outcome::Broken => second_on + 1,
        };
        assert_eq!(connections, [0, second_on, third_on], "{name}");
    }
}

/// Guards against bytes behind a complete answer that are read by the next request, also if they
/// name it.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_an_answer_are_read_by_no_request() {
    let answers = [
        (Method::GET, own!("a")),
        (
            Method::GET,
            "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
             3\r\nown\r\n0\r\n\r\n",
        ),
        (
            Method::GET,
            "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
             3\r\nown\r\n0\r\nx-late: 1\r\n\r\n",
        ),
        (
            Method::GET,
            "HTTP/1.1 204 No Content\r\nx-attempt-id: a\r\n\r\n",
        ),
        (
            Method::GET,
            "HTTP/1.1 304 Not Modified\r\nx-attempt-id: a\r\ncontent-length: 4\r\n\r\n",
        ),
        (
            Method::HEAD,
            "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ncontent-length: 4\r\n\r\n",
        ),
    ];
    let bytes = [
        LATE,
        "HTTP/1.1 200 OK\r\nx-attempt-id: b\r\nx-late: 1\r\ncontent-length: 4\r\n\r\nlate",
        "HTTP/1.1 200 OK\r\nx-late: 1\r\ncontent-length: 4\r\n\r\nlate",
        "HTTP/1.1 200 OK\r\nx-attem",
        "HTTP/1.1 103 Early Hints\r\nx-attempt-id: z\r\n\r\n",
        "late",
        "\r\n",
    ];
    for (method, answer) in answers {
        for bytes in bytes {
            for is_apart in [false, true] {
                let joined: &'static str = format!("{answer}{bytes}").leak();
                let sent = match is_apart {
                    false => vec![Step::Send(joined)],
                    true => vec![Step::Send(answer), Step::Send(bytes), Step::Pause],
                };
                let test = ScriptTest {
                    steps: [vec![Step::Head], sent].concat(),
                    method: method.clone(),
                    body: 0,
                    first: Outcome::Own,
                    second: Outcome::Own,
                    reused: false,
                };
                test.check().await;
            }
        }
    }
}

/// More than a connection's buffers hold.
const LONG_BODY: usize = 16 * 1024 * 1024;

/// Guards against another request's answer that arrives before the own one: while the request is
/// still being written, in parts, or with interim responses.
#[tokio::test(flavor = "multi_thread")]
async fn another_answer_before_the_own_one_is_not_read() {
    use Step::{Body, Head, Pause, Send};

    let early = "HTTP/1.1 103 Early Hints\r\nx-attempt-id: z\r\nx-late: 1\r\n\r\n";
    let continues = "HTTP/1.1 100 Continue\r\n\r\n";
    let switching = "HTTP/1.1 101 Switching Protocols\r\nx-attempt-id: z\r\n\
                     connection: upgrade\r\nupgrade: late\r\n\r\n";
    let half = "HTTP/1.1 200 OK\r\nx-attempt-id: ";
    let rest = "z\r\ncontent-length: 4\r\n\r\nlate";
    let test = |steps: &[Step], first| ScriptTest {
        steps: steps.to_vec(),
        method: Method::GET,
        body: 0,
        first,
        second: Outcome::Own,
        reused: false,
    };
    let long = |steps: &[Step], first| ScriptTest {
        body: LONG_BODY,
        method: Method::POST,
        ..test(steps, first)
    };
    let reused = |steps: &[Step], second| ScriptTest {
        second,
        reused: true,
        ..test(steps, Outcome::Own)
    };
    let (a, b) = (own!("a"), own!("b"));
    let (own, foreign) = (Outcome::Own, Outcome::Foreign);
    for test in [
        long(&[Head, Send(LATE), Pause, Body, Send(a)], foreign),
        long(
            &[Head, Send(half), Pause, Send(rest), Body, Send(a)],
            foreign,
        ),
        // The own answer may come before the request is written, and other bytes behind it.
        long(&[Head, Send(a), Send(LATE), Pause, Body], own),
        test(&[Head, Send(LATE), Send(a)], foreign),
        test(&[Head, Send(early), Send(LATE), Send(a)], foreign),
        test(&[Head, Send(continues), Send(LATE), Send(a)], foreign),
        test(&[Head, Send(switching), Send(a)], foreign),
        // Half of the other answer waits as the next request is about to be written.
        test(&[Head, Send(a), Send(half), Pause], own),
        // It arrives after that.
        reused(
            &[Head, Send(a), Head, Send(half), Pause, Send(rest), Send(b)],
            foreign,
        ),
        reused(
            &[Head, Send(a), Head, Send(early), Send(LATE), Send(b)],
            foreign,
        ),
        // An interim response has no content that a caller gets.
        reused(&[Head, Send(early), Pause, Send(a)], own),
        reused(&[Head, Send(continues), Send(a)], own),
    ] {
        test.check().await;
    }
}

/// Guards against a request that waits, up to its timeout, for a server to read the rest of a
/// request that it has answered already.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_does_not_wait_for_one_that_is_answered_but_not_read() {
    let steps = vec![Step::Head, Step::Send(own!("a")), Step::Stall, Step::Body];
    let (server, peer) = ScriptedServer::open(steps).await;
    let first = ask(&peer, &Method::POST, "a", LONG_BODY).await;
    assert_eq!(first, Outcome::Own);
    assert_eq!(ask(&peer, &Method::GET, "b", 0).await, Outcome::Own);
    assert_eq!(server.connections(), [0, 1]);
}

/// Guards against parts of another's answer in the place of an own answer's rest.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_short_is_not_completed_by_another() {
    for cut in [
        "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\now",
        "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
         3\r\nown\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n",
    ] {
        let test = ScriptTest {
            steps: vec![Step::Head, Step::Send(cut), Step::Send(LATE)],
            method: Method::GET,
            body: 0,
            first: Outcome::Broken,
            second: Outcome::Own,
            reused: false,
        };
        test.check().await;
    }
}

/// Guards against bytes that arrive as the next request is being written: half of another's
/// answer before it, the rest after it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_arrives_around_the_next_request_is_not_read() {
    const HALF: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: z\r\nx-late: 1\r\ncontent-len";
    const REST: &str = "gth: 4\r\n\r\nlate";

    for _ in 0..200 {
        let steps = vec![
            Step::Head,
            Step::Send(own!("a")),
            Step::Send(HALF),
            Step::Head,
            Step::Send(REST),
            Step::Send(own!("b")),
        ];
        let (server, peer) = ScriptedServer::open(steps).await;
        assert_eq!(ask(&peer, &Method::GET, "a", 0).await, Outcome::Own);
        // The next request is on its way before the late bytes or after them.
        let second = ask(&peer, &Method::GET, "b", 0).await;
        let connections = server.connections();
        let expected = match connections[1] {
            0 => Outcome::Foreign,
            _ => Outcome::Own,
        };
        assert_eq!(second, expected, "{connections:?}");
        assert_eq!(ask(&peer, &Method::GET, "c", 0).await, Outcome::Own);
        assert_ne!(server.connections()[2], 0);
    }
}

/// Guards against ids that are taken for each other, or for none. The white space around an id is
/// no part of it.
#[tokio::test]
async fn ids_are_compared_without_the_white_space_around_them() {
    struct Test {
        id: &'static str,
        echoed: &'static str,
        is_own: bool,
    }

    let test = |id, echoed, is_own| Test { id, echoed, is_own };
    for test in [
        test("a", "%20%20a%09", true),
        test("a", "a,a", false),
        test("a", "%22a%22", false),
        test("a", "a%20a", false),
        test("aB", "Ab", false),
        test("a", "", false),
        test("", "", true),
        test("", "%20", true),
        test("", "a", false),
    ] {
        let (server, peer) = Server::open().await;
        let Test { id, echoed, is_own } = test;
        let target = format!("/200?x-attempt-id={echoed}");
        for _ in 0..2 {
            let answer = peer.call(request(Some(id), &target), TIMEOUT).await;
            assert_eq!(answer.is_ok(), is_own, "{id:?} {echoed:?}");
        }
        // An id goes once over a connection, also an empty one.
        assert_eq!(server.connections(), [0, 1], "{id:?} {echoed:?}");
    }
}
