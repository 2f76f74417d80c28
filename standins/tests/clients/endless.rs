//! Servers whose answers never end, and crowds of clients that call them.

use super::{
    crowd::{Crowd, Framing, Reading, Request},
    stage::{SMALLEST_MACHINES, Stage}, //
};
use redwing_standins::site::{
    FaultyRelay,
    RawAnswer,
    RawEnd,
    server_entry, //
};
use redwingpond::base::Millis;

/// The servers whose answers never end.
const SERVERS: usize = 5;

/// The clients that call them.
const CLIENTS: usize = 600;

/// The answers that each of them gives.
const ANSWERS: usize = 10_000;

/// The pause between two pieces of an answer that its client reads.
const READ_PAUSE: Millis = Millis(50);

/// How an answer goes on for ever.
#[derive(Clone, Copy)]
struct Endless {
    /// What follows the first headers; `None` if there is not even a status.
    head: Option<&'static str>,
    more: fn(u64) -> Vec<u8>,
}

impl Endless {
    const fn new(head: &'static str, more: fn(u64) -> Vec<u8>) -> Self {
        Self {
            head: Some(head),
            more,
        }
    }

    fn answer(self, pause: Millis) -> RawAnswer {
        let head = self.head.map(|head| {
            format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-signature: seal\r\n{head}"
            )
        });
        RawAnswer {
            bytes: head.unwrap_or_default().into_bytes(),
            end: RawEnd::Endless(self.more),
            pause,
        }
    }
}

/// A crowd whose clients all get answers without end, half of them as streams.
struct Test {
    /// The servers take them in turn.
    answers: Vec<Endless>,
    reading: Reading,
}

impl Test {
    async fn run(self) {
        let mut stage = Stage::open(SMALLEST_MACHINES).await;
        let pause = match self.reading {
            Reading::Always => READ_PAUSE,
            Reading::Never => Millis(0),
        };
        let mut relays = Vec::new();
        for number in 0..SERVERS {
            let relay = FaultyRelay::open(stage.plain.address).await.expect("relay");
            let answer = self.answers[number % self.answers.len()].answer(pause);
            relay.set_answers("/", vec![answer; ANSWERS]);
            let entry = server_entry("plain", relay.address, "ready");
            stage
                .store
                .put("servers", &format!("endless-{number}"), Some(&entry));
            relays.push(relay);
        }
        stage.store.put("servers", &stage.plain.id, None);
        let crowd = Crowd::open_reading(stage.callers, CLIENTS, self.reading, |number| {
            let request = Request {
                body: 10,
                framing: Framing::Length,
                missing: 0,
                path: ["/safe/x", "/flow/x"][number % 2],
            };
            request.bytes(&format!("crowd-{number}"))
        })
        .await;
        let answered: usize = relays.iter().map(FaultyRelay::answered).sum();
        assert!(answered >= CLIENTS / 10, "{answered} answers");
        let entry = server_entry("plain", stage.plain.address, "ready");
        stage.store.put("servers", &stage.plain.id, Some(&entry));
        stage.wait_answered("ordinary").await;
        assert_eq!(crowd.len(), CLIENTS);
        stage.check();
    }
}

fn letters(_: u64) -> Vec<u8> {
    vec![b'x'; 256 * 1024]
}

fn headers(number: u64) -> Vec<u8> {
    format!("x-{number}: x\r\n").repeat(100).into_bytes()
}

fn chunks(_: u64) -> Vec<u8> {
    [b"1000\r\n", vec![b'x'; 0x1000].as_slice(), b"\r\n"].concat()
}

fn interim(_: u64) -> Vec<u8> {
    b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(100)
}

fn events(number: u64) -> Vec<u8> {
    let event = |id| format!("id: {id}\ndata: {id}\n\n");
    let first = number * 100;
    (first..first + 100)
        .map(event)
        .collect::<String>()
        .into_bytes()
}

const EVENTS: Endless = Endless::new("content-type: text/event-stream\r\n\r\n", events);
const CHUNKS: Endless = Endless::new("transfer-encoding: chunked\r\n\r\n", chunks);
const BODY: Endless = Endless::new("content-length: 1000000000000\r\n\r\n", letters);

/// An event without an end fills the process, as nobody reads it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_events_that_nobody_reads() {
    let test = Test {
        answers: vec![Endless::new(
            "content-type: text/event-stream\r\n\r\ndata: ",
            letters,
        )],
        reading: Reading::Never,
    };
    test.run().await;
}

/// Chunks without an end fill the process, as nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunks_that_nobody_reads() {
    let test = Test {
        answers: vec![CHUNKS],
        reading: Reading::Never,
    };
    test.run().await;
}

/// Bodies of an absurd length fill the process, as nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_that_nobody_reads() {
    let test = Test {
        answers: vec![BODY],
        reading: Reading::Never,
    };
    test.run().await;
}

/// Heads, and the ends of chunked bodies, fill the process.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_and_trailers() {
    let test = Test {
        answers: vec![
            Endless::new("x-long: ", letters),
            Endless::new("", headers),
            Endless {
                head: None,
                more: interim,
            },
            Endless::new("transfer-encoding: chunked\r\n\r\n1;", letters),
            Endless::new("transfer-encoding: chunked\r\n\r\n0\r\n", headers),
        ],
        reading: Reading::Never,
    };
    test.run().await;
}

/// Answers without an end fill the process on their way to clients that read them.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_that_are_read() {
    let test = Test {
        answers: vec![BODY, CHUNKS, EVENTS],
        reading: Reading::Always,
    };
    test.run().await;
}
