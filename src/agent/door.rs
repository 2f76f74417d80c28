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
    work: mpsc::Sender<WorkEvent>,
) {
    context.mark_drained();
    let Ok(listener) = TcpListener::from_std(listener.listener) else {
        return;
    };
    let room = Arc::new(Semaphore::new(MAX_LINKS));
    let mut last = 0;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = context.reached(Phase::Stopped) => return,
        };
        let (Ok((stream, peer)), Ok(permit)) = (stream, room.clone().try_acquire_owned()) else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        last += 1;
        let (key, hello, work) = (LinkKey(last), hello.clone(), work.clone());
        tokio::spawn(async move {
            if let Err(error) = serve(stream, key, hello, work).await {
                tracing::warn!(%peer, %error, "refusing a link");
            }
            drop(permit);
        });
    }
}

async fn serve(
    stream: TcpStream,
    key: LinkKey,
    hello: Hello,
    work: mpsc::Sender<WorkEvent>,
) -> Result<(), crate::wire::HandshakeError> {
    let opened = handshake(stream, &hello).await?;
    run_link(opened, key, work, LinkTuning::default()).await;
    Ok(())
}
