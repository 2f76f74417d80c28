//! The duty `door`: accepts links from entries.

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

/// Identifies a link; not reused within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LinkKey(pub u64);

/// The most links open at once. With 460 entries, each linked to 16 of a pool's agents,
/// an agent has about 18 links; the rest is room for reconnects.
const MAX_LINKS: usize = 512;

/// A bound link port that does not accept connections yet.
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    listener: std::net::TcpListener,
}

/// Binds the link port, so that its address is known before the duty starts.
pub(super) fn bind(address: SocketAddr) -> Result<Listener, DutyError> {
    let (address, listener) = bind_listener(address)?;
    Ok(Listener { address, listener })
}

/// Accepts links until the program stops. A draining agent still accepts them, because a
/// refused request gives the entry a reason, which a refused connection does not.
pub(super) async fn run(
    context: Context,
    listener: Listener,
    hello: Hello,
    events: mpsc::Sender<WorkEvent>,
) {
    context.mark_drained();
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
            // The accept failed, or too many links are open: a pause before the next accept.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        last_key += 1;
        let (key, hello, events) = (LinkKey(last_key), hello.clone(), events.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_link(stream, key, hello, events).await {
                tracing::warn!(%peer, %error, "link refused: the handshake failed");
            }
            drop(permit);
        });
    }
}

/// Performs the handshake, then runs the link until it closes.
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
