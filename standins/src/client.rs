//! The HTTP client of the stand-ins and of the tests.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    StatusCode, //
};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer}, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// A response whose body was read to its end.
#[derive(Clone, Debug)]
pub struct FullResponse {
    pub body: Bytes,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

impl FullResponse {
    /// The value of a header, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as JSON; `Null` if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An HTTP client with a connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { pool }
    }
}

impl Client {
    /// Sends a request and reads the response to its end, within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<FullResponse, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|error| error.to_string())?;
        let exchange = async {
            let answer = self.pool.request(request).await.map_err(describe)?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?;
            Ok(FullResponse {
                body: body.to_bytes(),
                headers: parts.headers,
                status: parts.status,
            })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err("no complete response before the timeout".to_owned()),
        }
    }
}

/// The error with its source, which names the reason.
fn describe(error: hyper_util::client::legacy::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
