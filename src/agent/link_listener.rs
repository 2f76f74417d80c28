//! The duty that accepts entries' links.

use super::work::WorkEvent;
use crate::{
    duty::{Context, DutyError, Phase, bind_listener},
    wire::{Hello, LinkTuning, handshake, run_link}, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc}, //
};

/// Names a link of this process's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LinkKey(pub u64);

/// The links open at once. 460 entries with 16 of a pool's samplers each make
/// some 18 links to an agent; the rest is room for reconnects.
const MAX_LINKS: usize = 512;

/// A bound link port.
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    listener: std::net::TcpListener,
}

/// Binds the link port.
pub(super) fn bind(address: SocketAddr) -> Result<Listener, DutyError> {
    let (address, listener) = bind_listener(address)?;
    Ok(Listener { address, listener })
}

/// Accepts links until the program stops. A draining agent still takes links:
/// a refusal on one tells an entry more than a refused connection.
pub(super) async fn run(
    context: Context,
    listener: Listener,
    hello: Hello,
    events: mpsc::Sender<WorkEvent>,
) {
    context.drained();
    let Ok(listener) = TcpListener::from_std(listener.listener) else {
        return;
    };
    let permits = Arc::new(Semaphore::new(MAX_LINKS));
    let mut last_key = 0;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = context.reached(Phase::Stopped) => return,
        };
        let (Ok((stream, peer)), Ok(permit)) = (stream, permits.clone().try_acquire_owned()) else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        last_key += 1;
        let (key, hello, events) = (LinkKey(last_key), hello.clone(), events.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_link(stream, key, hello, events).await {
                tracing::warn!(%peer, %error, "refusing a link");
            }
            drop(permit);
        });
    }
}

async fn serve_link(
    stream: TcpStream,
    key: LinkKey,
    hello: Hello,
    events: mpsc::Sender<WorkEvent>,
) -> Result<(), crate::wire::HandshakeError> {
    let connection = handshake(stream, &hello).await?;
    run_link(connection, key, events, LinkTuning::default()).await;
    Ok(())
}
