//! A link: one TCP connection that carries messages between two processes of the
//! deployment.

use super::{
    Frame,
    Hello,
    MAX_FRAME,
    decode,
    encode,
    handshake::PeerConnection, //
};
use crate::base::{
    Clock,
    Millis, //
};
use bytes::BytesMut;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::mpsc,
    time::{MissedTickBehavior, interval, timeout}, //
};

/// The times by which a link detects a silent peer.
#[derive(Clone, Copy, Debug)]
pub struct LinkTuning {
    /// A heartbeat is sent when nothing else was sent for this long.
    pub heartbeat_interval: Millis,
    /// A link is closed when nothing was received on it for this long, or when a write
    /// takes longer.
    pub silence_timeout: Millis,
}

impl Default for LinkTuning {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(750),
            silence_timeout: Millis(2_500),
        }
    }
}

/// The sending half of a link; cheap to clone. The link closes when all clones are
/// dropped.
#[derive(Debug)]
pub struct Link<Out> {
    out: mpsc::Sender<Out>,
}

impl<Out> Clone for Link<Out> {
    fn clone(&self) -> Self {
        Self {
            out: self.out.clone(),
        }
    }
}

impl<Out> Link<Out> {
    /// Queues `message`, waiting while the queue is full; false if the link is down.
    pub async fn send(&self, message: Out) -> bool {
        self.out.send(message).await.is_ok()
    }

    /// Queues `message` without waiting; false if the queue is full or the link is down.
    ///
    /// A full queue means that the peer has not read for a while. A caller whose stream
    /// depends on the message must treat that as a broken link: the two ends would
    /// otherwise disagree on the state of the stream.
    pub fn try_send(&self, message: Out) -> bool {
        self.out.try_send(message).is_ok()
    }
}

/// An event of a link, sent to the duty that owns the link. `K` identifies the link.
#[derive(Debug)]
pub enum LinkEvent<K, In, Out> {
    /// The link is closed; this is its last event.
    Down { link: K, reason: &'static str },
    /// The peer sent a message.
    Message { link: K, message: In },
    /// The link is open; this is its first event.
    Up {
        hello: Hello,
        link: K,
        sender: Link<Out>,
    },
}

/// The most messages that may wait to be written to one link.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// The minimum free space of the buffer before each read, in bytes.
const MIN_READ_SPACE: usize = 8 * 1024;

/// Messages are gathered into one write until it has this many bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Runs a link over `connection` until the connection fails, the peer is silent for too
/// long, all senders are dropped or `inbox` is closed. Sends the link's events to `inbox`,
/// with the key `link`.
pub async fn run_link<K, In, Out>(
    connection: PeerConnection,
    link: K,
    inbox: mpsc::Sender<LinkEvent<K, In, Out>>,
    tuning: LinkTuning,
) where
    K: Clone,
    In: DeserializeOwned,
    Out: Serialize,
{
    let (reader, writer) = connection.stream.into_split();
    let (out, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let clock = Clock::open();
    let last_received = AtomicU64::new(clock.now().0);
    let up = LinkEvent::Up {
        hello: connection.hello,
        link: link.clone(),
        sender: Link { out },
    };
    if inbox.send(up).await.is_err() {
        return;
    }

    let reason = tokio::select! {
        reason = read(reader, connection.rest, &link, &inbox, clock, &last_received) => reason,
        reason = write(writer, queue, clock, &last_received, tuning) => reason,
    };
    let _ = inbox.send(LinkEvent::Down { link, reason }).await;
}

/// Reads messages until the link has to be closed; returns the reason.
async fn read<K: Clone, In: DeserializeOwned, Out>(
    mut reader: OwnedReadHalf,
    mut buffer: BytesMut,
    link: &K,
    inbox: &mpsc::Sender<LinkEvent<K, In, Out>>,
    clock: Clock,
    last_received: &AtomicU64,
) -> &'static str {
    loop {
        loop {
            match decode::<Frame<In>>(&mut buffer) {
                Ok(None) => break,
                Ok(Some(Frame::Beat)) => {}
                Ok(Some(Frame::Message(message))) => {
                    let link = link.clone();
                    let event = LinkEvent::Message { link, message };
                    if inbox.send(event).await.is_err() {
                        return "no longer wanted";
                    }
                    last_received.store(clock.now().0, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::warn!(%error, "closing a link: a received frame does not decode");
                    return "malformed";
                }
            }
        }

        buffer.reserve(MIN_READ_SPACE);
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return "closed by the peer",
            Ok(_) => last_received.store(clock.now().0, Ordering::Relaxed),
            Err(_) => return "broken",
        }
    }
}

/// Writes queued messages and heartbeats until the link has to be closed; returns the
/// reason.
async fn write<Out: Serialize>(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Out>,
    clock: Clock,
    last_received: &AtomicU64,
    tuning: LinkTuning,
) -> &'static str {
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    let mut heartbeat = interval(tuning.heartbeat_interval.as_duration());
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    heartbeat.reset();

    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => encode_frame(&Frame::Message(message), &mut buffer),
                None => {
                    let _ = writer.shutdown().await;
                    return "no longer wanted";
                }
            },
            _ = heartbeat.tick() => encode_frame(&Frame::<Out>::Beat, &mut buffer),
        }
        while buffer.len() < WRITE_BATCH_BYTES {
            match queue.try_recv() {
                Ok(message) => encode_frame(&Frame::Message(message), &mut buffer),
                Err(_) => break,
            }
        }

        // One connection can stop carrying data while new ones work, because a device
        // between the two ends has lost its state. Then nothing is received, or a write
        // does not end. Both ends send heartbeats, so one of them detects silence in
        // either direction within the timeout.
        let received_at = Millis(last_received.load(Ordering::Relaxed));
        if clock.now().since(received_at) > tuning.silence_timeout {
            return "silent";
        }
        match timeout(
            tuning.silence_timeout.as_duration(),
            writer.write_all(&buffer),
        )
        .await
        {
            Ok(Ok(())) => {
                buffer.clear();
                heartbeat.reset();
            }
            Ok(Err(_)) => return "broken",
            Err(_) => return "silent",
        }
        if buffer.capacity() > MAX_FRAME {
            buffer = BytesMut::with_capacity(16 * 1024);
        }
    }
}

/// Appends `frame` to `buffer`; a frame that does not encode is logged and dropped.
fn encode_frame<T: Serialize>(frame: &Frame<T>, buffer: &mut BytesMut) {
    if let Err(error) = encode(frame, buffer) {
        tracing::error!(%error, "message dropped: it does not encode as a frame");
    }
}
