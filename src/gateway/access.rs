//! Who is let in, and by which configuration.

use super::reply;
use crate::{
    base::Millis,
    duty::Answer,
    platform,
    policy::{
        access::{self, Denial},
        freshness::WAIT_STALE, //
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
const CONFIG_RETRY_AFTER: Millis = Millis(300);

/// How long the store has to confirm the configuration by which a caller would be
/// turned away.
const CONFIRM_TIMEOUT: Millis = Millis(400);

/// Lets callers in by the configuration in force.
pub(super) struct AccessControl {
    pub(super) site: Arc<Site>,
}

/// A caller that is let in, and where to.
pub(super) struct Admitted {
    pub(super) config: Arc<Config>,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
}

/// What a caller of batches is let in as.
pub(super) enum BatchScope {
    /// Callers need no key, or this one's is not held by any workspace: it may see
    /// batches that belong to none.
    Unowned { denial: Option<Denial> },
    /// It may see its workspace's batches.
    Workspace(Arc<Workspace>),
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
            Self::NoConfig => reply::refusal(CONFIG_RETRY_AFTER, "no configuration yet"),
            Self::NoRoute => reply::status(StatusCode::NOT_FOUND, "no route"),
            Self::Stale => reply::refusal(WAIT_STALE, "the configuration is not confirmed"),
        }
    }
}

impl AccessControl {
    /// Finds the route of a request and the workspace that asks.
    pub(super) async fn admit(&self, head: &Parts) -> Result<Admitted, Refusal> {
        let used_key = |admitted: &Admitted| admitted.workspace.is_some();
        let decision = self.decide(|config| resolve(config, head), used_key).await;
        if let Err(refusal @ (Refusal::Denied(_) | Refusal::NoRoute)) = &decision {
            let (host, path) = (host(head), head.uri.path());
            let version = self.site.config().map(|config| config.version);
            tracing::info!(host, path, version, ?refusal, "turned away");
        }
        decision
    }

    /// Finds out whose batches a caller may see.
    pub(super) async fn batch_scope(&self, head: &Parts) -> Result<BatchScope, Refusal> {
        let credential = platform::credential(&head.headers);
        let reader = |config: &Arc<Config>| {
            let decision = access::judge(config.workspaces.as_ref(), false, credential);
            decision.map_err(Refusal::Denied)
        };
        match self.decide(reader, Option::is_some).await {
            Ok(Some(workspace)) => Ok(BatchScope::Workspace(workspace)),
            Ok(None) => Ok(BatchScope::Unowned { denial: None }),
            Err(Refusal::Denied(denial)) => Ok(BatchScope::Unowned {
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
    /// `used_key` tells whether a request was let in by a key.
    async fn decide<T>(
        &self,
        evaluate: impl Fn(&Arc<Config>) -> Result<T, Refusal>,
        used_key: impl Fn(&T) -> bool,
    ) -> Result<T, Refusal> {
        let mut confirmed = !self.site.is_bounded();
        loop {
            // Looked at first: a configuration that is taken later is no older. A caller
            // that was judged before a confirmation came in with a key that was gone.
            let was_fresh = self.site.is_fresh();
            let decision = evaluate(&self.current_config()?);
            let is_final = match &decision {
                Ok(admitted) => was_fresh || !used_key(admitted),
                Err(_) => confirmed,
            };
            if is_final {
                return decision;
            }
            self.confirm_config().await?;
            confirmed = true;
        }
    }

    fn current_config(&self) -> Result<Arc<Config>, Refusal> {
        let config = self.site.config();
        if config.is_none() {
            tracing::info!("refused: no configuration yet");
        }
        config.ok_or(Refusal::NoConfig)
    }

    /// Has the store confirm the configuration; a caller isn't kept waiting for a
    /// store that is known to be away.
    async fn confirm_config(&self) -> Result<(), Refusal> {
        let unreachable_since = self.site.store_away_since();
        if unreachable_since.is_none() && self.site.confirm_anew(CONFIRM_TIMEOUT).await {
            return Ok(());
        }
        let unreachable_ms = unreachable_since.map(|since| self.site.now().since(since).0);
        tracing::info!(away = ?unreachable_ms, "refused: the configuration is not confirmed");
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

fn resolve(config: &Arc<Config>, head: &Parts) -> Result<Admitted, Refusal> {
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
