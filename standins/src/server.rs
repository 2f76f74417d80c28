//! A small HTTP server that can be taken down and brought back.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder, //
};
use redwingpond::duty::Answer;
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    }, //
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinHandle, //
};

/// A running server; dropping it stops it and closes all its connections.
pub struct Server {
    /// The number of connections accepted so far.
    accepted: Arc<AtomicU64>,
    pub address: SocketAddr,
    /// Holds the address while the server is down: without it, another program on the instance
    /// can take the port, and answers the requests that are sent there.
    _reserved: TcpSocket,
    task: JoinHandle<()>,
    /// Whether the server listens; false also closes its connections.
    up: Arc<watch::Sender<bool>>,
}

impl Server {
    /// Listens at `address` and answers with `handler`. An error of the handler
    /// closes the connection without an answer.
    #[expect(clippy::unused_async, reason = "all stand-ins are opened alike")]
    pub async fn open<H, Fut>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = io::Result<Answer>> + Send + 'static,
    {
        let reserved = bind_shared(address)?;
        let address = reserved.local_addr()?;
        let listener = listen(address)?;
        let (up, switch) = watch::channel(true);
        let accepted = Arc::default();
        let task = serve(listener, address, switch, handler, Arc::clone(&accepted));
        let task = tokio::spawn(task);
        Ok(Self {
            accepted,
            address,
            _reserved: reserved,
            task,
            up: Arc::new(up),
        })
    }

    /// Like [`Server::open`], with `state` passed to `answer` for each request.
    pub async fn open_shared<T, F, Fut>(
        address: SocketAddr,
        state: &Arc<T>,
        answer: F,
    ) -> io::Result<Self>
    where
        T: Send + Sync + 'static,
        F: Fn(Arc<T>, Request<Incoming>) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = io::Result<Answer>> + Send + 'static,
    {
        let state = state.clone();
        Self::open(address, move |request| answer(state.clone(), request)).await
    }

    /// The number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// The switch that takes the server down (false) and brings it back at the
    /// same address (true).
    pub fn switch(&self) -> Arc<watch::Sender<bool>> {
        self.up.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.up.send_replace(false);
        self.task.abort();
    }
}

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a socket to `address`, which other sockets of this program may share.
fn bind_shared(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens at `address`.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind_shared(address)?.listen(BACKLOG)
}

/// Accepts connections while the server is up, and listens again when it comes
/// back.
async fn serve<H, Fut>(
    listener: TcpListener,
    address: SocketAddr,
    mut up: watch::Receiver<bool>,
    handler: H,
    count: Arc<AtomicU64>,
) where
    H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = io::Result<Answer>> + Send + 'static,
{
    let switch = up.clone();
    let mut listener = Some(listener);
    loop {
        let Some(open) = &listener else {
            if up.wait_for(|up| *up).await.is_err() {
                return;
            }
            listener = listen(address).ok();
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    count.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(serve_connection(stream, switch.clone(), handler.clone()));
                }
            }
            Ok(_) = up.wait_for(|up| !*up) => listener = None,
        }
    }
}

/// Serves one connection until it ends or the server goes down.
async fn serve_connection<H, Fut>(stream: TcpStream, mut up: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = io::Result<Answer>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    let builder = Builder::new(TokioExecutor::new());
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        _ = up.wait_for(|up| !*up) => {}
    }
}

/// Reads a body to its end.
pub async fn read_body(body: Incoming) -> io::Result<Bytes> {
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok(body.to_bytes())
}

/// Reads a body to its end and parses it as JSON.
pub async fn read_json<T: serde::de::DeserializeOwned>(body: Incoming) -> io::Result<T> {
    serde_json::from_slice(&read_body(body).await?).map_err(io::Error::other)
}
