//! One TCP connection between two of our processes.

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

/// How a link finds out that the other end is silent.
#[derive(Clone, Copy, Debug)]
pub struct LinkTuning {
    /// A beat is sent when nothing else was sent for this long.
    pub heartbeat_interval: Millis,
    /// A link on which nothing was heard for this long is given up.
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

/// The sending end of a link; cheap to clone.
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
    /// Waits for room, then queues `message`; false when the link is gone.
    pub async fn send(&self, message: Out) -> bool {
        self.out.send(message).await.is_ok()
    }

    /// Queues `message` if there is room and the link is up.
    ///
    /// A full ring means that the peer has not read for a while. The caller
    /// treats that as a broken link, because a dropped message would leave
    /// the two ends with different views of a stream.
    pub fn try_send(&self, message: Out) -> bool {
        self.out.try_send(message).is_ok()
    }
}

/// What a link reports to the duty that owns it.
#[derive(Debug)]
pub enum LinkEvent<K, In, Out> {
    /// The link is gone; nothing more comes from it.
    Down {
        link: K,
        reason: &'static str,
    },
    Message {
        link: K,
        message: In,
    },
    /// The link is up; always the first event of a link.
    Up {
        hello: Hello,
        link: K,
        sender: Link<Out>,
    },
}

/// The messages that may wait for one link's writer.
const MAX_WAITING_MESSAGES: usize = 4_096;

/// The room made in the buffer before each read.
const MIN_READ_SPACE: usize = 8 * 1024;

/// The bytes that are gathered into one write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Runs a link over `connection` until it breaks, falls silent or all its senders
/// are dropped; what happens on it goes to `inbox` under the name `link`.
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
    let (out, queue) = mpsc::channel(MAX_WAITING_MESSAGES);
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
                    tracing::warn!(%error, "closing a link that sent no message");
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

        // A connection can go silent for good while new ones work: something
        // between the two ends has lost track of it. It shows as nothing
        // heard, or as a write that doesn't end. Both ends beat, so silence
        // in either direction is found by one of them within the bound.
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

fn encode_frame<T: Serialize>(frame: &Frame<T>, buffer: &mut BytesMut) {
    if let Err(error) = encode(frame, buffer) {
        tracing::error!(%error, "dropping a message that can't be sent");
    }
}
