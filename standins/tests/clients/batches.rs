//! Batches that are accepted and fill the machines that work on them.

use super::{
    crowd::ask,
    stage::{SMALL, Stage}, //
};
use hyper::Method;
use std::time::Duration;

/// Batches of very many items.
struct Test {
    batches: usize,
    items: usize,
}

impl Test {
    /// The submission of the batch with this number.
    fn batch(&self, number: usize) -> Vec<u8> {
        let item = |item| {
            format!(
                "{{\"id\":\"{number}-{item}\",\"path\":\"/roll/r\",\"body\":\"OTk5OQ==\",\"group\":\"{item}\"}}"
            )
        };
        let items: Vec<String> = (0..self.items).map(item).collect();
        let items = items.join(",");
        let body = format!("{{\"model\":\"m0\",\"minVersion\":1,\"items\":[{items}]}}");
        let head = format!(
            "POST /roll/{number} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: many{number}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        (head + &body).into_bytes()
    }

    async fn run(self) {
        let mut stage = Stage::open(SMALL).await;
        let mut accepted = Vec::new();
        for number in 0..self.batches {
            let status = ask(stage.callers, &self.batch(number), Duration::from_secs(20)).await;
            let page = format!("/redwingpond/lots/many{number}?startAfter=0");
            if status == Some(202) {
                accepted.push(number);
                // Gateways read the heads of batches whose results are asked for.
                let answer = stage.send(Method::GET, &page, "page", "").await;
                let answer = answer.map(|answer| answer.status.as_u16());
                assert!(matches!(answer, Some(200 | 503)), "{answer:?}");
            } else {
                assert!(matches!(status, Some(413 | 503)), "{status:?}");
            }
        }
        eprintln!("{} of {} accepted", accepted.len(), self.batches);
        tokio::time::sleep(Duration::from_secs(4)).await;
        stage.wait_answered("ordinary").await;
        stage.check();
        for number in accepted {
            let path = format!("/redwingpond/lots/many{number}");
            let ended = stage.send(Method::DELETE, &path, "end", "").await;
            assert_eq!(ended.map(|answer| answer.status.as_u16()), Some(200));
        }
        stage.wait_delivered("ordinary").await;
        stage.check();
    }
}

/// Batches of as many items as there can be fill the runners and the gateway.
#[tokio::test(flavor = "multi_thread")]
async fn batches_of_very_many_items() {
    let test = Test {
        batches: 8,
        items: 65_000,
    };
    test.run().await;
}

/// Many batches fill the runners, although each of them is small enough for the store.
#[tokio::test(flavor = "multi_thread")]
async fn many_batches_of_many_items() {
    let test = Test {
        batches: 100,
        items: 4_000,
    };
    test.run().await;
}
