//! Follows one table: a listing first, then its changes, of the store or of another
//! instance that follows it.

use super::{
    handle::{Left, Parent, Relay},
    message::{Page, Reply, Want},
    table::Table, //
};
use crate::{
    base::Millis,
    policy::relay::is_stale,
    store::{Change, Listing, StoreError, TableView}, //
};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What a follower tells.
#[derive(Debug)]
pub enum Followed {
    /// Rows changed. `listed` is true for the first batch after a listing.
    Changes { changes: Vec<Change>, listed: bool },
    /// Nobody tells this process of changes any more.
    Lost,
    /// Changes are told again.
    Regained,
}

/// How a table is read.
#[derive(Clone, Copy, Debug)]
pub struct Following {
    /// The longest wait after a call that failed.
    pub backoff: Millis,
    /// How long a call for changes is held when there are none.
    pub hold: Millis,
    /// Whether its rows lie in several parts.
    pub parts: bool,
    /// The wait after a batch of changes from the store, in which more of them gather:
    /// it bounds the calls a second that one busy table costs each that asks the store.
    pub pace: Millis,
    pub table: &'static str,
}

/// How long a call is held for changes that must soon be seen. A feed may
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

/// How much longer another instance holds a question than the store does: it is told by
/// then, and tells at once. Held for as long as the store's, a question could end each time
/// just before that, and what is told would be older by that time at each level.
const HELD_LONGER: Millis = Millis(200);

/// What another instance's answer may take beyond the time that it holds the question.
const PAGE_SLACK: Millis = Millis(400);

/// What its answer with a whole table may take.
const WHOLE_WITHIN: Millis = Millis(2_000);

/// How often removed rows are forgotten. The store's history is shorter: who learns of
/// a row for the first time after that learns that it is gone.
const PRUNE_EVERY: Millis = Millis(60_000);

/// Follows a table until the receiver is dropped.
pub async fn follow(relay: Arc<Relay>, following: Following, sink: mpsc::Sender<Followed>) {
    let table = relay.table(following.table);
    let mut follower = Follower {
        following,
        link: true,
        relay,
        sink,
        table,
    };
    follower.relay.wait_settled().await;
    follower.run().await;
}

struct Follower {
    following: Following,
    /// Whether changes were told last time.
    link: bool,
    relay: Arc<Relay>,
    sink: mpsc::Sender<Followed>,
    table: Arc<Table>,
}

/// What came of a question to another instance.
enum Asked {
    /// It no longer keeps what was asked for.
    Forgotten,
    /// It was left.
    Left,
    Page(Page),
}

impl Follower {
    async fn run(&mut self) {
        let mut backoff = BACKOFF;
        let mut after = None;
        let mut pruned = self.relay.clock.now();
        while !self.sink.is_closed() {
            if self.relay.is_serving() && self.table.keep() {
                after = None;
            }
            let now = self.relay.clock.now();
            if now.since(pruned) >= PRUNE_EVERY {
                pruned = now;
                self.table.prune();
            }
            let step = match after {
                None => self.list().await,
                Some(after) => self.changes(after).await,
            };
            match step {
                Ok(revision) => {
                    backoff = BACKOFF;
                    after = Some(revision);
                    self.succeed().await;
                }
                Err(StoreError::HistoryLost) => {
                    tracing::info!(table = self.following.table, "history lost, listing afresh");
                    after = None;
                }
                // The call has waited for the store's return, and is made again at once.
                Err(error @ StoreError::Away) => self.fail(&error).await,
                Err(error) => {
                    self.fail(&error).await;
                    tokio::select! {
                        () = tokio::time::sleep(backoff.as_duration()) => {}
                        () = self.relay.fed() => {}
                    }
                    backoff = Millis((backoff.0 * 2).min(self.following.backoff.0));
                }
            }
        }
    }

    async fn changes(&mut self, after: u64) -> Result<u64, StoreError> {
        let mut hold = self.following.hold;
        if let Some(parent) = self.relay.parent() {
            let longer = hold + HELD_LONGER;
            match self.ask(&parent, after, longer, longer + PAGE_SLACK).await {
                Asked::Page(page) => return Ok(self.take_page(page, after).await),
                Asked::Forgotten => return Err(StoreError::HistoryLost),
                // What the store tells must not wait: it may be late already.
                Asked::Left => hold = Millis(0),
            }
        }
        let table = self.following.table;
        let listing = tokio::select! {
            listing = self.relay.store.changes(table, after, hold) => listing?,
            // Whoever feeds this process from now on tells it sooner.
            () = self.relay.fed() => return Ok(after),
        };
        let revision = listing.revision.max(after);
        let now = self.relay.clock.now();
        let update = |view: &mut TableView| view.feed(listing.rows);
        let changes = self.table.update(revision, now, update);
        if !changes.is_empty() {
            self.tell(changes, false).await;
            tokio::time::sleep(self.following.pace.as_duration()).await;
        }
        Ok(revision)
    }

    /// Takes what another instance tells; it has waited for changes to gather.
    async fn take_page(&self, page: Page, after: u64) -> u64 {
        let confirmed = self.relay.clock.now() - page.age;
        let listing = page.into_listing();
        let revision = listing.revision.max(after);
        let update = |view: &mut TableView| view.feed(listing.rows);
        let changes = self.table.update(revision, confirmed, update);
        if !changes.is_empty() {
            self.tell(changes, false).await;
        }
        revision
    }

    async fn ask(&self, parent: &Parent, after: u64, hold: Millis, within: Millis) -> Asked {
        let want = Want::Changes {
            after,
            table: self.following.table.to_owned(),
        };
        let reply = tokio::select! {
            reply = self.relay.ask(&parent.peer, want, hold, within) => reply,
            () = self.relay.left(parent) => return Asked::Left,
        };
        let age = match &reply {
            Some(Reply::Page(page)) => Some(page.age.0),
            _ => None,
        };
        let reason = match reply {
            Some(Reply::Page(page)) if !is_stale(page.age, self.following.hold) => {
                return Asked::Page(page);
            }
            Some(Reply::Forgotten) => return Asked::Forgotten,
            Some(Reply::Page(_)) => Left::Stale,
            Some(Reply::Lost) => Left::Lost,
            Some(Reply::Full(_) | Reply::Joined) => Left::Full,
            None => Left::Silent,
        };
        if self.relay.leave(parent, reason) {
            let (feeder, table) = (parent.address, self.following.table);
            tracing::info!(%feeder, table, ?reason, ?age, "feeder left");
        }
        Asked::Left
    }

    /// Lists the table; returns the revision from which its changes go on.
    async fn list(&mut self) -> Result<u64, StoreError> {
        if let Some(parent) = self.relay.parent()
            && let Asked::Page(page) = self.ask(&parent, 0, Millis(0), WHOLE_WITHIN).await
        {
            let confirmed = self.relay.clock.now() - page.age;
            let listing = page.into_listing();
            let revision = listing.revision;
            let update = |view: &mut TableView| view.list(None, listing);
            let changes = self.table.update(revision, confirmed, update);
            self.table.set_whole(revision);
            self.tell(changes, true).await;
            return Ok(revision);
        }
        let (changes, from) = self.list_store().await?;
        self.table.set_whole(from);
        self.tell(changes, true).await;
        Ok(from)
    }

    /// Lists the table in the store; returns what changed with the revision from which
    /// its changes go on.
    async fn list_store(&self) -> Result<(Vec<Change>, u64), StoreError> {
        let table = self.following.table;
        let store = &self.relay.store;
        if !self.following.parts {
            let listing: Listing = store.whole_part(table, "").await?;
            let now = self.relay.clock.now();
            let from = listing.revision;
            let update = |view: &mut TableView| view.list(None, listing);
            return Ok((self.table.update(from, now, update), from));
        }
        let (parts, revision) = store.parts(table).await?;
        let mut listings = Vec::new();
        for few in parts.chunks(LISTED_AT_ONCE) {
            let listing = few.iter().map(|part| store.whole_part(table, part));
            listings.extend(futures_util::future::join_all(listing).await);
        }
        let listings: Result<Vec<Listing>, StoreError> = listings.into_iter().collect();
        let listings = listings?;
        let from = listings.iter().map(|listing| listing.revision);
        let from = from.fold(revision, u64::min);
        let now = self.relay.clock.now();
        let update = |view: &mut TableView| {
            let mut changes = Vec::new();
            for (part, listing) in parts.iter().zip(listings) {
                changes.extend(view.list(Some(part), listing));
            }
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            changes.extend(view.keep_parts(&parts, revision));
            changes
        };
        Ok((self.table.update(from, now, update), from))
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
        self.table.lose();
        if !self.link {
            return;
        }
        self.link = false;
        self.relay.lose_store();
        tracing::warn!(table = self.following.table, %error, "store lost");
        let _ = self.sink.send(Followed::Lost).await;
    }

    async fn tell(&self, changes: Vec<Change>, listed: bool) {
        // The receiver is gone only when the program ends.
        let _ = self.sink.send(Followed::Changes { changes, listed }).await;
    }
}
