//! A TCP relay that can drop all traffic of its open connections.
//!
//! It simulates a device on the network path that loses a connection's state,
//! such as a firewall: both ends stay open, no byte arrives any more, and new
//! connections work.

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

/// The directions in which the relay drops the traffic of open connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    /// From the target to the client.
    pub from_target: bool,
    /// From the client to the target.
    pub to_target: bool,
}

/// A running relay; dropping it stops accepting connections.
pub struct Relay {
    pub address: SocketAddr,
    /// The number of calls of [`Relay::silence`] so far, called the generation, and the latest
    /// silence. It applies to connections accepted in an earlier generation.
    silence: Arc<watch::Sender<(u64, Silence)>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free loopback port and relays connections to `target`.
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

    /// Silences all open connections; connections opened later are not affected.
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

/// Relays one connection in both directions.
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

/// Copies bytes in one direction until either end closes; drops them while the
/// direction is silenced.
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
            // The end of the stream is dropped as well: the other end must not
            // see the connection close.
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
