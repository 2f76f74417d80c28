//! Connections that send little, or nothing.

use super::{
    crowd::Crowd,
    stage::{SMALL, Stage}, //
};
use redwingpond::base::Millis;
use std::net::SocketAddr;

/// A crowd of connections to one listener.
struct Test {
    count: usize,
    listener: fn(&Stage) -> SocketAddr,
    /// What each of them sends.
    sent: fn(usize) -> Vec<u8>,
}

impl Test {
    async fn run(self) {
        let mut stage = Stage::open(SMALL).await;
        stage.plain.set_service_time(Millis(15_000));
        let address = (self.listener)(&stage);
        let crowd = Crowd::open(address, self.count, self.sent).await;
        stage.plain.set_service_time(Millis(5));
        stage.wait_answered("ordinary").await;
        assert_eq!(crowd.len(), self.count);
        stage.check();
    }
}

/// A head that has not ended, of 15 KB.
fn unfinished_head(_: usize) -> Vec<u8> {
    let mut head = b"POST /safe/x HTTP/1.1\r\nhost: site.example\r\nx-filler: ".to_vec();
    head.resize(15 * 1024, b'a');
    head
}

/// Idle connections use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let test = Test {
        count: 2_000,
        listener: |stage| stage.callers,
        sent: |_| Vec::new(),
    };
    test.run().await;
}

/// Heads that never end fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_never_end() {
    let test = Test {
        count: 3_000,
        listener: |stage| stage.callers,
        sent: unfinished_head,
    };
    test.run().await;
}

/// Further requests on a connection whose first is under way fill the process unread.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead() {
    let request = |number: usize| {
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: ahead-{number}\r\ncontent-length: 0\r\n\r\n"
        );
        head.repeat(8_000).into_bytes()
    };
    let test = Test {
        count: 900,
        listener: |stage| stage.callers,
        sent: request,
    };
    test.run().await;
}

/// Connections to the readiness check use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_readiness_check() {
    let test = Test {
        count: 2_000,
        listener: |stage| stage.ready,
        sent: unfinished_head,
    };
    test.run().await;
}

/// Connections to the metrics use up the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_metrics() {
    let test = Test {
        count: 2_000,
        listener: |stage| stage.metrics,
        sent: unfinished_head,
    };
    test.run().await;
}
