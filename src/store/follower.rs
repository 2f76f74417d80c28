//! Follows one table of the store: a listing first, then its changes.

use super::{
    Change,
    Listing,
    StoreError,
    TableView, //
};
use crate::{
    base::Millis,
    platform::Store, //
};
use tokio::sync::mpsc;

/// What a follower tells.
#[derive(Debug)]
pub enum Followed {
    /// Rows changed. `listed` is true for the first batch after a listing.
    Changes { changes: Vec<Change>, listed: bool },
    /// The store stopped answering this process.
    Lost,
    /// The store answers again.
    Regained,
}

/// How a table is read.
#[derive(Clone, Copy, Debug)]
pub struct Following {
    /// The longest wait after a call that failed.
    pub backoff: Millis,
    /// How long the store holds a call for changes when there are none.
    pub hold: Millis,
    /// Whether its rows lie in several parts.
    pub parts: bool,
    /// The wait after a batch of changes, in which more of them gather: it
    /// bounds the calls a second that one busy table costs each follower.
    pub pace: Millis,
    pub table: &'static str,
}

/// How long the store holds a call for changes that must soon be seen. A feed may
/// fall silent while the store goes on: it is asked anew twice a second, so
/// that a configuration that was accepted meanwhile is seen in 1.1 s at most,
/// of the 2 s that the users allow.
pub const HOLD: Millis = Millis(500);

/// The first wait after a failed call.
const BACKOFF: Millis = Millis(50);

/// The longest for tables that bear it: a store that turns calls away is not asked for
/// all of them at once.
pub const BACKOFF_MOST: Millis = Millis(400);

/// The parts that are listed at once.
const LISTED_AT_ONCE: usize = 8;

/// Follows a table until the receiver is dropped.
pub async fn follow(store: Store, following: Following, sink: mpsc::Sender<Followed>) {
    let mut follower = Follower {
        following,
        link: true,
        sink,
        store,
        view: TableView::default(),
    };
    let mut backoff = BACKOFF;
    let mut after = None;
    while !follower.sink.is_closed() {
        let step = match after {
            None => follower.list().await,
            Some(after) => follower.changes(after).await,
        };
        match step {
            Ok(revision) => {
                backoff = BACKOFF;
                after = Some(revision);
                follower.succeed().await;
            }
            Err(StoreError::HistoryLost) => {
                tracing::info!(table = following.table, "history lost, listing afresh");
                after = None;
            }
            // The call has waited for the store's return, and is made again at once.
            Err(error @ StoreError::Away) => follower.fail(&error).await,
            Err(error) => {
                follower.fail(&error).await;
                tokio::time::sleep(backoff.as_duration()).await;
                backoff = Millis((backoff.0 * 2).min(following.backoff.0));
            }
        }
    }
}

struct Follower {
    following: Following,
    /// Whether the store answered last time.
    link: bool,
    sink: mpsc::Sender<Followed>,
    store: Store,
    view: TableView,
}

impl Follower {
    async fn changes(&mut self, after: u64) -> Result<u64, StoreError> {
        let Following { hold, table, .. } = self.following;
        let listing = self.store.changes(table, after, hold).await?;
        let revision = listing.revision.max(after);
        let changes = self.view.feed(listing.rows);
        if !changes.is_empty() {
            self.tell(changes, false).await;
            tokio::time::sleep(self.following.pace.as_duration()).await;
        }
        Ok(revision)
    }

    /// Lists the table; returns the revision from which its changes go on.
    async fn list(&mut self) -> Result<u64, StoreError> {
        let table = self.following.table;
        let mut changes = Vec::new();
        let mut from = u64::MAX;
        if self.following.parts {
            let (parts, revision) = self.store.parts(table).await?;
            from = revision;
            for few in parts.chunks(LISTED_AT_ONCE) {
                let listings = few.iter().map(|part| self.store.whole_part(table, part));
                for (part, listing) in few
                    .iter()
                    .zip(futures_util::future::join_all(listings).await)
                {
                    let listing = listing?;
                    from = from.min(listing.revision);
                    changes.extend(self.view.list(Some(part), listing));
                }
            }
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            changes.extend(self.view.keep_parts(&parts, revision));
        } else {
            let listing: Listing = self.store.whole_part(table, "").await?;
            from = from.min(listing.revision);
            changes.extend(self.view.list(None, listing));
        }
        self.tell(changes, true).await;
        Ok(from)
    }

    async fn succeed(&mut self) {
        if self.link {
            return;
        }
        self.link = true;
        tracing::info!(table = self.following.table, "store regained");
        // The receiver is gone only when the program ends.
        let _ = self.sink.send(Followed::Regained).await;
    }

    async fn fail(&mut self, error: &StoreError) {
        if !self.link {
            return;
        }
        self.link = false;
        tracing::warn!(table = self.following.table, %error, "store lost");
        let _ = self.sink.send(Followed::Lost).await;
    }

    async fn tell(&self, changes: Vec<Change>, listed: bool) {
        // The receiver is gone only when the program ends.
        let _ = self.sink.send(Followed::Changes { changes, listed }).await;
    }
}
