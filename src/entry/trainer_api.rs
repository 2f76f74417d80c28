//! HTTP towards trainers: steps, fetches and weight versions.

use super::{
    forward::{self, Forward},
    rollout::{Ask, Asked, Question}, //
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

/// What is needed to answer trainers.
#[derive(Clone)]
pub(super) struct TrainerApi {
    pub(super) forward: Forward,
    pub(super) rollout: mpsc::Sender<Question>,
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
    #[serde(default)]
    wait_ms: u64,
    weight_version: WeightVersion,
}

/// The body that names a trainer's weight version.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionBody {
    model: String,
    weight_version: WeightVersion,
}

/// The longest that a fetch is held.
const LONGEST_WAIT: Millis = Millis(30_000);

/// How long the owner of a trainer may take beyond that.
const OWNER_TIME: Millis = Millis(5_000);

/// Answers a trainer's request, or passes it to the entry that owns the
/// trainer; a request that was passed on once is not passed on again.
pub(super) async fn handle(
    api: &TrainerApi,
    method: &str,
    path: &str,
    body: Bytes,
    forwarded: bool,
) -> (StatusCode, Bytes) {
    let question = match parse(method, path, &body) {
        Ok(question) => question,
        Err(failure) => return failed(&failure),
    };
    let (reply, answer) = oneshot::channel();
    let (team, trainer, ask) = question;
    let question = Question {
        ask,
        reply,
        team,
        trainer,
    };
    if api.rollout.try_send(question).is_err() {
        let detail = "too many trainers' requests wait";
        let failure = Failure::not_run(Cause::Overloaded, detail).retry_after(Millis(200));
        return failed(&failure);
    }
    match answer.await {
        Ok(Asked::Answer(Ok(value))) => (StatusCode::OK, Bytes::from(value.to_string())),
        Ok(Asked::Answer(Err(failure))) => failed(&failure),
        Ok(Asked::Elsewhere(lease)) if !forwarded => {
            pass_on(api, &lease.address, method, path, body).await
        }
        Ok(Asked::Elsewhere(lease)) => {
            let detail = format!("the trainer's owner is now `{}`", lease.holder);
            failed(&Failure::not_run(Cause::Unknown, detail).retry_after(Millis(200)))
        }
        Err(_) => failed(&Failure::not_run(Cause::Draining, "the entry is stopping")),
    }
}

async fn pass_on(
    api: &TrainerApi,
    address: &str,
    method: &str,
    path: &str,
    body: Bytes,
) -> (StatusCode, Bytes) {
    let Ok(peer) = address.parse() else {
        let detail = "the owner's address is not understood";
        return failed(&Failure::not_run(Cause::Unknown, detail));
    };
    let wait = LONGEST_WAIT + OWNER_TIME;
    match forward::send(&api.forward, peer, method, path, body, wait).await {
        Ok(answer) => answer,
        Err(failure) => failed(&failure.retry_after(Millis(300))),
    }
}

/// A failure as status and problem details.
fn failed(failure: &Failure) -> (StatusCode, Bytes) {
    let status = StatusCode::from_u16(failure.cause.status()).unwrap_or_default();
    (
        status,
        Bytes::from(crate::duty::problem_details(failure, None)),
    )
}

fn parse(method: &str, path: &str, body: &[u8]) -> Result<(String, String, Ask), Failure> {
    let not_found = || Failure::not_run(Cause::NotFound, format!("no such resource: `{path}`"));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let ["v1", "teams", team, "trainers", trainer, rest @ ..] = parts.as_slice() else {
        return Err(not_found());
    };
    let ask = match (method, rest) {
        ("POST", ["version"]) => {
            let body: VersionBody = decode(body)?;
            Ask::Version(body.model, body.weight_version)
        }
        ("DELETE", ["steps", step]) => Ask::Cancel(number(step)?),
        ("POST", ["steps", step]) => {
            let spec: StepSpec = decode(body)?;
            spec.check()
                .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))?;
            Ask::Submit(number(step)?, Box::new(spec))
        }
        ("POST", ["steps", step, "fetch"]) => {
            let body: FetchBody = decode(body)?;
            let have = Bitmap::parse(&body.have).ok_or_else(|| {
                let detail = "`have` is no bitmap in hexadecimal";
                Failure::not_run(Cause::BadRequest, detail)
            })?;
            Ask::Fetch {
                epoch: body.epoch,
                have,
                step: number(step)?,
                version: body.weight_version,
                wait: Millis(body.wait_ms.min(LONGEST_WAIT.0)),
            }
        }
        _ => return Err(not_found()),
    };
    Ok(((*team).to_owned(), (*trainer).to_owned(), ask))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::not_run(Cause::BadRequest, error.to_string()))
}

fn number(text: &str) -> Result<u64, Failure> {
    text.parse().map_err(|_| {
        let detail = format!("`{text}` is no step number");
        Failure::not_run(Cause::BadRequest, detail)
    })
}
