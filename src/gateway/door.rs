//! Who is let in, and by which configuration.

use super::reply;
use crate::{
    base::Millis,
    duty::Answer,
    platform,
    policy::{
        access::{self, Denial},
        freshness::STALE_RETRY_AFTER, //
    },
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
            Self::Stale => reply::refusal(STALE_RETRY_AFTER, "the configuration is not confirmed"),
        }
    }
}

impl Door {
    /// Finds the route of a request and the workspace that asks.
    pub(super) async fn admit(&self, head: &Parts) -> Result<Admitted, Refusal> {
        let keyed = |admitted: &Admitted| admitted.workspace.is_some();
        let judged = self.judge(|config| find(config, head), keyed).await;
        if let Err(refusal @ (Refusal::Denied(_) | Refusal::NoRoute)) = &judged {
            let (host, path) = (host(head), head.uri.path());
            let version = self.site.config().map(|config| config.version);
            tracing::info!(host, path, version, ?refusal, "turned away");
        }
        judged
    }

    /// Finds out whose batches a caller may see.
    pub(super) async fn reader(&self, head: &Parts) -> Result<Reader, Refusal> {
        let credential = platform::credential(&head.headers);
        let reader = |config: &Arc<Config>| {
            let judged = access::authenticate(config.workspaces.as_ref(), false, credential);
            judged.map_err(Refusal::Denied)
        };
        match self.judge(reader, Option::is_some).await {
            Ok(Some(workspace)) => Ok(Reader::Of(workspace)),
            Ok(None) => Ok(Reader::Anybody { denial: None }),
            Err(Refusal::Denied(denial)) => Ok(Reader::Anybody {
                denial: Some(denial),
            }),
            Err(refusal) => Err(refusal),
        }
    }

    /// Judges a request by the configuration in force, and anew by the one that the
    /// store confirms where that may say otherwise:
    ///
    /// - the configuration is too old, and the caller's key may have been taken away;
    /// - the caller would be turned away, by a gateway that has just started, woken up
    ///   or come back from a partition and has not heard of a new key or route.
    ///
    /// `keyed` tells whether a request was let in by a key.
    async fn judge<T>(
        &self,
        judge: impl Fn(&Arc<Config>) -> Result<T, Refusal>,
        keyed: impl Fn(&T) -> bool,
    ) -> Result<T, Refusal> {
        let mut confirmed = !self.site.is_bounded();
        loop {
            // Looked at first: a configuration that is taken later is no older. A caller
            // that was judged before a confirmation came in with a key that was gone.
            let fresh = self.site.is_fresh();
            let judged = judge(&self.config()?);
            let holds = match &judged {
                Ok(admitted) => fresh || !keyed(admitted),
                Err(_) => confirmed,
            };
            if holds {
                return judged;
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
    let workspace = access::authenticate(config.workspaces.as_ref(), route.open, credential)
        .map_err(Refusal::Denied)?;
    Ok(Admitted {
        config: config.clone(),
        route,
        workspace,
    })
}
