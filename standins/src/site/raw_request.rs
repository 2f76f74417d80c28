//! HTTP requests as the bytes that arrived, for relays that answer otherwise than a server would.

use std::{
    io,
    net::SocketAddr, //
};
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle, //
};

/// Accepts connections on a free port, and serves each with `serve`.
pub(super) async fn accept_connections<F>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> io::Result<(SocketAddr, JoinHandle<()>)>
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client));
        }
    });
    Ok((address, task))
}

/// A request's head and body as they arrived.
pub(super) struct RawRequest {
    pub(super) body: Vec<u8>,
    pub(super) head: String,
}

impl RawRequest {
    /// Reads the next request; `None` at the connection's end.
    pub(super) async fn read(client: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Self>> {
        let mut bytes = Vec::new();
        let end = loop {
            if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if client.read_buf(&mut bytes).await? == 0 {
                return Ok(None);
            }
        };
        let mut body = bytes.split_off(end);
        let head = String::from_utf8(bytes).map_err(io::Error::other)?;
        let request = Self {
            body: Vec::new(),
            head,
        };
        let length = request.header("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        while body.len() < length {
            if client.read_buf(&mut body).await? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(Self { body, ..request }))
    }

    /// The value of the first header with this name.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub(super) fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}
