//! A stand-in for an application: sends calls at a fixed rate and checks the answers.

use crate::{
    balancer::Balancer,
    client::{Client, FullResponse},
    fleet::{CallKind, CallerPlan},
    truth, //
};
use hyper::{
    Method,
    StatusCode, //
};
use redwingpond::base::{
    Clock,
    Span, //
};
use serde::Serialize;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration, //
};
use tokio::task::JoinSet;

/// The outcomes of all calls, as their caller saw them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallResults {
    /// Calls with a correct and complete answer.
    pub answered: u64,
    /// Calls without an answer, or whose failure didn't rule out that they ran.
    pub in_doubt: u64,
    /// The time from each call's first attempt to its successful answer, right or
    /// wrong, in microseconds.
    #[serde(skip)]
    pub latencies: Vec<u64>,
    /// Failed attempts whose answer said that the call did not run.
    #[serde(skip)]
    pub refused: Vec<Refusal>,
    pub sent: u64,
    /// The first few failures, as text.
    pub troubles: Vec<String>,
    /// Successful answers that belong to another call or are incomplete.
    pub wrong: u64,
}

/// A failure that said that the call did not run.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The prompt and seed; `None` if the call was not a chat.
    pub prompt: Option<(String, u64)>,
    /// The request id.
    pub request: String,
}

/// A caller's calls and where they are sent.
#[derive(Clone)]
pub struct Target {
    pub balancer: Arc<Balancer>,
    /// The model that chats use.
    pub model: String,
    /// The caller's name, part of every call's body.
    pub name: String,
    pub plan: CallerPlan,
    pub seed: u64,
    pub team: String,
}

/// The maximum number of attempts at a call, including the first; only failures that say that
/// the call did not run are retried.
const MAX_ATTEMPTS: u32 = 3;

/// The `max_tokens` of a chat.
const MAX_CHAT_TOKENS: u32 = 48;

/// How long a caller waits for the answer to one attempt.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum length of [`CallResults::troubles`].
const MAX_TROUBLES: usize = 8;

/// Sends calls for `time` on a fixed schedule, without waiting for answers.
pub async fn run(target: Target, time: Duration) -> CallResults {
    let calls = Arc::new(Mutex::new(CallResults::default()));
    let client = Client::default();
    let clock = Clock::open();
    let mut sent = 0;
    let mut in_flight = JoinSet::new();
    let total = target.plan.rate * time.as_millis() as u64 / 1_000;
    while sent < total {
        let due = sent * 1_000_000 / target.plan.rate;
        let wait = due.saturating_sub(clock.micros());
        if wait > 0 {
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
        let (target, client, calls) = (target.clone(), client.clone(), calls.clone());
        let number = sent;
        in_flight.spawn(async move { call(&target, &client, number, &calls).await });
        sent += 1;
    }
    in_flight.join_all().await;
    let calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
    calls.clone()
}

/// Makes one call and retries it while the failures say that it did not run.
async fn call(target: &Target, client: &Client, number: u64, calls: &Mutex<CallResults>) {
    let clock = Clock::open();
    let nonce = format!("{}/{}/{number}", target.name, target.seed);
    update(calls, |calls| calls.sent += 1);
    for _ in 0..MAX_ATTEMPTS {
        let answer = send_once(target, client, &nonce, number).await;
        let wait = match answer {
            Err(trouble) => {
                update(calls, |calls| {
                    calls.in_doubt += 1;
                    add_trouble(calls, format!("{nonce}: {trouble}"));
                });
                return;
            }
            Ok(answer) if answer.status == StatusCode::OK => {
                let correct = is_correct(target, &nonce, number, &answer);
                let latency = clock.micros();
                update(calls, |calls| {
                    calls.answered += u64::from(correct);
                    calls.wrong += u64::from(!correct);
                    calls.latencies.push(latency);
                    if !correct {
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        add_trouble(calls, format!("{nonce}: wrong answer {body}"));
                    }
                });
                return;
            }
            Ok(answer) => match record_failure(target, &nonce, number, &answer, calls) {
                Some(wait) => wait,
                None => return,
            },
        };
        tokio::time::sleep(wait).await;
    }
}

/// Makes one attempt at a call.
async fn send_once(
    target: &Target,
    client: &Client,
    nonce: &str,
    number: u64,
) -> Result<FullResponse, String> {
    let entry = target.balancer.next().ok_or("no entry")?;
    let base = format!("/v1/app/{}/{}", target.team, target.plan.class);
    let bearer = format!("Bearer {}", target.plan.key);
    let mut headers = vec![("content-type", "application/json")];
    if !target.plan.key.is_empty() {
        headers.push(("authorization", &bearer));
    }
    if !target.plan.idempotent {
        headers.push(("redwing-idempotent", "false"));
        headers.push(("redwing-request-key", nonce));
    }
    let (path, body) = match target.plan.kind {
        CallKind::Chat => {
            let body = serde_json::json!({
                "max_tokens": MAX_CHAT_TOKENS,
                "model": target.model,
                "prompt": prompt(nonce),
                "seed": number,
            });
            (format!("{base}/v1/completions"), body.to_string())
        }
        CallKind::Plain => (format!("{base}/work"), nonce.to_owned()),
    };
    let post = Method::POST;
    client
        .call(post, entry, &path, &headers, body, RESPONSE_TIMEOUT)
        .await
}

/// Whether the answer is complete and belongs to this call.
fn is_correct(target: &Target, nonce: &str, number: u64, answer: &FullResponse) -> bool {
    let json = answer.json();
    if target.plan.kind == CallKind::Plain {
        return json["body"] == nonce;
    }
    let spans = &json["redwing"]["weight_versions"];
    let Ok(spans) = serde_json::from_value::<Vec<Span>>(spans.clone()) else {
        return false;
    };
    let length = truth::length(&prompt(nonce), number, MAX_CHAT_TOKENS);
    Span::covers(&spans, length)
        && json["choices"][0]["text"] == truth::text(&prompt(nonce), number, &spans)
}

/// Records a failed attempt; returns the delay before the next one, `None` if the
/// call may have run.
fn record_failure(
    target: &Target,
    nonce: &str,
    number: u64,
    answer: &FullResponse,
    calls: &Mutex<CallResults>,
) -> Option<Duration> {
    let problem = answer.json();
    let may_have_run = problem["may_have_run"].as_bool();
    update(calls, |calls| {
        add_trouble(calls, format!("{nonce}: {problem}"));
        match may_have_run {
            Some(false) => {
                let request = answer.header("redwing-request-id").unwrap_or_default();
                let chat = target.plan.kind == CallKind::Chat;
                calls.refused.push(Refusal {
                    prompt: chat.then(|| (prompt(nonce), number)),
                    request: request.to_owned(),
                });
            }
            Some(true) | None => calls.in_doubt += 1,
        }
    });
    if may_have_run != Some(false) {
        return None;
    }
    let wait = problem["retry_after_ms"].as_u64().unwrap_or(100);
    Some(Duration::from_millis(wait))
}

fn prompt(nonce: &str) -> String {
    format!("Advise the sorter on bale {nonce}.")
}

fn update(calls: &Mutex<CallResults>, change: impl FnOnce(&mut CallResults)) {
    change(&mut calls.lock().unwrap_or_else(PoisonError::into_inner));
}

fn add_trouble(calls: &mut CallResults, trouble: String) {
    if calls.troubles.len() < MAX_TROUBLES {
        calls.troubles.push(trouble);
    }
}
