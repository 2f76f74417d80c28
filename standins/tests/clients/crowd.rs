//! Crowds of HTTP/1.1 clients, written byte by byte.

use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout}, //
};

/// How long a crowd stands before it is looked at.
pub(super) const STANDING_TIME: Duration = Duration::from_secs(4);

/// How long one client of a crowd tries to write what it has.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// The bytes that a client reads at once.
const READ_BYTES: usize = 16 * 1024;

/// How many clients connect at once, and the pause between.
const WAVE: usize = 100;
const WAVE_PAUSE: Duration = Duration::from_millis(20);

/// How a client frames its body.
#[derive(Clone, Copy, Debug)]
pub(super) enum Framing {
    /// In chunks of this many bytes.
    Chunks(usize),
    /// With its length announced.
    Length,
}

/// One client's request. It stays open.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// The bytes of the body.
    pub(super) body: usize,
    pub(super) framing: Framing,
    /// The bytes at the end of the body that are never sent.
    pub(super) missing: usize,
    pub(super) path: &'static str,
}

impl Request {
    /// The bytes that the client sends.
    pub(super) fn bytes(&self, id: &str) -> Vec<u8> {
        let (path, body) = (self.path, self.body);
        let framing = match self.framing {
            Framing::Chunks(_) => "transfer-encoding: chunked".to_owned(),
            Framing::Length => format!("content-length: {body}"),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: {id}\r\n{framing}\r\n\r\n"
        );
        let mut sent = head.into_bytes();
        match self.framing {
            Framing::Length => sent.resize(sent.len() + body - self.missing, b' '),
            Framing::Chunks(size) => {
                for _ in 0..body.div_ceil(size) {
                    sent.extend_from_slice(format!("{size:x}\r\n").as_bytes());
                    sent.resize(sent.len() + size, b' ');
                    sent.extend_from_slice(b"\r\n");
                }
                match self.missing {
                    0 => sent.extend_from_slice(b"0\r\n\r\n"),
                    missing => sent.truncate(sent.len() - 2 - missing),
                }
            }
        }
        sent
    }
}

/// Whether clients read what they are sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reading {
    Always,
    Never,
}

/// Clients whose connections stay open until this is dropped.
pub(super) struct Crowd {
    clients: JoinSet<()>,
}

impl Crowd {
    /// `count` clients at `address`; each sends its bytes and then neither reads nor writes.
    pub(super) async fn open(
        address: SocketAddr,
        count: usize,
        bytes: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        Self::open_reading(address, count, Reading::Never, bytes).await
    }

    /// As [`Crowd::open`], with clients that read as `reading` says.
    pub(super) async fn open_reading(
        address: SocketAddr,
        count: usize,
        reading: Reading,
        bytes: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let mut clients = JoinSet::new();
        for number in 0..count {
            let bytes = bytes(number);
            // A connection that waits to be accepted takes nothing from the process.
            if number % WAVE == 0 {
                sleep(WAVE_PAUSE).await;
            }
            clients.spawn(async move {
                let Ok(Ok(mut stream)) = timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await
                else {
                    return std::future::pending().await;
                };
                let _ = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
                drop(bytes);
                if matches!(reading, Reading::Always) {
                    let mut part = vec![0; READ_BYTES];
                    while let Ok(1..) = stream.read(&mut part).await {}
                }
                std::future::pending::<()>().await;
            });
        }
        sleep(STANDING_TIME).await;
        Self { clients }
    }

    /// The number of clients.
    pub(super) fn len(&self) -> usize {
        self.clients.len()
    }
}

/// Sends `bytes` and returns the status of the answer; `None` without one.
pub(super) async fn ask(address: SocketAddr, bytes: &[u8], wait: Duration) -> Option<u16> {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(bytes).await.ok()?;
        let mut answer = Vec::new();
        let mut part = [0; 1_024];
        while answer.len() < 12 {
            match stream.read(&mut part).await.ok()? {
                0 => return None,
                read => answer.extend_from_slice(&part[..read]),
            }
        }
        String::from_utf8_lossy(&answer[9..12]).parse().ok()
    };
    timeout(wait, asking).await.ok().flatten()
}
