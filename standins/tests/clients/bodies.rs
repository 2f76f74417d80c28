//! Bodies that stop, bodies that wait, and answers that nobody reads.

use super::{
    crowd::{Crowd, Framing, Request, ask},
    stage::{Limits, SMALL, SMALLEST_MACHINES, Stage}, //
};
use redwingpond::base::Millis;
use std::time::Duration;

const MB: usize = 1024 * 1024;

/// A crowd of equal clients.
struct Test {
    count: usize,
    /// The size of the backend server's answers; `None` for the request's own body.
    reply: Option<usize>,
    request: Request,
    /// How long the backend server takes for a call, in ms.
    service_ms: u64,
}

impl Test {
    async fn run(self) {
        let mut stage = Stage::open(SMALL).await;
        stage.plain.set_service_time(Millis(self.service_ms));
        stage.plain.set_reply(self.reply);
        let crowd = Crowd::open(stage.callers, self.count, |number| {
            self.request.bytes(&format!("crowd-{number}"))
        })
        .await;
        stage.plain.set_service_time(Millis(5));
        stage.plain.set_reply(None);
        stage.wait_answered("ordinary").await;
        assert_eq!(crowd.len(), self.count);
        stage.check();
    }
}

/// A body that stops one byte short of its end, with its length announced.
const fn short(path: &'static str, body: usize) -> Request {
    Request {
        body,
        framing: Framing::Length,
        missing: 1,
        path,
    }
}

/// A body in chunks that stops one byte short of its end.
const fn chunked(path: &'static str, body: usize, size: usize) -> Request {
    Request {
        body,
        framing: Framing::Chunks(size),
        missing: 1,
        path,
    }
}

/// A whole body.
const fn whole(path: &'static str, body: usize) -> Request {
    Request {
        body,
        framing: Framing::Length,
        missing: 0,
        path,
    }
}

/// Large bodies fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_that_stop() {
    let test = Test {
        count: 14,
        reply: None,
        request: short("/safe/x", 8 * MB),
        service_ms: 5,
    };
    test.run().await;
}

/// Large bodies of streamed calls fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_of_streams_that_stop() {
    let test = Test {
        count: 14,
        reply: None,
        request: short("/flow/x", 8 * MB),
        service_ms: 5,
    };
    test.run().await;
}

/// Large batches that never end fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn announced_batches_that_stop() {
    let test = Test {
        count: 14,
        reply: None,
        request: short("/roll/x", 8 * MB),
        service_ms: 5,
    };
    test.run().await;
}

/// Bodies of unknown length fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_that_stop() {
    let test = Test {
        count: 20,
        reply: None,
        request: chunked("/safe/x", 6 * MB, 64 * 1024),
        service_ms: 5,
    };
    test.run().await;
}

/// Small parts of a body take more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_that_stop() {
    let test = Test {
        count: 20,
        reply: None,
        request: chunked("/safe/x", 6 * MB, 512),
        service_ms: 5,
    };
    test.run().await;
}

/// Small bodies fill the process together with their connections.
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_that_stop() {
    let test = Test {
        count: 3_000,
        reply: None,
        request: short("/safe/x", 14 * 1024),
        service_ms: 5,
    };
    test.run().await;
}

/// Whole bodies fill the process while their calls wait for a server.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_calls_that_wait() {
    let test = Test {
        count: 40,
        reply: None,
        request: whole("/safe/x", 3 * MB),
        service_ms: 15_000,
    };
    test.run().await;
}

/// Answers that nobody reads fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads() {
    let test = Test {
        count: 40,
        reply: None,
        request: whole("/safe/x", 3 * MB),
        service_ms: 5,
    };
    test.run().await;
}

/// Streamed answers that nobody reads fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_nobody_reads() {
    let test = Test {
        count: 40,
        reply: None,
        request: whole("/flow/x", 3 * MB),
        service_ms: 5,
    };
    test.run().await;
}

/// Small requests get large answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_nobody_reads() {
    let test = Test {
        count: 200,
        reply: Some(3 * MB),
        request: whole("/safe/x", 10),
        service_ms: 5,
    };
    test.run().await;
}

/// Small requests get large streamed answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn large_streams_that_nobody_reads() {
    let test = Test {
        count: 200,
        reply: Some(3 * MB),
        request: whole("/flow/x", 10),
        service_ms: 5,
    };
    test.run().await;
}

/// Crowds of several kinds stand at once: each limit holds, and their sum must fit as well.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_several_kinds() {
    let mut stage = Stage::open(SMALL).await;
    stage.plain.set_reply(Some(3 * MB));
    let mut crowds = Vec::new();
    for (count, request) in [
        (8, short("/safe/x", 8 * MB)),
        (8, chunked("/roll/x", 6 * MB, 4_096)),
        (600, short("/flow/x", 14 * 1024)),
        (150, whole("/safe/x", 10)),
        (150, whole("/flow/x", 10)),
        (8, short("/roll/x", 8 * MB)),
    ] {
        let crowd = Crowd::open(stage.callers, count, |number| {
            request.bytes(&format!("crowd-{count}-{number}"))
        });
        crowds.push(crowd.await);
    }
    stage.plain.set_reply(None);
    stage.wait_answered("ordinary").await;
    assert_eq!(crowds.len(), 6);
    stage.check();
}

/// A limit that holds off a crowd must not refuse one request of the largest legal size.
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_bodies_are_served_in_calm() {
    struct Test {
        /// What the body is made of.
        body: fn(Limits) -> Vec<u8>,
        path: &'static str,
        status: u16,
    }
    let limits = SMALLEST_MACHINES;
    let mut stage = Stage::open(limits).await;
    for test in [
        // The server answers 413, as it does not take such a body.
        Test {
            body: |limits| vec![b'x'; limits.body],
            path: "/safe/x",
            status: 413,
        },
        Test {
            body: largest_batch,
            path: "/roll/largest",
            status: 202,
        },
    ] {
        stage.plain.refuse_larger(MB);
        let body = (test.body)(limits);
        let mut sent = format!(
            "POST {} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: largest\r\ncontent-length: {}\r\n\r\n",
            test.path,
            body.len()
        )
        .into_bytes();
        sent.extend_from_slice(&body);
        let status = ask(stage.callers, &sent, Duration::from_secs(20)).await;
        assert_eq!(status, Some(test.status), "{}", test.path);
        stage.wait_answered("ordinary").await;
        stage.check();
    }
}

/// A batch as large as a body may be, of items with bodies of 24 KB.
fn largest_batch(limits: Limits) -> Vec<u8> {
    let body = "A".repeat(32 * 1024);
    let mut batch = b"{\"groupTarget\":1,\"model\":\"m0\",\"items\":[".to_vec();
    for number in 0.. {
        let item = format!(
            "{{\"id\":\"large{number:04}\",\"path\":\"/roll/run\",\"body\":\"{body}\",\"group\":\"g{number}\"}}"
        );
        if batch.len() + item.len() + 8 > limits.body {
            break;
        }
        if number > 0 {
            batch.push(b',');
        }
        batch.extend_from_slice(item.as_bytes());
    }
    batch.extend_from_slice(b"]}");
    batch
}
