//! HTTP client of the model engine that runs an agent's generations.

use super::{
    Completion,
    TokenStream, //
};
use crate::{
    base::{Cause, Failure, Millis, Verdict},
    table::{HttpError, JsonClient},
    wire::{EngineState, Order}, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode,
    header::CONTENT_TYPE, //
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer}, //
};
use std::net::SocketAddr;

/// A client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: SocketAddr,
    order_client: JsonClient,
    state_client: JsonClient,
    /// Sends generations, whose tokens are streamed back.
    stream_client: Client<HttpConnector, Full<Bytes>>,
}

/// How long the engine may take to answer with its state.
const STATE_TIMEOUT: Millis = Millis(1_000);

/// How long the engine may take to execute an order, such as loading weights.
const ORDER_TIMEOUT: Millis = Millis(30_000);

impl EngineClient {
    /// A client of the engine at `address`.
    pub fn open(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            address,
            order_client: JsonClient::open(address, ORDER_TIMEOUT),
            state_client: JsonClient::open(address, STATE_TIMEOUT),
            stream_client: Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .build(connector),
        }
    }

    /// Starts a generation. The failure's verdict is `NotRun` only if no byte reached the
    /// engine or the engine refused the request.
    pub async fn generate(&self, completion: &Completion) -> Result<TokenStream, Failure> {
        let body = serde_json::to_vec(completion)
            .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/completions", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))?;
        let answer = self.stream_client.request(request).await.map_err(|error| {
            let verdict = match error.is_connect() {
                true => Verdict::NotRun,
                false => Verdict::MayHaveRun,
            };
            Failure::new(verdict, Cause::BackendUnreachable, error.to_string())
        })?;
        match answer.status() {
            StatusCode::OK => Ok(TokenStream::new(answer.into_body())),
            StatusCode::NOT_FOUND => {
                let detail = format!("the engine has no model `{}`", completion.model);
                Err(Failure::not_run(Cause::VersionUncertain, detail))
            }
            StatusCode::BAD_REQUEST => {
                let detail = "the engine refused the request's form";
                Err(Failure::not_run(Cause::BadRequest, detail))
            }
            status => {
                let detail = format!("the engine answered with status {status}");
                Err(Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(100)))
            }
        }
    }

    /// Sends an order and waits until the engine has executed it or failed.
    pub async fn send_order(&self, order: &Order) -> Result<(), Failure> {
        let body = serde_json::to_vec(order)
            .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))?;
        let answer = self
            .order_client
            .call(Method::POST, "/v1/orders", body)
            .await;
        match answer.map_err(transport_failure)? {
            (StatusCode::OK, _) => Ok(()),
            (StatusCode::CONFLICT, _) => {
                let detail = "the engine has seen a newer fencing number";
                Err(Failure::not_run(Cause::StaleFence, detail))
            }
            (status, _) => {
                let detail = format!("the engine answered an order with status {status}");
                Err(Failure::may_have_run(Cause::BackendBroken, detail))
            }
        }
    }

    /// Fetches the engine's state.
    pub async fn fetch_state(&self) -> Result<EngineState, Failure> {
        let answer = self
            .state_client
            .call(Method::GET, "/v1/state", Vec::new())
            .await;
        let (status, body) = answer.map_err(transport_failure)?;
        if status != StatusCode::OK {
            let detail = format!("the engine answered with status {status}");
            return Err(Failure::may_have_run(Cause::BackendBroken, detail));
        }
        serde_json::from_slice(&body)
            .map_err(|error| Failure::may_have_run(Cause::BackendBroken, error.to_string()))
    }
}

/// The failure for a request that got no HTTP response.
fn transport_failure(error: HttpError) -> Failure {
    Failure::new(error.verdict, Cause::BackendUnreachable, error.to_string())
}
