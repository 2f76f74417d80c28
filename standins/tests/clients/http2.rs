//! Crowds that speak HTTP/2.

use super::{
    crowd::STANDING_TIME,
    stage::{SMALL, Stage}, //
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{
    BodyExt,
    StreamBody,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Method,
    Request,
    body::Frame,
    client::conn::http2::{SendRequest, handshake}, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};
use redwingpond::base::Millis;
use std::{
    convert::Infallible,
    net::SocketAddr, //
    time::Duration,
};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout}, //
};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Opens a connection whose task is one of `tasks`.
async fn connect(address: SocketAddr, tasks: &mut JoinSet<()>) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, driver) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .ok()?;
    tasks.spawn(async move {
        let _ = driver.await;
    });
    Some(sender)
}

/// A body of `parts` parts of 64 KB that never ends.
fn endless(parts: usize) -> Body {
    let frames = stream::unfold(0, move |sent| async move {
        if sent == parts {
            std::future::pending::<()>().await;
        }
        let part = Bytes::from(vec![b' '; 64 * 1024]);
        Some((Ok(Frame::data(part)), sent + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn request(path: &str, id: &str, filler: usize, body: Body) -> Request<Body> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://site.example{path}"))
        .header("host", "site.example")
        .header("x-attempt-id", id)
        .header("x-filler", "f".repeat(filler));
    request.body(body).expect("a request")
}

/// Connections with several requests each, none of which ends.
struct Test {
    connections: usize,
    /// The size of each head, in bytes.
    head: usize,
    /// The parts of each body, of 64 KB.
    parts: usize,
    path: &'static str,
    streams: usize,
}

impl Test {
    async fn run(self) {
        let mut stage = Stage::open(SMALL).await;
        stage.plain.set_service_time(Millis(15_000));
        let mut tasks = JoinSet::new();
        for connection in 0..self.connections {
            let Some(sender) = connect(stage.callers, &mut tasks).await else {
                continue;
            };
            for stream in 0..self.streams {
                let id = format!("h2-{connection}-{stream}");
                let request = request(self.path, &id, self.head, endless(self.parts));
                let mut sender = sender.clone();
                tasks.spawn(async move {
                    let _answer = sender.send_request(request).await;
                    std::future::pending::<()>().await;
                });
            }
        }
        sleep(STANDING_TIME).await;
        stage.plain.set_service_time(Millis(5));
        stage.wait_answered("ordinary").await;
        stage.check();
    }
}

/// Large bodies on few connections fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn http2_bodies_that_stop() {
    let test = Test {
        connections: 14,
        head: 10,
        parts: 120,
        path: "/safe/x",
        streams: 1,
    };
    test.run().await;
}

/// Large batches on few connections fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn http2_batches_that_stop() {
    let test = Test {
        connections: 4,
        head: 10,
        parts: 120,
        path: "/roll/x",
        streams: 4,
    };
    test.run().await;
}

/// Many requests on few connections fill the process with their heads.
#[tokio::test(flavor = "multi_thread")]
async fn http2_heads_of_many_requests() {
    let test = Test {
        connections: 12,
        head: 14 * 1024,
        parts: 0,
        path: "/safe/x",
        streams: 900,
    };
    test.run().await;
}

/// Requests that are given up at once must not leave anything behind.
#[tokio::test(flavor = "multi_thread")]
async fn http2_requests_that_are_reset() {
    let mut stage = Stage::open(SMALL).await;
    stage.plain.set_service_time(Millis(15_000));
    let mut tasks = JoinSet::new();
    for connection in 0..8 {
        for round in 0..10 {
            let Some(sender) = connect(stage.callers, &mut tasks).await else {
                continue;
            };
            let id = format!("reset-{connection}-{round}");
            let mut resetting = JoinSet::new();
            for _ in 0..400 {
                let request = request("/safe/x", &id, 4 * 1024, endless(0));
                let mut sender = sender.clone();
                let wait = Duration::from_millis(1);
                resetting.spawn(async move { timeout(wait, sender.send_request(request)).await });
            }
            while resetting.join_next().await.is_some() {}
        }
    }
    stage.plain.set_service_time(Millis(5));
    stage.wait_answered("ordinary").await;
    stage.check();
}
