//! The HTTP API for trainers: steps, fetches and weight versions.

use super::{
    forward::{self, Forwarder},
    rollout::{Operation, TrainerReply, TrainerRequest}, //
};
use crate::{
    base::{Cause, Failure, Millis, WeightVersion},
    policy::{bitmap::Bitmap, step_spec::StepSpec}, //
};
use bytes::Bytes;
use hyper::StatusCode;
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// The channels and state needed to answer trainers; cheap to clone.
#[derive(Clone)]
pub(super) struct TrainerApi {
    pub(super) forward: Forwarder,
    pub(super) rollout: mpsc::Sender<TrainerRequest>,
}

/// The body of a fetch.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FetchBody {
    /// The highest epoch that the trainer has seen.
    #[serde(default)]
    epoch: u64,
    /// The samples that the trainer has, as a bitmap in hexadecimal.
    have: String,
    /// How long the answer may wait for a complete group.
    #[serde(default)]
    wait_ms: u64,
    weight_version: WeightVersion,
}

/// The body of a request that names the trainer's weight version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionBody {
    model: String,
    weight_version: WeightVersion,
}

/// The longest time that a fetch may be held.
const MAX_FETCH_WAIT: Millis = Millis(30_000);

/// How much longer than the longest fetch the owner of a trainer may take to answer a
/// forwarded request.
const OWNER_MARGIN: Millis = Millis(5_000);

/// Answers a trainer's request, or forwards it to the entry that owns the trainer. A
/// forwarded request is not forwarded again.
pub(super) async fn handle(
    api: &TrainerApi,
    method: &str,
    path: &str,
    body: Bytes,
    forwarded: bool,
) -> (StatusCode, Bytes) {
    let request = match parse(method, path, &body) {
        Ok(request) => request,
        Err(failure) => return problem_response(&failure),
    };
    let (reply, answer) = oneshot::channel();
    let (team, trainer, operation) = request;
    let request = TrainerRequest {
        operation,
        reply,
        team,
        trainer,
    };
    if api.rollout.try_send(request).is_err() {
        let detail = "too many trainers' requests wait";
        let failure = Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(200));
        return problem_response(&failure);
    }
    match answer.await {
        Ok(TrainerReply::Answer(Ok(value))) => (StatusCode::OK, Bytes::from(value.to_string())),
        Ok(TrainerReply::Answer(Err(failure))) => problem_response(&failure),
        Ok(TrainerReply::Elsewhere(lease)) if !forwarded => {
            forward_to_owner(api, &lease.address, method, path, body).await
        }
        Ok(TrainerReply::Elsewhere(lease)) => {
            let detail = format!("the trainer's owner is now `{}`", lease.holder);
            problem_response(&Failure::not_run(Cause::Unknown, detail).retry_after(Millis(200)))
        }
        Err(_) => problem_response(&Failure::not_run(Cause::Draining, "the entry is stopping")),
    }
}

/// Forwards a request to the owner's link address.
async fn forward_to_owner(
    api: &TrainerApi,
    address: &str,
    method: &str,
    path: &str,
    body: Bytes,
) -> (StatusCode, Bytes) {
    let Ok(peer) = address.parse() else {
        let detail = "the owner's address is not understood";
        return problem_response(&Failure::not_run(Cause::Unknown, detail));
    };
    let wait = MAX_FETCH_WAIT + OWNER_MARGIN;
    match forward::send(&api.forward, peer, method, path, body, wait).await {
        Ok(answer) => answer,
        Err(failure) => problem_response(&failure.retry_after(Millis(300))),
    }
}

/// A failure as an HTTP status and a body with problem details.
fn problem_response(failure: &Failure) -> (StatusCode, Bytes) {
    let status = StatusCode::from_u16(failure.cause.status()).unwrap_or_default();
    (
        status,
        Bytes::from(crate::duty::problem_details(failure, None)),
    )
}

/// The team, the trainer and the operation that a request names.
fn parse(method: &str, path: &str, body: &[u8]) -> Result<(String, String, Operation), Failure> {
    let not_found = || Failure::not_run(Cause::NotFound, format!("no such resource: `{path}`"));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let ["v1", "teams", team, "trainers", trainer, rest @ ..] = parts.as_slice() else {
        return Err(not_found());
    };
    let operation = match (method, rest) {
        ("POST", ["version"]) => {
            let body: VersionBody = decode(body)?;
            Operation::Version(body.model, body.weight_version)
        }
        ("DELETE", ["steps", step]) => Operation::Cancel(step_number(step)?),
        ("POST", ["steps", step]) => {
            let spec: StepSpec = decode(body)?;
            spec.check()
                .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))?;
            Operation::Submit(step_number(step)?, Box::new(spec))
        }
        ("POST", ["steps", step, "fetch"]) => {
            let body: FetchBody = decode(body)?;
            let have = Bitmap::parse(&body.have).ok_or_else(|| {
                let detail = "`have` is no bitmap in hexadecimal";
                Failure::not_run(Cause::BadRequest, detail)
            })?;
            Operation::Fetch {
                epoch: body.epoch,
                have,
                step: step_number(step)?,
                version: body.weight_version,
                wait: Millis(body.wait_ms.min(MAX_FETCH_WAIT.0)),
            }
        }
        _ => return Err(not_found()),
    };
    Ok(((*team).to_owned(), (*trainer).to_owned(), operation))
}

/// Parses a JSON body.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))
}

/// Parses the number of a step in a path.
fn step_number(text: &str) -> Result<u64, Failure> {
    text.parse().map_err(|_| {
        let detail = format!("`{text}` is no step number");
        Failure::not_run(Cause::BadRequest, detail)
    })
}
