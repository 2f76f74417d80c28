//! Finds the class that a call is for.

use super::directory::Directory;
use crate::{
    base::{Cause, Failure, Millis},
    policy::admission::Limits,
    settings::{BackendKind, ClassSettings, TeamSettings}, //
};
use hyper::header::{
    AUTHORIZATION,
    HeaderMap, //
};

/// The class of a call, and the settings of its team and pool that apply to the call.
pub(super) struct Target {
    pub(super) class: ClassSettings,
    pub(super) kind: BackendKind,
    /// The limits on calls in progress.
    pub(super) limits: Limits,
    /// The names of the team and the class.
    pub(super) names: (String, String),
    /// The size of the retry budget: the number of retries in percent of the team's
    /// successful calls.
    pub(super) retry_share: u64,
}

impl Target {
    /// Finds the class in `/v1/app/TEAM/CLASS/REST`; returns it with the path `/REST`.
    pub(super) fn find(
        directory: &Directory,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<(Self, String), Failure> {
        let not_found = |detail: String| Failure::not_run(Cause::NotFound, detail);
        let mut parts = path.splitn(6, '/').skip(3);
        let team_name = parts.next().unwrap_or_default();
        let class_name = parts.next().unwrap_or_default();
        let class_name = class_name.split('?').next().unwrap_or_default();
        let rest = format!("/{}", parts.next().unwrap_or_default());

        if !directory.is_loaded() {
            let failure = Failure::not_run(Cause::Unknown, "this entry has no settings yet");
            return Err(failure.retry_after(Millis(500)));
        }
        let shared = &directory.shared;
        let team = shared.teams.get(team_name);
        let team = team.ok_or_else(|| not_found(format!("no team `{team_name}`")))?;
        let class = team.classes.get(class_name);
        let class = class.ok_or_else(|| not_found(format!("no class `{class_name}`")))?;
        if class.internal && !may_call(team, class_name, headers) {
            let detail = format!("class `{class_name}` is internal: the call's key is not for it");
            return Err(Failure::not_run(Cause::Forbidden, detail));
        }
        let pool = shared.pools.get(&class.pool);
        let pool = pool.ok_or_else(|| not_found(format!("no pool `{}`", class.pool)))?;
        let target = Self {
            class: class.clone(),
            kind: pool.kind,
            limits: Limits {
                class: class.max_calls,
                team: team.max_calls,
            },
            names: (team_name.to_owned(), class_name.to_owned()),
            retry_share: team.retry_share,
        };
        Ok((target, rest))
    }
}

/// Whether the key in the `authorization` header permits calls of an internal class.
fn may_call(team: &TeamSettings, class: &str, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.is_some_and(|key| team.may_call(key, class))
}
