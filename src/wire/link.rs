//! One TCP connection between two of our processes.

use super::{
    Frame,
    Hello,
    MAX_FRAME,
    decode,
    encode,
    handshake::Opened, //
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
    pub beat: Millis,
    /// A link on which nothing was heard for this long is given up.
    pub silence: Millis,
}

impl Default for LinkTuning {
    fn default() -> Self {
        Self {
            beat: Millis(750),
            silence: Millis(2_500),
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
const OUT_RING: usize = 4_096;

/// The room made in the buffer before each read.
const READ_ROOM: usize = 8 * 1024;

/// The bytes that are gathered into one write.
const WRITE_BATCH: usize = 64 * 1024;

/// Runs a link over `opened` until it breaks, falls silent or all its senders
/// are dropped; what happens on it goes to `inbox` under the name `link`.
pub async fn run_link<K, In, Out>(
    opened: Opened,
    link: K,
    inbox: mpsc::Sender<LinkEvent<K, In, Out>>,
    tuning: LinkTuning,
) where
    K: Clone,
    In: DeserializeOwned,
    Out: Serialize,
{
    let (reader, writer) = opened.stream.into_split();
    let (out, ring) = mpsc::channel(OUT_RING);
    let clock = Clock::open();
    let heard = AtomicU64::new(clock.now().0);
    let up = LinkEvent::Up {
        hello: opened.hello,
        link: link.clone(),
        sender: Link { out },
    };
    if inbox.send(up).await.is_err() {
        return;
    }

    let reason = tokio::select! {
        reason = read(reader, opened.rest, &link, &inbox, clock, &heard) => reason,
        reason = write(writer, ring, clock, &heard, tuning) => reason,
    };
    let _ = inbox.send(LinkEvent::Down { link, reason }).await;
}

async fn read<K: Clone, In: DeserializeOwned, Out>(
    mut reader: OwnedReadHalf,
    mut buffer: BytesMut,
    link: &K,
    inbox: &mpsc::Sender<LinkEvent<K, In, Out>>,
    clock: Clock,
    heard: &AtomicU64,
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
                    heard.store(clock.now().0, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::warn!(%error, "closing a link that sent no message");
                    return "malformed";
                }
            }
        }

        buffer.reserve(READ_ROOM);
        match reader.read_buf(&mut buffer).await {
            Ok(0) => return "closed by the peer",
            Ok(_) => heard.store(clock.now().0, Ordering::Relaxed),
            Err(_) => return "broken",
        }
    }
}

async fn write<Out: Serialize>(
    mut writer: OwnedWriteHalf,
    mut ring: mpsc::Receiver<Out>,
    clock: Clock,
    heard: &AtomicU64,
    tuning: LinkTuning,
) -> &'static str {
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    let mut beat = interval(tuning.beat.as_duration());
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    beat.reset();

    loop {
        tokio::select! {
            message = ring.recv() => match message {
                Some(message) => push(&Frame::Message(message), &mut buffer),
                None => {
                    let _ = writer.shutdown().await;
                    return "no longer wanted";
                }
            },
            _ = beat.tick() => push(&Frame::<Out>::Beat, &mut buffer),
        }
        while buffer.len() < WRITE_BATCH {
            match ring.try_recv() {
                Ok(message) => push(&Frame::Message(message), &mut buffer),
                Err(_) => break,
            }
        }

        // A connection can go silent for good while new ones work: something
        // between the two ends has lost track of it. It shows as nothing
        // heard, or as a write that doesn't end. Both ends beat, so silence
        // in either direction is found by one of them within the bound.
        let heard_at = Millis(heard.load(Ordering::Relaxed));
        if clock.now().since(heard_at) > tuning.silence {
            return "silent";
        }
        match timeout(tuning.silence.as_duration(), writer.write_all(&buffer)).await {
            Ok(Ok(())) => {
                buffer.clear();
                beat.reset();
            }
            Ok(Err(_)) => return "broken",
            Err(_) => return "silent",
        }
        if buffer.capacity() > MAX_FRAME {
            buffer = BytesMut::with_capacity(16 * 1024);
        }
    }
}

fn push<T: Serialize>(frame: &Frame<T>, buffer: &mut BytesMut) {
    if let Err(error) = encode(frame, buffer) {
        tracing::error!(%error, "dropping a message that can't be sent");
    }
}
