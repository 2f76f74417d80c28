//! Who is let in, and by which configuration.

use super::reply;
use crate::{
    base::Millis,
    duty::Answer,
    platform,
    policy::access::{self, Denial},
    routing::{Config, Route, Workspace},
    view::Site, //
};
use hyper::{
    StatusCode,
    header::{HeaderValue, WWW_AUTHENTICATE},
    http::request::Parts, //
};
use std::sync::Arc;

/// When a caller is asked to come back while no configuration is known yet:
/// the store answers in milliseconds once it is reached.
const WAIT_CONFIG: Millis = Millis(300);

/// When a caller with a key is asked to come back while the configuration is too
/// old to judge it by: another gateway may reach the store.
const WAIT_STALE: Millis = Millis(200);

/// How long the store has to confirm the configuration by which a caller would be
/// turned away.
const CONFIRMED_WITHIN: Millis = Millis(400);

/// Lets callers in by the configuration in force.
pub(super) struct Door {
    pub(super) site: Arc<Site>,
}

/// A caller that is let in, and where to.
pub(super) struct Admitted {
    pub(super) config: Arc<Config>,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
}

/// What a caller of batches is let in as.
pub(super) enum Reader {
    /// Callers need no key, or this one's is not held by any workspace: it may see
    /// batches that belong to none.
    Anybody { denial: Option<Denial> },
    /// It may see its workspace's batches.
    Of(Arc<Workspace>),
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug)]
pub(super) enum Refusal {
    Denied(Denial),
    NoConfig,
    NoRoute,
    /// The key may have been taken away, or just have been given.
    Stale,
}

impl Refusal {
    /// What the caller is told.
    pub(super) fn answer(self) -> Answer {
        match self {
            Self::Denied(denial) => denied(denial),
            Self::NoConfig => reply::refusal(WAIT_CONFIG, "no configuration yet"),
            Self::NoRoute => reply::status(StatusCode::NOT_FOUND, "no route"),
            Self::Stale => reply::refusal(WAIT_STALE, "the configuration is not confirmed"),
        }
    }
}

impl Door {
    /// Finds the route of a request and the workspace that asks.
    pub(super) async fn admit(&self, head: &Parts) -> Result<Admitted, Refusal> {
        let mut confirmed = !self.site.is_bounded();
        loop {
            let config = self.config()?;
            let refusal = match find(&config, head) {
                Ok(admitted) => {
                    self.check_fresh(admitted.workspace.as_ref()).await?;
                    return Ok(admitted);
                }
                Err(refusal) => refusal,
            };
            // A gateway that has just started, woken up or come back from a partition
            // would turn away what every configuration of now allows.
            if !confirmed {
                self.confirm().await?;
                confirmed = true;
                continue;
            }
            let (host, path, version) = (host(head), head.uri.path(), config.version);
            tracing::info!(host, path, version, ?refusal, "turned away");
            return Err(refusal);
        }
    }

    /// Finds out whose batches a caller may see.
    pub(super) async fn reader(&self, head: &Parts) -> Result<Reader, Refusal> {
        let mut confirmed = !self.site.is_bounded();
        loop {
            let config = self.config()?;
            let credential = platform::credential(&head.headers);
            let denial = match access::judge(config.workspaces.as_ref(), false, credential) {
                Ok(Some(workspace)) => {
                    self.check_fresh(Some(&workspace)).await?;
                    return Ok(Reader::Of(workspace));
                }
                Ok(None) => return Ok(Reader::Anybody { denial: None }),
                Err(denial) => denial,
            };
            if confirmed {
                let denial = Some(denial);
                return Ok(Reader::Anybody { denial });
            }
            self.confirm().await?;
            confirmed = true;
        }
    }

    fn config(&self) -> Result<Arc<Config>, Refusal> {
        let config = self.site.config();
        if config.is_none() {
            tracing::info!("refused: no configuration yet");
        }
        config.ok_or(Refusal::NoConfig)
    }

    /// Refuses a caller whose key may have been taken away: a gateway that was cut
    /// off from the store would go on serving it.
    async fn check_fresh(&self, workspace: Option<&Arc<Workspace>>) -> Result<(), Refusal> {
        if workspace.is_none() || self.site.is_fresh() {
            return Ok(());
        }
        self.confirm().await
    }

    /// Has the store confirm the configuration; a caller isn't kept waiting for a
    /// store that is known to be away.
    async fn confirm(&self) -> Result<(), Refusal> {
        let away = self.site.store_away_since();
        if away.is_none() && self.site.confirm_anew(CONFIRMED_WITHIN).await {
            return Ok(());
        }
        let away = away.map(|since| self.site.now().since(since).0);
        tracing::info!(?away, "refused: the configuration is not confirmed");
        metrics::counter!("redwing_stale_refusals_total").increment(1);
        Err(Refusal::Stale)
    }
}

/// The answer to a caller that no workspace knows.
pub(super) fn denied(denial: Denial) -> Answer {
    metrics::counter!("redwing_denials_total").increment(1);
    let mut answer = reply::status(StatusCode::UNAUTHORIZED, &denial.to_string());
    let scheme = HeaderValue::from_static("ApiKey");
    answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    answer
}

/// The host that a request names.
pub(super) fn host(head: &Parts) -> &str {
    let host = head.headers.get("host").and_then(|host| host.to_str().ok());
    host.unwrap_or_default()
}

fn find(config: &Arc<Config>, head: &Parts) -> Result<Admitted, Refusal> {
    let route = config.route(host(head), head.uri.path());
    let route = route.ok_or(Refusal::NoRoute)?.clone();
    let credential = platform::credential(&head.headers);
    let workspace = access::judge(config.workspaces.as_ref(), route.open, credential)
        .map_err(Refusal::Denied)?;
    Ok(Admitted {
        config: config.clone(),
        route,
        workspace,
    })
}
