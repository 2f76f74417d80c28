//! Keeps the link to one agent open.

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

/// The delay before the first new attempt to connect; it doubles up to the maximum.
const MIN_RECONNECT_DELAY: Millis = Millis(50);
const MAX_RECONNECT_DELAY: Millis = Millis(1_000);

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Opens a link to the agent at `address`, and a new one whenever it is lost; runs until
/// its task is aborted.
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
                Err(error) => tracing::warn!(%address, %error, "handshake with the agent failed"),
            }
        }
        attempts += 1;
        // Jitter keeps the entries from all connecting at the same moment after an outage.
        let jitter = stable_hash(&[hello.instance.as_bytes(), &attempts.to_le_bytes()]) % 1_000;
        let jittered_delay = delay.0 / 2 + delay.0 * jitter / 1_000;
        tokio::time::sleep(Millis(jittered_delay).as_duration()).await;
        delay = Millis((delay.0 * 2).min(MAX_RECONNECT_DELAY.0));
    }
}
