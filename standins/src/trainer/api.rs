//! The trainer's requests to entries and to the weight store.

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

/// The delivered samples of a group.
#[derive(Debug, Deserialize)]
pub(super) struct Group {
    pub(super) group: u32,
    pub(super) samples: Vec<Sample>,
}

/// The answer to a fetch.
#[derive(Debug, Deserialize)]
pub(super) struct Fetched {
    /// Whether the owner has no more samples of the step to send.
    pub(super) done: bool,
    /// The epoch of the owner's lease; it grows with each change of owner.
    pub(super) epoch: u64,
    pub(super) groups: Vec<Group>,
    /// The number of the step's samples generated again so far, as counted by this owner.
    pub(super) regenerated: u64,
}

/// How a fetch went.
pub(super) enum Fetch {
    /// The fetch failed: repeat it after a delay.
    Retry,
    Received(Fetched),
    /// The owner doesn't know the step: submit it again.
    Unknown,
}

/// The client of one trainer.
pub(super) struct Api<'a> {
    client: Client,
    config: &'a Config,
}

/// How long the owner may hold a fetch open until there are new samples.
const FETCH_WAIT_MS: u64 = 1_000;

/// The timeout of every request. It exceeds [`FETCH_WAIT_MS`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

impl<'a> Api<'a> {
    pub(super) fn new(config: &'a Config) -> Self {
        Self {
            client: Client::default(),
            config,
        }
    }

    /// Fetches the samples of a step that are not in `have`.
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

    /// Publishes weights and reports their version as the trainer's own. Repeats
    /// both until they succeed.
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

    /// Submits a step, until it is accepted.
    pub(super) async fn submit(&self, step: u64, spec: &StepSpec) {
        let body = serde_json::to_string(spec).unwrap_or_default();
        self.post_until_accepted(&format!("steps/{step}"), &body)
            .await;
    }

    /// Repeats a request until it is accepted. A repeat has no further effect.
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

/// Waits before a request is repeated.
pub(super) async fn wait_before_retry() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}
