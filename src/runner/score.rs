//! Has texts scored.

use crate::{
    base::{Asked, Fingerprint, Millis},
    batch::Scorer,
    calls::{Call, CallEnd, Caller},
    platform::{self, ATTEMPT_ID},
    policy::quarantine::QuarantineState,
    view::Site, //
};
use hyper::{
    HeaderMap,
    Method, //
};
use std::sync::Arc;

/// Sends texts to the service that scores them.
pub(super) struct Scorers {
    pub(super) caller: Arc<Caller>,
    pub(super) site: Arc<Site>,
}

/// What became of a score.
#[derive(Debug)]
pub(super) enum Score {
    Given(String),
    /// Scorers answered that they failed as often as the route allows. Calls
    /// that were lost or not taken don't count: an item was given up after one
    /// failure while another server was full.
    GivenUp,
    /// The item's time is over.
    TimedOut,
}

/// The wait between two calls for the same score; scores take about 100 ms.
const AGAIN: Millis = Millis(80);

/// The same once two servers have ended under the call. The request that ends them
/// does so again within a second or is in quarantine: a call that comes back at
/// once is beside it for a third time, and would be taken for it.
const AGAIN_SUSPECT: Millis = Millis(1_000);

impl Scorers {
    /// Calls the scorer until it gives its score.
    pub(super) async fn score(&self, scorer: &Scorer, until: Millis) -> Score {
        let fingerprint = fingerprint(scorer);
        let mut failures = 0;
        loop {
            let now = self.site.now();
            if now >= until {
                return Score::TimedOut;
            }
            let config = self.site.config();
            let route = config.and_then(|config| config.route(&scorer.host, &scorer.path).cloned());
            let Some(route) = route else {
                tracing::warn!(
                    call = scorer.id,
                    host = scorer.host,
                    "no route to the scorer"
                );
                tokio::time::sleep(AGAIN.as_duration()).await;
                continue;
            };
            let most_failures = route.attempts;
            let call = Call {
                body: scorer.body.clone(),
                fingerprint,
                headers: headers(scorer),
                id: scorer.id.clone(),
                method: Method::POST,
                path: scorer.path.clone(),
                until: until.min(now + route.timeout),
                route,
                workspace: None,
            };
            match self.caller.run(&call).await {
                CallEnd::Answered { answer, .. } if answer.status.is_success() => {
                    let signature = platform::signature(&answer.headers);
                    if let Some(score) = signature.and_then(|value| value.to_str().ok()) {
                        return Score::Given(score.to_owned());
                    }
                }
                CallEnd::Answered {
                    answer,
                    failures: more,
                } => {
                    failures += more;
                    let status = answer.status.as_u16();
                    tracing::info!(call = scorer.id, status, failures, "the scorer failed");
                }
                CallEnd::NotRun { wait, .. } => {
                    tokio::time::sleep(wait.min(AGAIN_SUSPECT).as_duration()).await;
                }
                CallEnd::Lost { failures: more, .. } => failures += more,
                CallEnd::TimedOut => {}
            }
            if failures >= most_failures {
                return Score::GivenUp;
            }
            let wait = match self.caller.crashes.judge(fingerprint) {
                QuarantineState::Clear | QuarantineState::Watched => AGAIN,
                QuarantineState::Suspect | QuarantineState::Trial | QuarantineState::Barred => {
                    AGAIN_SUSPECT
                }
            };
            tokio::time::sleep(wait.as_duration()).await;
        }
    }
}

fn fingerprint(scorer: &Scorer) -> Fingerprint {
    Fingerprint::of(Asked {
        body: &scorer.body,
        credential: &[],
        host: &scorer.host,
        id: &scorer.id,
        method: Method::POST.as_str(),
        path: &scorer.path,
    })
}

fn headers(scorer: &Scorer) -> HeaderMap {
    let mut headers = HeaderMap::new();
    platform::set_header(&mut headers, "host", &scorer.host);
    platform::set_header(&mut headers, ATTEMPT_ID.as_str(), &scorer.id);
    headers
}
