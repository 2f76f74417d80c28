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
const FIRST_WAIT: Millis = Millis(50);
const LAST_WAIT: Millis = Millis(1_000);

/// How long a connection may take to open.
const CONNECT: Millis = Millis(1_000);

/// Dials `address` again and again until it is aborted.
pub(super) async fn dial(
    key: ServerKey,
    address: SocketAddr,
    hello: Hello,
    inbox: mpsc::Sender<TrafficEvent>,
) {
    let mut wait = FIRST_WAIT;
    let mut tries = 0_u64;
    loop {
        let connected = timeout(CONNECT.as_duration(), TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            match handshake(stream, &hello).await {
                Ok(opened) => {
                    wait = FIRST_WAIT;
                    run_link(opened, key, inbox.clone(), LinkTuning::default()).await;
                }
                Err(error) => tracing::warn!(%address, %error, "no link"),
            }
        }
        tries += 1;
        // After an outage all entries would dial at the same moment: each
        // waits another share of the time.
        let jitter = stable_hash(&[hello.instance.as_bytes(), &tries.to_le_bytes()]) % 1_000;
        let jittered = wait.0 / 2 + wait.0 * jitter / 1_000;
        tokio::time::sleep(Millis(jittered).as_duration()).await;
        wait = Millis((wait.0 * 2).min(LAST_WAIT.0));
    }
}
