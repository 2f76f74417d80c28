//! Groups claims of request keys into transactions. An entry claims the key of a
//! non-idempotent call, by writing a row for it, before it hands the call over, so that
//! a repeated call does not run again.

use crate::base::{
    Millis,
    RequestId, //
};
use std::collections::{
    HashMap,
    VecDeque, //
};

/// A request key to be claimed for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingClaim {
    /// The path of the key's row in the table.
    pub path: String,
    pub request: RequestId,
}

/// The writes of one transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Rows to write, which must not exist yet.
    pub claims: Vec<PendingClaim>,
    /// Rows to remove, with the versions they must have.
    pub removals: Vec<(String, u64)>,
}

/// The outcome of one claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key belongs to this request; no other request gets it within the window.
    Granted,
    /// The key belongs to another request, started by this entry or another one; `None`
    /// if that request is unknown.
    Taken(Option<RequestId>),
    /// The table did not answer, so the claim may or may not have been written.
    Undecided,
}

/// The claims of one entry, written one transaction at a time.
///
/// # Invariants
///
/// A claim is granted only after a transaction was committed that requires the key's
/// row to be absent and writes this request's id into it. Over all entries and all
/// their incarnations, a key is therefore granted at most once within the window.
#[derive(Debug)]
pub struct ClaimQueue {
    /// Keys granted by this entry: the version of the row and the time of the grant.
    granted: HashMap<String, (u64, Millis)>,
    /// Granted keys, oldest first.
    order: VecDeque<(Millis, String)>,
    /// Rows to remove, with their versions.
    removals: VecDeque<(String, u64)>,
    waiting: VecDeque<PendingClaim>,
    /// How long a granted key is kept.
    window: Millis,
}

/// The most rows of one transaction: the platform's transactions are small.
pub const MAX_ROWS: usize = 16;

/// The most claims that may wait; further claims are refused.
pub const MAX_QUEUED: usize = 512;

impl ClaimQueue {
    /// An empty queue whose granted keys are kept for `window`.
    pub fn new(window: Millis) -> Self {
        Self {
            granted: HashMap::new(),
            order: VecDeque::new(),
            removals: VecDeque::new(),
            waiting: VecDeque::new(),
            window,
        }
    }

    /// Queues a claim; returns false if too many wait.
    pub fn push(&mut self, wanted: PendingClaim) -> bool {
        if self.waiting.len() >= MAX_QUEUED {
            return false;
        }
        self.waiting.push_back(wanted);
        true
    }

    /// Returns the writes of the next transaction; `None` if there is nothing to write.
    pub fn next_batch(&mut self, now: Millis) -> Option<Batch> {
        self.expire(now);
        let mut batch = Batch::default();
        while batch.claims.len() < MAX_ROWS {
            let Some(wanted) = self.waiting.pop_front() else {
                break;
            };
            // A transaction can't write a row twice: the later claim waits for the next
            // transaction, which then finds the row.
            if batch.claims.iter().any(|other| other.path == wanted.path) {
                self.waiting.push_front(wanted);
                break;
            }
            batch.claims.push(wanted);
        }
        while batch.claims.len() + batch.removals.len() < MAX_ROWS {
            let Some(removal) = self.removals.pop_front() else {
                break;
            };
            if batch.claims.iter().any(|other| other.path == removal.0) {
                self.removals.push_front(removal);
                break;
            }
            batch.removals.push(removal);
        }
        let empty = batch.claims.is_empty() && batch.removals.is_empty();
        (!empty).then_some(batch)
    }

    /// Records that `batch` was committed; `versions` are those of its claims' rows.
    pub fn committed(&mut self, now: Millis, batch: &Batch, versions: &[u64]) {
        for (wanted, version) in batch.claims.iter().zip(versions) {
            // INVARIANT: the transaction required the row to be absent.
            self.granted.insert(wanted.path.clone(), (*version, now));
            self.order.push_back((now, wanted.path.clone()));
        }
    }

    /// Records that `batch` was refused because of the row at `path`. Queues its other
    /// writes again, and returns its claim of that row, if it has one.
    pub fn conflicted(&mut self, batch: Batch, path: &str) -> Option<PendingClaim> {
        let mut lost = None;
        for wanted in batch.claims.into_iter().rev() {
            if wanted.path == path {
                lost = Some(wanted);
            } else {
                self.waiting.push_front(wanted);
            }
        }
        let kept = batch.removals.into_iter().filter(|(row, _)| row != path);
        self.removals.extend(kept);
        lost
    }

    /// Frees the key of a request that did not run: its row will be removed.
    pub fn release(&mut self, path: &str) {
        if let Some((version, _)) = self.granted.remove(path) {
            self.removals.push_back((path.to_owned(), version));
        }
    }

    /// Frees the keys that were granted longer ago than the window.
    fn expire(&mut self, now: Millis) {
        while let Some((at, _)) = self.order.front() {
            if now.since(*at) < self.window {
                return;
            }
            let Some((at, path)) = self.order.pop_front() else {
                return;
            };
            let same = self
                .granted
                .get(&path)
                .is_some_and(|(_, since)| *since == at);
            if same {
                self.release(&path);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::base::{
        Incarnation,
        Issuer, //
    };

    fn wanted(path: &str, sequence: u32) -> PendingClaim {
        PendingClaim {
            path: path.into(),
            request: RequestId {
                incarnation: Incarnation(1),
                issuer: Issuer(1),
                second: 0,
                sequence,
            },
        }
    }

    #[test]
    fn one_conflict_costs_only_its_own_claim() {
        let mut claims = ClaimQueue::new(Millis(1_000));
        for (path, sequence) in [("a", 1), ("b", 2), ("c", 3)] {
            assert!(claims.push(wanted(path, sequence)));
        }
        let batch = claims.next_batch(Millis(0)).unwrap();
        assert_eq!(batch.claims.len(), 3);
        assert_eq!(claims.conflicted(batch, "b"), Some(wanted("b", 2)));
        let batch = claims.next_batch(Millis(0)).unwrap();
        assert_eq!(batch.claims, [wanted("a", 1), wanted("c", 3)]);
    }

    #[test]
    fn the_same_key_twice_takes_two_transactions() {
        let mut claims = ClaimQueue::new(Millis(1_000));
        claims.push(wanted("a", 1));
        claims.push(wanted("a", 2));
        let first = claims.next_batch(Millis(0)).unwrap();
        assert_eq!(first.claims, [wanted("a", 1)]);
        claims.committed(Millis(0), &first, &[7]);
        let second = claims.next_batch(Millis(0)).unwrap();
        assert_eq!(claims.conflicted(second, "a"), Some(wanted("a", 2)));
    }

    #[test]
    fn keys_are_removed_after_the_window_or_when_released() {
        let mut claims = ClaimQueue::new(Millis(1_000));
        for path in ["a", "b"] {
            claims.push(wanted(path, 1));
        }
        let batch = claims.next_batch(Millis(0)).unwrap();
        claims.committed(Millis(0), &batch, &[7, 7]);
        claims.release("b");
        let batch = claims.next_batch(Millis(10)).unwrap();
        assert_eq!(batch.removals, [("b".to_owned(), 7)]);
        assert_eq!(claims.next_batch(Millis(999)), None);
        let batch = claims.next_batch(Millis(1_000)).unwrap();
        assert_eq!(batch.removals, [("a".to_owned(), 7)]);
    }
}
