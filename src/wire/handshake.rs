//! The first exchange on a new connection between two of our processes.

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

/// A connection whose other end has shown that it belongs to the deployment.
#[derive(Debug)]
pub struct PeerConnection {
    pub hello: Hello,
    /// What arrived behind the hello.
    pub(super) rest: BytesMut,
    pub(super) stream: TcpStream,
}

/// A connection was not opened.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    #[snafu(display("the connection broke: {source}"))]
    Io { source: std::io::Error },
    #[snafu(display("the other end closed the connection"))]
    Closed,
    #[snafu(display("`{instance}` does not know this deployment's key"))]
    WrongKey { instance: String },
    #[snafu(display("{source}"))]
    Message { source: MessageError },
    #[snafu(display("no hello came in time"))]
    TimedOut,
}

/// How long the other end may take.
const HANDSHAKE_TIMEOUT: Millis = Millis(2_000);

/// Sends `mine` and waits for the other end's hello.
pub async fn handshake(stream: TcpStream, mine: &Hello) -> Result<PeerConnection, HandshakeError> {
    match timeout(HANDSHAKE_TIMEOUT.as_duration(), exchange(stream, mine)).await {
        Ok(connection) => connection,
        Err(_) => TimedOutSnafu.fail(),
    }
}

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
