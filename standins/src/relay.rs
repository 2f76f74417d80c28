//! A TCP relay whose connections can go silent on command.
//!
//! Something between two ends loses track of a connection: both stay open,
//! nothing passes any more, and new connections work.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener,
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf}, //
    },
    sync::watch,
    task::JoinHandle, //
};

/// Which directions of the relay's present connections pass nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    pub from_target: bool,
    pub to_target: bool,
}

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    /// The present connections' silence; counts up for new connections.
    silence: Arc<watch::Sender<(u64, Silence)>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays connections to `target`.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let silence = Arc::new(watch::channel((0, Silence::default())).0);
        let task = tokio::spawn({
            let silence = silence.clone();
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (generation, _) = *silence.borrow();
                    tokio::spawn(relay_connection(
                        stream,
                        target,
                        silence.subscribe(),
                        generation,
                    ));
                }
            }
        });
        Ok(Self {
            address,
            silence,
            task,
        })
    }

    /// Makes all present connections silent; later ones work.
    pub fn silence(&self, silence: Silence) {
        self.silence.send_modify(|state| {
            state.0 += 1;
            state.1 = silence;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    silence: watch::Receiver<(u64, Silence)>,
    generation: u64,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let to_target = forward(client_in, server_out, silence.clone(), generation, |s| {
        s.to_target
    });
    let from_target = forward(server_in, client_out, silence, generation, |s| {
        s.from_target
    });
    tokio::join!(to_target, from_target);
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    silence: watch::Receiver<(u64, Silence)>,
    generation: u64,
    is_silent: fn(&Silence) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(read) = from.read(&mut buffer).await {
        let muted = {
            let state = silence.borrow();
            state.0 > generation && is_silent(&state.1)
        };
        if muted {
            // Swallowed, and the end of the connection with it.
            if read == 0 {
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
