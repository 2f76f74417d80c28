//! The names under which batches lie in the store.

use crate::base::stable_hash;

/// Parts a workspace's mark from the id. Ids of batches that belong to nobody don't
/// contain it, so that nobody can name another's.
const WORKSPACE_SEPARATOR: char = '~';

/// The name of the batch that the callers of `workspace` call `id`. Each workspace
/// has ids of its own: one that uses another's id meets nothing, and learns nothing.
/// `None` when nobody can have such a batch.
pub fn stored_name(workspace: Option<&str>, id: &str) -> Option<String> {
    match workspace {
        Some(workspace) => {
            let prefix = stable_hash(&[workspace.as_bytes()]);
            Some(format!("{prefix:016x}{WORKSPACE_SEPARATOR}{id}"))
        }
        None => (!id.contains(WORKSPACE_SEPARATOR)).then(|| id.to_owned()),
    }
}
