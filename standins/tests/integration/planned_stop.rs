//! Requests around the planned stop of a gateway, on connections of every kind.

use super::site::{RESULTS_TIMEOUT, check_whole, holds_within, sleep, wait_for_runners};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    client::conn::http2, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use redwing_standins::site::{
    Batch,
    Capacity,
    EngineFaults,
    FaultyRelay,
    PlainFault,
    PlainServer,
    RawAnswer,
    RawEnd,
    SiteOptions,
    TestSite, //
};
use redwingpond::{
    base::{Clock, Millis},
    policy::load_features::LoadFeatures, //
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering}, //
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout, //
};

/// The time between the signal and the end of a process, as the tests' settings have it.
const GRACE: Millis = Millis(8_000);

/// Until when after the signal the balancer may send requests.
const BALANCER_TIME: Millis = Millis(3_000);

/// A request that was sent in [`BALANCER_TIME`] may be cut in the last sixth of [`GRACE`].
const LAST_SIXTH: Millis = Millis(GRACE.0 * 5 / 6);

/// Until when after its last byte a request may end with a closed connection, if it was not
/// passed on.
const CLOSE_SLACK: Millis = Millis(200);

/// Until when after the signal everything is served: the rest of [`BALANCER_TIME`] is for the
/// way to the gateway.
const SERVED_TIME: Millis = Millis(2_500);

/// How long a server needs.
const SERVICE_TIME: Millis = Millis(1_000);

/// How a client uses its connection.
#[derive(Clone, Copy, Debug)]
enum Use {
    /// Opened when the request is sent.
    New,
    /// Opened before the signal, without a request so far.
    Unused,
    /// Has carried a request before the signal.
    Kept,
    /// The first bytes of the head were sent before the signal.
    HalfHead,
    /// All but the last byte of the body was sent before the signal.
    HalfBody,
    /// A second request is sent together with the first.
    Pipelined,
    /// An HTTP/2 connection that has carried a request before the signal.
    Http2,
    /// An HTTP/2 connection that was opened when the request is sent.
    NewHttp2,
}

/// A request, and when it is sent.
#[derive(Clone, Copy, Debug)]
struct Case {
    connection: Use,
    /// How long its client waits.
    deadline: u64,
    path: &'static str,
    /// When its last byte is sent after the signal.
    sent_at: u64,
}

impl Case {
    fn id(&self) -> String {
        let path = self.path.trim_matches('/').replace('/', "-");
        format!(
            "{path}-{:?}-{}-{}",
            self.connection, self.deadline, self.sent_at
        )
    }

    /// Until when after the signal the client waits, whose connection was `prepared` before it:
    /// from the end of the head on.
    fn end(&self, prepared: Millis) -> Millis {
        match self.connection {
            Use::HalfBody if self.method() == Method::POST => Millis(self.deadline) - prepared,
            _ => Millis(self.sent_at + self.deadline),
        }
    }

    fn method(&self) -> Method {
        match self.path.starts_with("/redwingpond/") {
            true => Method::GET,
            false => Method::POST,
        }
    }

    fn body(&self, id: &str) -> Bytes {
        match self.path {
            "/roll/x" => Batch::new(id, 1, 1, 1).body().into(),
            _ if self.method() == Method::GET => Bytes::new(),
            _ => Bytes::copy_from_slice(id.as_bytes()),
        }
    }

    fn bytes(&self, id: &str) -> Vec<u8> {
        let (method, path, deadline) = (self.method(), self.path, self.deadline);
        let body = self.body(id);
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: {deadline}\r\nx-wait-ms: {deadline}\r\ncontent-length: {length}\r\n\r\n"
        );
        [head.as_bytes(), &body].concat()
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Default)]
struct End {
    /// When, after the signal.
    at: Millis,
    /// Whether the whole answer arrived.
    complete: bool,
    /// Whether the answer announces the end of the connection.
    closes: bool,
    /// How long before the signal the connection was prepared.
    prepared: Millis,
    status: Option<u16>,
}

/// Reads an answer to its end, or to that of the connection.
async fn read_answer(stream: &mut TcpStream) -> End {
    let mut answer = Vec::new();
    let mut part = vec![0; 16 * 1024];
    loop {
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let whole = match length.and_then(|length| length.parse::<usize>().ok()) {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            let end = End {
                closes: head.contains("connection: close"),
                complete: whole,
                status: head
                    .split(' ')
                    .nth(1)
                    .and_then(|status| status.parse().ok()),
                ..End::default()
            };
            if whole {
                return end;
            }
        }
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => {
                let status = text
                    .split(' ')
                    .nth(1)
                    .and_then(|status| status.parse().ok());
                return End {
                    status,
                    ..End::default()
                };
            }
            Ok(read) => answer.extend_from_slice(&part[..read]),
        }
    }
}

/// The client of one case.
struct Client {
    address: SocketAddr,
    case: Case,
    clock: Clock,
    prepared: Arc<AtomicUsize>,
    signal: watch::Receiver<Option<Millis>>,
}

impl Client {
    /// Prepares the connection, waits for the signal, and sends the request.
    async fn run(mut self) -> End {
        let id = self.case.id();
        if matches!(self.case.connection, Use::Http2 | Use::NewHttp2) {
            return self.run_http2(&id).await;
        }
        let bytes = self.case.bytes(&id);
        let (early, late) = match self.case.connection {
            Use::HalfHead => bytes.split_at(20),
            Use::HalfBody => bytes.split_at(bytes.len() - 1),
            _ => bytes.split_at(0),
        };
        let mut stream = None;
        if !matches!(self.case.connection, Use::New | Use::Pipelined) {
            let mut opened = TcpStream::connect(self.address).await.unwrap();
            if matches!(self.case.connection, Use::Kept) {
                let before = Case {
                    path: "/safe/x",
                    deadline: 4_000,
                    ..self.case
                };
                let bytes = before.bytes(&format!("{id}-before"));
                opened.write_all(&bytes).await.unwrap();
                assert_eq!(read_answer(&mut opened).await.status, Some(200), "{id}");
            }
            opened.write_all(early).await.unwrap();
            stream = Some(opened);
        }
        let (signal, prepared) = self.wait_signal().await;
        let mut stream = match stream {
            Some(stream) => stream,
            None => match TcpStream::connect(self.address).await {
                Ok(stream) => stream,
                // The process takes no connections any more.
                Err(_) => return End::default(),
            },
        };
        let mut sent = late.to_vec();
        if matches!(self.case.connection, Use::Pipelined) {
            sent.extend(self.case.bytes(&format!("{id}-second")));
        }
        // A closed connection shows in the end of the answer.
        let _ = stream.write_all(&sent).await;
        let end = read_answer(&mut stream).await;
        End {
            at: self.clock.now().since(signal),
            prepared,
            ..end
        }
    }

    async fn run_http2(&mut self, id: &str) -> End {
        let mut open = None;
        if matches!(self.case.connection, Use::Http2) {
            let mut sender = open_http2(self.address).await.expect("a connection");
            let before = Case {
                path: "/safe/x",
                deadline: 4_000,
                ..self.case
            };
            let answer = ask_http2(&mut sender, &before, &format!("{id}-before")).await;
            assert_eq!(answer.status, Some(200), "{id}");
            open = Some(sender);
        }
        let (signal, prepared) = self.wait_signal().await;
        if open.is_none() {
            open = open_http2(self.address).await;
        }
        let end = match &mut open {
            Some(sender) => ask_http2(sender, &self.case, id).await,
            None => End::default(),
        };
        End {
            at: self.clock.now().since(signal),
            prepared,
            ..end
        }
    }

    /// Waits until the request is due. Returns when the signal came, and how long before it the
    /// connection was prepared.
    async fn wait_signal(&mut self) -> (Millis, Millis) {
        let prepared = self.clock.now();
        self.prepared.fetch_add(1, Ordering::Relaxed);
        let signal = self.signal.wait_for(Option::is_some).await;
        let signal = signal.ok().and_then(|signal| *signal).expect("a signal");
        let due = signal + Millis(self.case.sent_at);
        sleep(due.since(self.clock.now()).0).await;
        (signal, signal.since(prepared))
    }
}

type Sender = http2::SendRequest<Full<Bytes>>;

async fn open_http2(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let opened = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, driver) = opened.await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}

async fn ask_http2(sender: &mut Sender, case: &Case, id: &str) -> End {
    let request = Request::builder()
        .method(case.method())
        .uri(format!("http://site.example{}", case.path))
        .header("host", "site.example")
        .header("x-attempt-id", id)
        .header("x-deadline-ms", case.deadline)
        .header("x-wait-ms", case.deadline)
        .body(Full::new(case.body(id)))
        .unwrap();
    let Ok(answer) = sender.send_request(request).await else {
        return End::default();
    };
    let status = Some(answer.status().as_u16());
    End {
        complete: answer.into_body().collect().await.is_ok(),
        closes: true,
        status,
        ..End::default()
    }
}

/// A site with one gateway, whose streams never end by themselves.
async fn open_site() -> (TestSite, PlainServer, FaultyRelay) {
    let options = SiteOptions {
        engines: 1,
        gateways: 1,
        plain: 1,
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    site.put_config(serde_json::json!([{
        "name": "flow", "host": "site.example", "pathPrefix": "/flow/", "routeType": "streaming",
        "timeoutMs": 12_000, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 3,
        "service": "flows",
    }, {
        "name": "long", "host": "site.example", "pathPrefix": "/long/", "routeType": "unsafe",
        "timeoutMs": 12_000, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 3,
        "service": "plain",
    }]));
    let server = PlainServer::open("flows").await.unwrap();
    let relay = FaultyRelay::open(server.address).await.unwrap();
    site.announce("flows", "flows", relay.address, "ready");
    let events = RawAnswer {
        bytes: b"HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: seal\r\n\
                 content-type: text/event-stream\r\n\r\n"
            .to_vec(),
        end: RawEnd::Endless(|number| format!("id: {number}\ndata: x\n\n").into_bytes()),
        pause: Millis(100),
    };
    relay.set_answers("/flow/", vec![events; 1_000]);
    site.plain[0].set_service_time(SERVICE_TIME);
    let batch = Batch::new("waits", 1, 1, 1);
    site.engines[0].set_event_time(Millis(60_000));
    assert_eq!(site.submit(0, &batch).await, Some(202));
    (site, server, relay)
}

/// What is wrong with the end of a request that may have run `runs` times.
fn check(case: &Case, end: End, runs: usize) -> Option<String> {
    let sent_at = Millis(case.sent_at);
    let deadline = case.end(end.prepared);
    let in_time = sent_at <= SERVED_TIME && sent_at + SERVICE_TIME <= deadline;
    let is_stream = case.path.starts_with("/flow/");
    let wrong = match end.status {
        // It promises that the request did not run.
        Some(408 | 429 | 503) if runs > 0 => Some("refused after it ran"),
        status if in_time && !matches!(status, Some(200 | 202)) => {
            Some("not served while the balancer may send")
        }
        Some(503) if !end.closes => Some("refused on a connection that stays open"),
        _ if end.complete => None,
        // A stream ends at its deadline.
        _ if is_stream && end.at >= deadline => None,
        _ if sent_at <= BALANCER_TIME && runs > 0 && end.at >= LAST_SIXTH => None,
        _ if runs > 0 => Some("cut after it was passed on"),
        _ if end.at > sent_at + CLOSE_SLACK => Some("closed late without an answer"),
        _ => None,
    };
    wrong.map(|wrong| format!("{}: {wrong}: {end:?}, {runs} runs", case.id()))
}

/// A gateway is stopped in calm. Requests that came late in its grace were taken, passed on and
/// cut without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_stopping_gateway_are_answered_or_never_run() {
    let uses = [
        Use::New,
        Use::Unused,
        Use::Kept,
        Use::HalfHead,
        Use::HalfBody,
        Use::Pipelined,
        Use::Http2,
        Use::NewHttp2,
    ];
    let paths = [
        ("/safe/x", 2_000),
        ("/once/x", 2_000),
        ("/long/x", 10_000),
        ("/flow/x", 1_500),
        ("/flow/x", 4_000),
        ("/roll/x", 2_000),
        ("/redwingpond/lots/waits?startAfter=0", 10_000),
    ];
    let times = [
        500, 2_000, 2_700, 3_050, 4_000, 5_000, 5_900, 6_200, 6_500, 6_700,
    ];
    let mut cases = Vec::new();
    for connection in uses {
        for (path, deadline) in paths {
            cases.extend(times.map(|sent_at| Case {
                connection,
                deadline,
                path,
                sent_at,
            }));
        }
    }
    let (site, _server, relay) = open_site().await;
    let (signal, signalled) = watch::channel(None);
    let prepared = Arc::new(AtomicUsize::new(0));
    let address = site.gateways[0].callers;
    let clients: Vec<_> = cases
        .iter()
        .map(|case| {
            let client = Client {
                address,
                case: *case,
                clock: site.clock,
                prepared: prepared.clone(),
                signal: signalled.clone(),
            };
            tokio::spawn(client.run())
        })
        .collect();
    let all_prepared = || prepared.load(Ordering::Relaxed) == cases.len();
    assert!(holds_within(&site, RESULTS_TIMEOUT, all_prepared).await);
    site.gateways[0].handle.drain();
    signal.send_replace(Some(site.clock.now()));
    let ends = timeout(GRACE.as_duration() * 2, join_all(clients))
        .await
        .unwrap();
    let violations: Vec<String> = cases
        .iter()
        .zip(ends)
        .filter_map(|(case, end)| {
            let id = case.id();
            let runs = site.plain[0].runs_of(&id) + relay.answers_to(&id);
            let second = site.plain[0].runs_of(&format!("{id}-second"));
            let end = end.unwrap();
            let mut wrong = check(case, end, runs);
            if second > 0 && end.closes {
                wrong = Some(format!("{id}: the second request ran after the close"));
            }
            wrong
        })
        .collect();
    assert_eq!(violations, Vec::<String>::new(), "{}", violations.len());
}

/// A request that came before the stop and would be passed on again, or only then, late in it.
struct LateAttempt {
    fault: PlainFault,
    name: &'static str,
    path: &'static str,
    /// How many requests are sent at once; the server has room for one.
    requests: usize,
    /// How many of them are answered with 200.
    served: usize,
    service: Millis,
    /// The statuses that may be answered.
    statuses: &'static [u16],
}

/// A stopping gateway sent requests again, or after a wait in its queue, and cut them without an
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_gateway_begins_no_late_attempts() {
    let late = |test: LateAttempt| async move {
        let options = SiteOptions {
            engines: 0,
            features: LoadFeatures {
                queue: true,
                ..LoadFeatures::default()
            },
            gateways: 1,
            plain: 1,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        let route = |name: &str, kind: &str| {
            serde_json::json!({
                "name": name, "host": "site.example", "pathPrefix": format!("/{name}/"),
                "routeType": kind, "timeoutMs": 20_000, "targetLatencyMs": 20_000, "priority": 1,
                "maxAttempts": 3, "service": "plain",
            })
        };
        site.put_config(serde_json::json!([
            route("again", "safe"),
            route("long", "unsafe")
        ]));
        let server = &site.plain[0];
        server.set_capacity(Capacity { queue: 0, slots: 1 });
        server.set_fault(test.fault);
        server.set_service_time(test.service);
        sleep(300).await;
        let started = site.clock.now();
        let requests = (0..test.requests).map(|number| {
            let (site, id) = (&site, format!("{}-{number}", test.name));
            async move {
                let headers = [("x-attempt-id", id.as_str()), ("x-deadline-ms", "20000")];
                let answer = site
                    .send(0, Method::POST, test.path, &headers, "body")
                    .await;
                let taken = site.clock.now().since(started);
                (id, answer.map(|answer| answer.status.as_u16()), taken)
            }
        });
        let stop = async {
            sleep(500).await;
            site.gateways[0].handle.drain();
        };
        let (ends, ()) = tokio::join!(join_all(requests), stop);
        let answered = ends.iter().filter(|(_, status, _)| *status == Some(200));
        let answered = answered.count();
        let wrong = ends.into_iter().filter(|(id, status, _)| {
            let runs = server.runs_of(id);
            let is_listed = status.is_some_and(|status| test.statuses.contains(&status));
            !is_listed || (*status == Some(503) && runs > 0) || runs > 1
        });
        let mut violations: Vec<_> = wrong.map(|end| format!("{end:?}")).collect();
        if answered != test.served {
            violations.push(format!("{}: {answered} served", test.name));
        }
        violations
    };
    let violations = join_all([
        late(LateAttempt {
            fault: PlainFault::Reset,
            name: "again",
            path: "/again/x",
            requests: 1,
            served: 0,
            service: Millis(4_500),
            statuses: &[502],
        }),
        late(LateAttempt {
            fault: PlainFault::None,
            name: "waits",
            path: "/long/x",
            requests: 3,
            served: 1,
            service: Millis(4_500),
            statuses: &[200, 503],
        }),
        late(LateAttempt {
            fault: PlainFault::Mute,
            name: "mute",
            path: "/long/x",
            requests: 1,
            served: 0,
            service: Millis(0),
            statuses: &[504],
        }),
    ]);
    assert_eq!(violations.await.concat(), Vec::<String>::new());
}

/// A stopping runner kept items that its engine refuses until its end, while another engine was
/// idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_runner_gives_refused_items_back() {
    let options = SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    };
    let site = TestSite::open(options).await.unwrap();
    wait_for_runners(&site).await;
    let batch = Batch::new("given", 4, 1, 4);
    site.engines[0].set_faults(EngineFaults {
        refused_runs: batch
            .item_ids()
            .iter()
            .flat_map(|id| vec![id.clone(); 200])
            .collect(),
        ..EngineFaults::default()
    });
    assert_eq!(site.submit(0, &batch).await, Some(202));
    sleep(500).await;
    let signal = site.clock.now();
    site.runners[0].as_ref().unwrap().handle.drain();
    let results = site.read_results(&batch, 4, RESULTS_TIMEOUT).await;
    let taken = site.clock.now().since(signal);
    check_whole(&batch, &results);
    assert!(taken < Millis(5_000), "whole {taken} after the signal");
}
