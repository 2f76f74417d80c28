//! Which request reads an answer: a server may answer a request twice, the second time late.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header::HeaderName, //
};
use redwingpond::{
    base::{Clock, Millis},
    net::{CallError, Matching, Mismatch, Peer}, //
};
use std::{
    io,
    sync::{Arc, Mutex}, //
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
        Some((name, value)) => format!("{name}: {value}\r\n"),
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
