//! The names under which batches are stored.

use crate::base::stable_hash;

/// Separates the hash of a workspace's name from the batch id. The id of a batch
/// without a workspace must not contain it, so that no id can name a workspace's batch.
const WORKSPACE_SEPARATOR: char = '~';

/// The stored name of the batch that callers of `workspace` refer to as `id`.
///
/// Each workspace has its own namespace: a caller that guesses another workspace's id
/// finds nothing and does not learn whether that batch exists. `None` when there is no
/// workspace and `id` contains the separator: no such batch can exist.
pub fn stored_name(workspace: Option<&str>, id: &str) -> Option<String> {
    match workspace {
        Some(workspace) => {
            let prefix = stable_hash(&[workspace.as_bytes()]);
            Some(format!("{prefix:016x}{WORKSPACE_SEPARATOR}{id}"))
        }
        None => (!id.contains(WORKSPACE_SEPARATOR)).then(|| id.to_owned()),
    }
}
