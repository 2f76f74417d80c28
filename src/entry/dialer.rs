//! Keeps a link to one agent up.

use super::{
    server::ServerKey,
    traffic::TrafficEvent, //
};
use crate::{
    base::{Millis, stable_hash},
    wire::{Hello, LinkTuning, handshake, run_link}, //
};
use std::net::SocketAddr;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::timeout, //
};

/// The wait before the first new try; it doubles up to the last.
const MIN_RECONNECT_DELAY: Millis = Millis(50);
const MAX_RECONNECT_DELAY: Millis = Millis(1_000);

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Dials `address` again and again until it is aborted.
pub(super) async fn maintain_link(
    key: ServerKey,
    address: SocketAddr,
    hello: Hello,
    inbox: mpsc::Sender<TrafficEvent>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    let mut attempts = 0_u64;
    loop {
        let connected = timeout(CONNECT_TIMEOUT.as_duration(), TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            match handshake(stream, &hello).await {
                Ok(opened) => {
                    delay = MIN_RECONNECT_DELAY;
                    run_link(opened, key, inbox.clone(), LinkTuning::default()).await;
                }
                Err(error) => tracing::warn!(%address, %error, "no link"),
            }
        }
        attempts += 1;
        // After an outage all entries would dial at the same moment: each
        // waits another share of the time.
        let jitter = stable_hash(&[hello.instance.as_bytes(), &attempts.to_le_bytes()]) % 1_000;
        let jittered_delay = delay.0 / 2 + delay.0 * jitter / 1_000;
        tokio::time::sleep(Millis(jittered_delay).as_duration()).await;
        delay = Millis((delay.0 * 2).min(MAX_RECONNECT_DELAY.0));
    }
}
