//! Authentication: finds the workspace that a request's API key belongs to.

use crate::routing::{
    Credential,
    Workspace,
    Workspaces, //
};
use snafu::Snafu;
use std::sync::Arc;

/// Why [`authenticate`] rejects a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Denial {
    #[snafu(display("the request has several keys, or an empty one"))]
    Malformed,
    #[snafu(display("the request has no key"))]
    Missing,
    #[snafu(display("no workspace holds the request's key"))]
    Unknown,
}

/// Returns the workspace that a request belongs to; `None` if the request is accepted
/// without a workspace.
///
/// Every request is accepted without a workspace if `workspaces` is `None`: the
/// configuration lists none. A route that is `open` needs no key, and ignores one that
/// is unknown or malformed.
///
/// # Errors
///
/// [`Denial`] if a key is required and the request has none that belongs to a
/// workspace.
pub fn authenticate(
    workspaces: Option<&Workspaces>,
    open: bool,
    credential: Credential,
) -> Result<Option<Arc<Workspace>>, Denial> {
    let Some(workspaces) = workspaces else {
        return Ok(None);
    };
    let found = match credential {
        Credential::Absent => Err(Denial::Missing),
        Credential::Key(key) => workspaces.by_key(&key).ok_or(Denial::Unknown),
        Credential::Malformed => Err(Denial::Malformed),
    };
    match found {
        Ok(workspace) => Ok(Some(workspace.clone())),
        Err(_) if open => Ok(None),
        Err(denial) => Err(denial),
    }
}
