//! Handshake on a new connection between two processes of the deployment.

use super::{
    Frame,
    Hello,
    MessageError,
    decode,
    encode, //
};
use crate::base::Millis;
use bytes::BytesMut;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout, //
};

/// A connection to a peer that has proved that it belongs to the deployment.
#[derive(Debug)]
pub struct PeerConnection {
    /// The peer's hello.
    pub hello: Hello,
    /// Bytes received after the hello, not decoded yet.
    pub(super) rest: BytesMut,
    pub(super) stream: TcpStream,
}

/// Why a handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    #[snafu(display("the connection failed during the handshake: {source}"))]
    Io { source: std::io::Error },
    #[snafu(display("the peer closed the connection during the handshake"))]
    Closed,
    #[snafu(display("`{instance}` does not have this deployment's key"))]
    WrongKey { instance: String },
    #[snafu(display("{source}"))]
    Message { source: MessageError },
    #[snafu(display("the peer sent no hello in time"))]
    TimedOut,
}

/// The time limit of a handshake.
const HANDSHAKE_TIMEOUT: Millis = Millis(2_000);

/// Sends `mine` and waits for the peer's hello, which must show the same key.
pub async fn handshake(stream: TcpStream, mine: &Hello) -> Result<PeerConnection, HandshakeError> {
    match timeout(HANDSHAKE_TIMEOUT.as_duration(), exchange(stream, mine)).await {
        Ok(connection) => connection,
        Err(_) => TimedOutSnafu.fail(),
    }
}

/// The handshake without its time limit.
async fn exchange(mut stream: TcpStream, mine: &Hello) -> Result<PeerConnection, HandshakeError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let mut out = BytesMut::new();
    encode(&Frame::Message(mine), &mut out).context(MessageSnafu)?;
    stream.write_all(&out).await.context(IoSnafu)?;

    let mut rest = BytesMut::with_capacity(1_024);
    let hello: Hello = loop {
        match decode(&mut rest).context(MessageSnafu)? {
            Some(Frame::Message(hello)) => break hello,
            Some(Frame::Beat) => continue,
            None => {}
        }
        let read = stream.read_buf(&mut rest).await.context(IoSnafu)?;
        ensure!(read > 0, ClosedSnafu);
    };
    let instance = hello.instance.clone();
    ensure!(hello.key == mine.key, WrongKeySnafu { instance });
    Ok(PeerConnection {
        hello,
        rest,
        stream,
    })
}
