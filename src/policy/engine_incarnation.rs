//! Determines which incarnation of a runner's engine gets requests.
//!
//! A restarted engine is a new incarnation, which it announces in the store only
//! seconds later; until then the store announces the previous one. Requests name the
//! incarnation that they are meant for, so all of them are refused until the runner
//! knows the new one. After a power loss on all instances, this delayed the runs of
//! open batches by 1.5 to 3 s. A refusal names the incarnation that sent it, from which
//! the runner learns of it.

use crate::base::Millis;

/// A refusal by another incarnation than the one that the request named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mismatch {
    /// When the refusal arrived.
    pub at: Millis,
    /// The incarnation that the request named.
    pub expected: String,
    /// The incarnation that refused it.
    pub found: String,
}

/// Returns the incarnation that gets requests: the announced one, or the one found by a
/// mismatch.
///
/// The address may have been reassigned to a server of another service, so a mismatch
/// counts only once it is `confirmed`: a later report from that address shows only
/// models of this runner's service, which servers of other services don't hold.
pub fn current_incarnation<'a>(
    announced: Option<&'a str>,
    mismatch: Option<&'a Mismatch>,
    confirmed: bool,
) -> Option<&'a str> {
    match mismatch {
        Some(mismatch) if confirmed && !is_caught_up(announced, mismatch) => Some(&mismatch.found),
        _ => announced,
    }
}

/// Whether the store announces another incarnation than the one that the refused
/// request named, which is gone.
pub fn is_caught_up(announced: Option<&str>, mismatch: &Mismatch) -> bool {
    announced.is_some_and(|id| id != mismatch.expected)
}
