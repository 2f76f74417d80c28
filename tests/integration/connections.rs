//! How many connections a process opens at a server, which calls wait for one, and which runs
//! are read to their end to keep theirs.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use redwingpond::{
    base::{Clock, Millis, Verdict},
    net::Peer,
    policy::connection_limit::{
        BrokenConnection, ConnectionLimit, EngineSpeed, HALVED_TIME, UnneededRun, max_open,
    }, //
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout, //
};

/// Guards against a server's limit being exceeded by many callers, against a limit of 0, which
/// would stop all calls, and against a limit where none is configured.
#[test]
fn limits_follow_the_number_of_callers() {
    struct Test {
        accepted: Option<usize>,
        callers: u32,
        limit: Option<usize>,
    }

    let test = |accepted, callers, limit| Test {
        accepted,
        callers,
        limit,
    };
    for Test {
        accepted,
        callers,
        limit,
    } in [
        test(Some(170), 0, Some(2)),
        test(Some(170), 1, Some(136)),
        test(Some(170), 15, Some(9)),
        test(Some(170), 71, Some(1)),
        test(Some(170), 500, Some(1)),
        test(Some(2), 0, Some(1)),
        test(Some(0), 0, Some(1)),
        test(None, 71, None),
        test(None, 0, None),
    ] {
        assert_eq!(max_open(accepted, callers), limit, "{accepted:?} {callers}");
    }
    // At each of the servers that are left, all callers together, whether or not they know
    // of each other.
    for callers in [71, 0] {
        let all = 71 * max_open(Some(170), callers).unwrap();
        assert!(all < 170, "{all} connections");
    }
}

/// Guards against a limit that stays halved, or that is lowered by connections that were
/// lost for other reasons than the server's limit.
#[test]
fn refused_connections_halve_the_limit_for_a_while() {
    struct Test {
        broken: BrokenConnection,
        refused: bool,
    }

    let test = |age, others, reset, refused| Test {
        broken: BrokenConnection {
            age: Millis(age),
            others,
            reset,
        },
        refused,
    };
    for Test { broken, refused } in [
        test(3, 1, true, true),
        test(900, 4, true, true),
        test(3, 0, true, false),
        test(3, 1, false, false),
        test(2_000, 4, true, false),
    ] {
        assert_eq!(broken.is_refused(), refused, "{broken:?}");
    }

    let mut limit = ConnectionLimit::default();
    limit.record_refusal(Millis(100));
    assert!(limit.permits(1_000, Millis(101)), "no limit is set");
    assert!(limit.set(Some(5)) && !limit.set(Some(5)));
    assert_eq!(limit.max(Millis(101)), Some(2));
    assert!(limit.permits(1, Millis(101)) && !limit.permits(2, Millis(101)));
    assert_eq!(limit.max(Millis(100) + HALVED_TIME), Some(5));
    limit.set(Some(1));
    assert_eq!(limit.max(Millis(101)), Some(1));
}

/// Guards against connections being closed shortly before the end of their streams, and
/// against an engine working on long texts that nobody needs.
#[test]
fn a_stream_is_drained_if_its_rest_is_short_and_slots_are_free() {
    struct Test {
        drained: bool,
        events: usize,
        expected: u32,
        free: u32,
        rest: Option<u64>,
        speed: EngineSpeed,
    }

    // An event carries 48 tokens.
    let speed = EngineSpeed {
        pace: 40.0,
        token_ms: 40.0 / 48.0,
    };
    let usual = Test {
        drained: true,
        events: 20,
        expected: 40 * 48,
        free: 1,
        rest: Some(800),
        speed,
    };
    let unknown = |speed| Test {
        drained: false,
        rest: None,
        speed,
        ..usual
    };
    for test in [
        Test { ..usual },
        Test {
            drained: false,
            free: 0,
            ..usual
        },
        // The rest takes too long.
        Test {
            drained: false,
            events: 14,
            rest: Some(1_040),
            ..usual
        },
        // The text is longer than expected: 30 events are, and then 45.
        Test {
            events: 30,
            expected: 30 * 48,
            rest: Some(600),
            ..usual
        },
        Test {
            drained: false,
            events: 70,
            expected: 30 * 48,
            rest: Some(1_250),
            ..usual
        },
        // The engine may not have begun.
        Test {
            events: 0,
            ..unknown(speed)
        },
        Test {
            expected: 0,
            ..unknown(speed)
        },
        unknown(EngineSpeed { pace: 0.0, ..speed }),
        unknown(EngineSpeed {
            token_ms: 0.0,
            ..speed
        }),
    ] {
        let run = UnneededRun {
            events: test.events,
            expected: test.expected,
        };
        let rest = run.rest(test.speed).map(|rest| rest.0);
        assert_eq!(rest, test.rest, "{run:?} {:?}", test.speed);
        let drained = run.is_drained(test.speed, test.free);
        assert_eq!(drained, test.drained, "{run:?} {}", test.free);
    }
}

/// A server that resets connections above its limit and answers by the request's path.
struct Listener {
    accepted: AtomicUsize,
    /// The connections above which it resets new ones.
    max: usize,
    open: AtomicUsize,
    /// The most connections that were open at once.
    peak: AtomicUsize,
    /// The requests that arrived.
    requests: AtomicUsize,
}

impl Listener {
    async fn open(max: usize) -> (Arc<Self>, Peer) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = Peer::open(listener.local_addr().unwrap(), Clock::open());
        let server = Arc::new(Self {
            accepted: AtomicUsize::new(0),
            max,
            open: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        });
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        (server, peer)
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        self.accepted.fetch_add(1, Ordering::SeqCst);
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(open, Ordering::SeqCst);
        let served = match open > self.max {
            // Closing a socket that lingers for no time resets its connection.
            true => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
            false => self.answer_requests(&mut stream).await,
        };
        self.open.fetch_sub(1, Ordering::SeqCst);
        served
    }

    async fn answer_requests(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        while stream.read_buf(&mut head).await? > 0 {
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            self.requests.fetch_add(1, Ordering::SeqCst);
            let head = String::from_utf8(std::mem::take(&mut head)).unwrap();
            let answer = match head.split(' ').nth(1) {
                Some("/close") => "connection: close\r\ncontent-length: 2\r\n\r\nok",
                Some("/half") => "content-length: 9\r\n\r\nhalf",
                Some("/break") => return Ok(()),
                Some("/hang") => continue,
                _ => "content-length: 2\r\n\r\nok",
            };
            tokio::time::sleep(Duration::from_millis(20)).await;
            let answer = format!("HTTP/1.1 200 OK\r\n{answer}");
            stream.write_all(answer.as_bytes()).await?;
            if answer.contains("close") {
                return Ok(());
            }
        }
        Ok(())
    }
}

const TIMEOUT: Millis = Millis(2_000);

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).unwrap()
}

/// Waits until `condition` holds, for a second at most.
async fn wait_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..200 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    false
}

/// Guards against more connections than the limit allows, and against calls that overtake
/// others in the line or wait forever.
#[tokio::test]
async fn calls_above_the_limit_wait_in_their_order() {
    let (server, peer) = Listener::open(100).await;
    peer.set_max_open(Some(2));
    let ended = std::sync::Mutex::new(Vec::new());
    let calls = (0..9).map(|number| {
        let (peer, ended) = (&peer, &ended);
        async move {
            let answer = match number % 2 {
                0 => peer.call(get("/ok"), TIMEOUT).await,
                _ => peer.call_once(get("/close"), TIMEOUT).await,
            };
            ended.lock().unwrap().push(number);
            answer.map(|answer| answer.status.as_u16())
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| matches!(answer, Ok(200))));
    assert_eq!(server.peak.load(Ordering::SeqCst), 2);
    // Two calls run at once, so neighbours may change places.
    let ended = ended.into_inner().unwrap();
    let in_order = ended.iter().enumerate();
    assert!(
        in_order
            .clone()
            .all(|(place, number)| place.abs_diff(*number) <= 1),
        "{ended:?}"
    );

    // A raised limit lets waiting calls go on at once.
    peer.forget_connections();
    let raising = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!peer.has_capacity());
        peer.set_max_open(Some(3));
    };
    let hang = || peer.call(get("/hang"), Millis(600));
    let (_, _, answer, ()) =
        tokio::join!(hang(), hang(), peer.call(get("/ok"), Millis(300)), raising);
    assert_eq!(answer.unwrap().status, 200);
}

/// Guards against a place that is never freed, with which all later calls would wait until
/// they time out, and against one that is freed while the connection is still open.
#[tokio::test]
async fn each_end_of_a_connection_frees_its_place() {
    for path in ["/ok", "/close", "/half", "/break", "/hang"] {
        let (server, peer) = Listener::open(100).await;
        peer.set_max_open(Some(1));
        let opened = peer.open_stream(get(path), Millis(100), &|| true).await;
        // The body is dropped in the middle, or unread.
        drop(opened);
        let call = peer.call(get(path), Millis(100)).await;
        assert_eq!(call.is_ok(), matches!(path, "/ok" | "/close"), "{path}");
        // The call is dropped while it runs, and others while they wait.
        let running = async {
            let call = || peer.call(get("/hang"), TIMEOUT);
            tokio::join!(call(), call(), call())
        };
        let stopped = tokio::time::timeout(Duration::from_millis(50), running).await;
        assert!(stopped.is_err(), "{path}");
        let answer = peer.call(get("/ok"), TIMEOUT).await;
        assert_eq!(answer.unwrap().status, 200, "{path}");
        assert_eq!(peer.open_count(), 1, "{path}");
        assert!(peer.has_capacity(), "{path}");

        // The only connection is idle for too long for this call, and is replaced.
        if path == "/ok" {
            tokio::time::sleep(Duration::from_millis(1_100)).await;
            let answer = peer.call_once(get("/ok"), TIMEOUT).await;
            assert_eq!(answer.unwrap().status, 200);
        }
        assert_eq!(server.peak.load(Ordering::SeqCst), 1, "{path}");
        peer.forget_connections();
        let closed = || peer.open_count() == 0 && server.open.load(Ordering::SeqCst) == 0;
        assert!(wait_until(closed).await, "{path}");
    }
}

/// Guards against a call that waited in vain being taken for one that may have run, which
/// would not be sent again, and against its timeout closing the connections of other calls.
#[tokio::test]
async fn a_call_that_waits_in_vain_has_not_run() {
    let (server, peer) = Listener::open(100).await;
    peer.set_max_open(Some(1));
    let held = peer
        .open_stream(get("/half"), TIMEOUT, &|| true)
        .await
        .unwrap();
    let error = peer.call(get("/ok"), Millis(50)).await.unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun, "{error}");
    assert!(!error.is_refused());
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
    drop(held);
    // One whose request was written may have run.
    let error = peer.call(get("/hang"), Millis(50)).await.unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun, "{error}");
}

/// A request that was abandoned while its server was cut off reached it seconds later, as the
/// operating system went on sending it.
#[tokio::test]
async fn an_abandoned_request_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer::open(listener.local_addr().unwrap(), Clock::open());
    for name in ["dropped", "timed out", "stream dropped"] {
        let wait = Duration::from_millis(50);
        let call = async {
            match name {
                "timed out" => drop(peer.call(get("/x"), Millis(50)).await),
                "dropped" => drop(timeout(wait, peer.call(get("/x"), TIMEOUT)).await),
                _ => drop(timeout(wait, peer.open_stream(get("/x"), TIMEOUT, &|| true)).await),
            }
        };
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            loop {
                match stream.read(&mut request).await {
                    Ok(0) => return io::ErrorKind::UnexpectedEof,
                    Ok(_) => {}
                    Err(error) => return error.kind(),
                }
            }
        };
        let (end, ()) = tokio::join!(serve, call);
        assert_eq!(end, io::ErrorKind::ConnectionReset, "{name}");
    }
}

/// Guards against reset connections being replaced by further ones at once, and against a
/// waiting call that nobody wakes when the halving ends.
#[tokio::test]
async fn a_reset_connection_halves_the_limit_until_it_is_over() {
    let (server, peer) = Listener::open(1).await;
    peer.set_max_open(Some(2));
    let held = peer
        .open_stream(get("/half"), TIMEOUT, &|| true)
        .await
        .unwrap();
    assert!(peer.has_capacity());
    let error = peer.call(get("/ok"), TIMEOUT).await.unwrap_err();
    assert!(error.is_over_limit(), "{error}");
    let ran = server.requests.load(Ordering::SeqCst) > 1;
    assert!(!ran || error.verdict().may_have_run());
    assert!(wait_until(|| peer.open_count() == 1).await);
    assert!(!peer.has_capacity());

    let accepted = server.accepted.load(Ordering::SeqCst);
    let waiting = peer.call(get("/ok"), HALVED_TIME + TIMEOUT);
    let soon = tokio::time::timeout(Duration::from_millis(300), waiting).await;
    assert!(soon.is_err(), "the limit is not halved");
    assert_eq!(server.accepted.load(Ordering::SeqCst), accepted);
    // The limit is whole again while the call waits; the server resets its connection too.
    let waiting = peer.call(get("/ok"), HALVED_TIME + TIMEOUT).await;
    assert!(waiting.unwrap_err().is_over_limit());
    drop(held);

    // Without a limit, connections are opened as before.
    peer.set_max_open(None);
    assert!(peer.has_capacity());
}
