//! Which life of the engine beside a runner gets requests.
//!
//! An engine that restarts has a new life, and announces it in the store only
//! seconds later; the life before stays announced meanwhile. Requests name the
//! life that they are meant for, so all of them are refused until the runner
//! knows the new one: after a loss of power on all instances the runs of open
//! batches began again 1.5 to 3 s late. A refusal names the life that gave it.

use crate::base::Millis;

/// A refusal by another life than the one that the request was meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mismatch {
    pub at: Millis,
    /// The life that the request named.
    pub expected: String,
    /// The life that refused it.
    pub found: String,
}

/// The life that gets requests: the one that the store announces, or the one
/// that was met in its place. The address may have been given to a server of
/// another service meanwhile, so a life that was met counts only once it is
/// `confirmed`: a report that came later shows the models of this runner's
/// service, which no other service's servers hold.
pub fn current<'a>(
    announced: Option<&'a str>,
    mismatch: Option<&'a Mismatch>,
    confirmed: bool,
) -> Option<&'a str> {
    match mismatch {
        Some(mismatch) if confirmed && !is_caught_up(announced, mismatch) => Some(&mismatch.found),
        _ => announced,
    }
}

/// Whether the store's announcements have caught up with what was met.
pub fn is_caught_up(announced: Option<&str>, mismatch: &Mismatch) -> bool {
    announced.is_some_and(|id| id != mismatch.expected)
}
