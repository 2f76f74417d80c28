//! Answers that are no answers: bytes without end, and heads that break off.

use super::site::{RESULTS_TIMEOUT, check_whole, sleep};
use hyper::Method;
use redwing_standins::site::{
    Batch,
    FaultyRelay,
    PlainServer,
    RawAnswer,
    RawEnd,
    SiteOptions,
    TestSite, //
};
use redwingpond::base::Millis;

/// How long a caller waits.
const DEADLINE: Millis = Millis(1_500);

/// How much later than at its deadline a caller may be answered.
const DEADLINE_SLACK: Millis = Millis(500);

/// How long a connection may stay open after its request is over.
const CLOSE_TIME: Millis = Millis(1_000);

/// How long a connection to the store may stay open: the store holds a call for changes for
/// 1.5 s, and its caller waits 0.6 s more.
const STORE_CALL_TIME: Millis = Millis(2_600);

/// The most bytes that one answer may make its reader take, with those in the buffers of the
/// operating system.
const MAX_SENT: usize = 16 * 1024 * 1024;

/// An answer that never ends.
struct EndlessAnswer {
    bytes: &'static str,
    more: fn(u64) -> Vec<u8>,
    name: &'static str,
    pause: Millis,
}

impl EndlessAnswer {
    fn raw(&self) -> RawAnswer {
        RawAnswer {
            bytes: self.bytes.as_bytes().to_vec(),
            end: RawEnd::Endless(self.more),
            pause: self.pause,
        }
    }
}

/// The head of a whole answer without its framing.
macro_rules! head {
    ($status:literal, $rest:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nx-attempt-id: {id}\r\nx-response-signature: seal\r\nx-weight-versions: 1\r\n",
            $rest
        )
    };
}

fn letters(_: u64) -> Vec<u8> {
    vec![b'x'; 16 * 1024]
}

/// Ways not to end an answer.
fn endless_answers() -> Vec<EndlessAnswer> {
    let fast = |name, bytes, more| EndlessAnswer {
        bytes,
        more,
        name,
        pause: Millis(0),
    };
    vec![
        fast("header", head!("200 OK", "x-long: "), letters),
        fast("headers", head!("200 OK", ""), |number| {
            format!("x-{number}: x\r\n").repeat(100).into_bytes()
        }),
        fast("interim", "", |_| {
            b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(100)
        }),
        fast("body", head!("200 OK", "\r\n"), letters),
        fast(
            "long",
            head!("200 OK", "content-length: 2\r\n\r\nok"),
            letters,
        ),
        fast(
            "chunks",
            head!("200 OK", "transfer-encoding: chunked\r\n\r\n"),
            |_| [b"1000\r\n", vec![b'x'; 0x1000].as_slice(), b"\r\n"].concat(),
        ),
        fast(
            "extension",
            head!("200 OK", "transfer-encoding: chunked\r\n\r\n1;"),
            letters,
        ),
        fast(
            "trailers",
            head!("200 OK", "transfer-encoding: chunked\r\n\r\n0\r\n"),
            |number| format!("x-{number}: x\r\n").repeat(100).into_bytes(),
        ),
        fast(
            "refusal",
            head!("503 Full", "x-not-executed: 1\r\n\r\n"),
            letters,
        ),
        fast("failure", head!("500 Failed", "\r\n"), letters),
        fast("line", head!("200 OK", "\r\ndata: "), letters),
        fast("events", head!("200 OK", "\r\n"), |number| {
            let event = |id| format!("id: {id}\ndata: {id}\n\n");
            let first = number * 100;
            (first..first + 100)
                .map(event)
                .collect::<String>()
                .into_bytes()
        }),
        EndlessAnswer {
            bytes: head!("200 OK", "\r\n"),
            more: |_| b":\n".to_vec(),
            name: "comments",
            pause: Millis(50),
        },
    ]
}

/// A site whose only plain server is behind a relay.
async fn open_plain() -> (TestSite, PlainServer, FaultyRelay) {
    let options = SiteOptions {
        engines: 0,
        gateways: 1,
        plain: 0,
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    site.put_config(serde_json::json!([{
        "name": "live", "host": "site.example", "pathPrefix": "/live/", "routeType": "streaming",
        "timeoutMs": 2_000, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 3,
        "service": "plain",
    }]));
    let server = PlainServer::open("plain").await.unwrap();
    let relay = FaultyRelay::open(server.address).await.unwrap();
    site.announce("plain", "plain", relay.address, "ready");
    (site, server, relay)
}

/// A site whose only engine is behind a relay.
async fn open_engine() -> (TestSite, FaultyRelay) {
    let options = SiteOptions {
        engines: 1,
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    let relay = FaultyRelay::open(site.engines[0].address).await.unwrap();
    site.move_engine(0, relay.address).unwrap();
    (site, relay)
}

/// Sends a call whose body is its id. Returns the status and whether the body came back, or
/// `None` without a whole answer.
async fn call(site: &TestSite, path: &str, id: &str) -> Option<(u16, bool)> {
    let deadline = DEADLINE.0.to_string();
    let headers = [("x-attempt-id", id), ("x-deadline-ms", deadline.as_str())];
    let answer = site.send(0, Method::POST, path, &headers, id.to_owned());
    let answer = answer.await?;
    Some((answer.status.as_u16(), answer.body == id))
}

/// Calls the server until it answers, so that failures before are forgiven.
async fn restore(site: &TestSite, id: &str) {
    let deadline = site.clock.now() + RESULTS_TIMEOUT;
    while call(site, "/safe/x", id).await != Some((200, true)) {
        assert!(site.clock.now() < deadline, "{id}: the server is not used");
        sleep(20).await;
    }
}

/// What is wrong with how the connection of an endless answer ended, which may stay open for
/// `within`.
async fn check_closed(site: &TestSite, relay: &FaultyRelay, within: Millis) -> Vec<String> {
    let mut violations = Vec::new();
    let deadline = site.clock.now() + within;
    while relay.open_answers() > 0 && site.clock.now() < deadline {
        sleep(10).await;
    }
    if relay.open_answers() > 0 {
        violations.push("the connection stays open".to_owned());
    }
    violations
}

/// Servers answer calls with bytes without end. Callers get a true answer in time, and nothing
/// of the bytes as a whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn calls_end_in_time_when_an_answer_never_ends() {
    let mut violations = Vec::new();
    for path in ["/safe/x", "/once/x", "/live/x"] {
        let (site, server, relay) = open_plain().await;
        restore(&site, "first").await;
        for answer in endless_answers() {
            let id = format!("{}-{}", answer.name, &path[1..5]);
            relay.set_answers(path, [answer.raw()]);
            let started = site.clock.now();
            let status = call(&site, path, &id).await;
            let taken = site.clock.now().since(started);
            let mut report = check_closed(&site, &relay, CLOSE_TIME).await;
            // A stream goes on to its caller as it arrives.
            let forwarded = path == "/live/x" && status.is_none();
            if !forwarded && relay.most_sent() > MAX_SENT {
                report.push(format!("{} bytes were read", relay.most_sent()));
            }
            if taken > DEADLINE + DEADLINE_SLACK {
                report.push(format!("answered after {taken}"));
            }
            let refused = answer.name == "refusal";
            let runs = server.runs_of(&id);
            if path != "/safe/x" && !refused && runs > 0 {
                report.push("sent again".to_owned());
            }
            let is_true = match status {
                None => true,
                Some((200, whole)) => whole || answer.name == "long",
                Some((429 | 503, _)) => refused && runs == 0,
                // The head of a refusal says that the request did not run.
                Some((status, _)) => !refused && matches!(status, 500 | 502 | 504),
            };
            if !is_true {
                report.push(format!("answered {status:?}"));
            }
            violations.extend(report.iter().map(|what| format!("{id}: {what}")));
            restore(&site, &format!("after-{id}")).await;
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// An engine or a scorer answers with bytes without end. Items are completed all the same.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_whole_when_an_answer_never_ends() {
    let readers = [
        "/roll/",
        "/redwingpond/report",
        "/redwingpond/order",
        "/score/",
    ];
    let cases = readers.into_iter().flat_map(|reader| {
        let answers = endless_answers().into_iter();
        answers.map(move |answer| (reader, answer))
    });
    let mut violations = Vec::new();
    let cases: Vec<_> = cases.collect();
    for cases in cases.chunks(4) {
        let checks = cases
            .iter()
            .map(|(path, answer)| check_item(path, answer.name, [answer.raw()]));
        violations.extend(futures_util::future::join_all(checks).await.concat());
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Runs a batch while the first requests for `path` get these answers. Returns what is wrong.
async fn check_item(
    path: &str,
    name: &str,
    answers: impl IntoIterator<Item = RawAnswer>,
) -> Vec<String> {
    let (site, engine) = open_engine().await;
    let scorer = FaultyRelay::open(site.plain[0].address).await.unwrap();
    for plain in &site.plain {
        site.store.put("servers", &plain.id, None);
    }
    site.announce("plain-0", "plain", scorer.address, "ready");
    let relay = match path {
        "/score/" => &scorer,
        _ => &engine,
    };
    relay.set_answers(path, answers);
    let id = name.replace([' ', '/'], "-");
    let mut batch = Batch::new(&format!("odd-{id}"), 1, 1, 4);
    if path == "/redwingpond/order" {
        site.name_version(2);
        batch.least_version = 2;
    }
    assert_eq!(site.submit(0, &batch).await, Some(202));
    let results = site.read_results(&batch, 1, RESULTS_TIMEOUT).await;
    let mut report = check_closed(&site, relay, CLOSE_TIME).await;
    // An answer of 500 counts as a failure of the item or its scorer, of which it has three.
    let whole = results.iter().filter(|result| result.state == "succeeded");
    if whole.count() != 1 {
        report.push(format!("{results:?}"));
    } else if path != "/score/" || name != "long" {
        check_whole(&batch, &results);
    }
    if relay.answered() == 0 {
        report.push("nothing was asked".to_owned());
    }
    if relay.most_sent() > MAX_SENT {
        report.push(format!("{} bytes were read", relay.most_sent()));
    }
    report
        .iter()
        .map(|what| format!("{path} {name}: {what}"))
        .collect()
}

/// The store answers a gateway that starts, or one that follows changes, with bytes without
/// end. The gateway becomes ready and serves calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_when_an_answer_of_the_store_never_ends() {
    let mut violations = Vec::new();
    for path in ["/redwingpond/rows-get", "/redwingpond/rows-feed"] {
        let options = SiteOptions {
            engines: 0,
            gateways: 0,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        for answer in endless_answers() {
            let name = format!("{path} {}", answer.name);
            let relay = FaultyRelay::open(site.store.address).await.unwrap();
            relay.set_answers(path, [answer.raw()]);
            if let Err(error) = site.start_gateway_via(relay.address).await {
                violations.push(format!("{name}: {error}"));
                break;
            }
            let id = format!("store-{}", answer.name);
            let headers = [("x-attempt-id", id.as_str()), ("x-deadline-ms", "1500")];
            let served = site.send(0, Method::POST, "/safe/x", &headers, "body");
            let status = served.await.map(|answer| answer.status.as_u16());
            if status != Some(200) {
                violations.push(format!("{name}: answered {status:?}"));
            }
            let deadline = site.clock.now() + RESULTS_TIMEOUT;
            while relay.answered() == 0 && site.clock.now() < deadline {
                sleep(10).await;
            }
            let report = check_closed(&site, &relay, STORE_CALL_TIME).await;
            violations.extend(report.iter().map(|what| format!("{name}: {what}")));
            if relay.answered() == 0 {
                violations.push(format!("{name}: nothing was asked"));
            }
            site.gateways.pop();
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Several servers answer many calls at once with bytes without end, beside one that is sound.
/// Callers are answered in time, and what the calls take of memory is freed.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_when_several_answers_never_end() {
    let (site, server, _relay) = open_plain().await;
    restore(&site, "first").await;
    let mut relays = Vec::new();
    for number in 0..8 {
        let relay = FaultyRelay::open(server.address).await.unwrap();
        let kinds = endless_answers().into_iter();
        // The first bytes of a long answer are a whole one.
        let kinds: Vec<_> = kinds.filter(|kind| kind.name != "long").collect();
        let answers = (0..20).map(|_| kinds[number].raw());
        relay.set_answers("/safe/x", answers);
        site.announce(
            &format!("endless-{number}"),
            "plain",
            relay.address,
            "ready",
        );
        relays.push(relay);
    }
    sleep(300).await;
    let started = site.clock.now();
    let calls = (0..60).map(|number| {
        let (site, id) = (&site, format!("many-{number}"));
        async move { call(site, "/safe/x", &id).await }
    });
    let answers = futures_util::future::join_all(calls).await;
    let taken = site.clock.now().since(started);
    assert!(taken <= DEADLINE + DEADLINE_SLACK, "answered after {taken}");
    for (status, whole) in answers.into_iter().flatten() {
        assert!(status != 200 || whole, "a body that is no answer");
    }
    for relay in &relays {
        assert_eq!(
            check_closed(&site, relay, CLOSE_TIME).await,
            Vec::<String>::new()
        );
    }
}

/// A server's own failure reaches the caller of a call that runs at most once with its whole body.
#[tokio::test]
async fn the_body_of_a_server_error_is_whole() {
    let (site, _server, relay) = open_plain().await;
    restore(&site, "first").await;
    let length = 1024 * 1024;
    let body = vec![b'x'; length];
    let head = head!("500 Failed", "content-length: ");
    let head = format!("{head}{length}\r\n\r\n");
    let answer = RawAnswer {
        bytes: [head.as_bytes(), &body].concat(),
        end: RawEnd::Close,
        pause: Millis(0),
    };
    relay.set_answers("/once/", [answer]);
    let headers = [("x-attempt-id", "error")];
    let answer = site
        .send(0, Method::POST, "/once/x", &headers, "body")
        .await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 500);
    assert!(answer.body == body, "{} bytes", answer.body.len());
}

/// The heads of answers that break off after each of their bytes.
fn broken_heads(framing: &str) -> Vec<RawAnswer> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-signature: seal\r\n\
         x-weight-versions: 1\r\n{framing}\r\n\r\n"
    );
    let ends = [RawEnd::Close, RawEnd::Reset];
    let cuts = (0..head.len()).flat_map(|cut| ends.map(|end| (cut, end)));
    cuts.map(|(cut, end)| RawAnswer {
        bytes: head.as_bytes()[..cut].to_vec(),
        end,
        pause: Millis(0),
    })
    .collect()
}

/// A server stops within the head of its answer. Callers got a 200 with an empty or short body,
/// framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_not_answered_by_a_part_of_a_head() {
    let mut violations = Vec::new();
    for path in ["/safe/x", "/once/x", "/live/x"] {
        let (site, server, relay) = open_plain().await;
        restore(&site, "first").await;
        for framing in ["content-length: 4", "transfer-encoding: chunked"] {
            for (number, answer) in broken_heads(framing).into_iter().enumerate() {
                let id = format!("{}-{}-{number}", &path[1..5], &framing[..7]);
                let (bytes, end) = (answer.bytes.len(), answer.end);
                relay.set_answers(path, [answer]);
                let status = call(&site, path, &id).await;
                let runs = server.runs_of(&id);
                let is_true = match status {
                    None | Some((502 | 504, _)) => path == "/safe/x" || runs == 0,
                    Some((200, whole)) => whole && path == "/safe/x",
                    Some(_) => false,
                };
                if !is_true {
                    violations.push(format!(
                        "{id}, {bytes} bytes, {end:?}: {status:?}, {runs} runs"
                    ));
                }
                if relay.planned() > 0 {
                    violations.push(format!("{id}: not sent"));
                }
                restore(&site, &format!("after-{id}")).await;
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// A stream without a length that is closed in order within an event was passed on as whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_within_an_event_is_not_whole() {
    let (site, _server, relay) = open_plain().await;
    restore(&site, "first").await;
    for (number, (body, is_whole)) in [
        ("", true),
        ("id: 0\ndata: a\n\n", true),
        ("id: 0\r\ndata: a\r\n\r\n", true),
        ("id: 0\ndata: a\n\nid: 1\nda", false),
        ("id: 0\ndata: a\n\nid: 1\ndata: b\n", false),
        ("id: 0", false),
    ]
    .into_iter()
    .enumerate()
    {
        let head = head!("200 OK", "content-type: text/event-stream\r\n\r\n");
        let answer = RawAnswer {
            bytes: format!("{head}{body}").into_bytes(),
            end: RawEnd::Close,
            pause: Millis(0),
        };
        relay.set_answers("/live/", [answer]);
        let id = format!("stream-{number}");
        let status = call(&site, "/live/x", &id).await.map(|(status, _)| status);
        assert_eq!(status, is_whole.then_some(200), "{body:?}");
    }
}

/// An engine stops within the head of its answer, time after time. Items are completed whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_not_completed_by_a_part_of_a_head() {
    let (site, relay) = open_engine().await;
    let heads = broken_heads("transfer-encoding: chunked");
    relay.set_answers("/roll/", heads.into_iter().step_by(7));
    let batch = Batch::new("heads", 4, 4, 6);
    assert_eq!(site.submit(0, &batch).await, Some(202));
    let items = batch.item_ids().len();
    let results = site.read_results(&batch, items, RESULTS_TIMEOUT).await;
    check_whole(&batch, &results);
    assert_eq!(relay.planned(), 0);
}

/// A response that is no answer of a server.
struct OddAnswer {
    name: &'static str,
    raw: RawAnswer,
}

/// Responses that are no answers: they have another status, protocol or framing, or the server
/// has not signed them.
fn odd_answers() -> Vec<OddAnswer> {
    let closed = |name, bytes: String| OddAnswer {
        name,
        raw: RawAnswer {
            bytes: bytes.into_bytes(),
            end: RawEnd::Close,
            pause: Millis(0),
        },
    };
    let headers = "x-attempt-id: {id}\r\nx-response-signature: seal\r\nx-weight-versions: 1\r\n";
    let head = |name, line: &str, more: &str| {
        closed(name, format!("{line}\r\n{headers}{more}\r\n\r\nodd"))
    };
    let mut answers: Vec<_> = [
        "000", "001", "020", "099", "100", "101", "102", "199", "600", "700", "999", "0", "20",
        "2000", "2xx", "-20",
    ]
    .into_iter()
    .map(|status| {
        head(
            status,
            &format!("HTTP/1.1 {status} Odd"),
            "content-length: 3",
        )
    })
    .collect();
    for version in [
        "HTTP/0.9", "HTTP/1.2", "HTTP/2", "HTTP/3.0", "HTTX/1.1", "ICY", "",
    ] {
        answers.push(head(
            version,
            &format!("{version} 200 OK"),
            "content-length: 3",
        ));
    }
    answers.extend([
        head("encoded", "HTTP/1.1 200 OK", "content-encoding: gzip\r\ncontent-length: 3"),
        head("refused", "HTTP/1.1 200 OK", "x-not-executed: 1\r\ncontent-length: 3"),
        head("lengths", "HTTP/1.1 200 OK", "content-length: 3\r\ncontent-length: 4"),
        head("bad length", "HTTP/1.1 200 OK", "content-length: -3"),
        head("refused 600", "HTTP/1.1 600 Odd", "x-not-executed: 1\r\ncontent-length: 3"),
        closed(
            "unsigned",
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-weight-versions: 1\r\ncontent-length: 3\r\n\r\nodd".into(),
        ),
        closed(
            "unsigned failure",
            "HTTP/1.1 404 No\r\nx-attempt-id: {id}\r\ncontent-length: 3\r\n\r\nodd".into(),
        ),
        closed("only interim", "HTTP/1.1 100 Continue\r\n\r\n".into()),
        closed("cut", "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n".into()),
        closed("words", "odd words\r\n\r\n".into()),
    ]);
    answers
}

/// Servers answer calls with what is no answer. Callers got a status of 101, 600 or 999, and
/// streams without a signature, as answers.
#[tokio::test(flavor = "multi_thread")]
async fn calls_get_no_odd_answers() {
    let mut violations = Vec::new();
    for path in ["/safe/x", "/once/x", "/live/x"] {
        let (site, server, relay) = open_plain().await;
        restore(&site, "first").await;
        for answer in odd_answers() {
            let id = format!("{}-{}", answer.name, &path[1..5]);
            relay.set_answers(path, [answer.raw]);
            let status = call(&site, path, &id).await;
            let runs = server.runs_of(&id);
            let is_true = match status {
                Some((502 | 504, _)) => path == "/safe/x" || runs == 0,
                // Sent again to the server behind the relay.
                Some((200, whole)) => whole && path == "/safe/x" && runs == 1,
                _ => false,
            };
            if !is_true {
                violations.push(format!("{id}: {status:?}, {runs} runs"));
            }
            if relay.planned() > 0 {
                violations.push(format!("{id}: not sent"));
            }
            restore(&site, &format!("after-{id}")).await;
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Engines, scorers and reports answer with what is no answer. Items are completed all the same.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_whole_when_answers_are_odd() {
    let mut violations = Vec::new();
    for reader in [
        "/roll/",
        "/score/",
        "/redwingpond/report",
        "/redwingpond/order",
    ] {
        let engine_only = reader.starts_with("/redwingpond/");
        let answers = odd_answers().into_iter();
        // A site without signatures, ids and encodings is left to the reader of the body.
        let answers = answers.filter(|answer| {
            !engine_only || !matches!(answer.name, "encoded" | "refused" | "unsigned")
        });
        let answers: Vec<_> = answers.collect();
        // An order without an effect is repeated only after more than a second.
        let size = if reader == "/redwingpond/order" { 2 } else { 8 };
        let checks = answers.chunks(size).map(|few| {
            let name = few[0].name;
            check_item(reader, name, few.iter().map(|answer| answer.raw.clone()))
        });
        violations.extend(futures_util::future::join_all(checks).await.concat());
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// The store answers a gateway that starts, or one that follows changes, with what is no answer.
/// The gateway becomes ready and serves calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_when_answers_of_the_store_are_odd() {
    let mut violations = Vec::new();
    for path in ["/redwingpond/rows-get", "/redwingpond/rows-feed"] {
        let options = SiteOptions {
            engines: 0,
            gateways: 0,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        for few in odd_answers().chunks(6) {
            let name = format!("{path} {}", few[0].name);
            let relay = FaultyRelay::open(site.store.address).await.unwrap();
            relay.set_answers(path, few.iter().map(|answer| answer.raw.clone()));
            if let Err(error) = site.start_gateway_via(relay.address).await {
                violations.push(format!("{name}: {error}"));
                break;
            }
            let id = format!("store-{}", few[0].name);
            let served = call(&site, "/safe/x", &id).await;
            if served != Some((200, true)) {
                violations.push(format!("{name}: answered {served:?}"));
            }
            site.gateways.pop();
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}
