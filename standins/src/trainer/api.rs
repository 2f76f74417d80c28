//! A trainer's requests to the entries.

use super::{
    Config,
    check::Sample, //
};
use crate::client::{
    Client, //
    FullResponse,
};
use hyper::{
    Method,
    StatusCode, //
};
use redwingpond::policy::{
    bitmap::Bitmap,
    step_spec::StepSpec, //
};
use serde::Deserialize;
use std::time::Duration;

/// A group as it is delivered.
#[derive(Debug, Deserialize)]
pub(super) struct Group {
    pub(super) group: u32,
    pub(super) samples: Vec<Sample>,
}

/// The answer to a fetch.
#[derive(Debug, Deserialize)]
pub(super) struct Fetched {
    pub(super) done: bool,
    pub(super) epoch: u64,
    pub(super) groups: Vec<Group>,
    pub(super) regenerated: u64,
}

/// How a fetch went.
pub(super) enum Fetch {
    /// To be asked again after a while.
    Retry,
    Received(Fetched),
    /// The owner doesn't know the step: it is to be submitted again.
    Unknown,
}

/// A trainer's connection to the service.
pub(super) struct Api<'a> {
    client: Client,
    config: &'a Config,
}

/// How long a fetch is held by the owner.
const FETCH_WAIT_MS: u64 = 1_000;

/// How long any request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

impl<'a> Api<'a> {
    pub(super) fn new(config: &'a Config) -> Self {
        Self {
            client: Client::default(),
            config,
        }
    }

    pub(super) async fn fetch(&self, step: u64, have: &Bitmap, version: u64, epoch: u64) -> Fetch {
        let body = serde_json::json!({
            "epoch": epoch,
            "have": have.to_string(),
            "wait_ms": FETCH_WAIT_MS,
            "weight_version": version,
        });
        let path = format!("steps/{step}/fetch");
        match self.post(&path, body.to_string()).await {
            Some(answer) if answer.status == StatusCode::OK => {
                match serde_json::from_slice(&answer.body) {
                    Ok(fetched) => Fetch::Received(fetched),
                    Err(_) => Fetch::Retry,
                }
            }
            Some(answer) if answer.status == StatusCode::NOT_FOUND => Fetch::Unknown,
            Some(_) | None => Fetch::Retry,
        }
    }

    /// Publishes weights and tells that the trainer is at them.
    pub(super) async fn publish(&self, version: u64) {
        let path = format!("/weights/{}/{version}", self.config.model);
        let platform = self.config.platform;
        loop {
            let put = self
                .client
                .call(Method::PUT, platform, &path, &[], "", REQUEST_TIMEOUT);
            if put.await.is_ok() {
                break;
            }
            wait_before_retry().await;
        }
        let body = serde_json::json!({ "model": self.config.model, "weight_version": version });
        self.post_until_accepted("version", &body.to_string()).await;
    }

    pub(super) async fn submit(&self, step: u64, spec: &StepSpec) {
        let body = serde_json::to_string(spec).unwrap_or_default();
        self.post_until_accepted(&format!("steps/{step}"), &body)
            .await;
    }

    /// Repeats a request until it is accepted; repeats are harmless.
    async fn post_until_accepted(&self, path: &str, body: &str) {
        loop {
            let answer = self.post(path, body.to_owned()).await;
            if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            wait_before_retry().await;
        }
    }

    async fn post(&self, path: &str, body: String) -> Option<FullResponse> {
        let entry = self.config.balancer.next()?;
        let (team, name) = (&self.config.team, &self.config.name);
        let path = format!("/v1/teams/{team}/trainers/{name}/{path}");
        let call = self
            .client
            .call(Method::POST, entry, &path, &[], body, REQUEST_TIMEOUT);
        call.await.ok()
    }
}

/// The wait before a request is made again.
pub(super) async fn wait_before_retry() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}
