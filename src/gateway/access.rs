//! Authenticates callers, and finds the routes of their requests, by the operators'
//! configuration.

use super::reply;
use crate::{
    base::Millis,
    duty::Answer,
    platform,
    policy::{
        access::{self, Denial},
        freshness::RETRY_AFTER_STALE_CONFIG, //
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

/// The `Retry-After` of a refusal before the first configuration was read: once the
/// store is reachable it answers within milliseconds.
const RETRY_AFTER_NO_CONFIG: Millis = Millis(300);

/// How long a request waits for the store to confirm the configuration.
const CONFIRM_TIMEOUT: Millis = Millis(400);

/// Authenticates requests and finds their routes, by the configuration in force.
pub(super) struct AccessControl {
    pub(super) site: Arc<Site>,
}

/// An admitted request's route, and the workspace whose key it has.
pub(super) struct Admitted {
    /// The configuration by which the request was admitted.
    pub(super) config: Arc<Config>,
    pub(super) route: Arc<Route>,
    /// `None` for a request that was admitted without a valid key.
    pub(super) workspace: Option<Arc<Workspace>>,
}

/// The batches that a caller may access.
pub(super) enum BatchScope {
    /// Batches that belong to no workspace. `denial` says what is wrong with the
    /// caller's key, where callers need one.
    Unowned { denial: Option<Denial> },
    /// The batches of this workspace, and those that belong to none.
    Workspace(Arc<Workspace>),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug)]
pub(super) enum Refusal {
    /// The request has no valid key.
    Denied(Denial),
    /// No configuration has been read since the gateway's start.
    NoConfig,
    /// No route matches the request's host and path.
    NoRoute,
    /// The configuration may be outdated: the key or the route may have been added or
    /// removed since.
    Stale,
}

impl Refusal {
    /// The response to the caller.
    pub(super) fn answer(self) -> Answer {
        match self {
            Self::Denied(denial) => denied(denial),
            Self::NoConfig => reply::refusal(RETRY_AFTER_NO_CONFIG, "no configuration yet"),
            Self::NoRoute => reply::status(StatusCode::NOT_FOUND, "no route"),
            Self::Stale => reply::refusal(
                RETRY_AFTER_STALE_CONFIG,
                "the configuration is not confirmed",
            ),
        }
    }
}

impl AccessControl {
    /// Finds the route of a request and the workspace that its key belongs to.
    pub(super) async fn admit(&self, head: &Parts) -> Result<Admitted, Refusal> {
        let used_key = |admitted: &Admitted| admitted.workspace.is_some();
        let decision = self.decide(|config| resolve(config, head), used_key).await;
        if let Err(refusal @ (Refusal::Denied(_) | Refusal::NoRoute)) = &decision {
            let (host, path) = (host(head), head.uri.path());
            let version = self.site.config().map(|config| config.version);
            tracing::info!(host, path, version, ?refusal, "request refused");
        }
        decision
    }

    /// Finds out which batches a caller may access. A denied key is no refusal here: a
    /// batch without a workspace is accessible with any key.
    pub(super) async fn batch_scope(&self, head: &Parts) -> Result<BatchScope, Refusal> {
        let credential = platform::credential(&head.headers);
        let authenticate = |config: &Arc<Config>| {
            let decision = access::authenticate(config.workspaces.as_ref(), false, credential);
            decision.map_err(Refusal::Denied)
        };
        match self.decide(authenticate, Option::is_some).await {
            Ok(Some(workspace)) => Ok(BatchScope::Workspace(workspace)),
            Ok(None) => Ok(BatchScope::Unowned { denial: None }),
            Err(Refusal::Denied(denial)) => Ok(BatchScope::Unowned {
                denial: Some(denial),
            }),
            Err(refusal) => Err(refusal),
        }
    }

    /// Evaluates a request by the configuration in force. If the settings limit the
    /// configuration's age, two results are not final. Then the store has to confirm that
    /// the configuration is the newest, and the request is evaluated again:
    ///
    /// - The request would be admitted by a key, but the configuration was confirmed too
    ///   long ago: the key may have been removed.
    /// - The request would be refused: a gateway that has just started, resumed or
    ///   returned from a partition may not know a new key or route yet.
    ///
    /// `used_key` says whether a request was admitted by a key.
    async fn decide<T>(
        &self,
        evaluate: impl Fn(&Arc<Config>) -> Result<T, Refusal>,
        used_key: impl Fn(&T) -> bool,
    ) -> Result<T, Refusal> {
        let mut confirmed = !self.site.is_config_age_limited();
        loop {
            // Freshness is read before the configuration, which can only be replaced by a
            // newer one in between. In the other order, a confirmation that arrived in
            // between admitted a caller whose key had just been removed.
            let was_fresh = self.site.is_config_fresh();
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
            tracing::info!("request refused: no configuration yet");
        }
        config.ok_or(Refusal::NoConfig)
    }

    /// Has the store confirm the configuration. Refuses the request at once while the
    /// store is known to be unreachable.
    async fn confirm_config(&self) -> Result<(), Refusal> {
        let unreachable_since = self.site.store_unreachable_since();
        if unreachable_since.is_none() && self.site.reconfirm_config(CONFIRM_TIMEOUT).await {
            return Ok(());
        }
        let unreachable_ms = unreachable_since.map(|since| self.site.now().since(since).0);
        tracing::info!(away = ?unreachable_ms, "request refused: the configuration is not confirmed");
        metrics::counter!("redwing_stale_refusals_total").increment(1);
        Err(Refusal::Stale)
    }
}

/// The response to a request without a valid key.
pub(super) fn denied(denial: Denial) -> Answer {
    metrics::counter!("redwing_denials_total").increment(1);
    let mut answer = reply::status(StatusCode::UNAUTHORIZED, &denial.to_string());
    let scheme = HeaderValue::from_static("ApiKey");
    answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    answer
}

/// The request's `Host` header; empty when it has none.
pub(super) fn host(head: &Parts) -> &str {
    let host = head.headers.get("host").and_then(|host| host.to_str().ok());
    host.unwrap_or_default()
}

/// Finds the route and the workspace of a request in `config`.
fn resolve(config: &Arc<Config>, head: &Parts) -> Result<Admitted, Refusal> {
    let route = config.route(host(head), head.uri.path());
    let route = route.ok_or(Refusal::NoRoute)?.clone();
    let credential = platform::credential(&head.headers);
    let workspace = access::authenticate(
        config.workspaces.as_ref(),
        route.allow_anonymous,
        credential,
    )
    .map_err(Refusal::Denied)?;
    Ok(Admitted {
        config: config.clone(),
        route,
        workspace,
    })
}
