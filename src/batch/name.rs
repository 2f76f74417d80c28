//! The names under which batches lie in the store.

use crate::base::stable_hash;

/// Parts a workspace's mark from the id. Ids of batches that belong to nobody don't
/// contain it, so that nobody can name another's.
const MARK_END: char = '~';

/// The name of the batch that the callers of `workspace` call `id`. Each workspace
/// has ids of its own: one that uses another's id meets nothing, and learns nothing.
/// `None` when nobody can have such a batch.
pub fn name_of(workspace: Option<&str>, id: &str) -> Option<String> {
    match workspace {
        Some(workspace) => {
            let mark = stable_hash(&[workspace.as_bytes()]);
            Some(format!("{mark:016x}{MARK_END}{id}"))
        }
        None => (!id.contains(MARK_END)).then(|| id.to_owned()),
    }
}
