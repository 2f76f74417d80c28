//! HTTP client for small JSON requests, with limits on time and size.

use crate::base::{
    Millis,
    Verdict, //
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method,
    Request,
    StatusCode,
    header::{CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH},
    http::request::Builder, //
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer}, //
};
use snafu::Snafu;
use std::net::SocketAddr;

/// A request that was not answered completely.
#[derive(Debug, Snafu)]
#[snafu(display("{address}{path}: {message}"))]
pub struct HttpError {
    address: SocketAddr,
    message: String,
    path: String,
    /// Whether the server may have acted on the request.
    pub verdict: Verdict,
}

/// An HTTP/1.1 client of one address, with a connection pool.
#[derive(Clone, Debug)]
pub struct JsonClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Millis,
}

/// The largest answer body that is read, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

impl JsonClient {
    /// Creates a client of `address` that waits at most `timeout` for a complete answer.
    pub fn open(address: SocketAddr, timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(8)
            .build(connector);
        Self {
            address,
            client,
            timeout,
        }
    }

    /// Sends `body` and reads the complete answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let answer =
            tokio::time::timeout(self.timeout.as_duration(), self.send(method, path, body));
        match answer.await {
            Ok(answer) => answer,
            Err(_) => Err(self.error(path, Verdict::MayHaveRun, &"no answer in time")),
        }
    }

    /// Reads `path` with `If-None-Match: etag` (RFC 9110): the status is 304 if the content
    /// still has this tag. Also returns the tag of the answer.
    pub async fn get_if_changed(
        &self,
        path: &str,
        etag: Option<&HeaderValue>,
    ) -> Result<(StatusCode, Bytes, Option<HeaderValue>), HttpError> {
        let mut builder = self.builder(Method::GET, path);
        if let Some(etag) = etag {
            builder = builder.header(IF_NONE_MATCH, etag);
        }
        let answer = self.exchange(builder, path, Vec::new());
        match tokio::time::timeout(self.timeout.as_duration(), answer).await {
            Ok(answer) => answer,
            Err(_) => Err(self.error(path, Verdict::MayHaveRun, &"no answer in time")),
        }
    }

    /// [`Self::call`] without the time limit.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let builder = self.builder(method, path);
        let (status, body, _) = self.exchange(builder, path, body).await?;
        Ok((status, body))
    }

    fn builder(&self, method: Method, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
    }

    /// Sends the request and returns the status, the body and the entity tag of the
    /// answer.
    async fn exchange(
        &self,
        builder: Builder,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes, Option<HeaderValue>), HttpError> {
        let request = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| self.error(path, Verdict::NotRun, &error))?;
        let answer = self.client.request(request).await.map_err(|error| {
            let verdict = match error.is_connect() {
                true => Verdict::NotRun,
                false => Verdict::MayHaveRun,
            };
            self.error(path, verdict, &error)
        })?;
        let status = answer.status();
        let etag = answer.headers().get(ETAG).cloned();
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|error| self.error(path, Verdict::MayHaveRun, &error))?;
        Ok((status, body.to_bytes(), etag))
    }

    fn error(&self, path: &str, verdict: Verdict, message: &dyn ToString) -> HttpError {
        HttpError {
            address: self.address,
            message: message.to_string(),
            path: path.to_owned(),
            verdict,
        }
    }
}
