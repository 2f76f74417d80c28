//! Who asks: the workspace of a request, or why it is not let in.

use crate::routing::{
    Credential,
    Workspace,
    Workspaces, //
};
use snafu::Snafu;
use std::sync::Arc;

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Denial {
    #[snafu(display("the request has several keys, or an empty one"))]
    Malformed,
    #[snafu(display("the request has no key"))]
    Missing,
    #[snafu(display("no workspace holds the request's key"))]
    Unknown,
}

/// The workspace that asks; `None` for a request that needs none.
///
/// `workspaces` is `None` where the configuration knows none: all are let in then.
/// On an `open` route a key is not needed, and one that nobody holds does no harm.
///
/// # Errors
///
/// [`Denial`] when the request needs a key and shows none that is held.
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
        Credential::Key(key) => workspaces.holder(&key).ok_or(Denial::Unknown),
        Credential::Malformed => Err(Denial::Malformed),
    };
    match found {
        Ok(workspace) => Ok(Some(workspace.clone())),
        Err(_) if open => Ok(None),
        Err(denial) => Err(denial),
    }
}
