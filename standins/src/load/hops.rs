//! A bare HTTP proxy. Two of them in a row show what any path through two processes
//! costs.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder, //
};
use std::{
    io,
    net::SocketAddr,
    sync::mpsc,
    thread::JoinHandle, //
};
use tokio::{
    net::TcpListener,
    sync::oneshot, //
};

/// One proxy on a thread of its own; dropping it stops it.
pub struct Hop {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// The prefix of the hops' thread names.
pub const THREAD_PREFIX: &str = "hop-";

type Pool = Client<HttpConnector, Incoming>;

impl Hop {
    /// Listens on a free loopback port and forwards all requests to `target`.
    pub fn open(number: u32, target: SocketAddr) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(1);
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(format!("{THREAD_PREFIX}{number}"))
            .spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build();
                if let Ok(runtime) = runtime {
                    runtime.block_on(async {
                        tokio::select! {
                            _ = serve(target, &sender) => {}
                            _ = stopped => {}
                        }
                    });
                }
            })?;
        let address = receiver.recv().map_err(io::Error::other)?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for Hop {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sends the listening address, then serves connections.
async fn serve(
    target: SocketAddr,
    address_sender: &mpsc::SyncSender<SocketAddr>,
) -> io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let _ = address_sender.send(listener.local_addr()?);
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let pool: Pool = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector);
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let pool = pool.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| forward(pool.clone(), target, request));
            let builder = Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Forwards one request.
async fn forward(
    pool: Pool,
    target: SocketAddr,
    mut request: Request<Incoming>,
) -> Result<Response<http_body_util::combinators::BoxBody<Bytes, hyper::Error>>, io::Error> {
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let uri = format!("http://{target}{path}");
    *request.uri_mut() = uri.parse().map_err(io::Error::other)?;
    let answer = pool.request(request).await.map_err(io::Error::other)?;
    Ok(answer.map(BodyExt::boxed))
}
