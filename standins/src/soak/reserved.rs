//! Connections that clients open before a planned stop, and first use during it.

use rand::Rng;
use redwingpond::base::Millis;
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout}, //
};

/// A call on a connection that was opened before a planned stop.
pub(super) struct ReservedCall {
    pub(super) id: String,
    /// The process that it was sent to, and which of its starts.
    pub(super) target: (usize, u32),
    /// Whether the whole answer arrived.
    task: JoinHandle<bool>,
}

/// The calls during one stop.
const CALLS: usize = 4;

/// The latest of them; the stop is forced after 5.1 s.
const LAST_CALL: Millis = Millis(5_000);

/// How long opening a connection may take: a paused process doesn't accept it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

impl ReservedCall {
    /// Opens connections to `gateway`, and sends a call on each at a time that is drawn from `rng`.
    /// Their ids begin with `prefix`.
    pub(super) fn open(
        gateway: SocketAddr,
        key: &str,
        prefix: &str,
        target: (usize, u32),
        rng: &mut impl Rng,
    ) -> Vec<Self> {
        let calls = (0..CALLS).map(|number| {
            let id = format!("{prefix}-{number}");
            let request = format!(
                "POST /slow/x HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n\
                 x-deadline-ms: 1500\r\nx-api-key: {key}\r\ncontent-length: 4\r\n\r\nbody"
            );
            let at = Millis(rng.random_range(100..LAST_CALL.0));
            // Opened here and now, before the signal.
            let stream = connect(gateway);
            Self {
                id,
                target,
                task: tokio::spawn(call(stream, request, at)),
            }
        });
        calls.collect()
    }

    /// Waits for the end of the call; whether its whole answer arrived.
    pub(super) async fn is_answered(&mut self) -> bool {
        (&mut self.task).await.unwrap_or(false)
    }
}

fn connect(gateway: SocketAddr) -> io::Result<TcpStream> {
    let stream = std::net::TcpStream::connect_timeout(&gateway, CONNECT_TIMEOUT)?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Sends `request` after `at`, and reads the answer.
async fn call(stream: io::Result<TcpStream>, request: String, at: Millis) -> bool {
    let Ok(mut stream) = stream else {
        return false;
    };
    sleep(at.as_duration()).await;
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let reading = async {
        while !is_whole(&answer) {
            if !matches!(stream.read_buf(&mut answer).await, Ok(1..)) {
                return false;
            }
        }
        true
    };
    timeout(ANSWER_TIMEOUT, reading).await.unwrap_or(false)
}

/// Whether `answer` has its head and as much body as that announces.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lengths = head
        .lines()
        .filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.next().and_then(|length| length.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}
