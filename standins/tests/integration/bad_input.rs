//! Malformed, incomplete and foreign input at the ports of entries and agents.

use redwing_standins::fleet::{Fleet, Options, Plan};
use redwingpond::{
    base::Incarnation,
    settings::read,
    wire::{Frame, Hello, Role, ToAgent, encode},
};
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
};

/// A deployment with one service, and a class whose pool doesn't exist.
const PLAN: &str = "
team: plant
data_centres: [hall]
pools:
  ledger: {kind: service, servers: 1}
settings:
  pools/ledger: |
    kind: service
  teams/plant: |
    classes:
      entry: {pool: ledger}
      nowhere: {pool: missing}
callers: {}
trainers: {}
";

async fn open() -> Fleet {
    let plan = read("plan", PLAN, Plan::read).unwrap();
    let options = Options {
        entries: 1,
        ..Options::default()
    };
    Fleet::open(&[plan], options).await.unwrap()
}

/// Sends bytes to `address` and returns what is received until the peer closes the connection
/// or sends nothing for 400 ms.
async fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    let quiet = std::time::Duration::from_millis(400);
    while let Ok(Ok(read)) = tokio::time::timeout(quiet, stream.read(&mut part)).await {
        if read == 0 {
            break;
        }
        answer.extend_from_slice(&part[..read]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Checks that a valid call still succeeds.
async fn check_serves(fleet: &Fleet) {
    let entry = fleet.balancer.next().unwrap();
    let good = "POST /v1/app/plant/entry/work HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok";
    let answer = exchange_raw(entry, good.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// An entry receives malformed requests. The answers must name the mistake, and later valid
/// calls must succeed.
#[test]
fn bad_requests_are_rejected() {
    struct Test {
        request: String,
        /// A part of the expected answer.
        expected: &'static str,
    }

    let post = |path: &str, headers: &str, body: &str| {
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}"
        )
    };
    let tests = [
        Test {
            request: "nonsense\r\n\r\n".into(),
            expected: "HTTP/1.1 400",
        },
        Test {
            request: format!(
                "GET / HTTP/1.1\r\nhost: x\r\nbig: {}\r\n\r\n",
                "x".repeat(80_000)
            ),
            expected: "HTTP/1.1 431",
        },
        Test {
            request: post("/elsewhere", "", ""),
            expected: "urn:redwing:problem:not-found",
        },
        Test {
            request: post("/v1/app/nobody/entry/work", "", ""),
            expected: "no team `nobody`",
        },
        Test {
            request: post("/v1/app/plant/none/work", "", ""),
            expected: "no class `none`",
        },
        Test {
            request: post("/v1/app/plant/nowhere/work", "", ""),
            expected: "no pool `missing`",
        },
        Test {
            request: post(
                "/v1/app/plant/entry/work",
                "redwing-deadline-ms: soon\r\n",
                "",
            ),
            expected: "expected 1 to 3600000",
        },
        Test {
            request: post(
                "/v1/app/plant/entry/work",
                "redwing-idempotent: maybe\r\n",
                "",
            ),
            expected: "expected true or false",
        },
        Test {
            request: post(
                "/v1/app/plant/entry/work",
                "redwing-request-key: a b\r\n",
                "",
            ),
            expected: "visible characters",
        },
        Test {
            request: post("/v1/teams/plant/trainers/t/steps/1", "", "{}"),
            expected: "may_have_run\":false",
        },
        Test {
            request: post("/v1/teams/plant/trainers/t/steps/one", "", "{}"),
            expected: "missing field",
        },
        Test {
            request: post(
                "/v1/teams/plant/trainers/t/steps/1/fetch",
                "",
                "{\"have\":\"xyz\",\"weight_version\":1}",
            ),
            expected: "no bitmap",
        },
        Test {
            request: post(
                "/v1/teams/nobody/trainers/t/version",
                "",
                "{\"model\":\"m\",\"weight_version\":1}",
            ),
            expected: "no team `nobody` with rollouts",
        },
    ];
    Runtime::new().unwrap().block_on(async {
        let fleet = open().await;
        let entry = fleet.balancer.next().unwrap();
        for test in tests {
            let answer = exchange_raw(entry, test.request.as_bytes()).await;
            let start: String = test.request.chars().take(60).collect();
            assert!(answer.contains(test.expected), "{start}: {answer}");
        }
        check_serves(&fleet).await;
    });
}

/// Clients open many connections and send nothing or half a request. Calls of other clients
/// must still be served.
#[test]
fn half_sent_requests_block_no_other_calls() {
    Runtime::new().unwrap().block_on(async {
        let fleet = open().await;
        let entry = fleet.balancer.next().unwrap();
        let mut streams = Vec::new();
        for bytes in [
            &b""[..],
            b"POST /v1/app/plant",
            b"POST /v1/app/plant/entry/work HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab",
        ] {
            for _ in 0..50 {
                let mut stream = TcpStream::connect(entry).await.unwrap();
                stream.write_all(bytes).await.unwrap();
                streams.push(stream);
            }
        }
        check_serves(&fleet).await;
    });
}

/// Foreign clients connect to an agent's link port: with random bytes, another protocol
/// version, a huge frame length, a valid hello with a wrong key, or a message without a hello.
/// The entries' links must stay up.
#[test]
fn foreign_link_connections_disturb_no_calls() {
    Runtime::new().unwrap().block_on(async {
        let fleet = open().await;
        let links = fleet.members[0].agent.as_ref().unwrap().links;
        let mut forged = bytes::BytesMut::new();
        let hello = Hello {
            incarnation: Incarnation(1),
            instance: "stranger".into(),
            key: "guess".into(),
            role: Role::Entry,
        };
        encode(&Frame::Message(hello), &mut forged).unwrap();
        let cancel = Frame::Message(ToAgent::Cancel {
            slot: redwingpond::wire::Slot(1),
        });
        let mut no_hello = bytes::BytesMut::new();
        encode(&cancel, &mut no_hello).unwrap();
        for bytes in [
            &[0xff; 64][..],
            &[2, 0, 0, 0, 9, 0],
            &[0xff, 0xff, 0xff, 0x7f, 1],
            &forged,
            &no_hello,
        ] {
            exchange_raw(links, bytes).await;
        }
        check_serves(&fleet).await;
    });
}
