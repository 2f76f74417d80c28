//! Calls the scorer of an item's text.

use crate::{
    base::{Fingerprint, FingerprintInput, Millis},
    batch::Scorer,
    calls::{Call, CallOutcome, Dispatcher},
    platform::{self, ATTEMPT_ID},
    policy::call_queue::Urgency,
    view::Site, //
};
use hyper::{
    HeaderMap,
    Method, //
};
use std::sync::Arc;

/// Sends each text to the scorer that its item names.
pub(super) struct ScorerClient {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) site: Arc<Site>,
}

/// How a request for a score ended.
#[derive(Debug)]
pub(super) enum ScoreEnd {
    /// The scorer's signature of its answer.
    Given(String),
    /// Scorers answered that they failed as often as the route allows. Calls that were
    /// lost or not run don't count: when they did, an item was given up after one failure
    /// while another server was full.
    GivenUp,
    /// The item's time is over.
    TimedOut,
}

/// The wait between two calls for the same score; scoring takes about 100 ms.
const RETRY_DELAY: Millis = Millis(80);

/// The longest further wait after a call that no scorer ran.
const MAX_REFUSAL_DELAY: Millis = Millis(1_000);

impl ScorerClient {
    /// Calls the scorer until it gives a score, has failed too often or time is up.
    pub(super) async fn score(&self, scorer: &Scorer, deadline: Millis) -> ScoreEnd {
        if !platform::is_client_path(&scorer.path) {
            let (call, path) = (&scorer.id, &scorer.path);
            tracing::warn!(
                call,
                path,
                "scorer not called: no request may be sent to its path"
            );
            return ScoreEnd::GivenUp;
        }
        let fingerprint = fingerprint(scorer);
        let mut failures = 0;
        loop {
            let now = self.site.now();
            // A score may be asked for again elsewhere, so what is left of a stop is used.
            let deadline = self.dispatcher.clip_deadline(deadline);
            if now >= deadline {
                return ScoreEnd::TimedOut;
            }
            let config = self.site.config();
            let route = config.and_then(|config| config.route(&scorer.host, &scorer.path).cloned());
            let Some(route) = route else {
                tracing::warn!(
                    call = scorer.id,
                    host = scorer.host,
                    "no route to the scorer"
                );
                tokio::time::sleep(RETRY_DELAY.as_duration()).await;
                continue;
            };
            let max_failures = route.max_attempts;
            let call = Call {
                body: scorer.body.clone(),
                fingerprint,
                headers: headers(scorer),
                id: scorer.id.clone(),
                method: Method::POST,
                path: scorer.path.clone(),
                deadline: deadline.min(now + route.timeout),
                route,
                urgency: Urgency::Background,
                workspace: None,
            };
            match self.dispatcher.run(&call).await {
                CallOutcome::Answered { answer, .. } if answer.status.is_success() => {
                    let signature = platform::signature(&answer.headers);
                    if let Some(score) = signature.and_then(|value| value.to_str().ok()) {
                        return ScoreEnd::Given(score.to_owned());
                    }
                }
                CallOutcome::Answered {
                    answer,
                    failures: more,
                } => {
                    failures += more;
                    let status = answer.status.as_u16();
                    tracing::info!(call = scorer.id, status, failures, "scorer failed");
                }
                CallOutcome::NotRun { wait, .. } => {
                    tokio::time::sleep(wait.min(MAX_REFUSAL_DELAY).as_duration()).await;
                }
                CallOutcome::Lost { failures: more, .. } => failures += more,
                CallOutcome::TimedOut => {}
            }
            if failures >= max_failures {
                return ScoreEnd::GivenUp;
            }
            let pause = self.dispatcher.crashes.pause(fingerprint);
            tokio::time::sleep(pause.max(RETRY_DELAY).as_duration()).await;
        }
    }
}

/// Identifies the call of `scorer` in the crash records.
fn fingerprint(scorer: &Scorer) -> Fingerprint {
    Fingerprint::of(FingerprintInput {
        body: &scorer.body,
        caller: &[],
        host: &scorer.host,
        id: &scorer.id,
        method: Method::POST.as_str(),
        path: &scorer.path,
    })
}

/// The call's headers: the scorer's host, and the call's id, which servers echo.
fn headers(scorer: &Scorer) -> HeaderMap {
    let mut headers = HeaderMap::new();
    platform::set_header(&mut headers, "host", &scorer.host);
    platform::set_header(&mut headers, ATTEMPT_ID.as_str(), &scorer.id);
    headers
}
