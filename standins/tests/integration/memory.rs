//! Gateways with a memory limit, under large bodies and slow readers.

use futures_util::future::join_all;
use hyper::Method;
use redwing_standins::site::{
    Batch,
    SiteOptions,
    TestSite, //
};
use redwingpond::{
    base::Millis,
    batch::WORK,
    policy::load_features::LoadFeatures,
    settings::InstanceLimits, //
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout, //
};

/// The memory limit of the gateways. It gives them a budget of 4 MB.
const LIMIT: usize = 32 * 1024 * 1024;
const BUDGET: usize = LIMIT / 8;

/// The size of a large body; the configuration's limit is 1,000,000.
const LARGE: usize = 900_000;

/// Opens a site with one gateway that has these limits.
async fn open(memory: bool, limits: InstanceLimits) -> TestSite {
    let options = SiteOptions {
        engines: 1,
        features: LoadFeatures {
            memory,
            ..LoadFeatures::default()
        },
        gateways: 1,
        limits,
        ..SiteOptions::default()
    };
    TestSite::open(options).await.unwrap()
}

async fn open_limited() -> TestSite {
    let limits = InstanceLimits {
        descriptors: None,
        memory: Some(LIMIT),
    };
    open(true, limits).await
}

/// Sends a request with a body of `length` bytes; returns the status and the `Retry-After`.
async fn post(site: &TestSite, id: &str, length: usize) -> (u16, Option<f64>) {
    let headers = [("x-attempt-id", id)];
    let answer = site.send(0, Method::POST, "/once/x", &headers, vec![b'x'; length]);
    let answer = answer.await.expect("an answer");
    let retry_after = answer.header("retry-after");
    (
        answer.status.as_u16(),
        retry_after.and_then(|wait| wait.parse().ok()),
    )
}

/// The head of a request with the id `id` and this header about its body.
fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n{framing}\r\n\r\n"
    )
}

/// Connects to the gateway and sends bytes.
async fn send_raw(site: &TestSite, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(site.gateways[0].callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Announces large bodies on `count` connections without sending them.
async fn announce_bodies(site: &TestSite, count: usize) -> Vec<TcpStream> {
    let framing = "content-length: 1000000";
    let sent = (0..count).map(|n| async move {
        send_raw(site, head(&format!("announced-{n}"), framing).as_bytes()).await
    });
    let streams = join_all(sent).await;
    wait_held(site, |held| held >= count * 1_000_000).await;
    streams
}

/// Waits until the bytes that the gateway holds match.
async fn wait_held(site: &TestSite, matches: impl Fn(usize) -> bool) {
    for _ in 0..1_000 {
        if matches(site.gateways[0].held_bytes()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the gateway holds {} bytes", site.gateways[0].held_bytes());
}

/// Many callers send large bodies at once, and a few send small ones. A gateway without a
/// budget would hold all of them and be killed. Each caller must get its answer, or a 503 that
/// is true; small bodies must get through; in the end nothing may be held.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_stay_within_the_budget() {
    let site = open_limited().await;
    site.plain
        .iter()
        .for_each(|plain| plain.set_service_time(Millis(200)));
    let small = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        join_all((0..10).map(|n| post_small(&site, n))).await
    };
    let ids: Vec<String> = (0..24).map(|n| format!("large-{n}")).collect();
    let large = join_all(ids.iter().map(|id| post(&site, id, LARGE)));
    let load = async { tokio::join!(large, small) };
    tokio::pin!(load);
    let mut most = 0;
    let (large, small) = loop {
        most = most.max(site.gateways[0].held_bytes());
        tokio::select! {
            done = &mut load => break done,
            () = tokio::time::sleep(Duration::from_millis(1)) => {}
        }
    };
    assert!(most <= BUDGET && most > LARGE, "{most} bytes were held");
    assert_eq!(small, [200; 10]);
    for (id, (status, wait)) in ids.iter().zip(&large) {
        let runs: usize = site.plain.iter().map(|plain| plain.runs_of(id)).sum();
        match status {
            200 => assert_eq!(runs, 1, "{id}"),
            503 => assert!(runs == 0 && wait.is_some_and(|wait| wait > 0.0), "{id}"),
            _ => panic!("{id}: {status}"),
        }
    }
    let answered = large.iter().filter(|(status, _)| *status == 200).count();
    assert!((3..24).contains(&answered), "{answered} were answered");
    wait_held(&site, |held| held == 0).await;
}

async fn post_small(site: &TestSite, number: usize) -> u16 {
    post(site, &format!("small-{number}"), 1_000).await.0
}

/// Bodies are refused before they are read, or while they grow. The caller sends all of it
/// before it reads: it must get the whole response and not a reset, and what it still sends
/// must not be taken for another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_body_leaves_a_clean_connection() {
    let site = open_limited().await;
    let mut smuggled = head("smuggled", "content-length: 0").into_bytes();
    smuggled.resize(LARGE, b'\n');
    let announced = format!("content-length: {LARGE}");
    let chunk = [
        format!("{LARGE:x}\r\n").as_bytes(),
        &smuggled,
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    for (id, framing, body) in [
        ("sized", announced.as_str(), &smuggled),
        ("chunked", "transfer-encoding: chunked", &chunk),
    ] {
        let filling = announce_bodies(&site, 3).await;
        let mut stream = send_raw(&site, head(id, framing).as_bytes()).await;
        for part in body.chunks(LARGE / 8) {
            stream.write_all(part).await.expect("no reset");
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
        read.expect("the connection stayed open").expect("no reset");
        let answer = String::from_utf8_lossy(&answer).to_lowercase();
        assert!(answer.starts_with("http/1.1 503"), "{id}: {answer}");
        assert!(answer.contains("connection: close"), "{id}: {answer}");
        assert!(answer.contains("retry-after: "), "{id}: {answer}");
        assert_eq!(answer.matches("http/1.1").count(), 1, "{id}: {answer}");
        drop(filling);
        wait_held(&site, |held| held == 0).await;
    }
    assert!(site.plain.iter().all(|plain| plain.run_count() == 0));
}

/// Callers announce bodies and never send them, or break off. Reservations that were not
/// freed would refuse all later callers.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_come_free_their_memory() {
    let site = open_limited().await;
    let silent = announce_bodies(&site, 2).await;
    let broken = announce_bodies(&site, 1).await;
    assert_eq!(post(&site, "too-much", LARGE).await.0, 503);
    drop(broken);
    wait_held(&site, |held| held == 2_000_000).await;
    wait_held(&site, |held| held == 0).await;
    assert_eq!(post(&site, "later", LARGE).await.0, 200);
    drop(silent);
}

/// Reads the metrics of the gateway; recording begins with the first call.
async fn read_metrics(site: &TestSite) -> String {
    let (address, wait) = (site.gateways[0].metrics, Duration::from_secs(5));
    let asked = site
        .client
        .call(Method::GET, address, "/metrics", &[], "", wait);
    String::from_utf8_lossy(&asked.await.unwrap().body).into_owned()
}

/// Reads an answer to its end, at 160 KB a second; returns the number of bytes.
async fn read_slowly(mut stream: TcpStream) -> usize {
    let (mut part, mut total) = (vec![0; 40_000], 0);
    while let Ok(read @ 1..) = stream.read(&mut part).await {
        total += read;
        tokio::time::sleep(Duration::from_millis(250 * read as u64 / 40_000)).await;
    }
    total
}

/// Callers send requests one after the other and never read the answers. The answers fill the
/// budget, and without cutting the readers every later large body would be refused. A caller
/// that reads slowly must get its whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn readers_that_take_nothing_are_cut() {
    let site = open_limited().await;
    read_metrics(&site).await;
    let framing = format!("connection: close\r\ncontent-length: {LARGE}");
    let request = [head("slow", &framing).into_bytes(), vec![b'x'; LARGE]].concat();
    let slow = tokio::spawn(read_slowly(send_raw(&site, &request).await));
    wait_held(&site, |held| held >= LARGE).await;
    let mut readers = Vec::new();
    for number in 0..6 {
        let stream = TcpStream::connect(site.gateways[0].callers).await.unwrap();
        let (unread, mut writer) = stream.into_split();
        let framing = format!("content-length: {LARGE}");
        let request = head(&format!("unread-{number}"), &framing).into_bytes();
        let sending = tokio::spawn(async move {
            let request = [request, vec![b'x'; LARGE]].concat();
            while writer.write_all(&request).await.is_ok() {}
        });
        readers.push((unread, sending));
    }
    wait_held(&site, |held| held > BUDGET / 8 * 7 - LARGE).await;
    let mut statuses = Vec::new();
    for attempt in 0..60 {
        let (status, _) = post(&site, &format!("later-{attempt}"), LARGE).await;
        statuses.push(status);
        if status == 200 && statuses.contains(&503) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(statuses.contains(&503), "the budget was never full");
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
    assert!(slow.await.unwrap() > LARGE, "the slow reader was cut");
    let metrics = read_metrics(&site).await;
    for metric in [
        "redwing_bodies_refused_total",
        "redwing_memory_held_bytes{kind=\"answer\"}",
        "redwing_readers_cut_total",
    ] {
        assert!(metrics.contains(metric), "{metric} in {metrics}");
    }
    for (unread, sending) in readers {
        sending.abort();
        drop(unread);
    }
    wait_held(&site, |held| held == 0).await;
}

/// Large bodies fill the budget while a trainer submits a batch and reads its results. A batch
/// that is refused must not exist, and one that was answered 202 must be delivered whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_batch_is_delivered_under_pressure() {
    let site = open_limited().await;
    let batch = Batch::new("pressed", 40, 2, 2);
    let filling = announce_bodies(&site, 3).await;
    let padded = [batch.body().into(), vec![b' '; 400_000]].concat();
    let path = format!("/roll/{}", batch.id);
    let headers = [("x-attempt-id", batch.id.as_str())];
    let refused = site.send(0, Method::POST, &path, &headers, padded.clone());
    assert_eq!(refused.await.unwrap().status, 503);
    assert!(
        site.read_page(0, &batch, 0).await.is_none(),
        "it was stored"
    );
    drop(filling);
    wait_held(&site, |held| held == 0).await;
    let accepted = site.send(0, Method::POST, &path, &headers, padded);
    assert_eq!(accepted.await.unwrap().status, 202);
    let _filling = announce_bodies(&site, 3).await;
    let results = site.read_results(&batch, 80, Millis(20_000)).await;
    assert_eq!(results.len(), 80);
    for result in results {
        assert_eq!(
            result.text,
            batch.expected_text(&result.id),
            "{}",
            result.id
        );
    }
    wait_held(&site, |held| held == 0).await;
}

/// A gateway has as many connections as it may have. Some callers' requests are under way or
/// arriving, the other connections are idle. New callers must be served in place of idle ones,
/// and the requests must be answered.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_make_room_for_new_ones() {
    let limits = InstanceLimits {
        descriptors: Some(256),
        memory: None,
    };
    let site = open(true, limits).await;
    site.plain
        .iter()
        .for_each(|plain| plain.set_service_time(Millis(1_500)));
    let mut busy = send_raw(&site, head("busy", "content-length: 0").as_bytes()).await;
    let arriving = head("arriving", "content-length: 0");
    let (first, rest) = arriving.as_bytes().split_at(20);
    let mut half = send_raw(&site, first).await;
    let mut idle = join_all((0..40).map(|_| send_raw(&site, b""))).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let (answers, ()) = tokio::join!(
        join_all((0..5).map(|number| post_small(&site, number))),
        async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            half.write_all(rest).await.unwrap();
            for stream in [&mut busy, &mut half] {
                let mut status = [0; 12];
                stream.read_exact(&mut status).await.unwrap();
                assert_eq!(&status, b"HTTP/1.1 200");
            }
        }
    );
    assert_eq!(answers, [200; 5]);
    let mut closed = 0;
    for stream in &mut idle {
        let read = timeout(Duration::from_millis(5), stream.read(&mut [0])).await;
        closed += usize::from(matches!(read, Ok(Ok(0) | Err(_))));
    }
    assert_eq!(closed, 5);
}

/// The instance has no limits in its settings. Bodies must then be served as long as an instance
/// of the usual size bears them, and idle connections stay open.
#[tokio::test(flavor = "multi_thread")]
async fn without_limits_nothing_is_refused() {
    for memory in [false, true] {
        let site = open(memory, InstanceLimits::default()).await;
        site.plain
            .iter()
            .for_each(|plain| plain.set_service_time(Millis(200)));
        let ids: Vec<String> = (0..12).map(|n| format!("large-{n}")).collect();
        let large = join_all(ids.iter().map(|id| post(&site, id, LARGE))).await;
        assert!(large.iter().all(|(status, _)| *status == 200), "{large:?}");
        wait_held(&site, |held| held == 0).await;
        let idle = join_all((0..60).map(|_| send_raw(&site, b""))).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(post(&site, "last", 1_000).await.0, 200);
        for mut stream in idle {
            let read = timeout(Duration::from_millis(2), stream.read(&mut [0])).await;
            assert!(read.is_err(), "an idle connection was closed");
        }
    }
}

/// The feature is off. What callers can make a gateway hold must be limited all the same.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_limited_without_the_feature() {
    let limits = InstanceLimits {
        descriptors: Some(256),
        memory: Some(LIMIT),
    };
    let site = open(false, limits).await;
    let _filling = announce_bodies(&site, 3).await;
    let (status, wait) = post(&site, "large", LARGE).await;
    assert!(status == 503 && wait.is_some(), "{status} {wait:?}");
    assert_eq!(post_small(&site, 0).await, 200);
}

/// Trainers submit more than the runners have memory for. What was accepted must be delivered
/// whole all the same, and an ended batch must not keep the others waiting.
#[tokio::test(flavor = "multi_thread")]
async fn postponed_batches_are_delivered() {
    let options = SiteOptions {
        engines: 2,
        gateways: 1,
        limits: InstanceLimits {
            descriptors: None,
            memory: Some(4 * 1024 * 1024),
        },
        ..SiteOptions::default()
    };
    let site = TestSite::open(options).await.unwrap();
    read_metrics(&site).await;
    let batches: Vec<Batch> = (0..20)
        .map(|number| Batch {
            scored: false,
            ..Batch::new(&format!("many{number:02}"), 200, 1, 1)
        })
        .collect();
    for batch in &batches {
        assert_eq!(site.submit(0, batch).await, Some(202), "{}", batch.id);
    }
    let metrics = read_metrics(&site).await;
    assert!(metrics.contains("redwing_batches_postponed_total"));
    for ended in &batches[..10] {
        assert_eq!(site.end_batch(0, ended).await, Some(200), "{}", ended.id);
    }
    for batch in &batches[10..] {
        let results = site.read_results(batch, 200, Millis(60_000)).await;
        assert_eq!(results.len(), 200, "{}", batch.id);
        for result in results {
            assert_eq!(result.text, batch.expected_text(&result.id), "{}", batch.id);
        }
    }
}

/// The store keeps as many batches as the runners bear. A further one must be refused so that it
/// doesn't exist, and accepted once there are fewer. One that was accepted before runs: a refusal
/// of its repetition would not be true.
#[tokio::test(flavor = "multi_thread")]
async fn batches_beyond_the_most_are_refused() {
    let site = open(false, InstanceLimits::default()).await;
    for number in 0..16 {
        let batch = Batch::new(&format!("first{number}"), 1, 1, 1);
        assert_eq!(site.submit(0, &batch).await, Some(202), "{}", batch.id);
    }
    let parts: Vec<String> = (0..1_000).map(|n| format!("batch-other{n}")).collect();
    for part in &parts {
        site.store.put_row(WORK, part, "log", &[]);
    }
    let batch = Batch::new("refused", 1, 1, 1);
    let path = format!("/roll/{}", batch.id);
    let headers = [("x-attempt-id", batch.id.as_str())];
    let answer = site.send(0, Method::POST, &path, &headers, batch.body());
    let answer = answer.await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(site.store.rows_in_part("batch-refused"), 0);
    let repeated = Batch::new("first0", 1, 1, 1);
    assert_eq!(site.submit(0, &repeated).await, Some(202), "a repetition");
    for part in &parts {
        site.store.remove_row(WORK, part, "log");
    }
    assert_eq!(site.submit(0, &batch).await, Some(202));
    let results = site.read_results(&batch, 1, Millis(20_000)).await;
    assert_eq!(results.len(), 1);
}
