//! Follows one table: lists it, then polls for its changes, at the parent or the store.

use super::{
    handle::{LeaveReason, Parent, Relay},
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

/// An event of a followed table.
#[derive(Debug)]
pub enum FollowEvent {
    /// Rows changed. `listed` is true for the result of a listing, which may be empty.
    Changes { changes: Vec<Change>, listed: bool },
    /// Changes arrive neither from the store nor from a parent.
    Disconnected,
    /// Changes arrive again.
    Reconnected,
}

/// Which table is followed, and how.
#[derive(Clone, Copy, Debug)]
pub struct FollowOptions {
    /// The longest delay after a failed call.
    pub max_backoff: Millis,
    /// How long the store holds a call for changes while there are none (long polling).
    pub hold: Millis,
    /// Whether the table's rows are in several parts.
    pub has_parts: bool,
    /// The delay after a batch of changes from the store, so that the next batch is
    /// larger. It limits the calls per second for a table that changes often.
    pub batch_delay: Millis,
    pub table: &'static str,
}

/// The hold for tables whose changes are urgent. A feed may stop delivering while the
/// store accepts changes. As it is polled again twice a second, a configuration that was
/// accepted meanwhile arrives within 1.1 s, of the 2 s that the users allow.
pub const DEFAULT_HOLD: Millis = Millis(500);

/// The delay after the first failed call; it doubles with each further one.
const INITIAL_BACKOFF: Millis = Millis(50);

/// The longest delay for tables whose changes are less urgent, so that a store that
/// rejects calls is not polled for all tables at once.
pub const MAX_BACKOFF: Millis = Millis(400);

/// How many parts are listed concurrently.
const MAX_CONCURRENT_LISTINGS: usize = 8;

/// How much longer a parent holds a request than the store does. The parent answers as
/// soon as the store has answered it. With equal holds, a request could end each time just
/// before that, and the data would be older by one hold at each level of the tree.
const PARENT_EXTRA_HOLD: Millis = Millis(200);

/// How long a parent may take to answer, beyond the hold of the request.
const PAGE_TIMEOUT_MARGIN: Millis = Millis(400);

/// How long a parent may take to send the whole table.
const FULL_TABLE_TIMEOUT: Millis = Millis(2_000);

/// How often removed rows are dropped from the view. The store's history is shorter, so a
/// feed that shows a dropped row again also shows its removal.
const PRUNE_INTERVAL: Millis = Millis(60_000);

/// Follows a table until the receiver is dropped.
pub async fn follow(relay: Arc<Relay>, options: FollowOptions, events: mpsc::Sender<FollowEvent>) {
    let table = relay.table(options.table);
    let mut follower = Follower {
        options,
        connected: true,
        relay,
        events,
        table,
    };
    follower.relay.wait_role_decided().await;
    follower.run().await;
}

struct Follower {
    options: FollowOptions,
    /// Whether changes arrive: false from a failed call until the next that succeeds.
    connected: bool,
    relay: Arc<Relay>,
    events: mpsc::Sender<FollowEvent>,
    table: Arc<Table>,
}

/// The outcome of a request to the parent.
enum PollOutcome {
    /// The parent doesn't have all the requested changes.
    Forgotten,
    /// The instance asked is no longer the parent of this process.
    Left,
    Page(Page),
}

impl Follower {
    async fn run(&mut self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut after = None;
        let mut last_pruned = self.relay.clock.now();
        while !self.events.is_closed() {
            if self.relay.retains_rows() && self.table.start_retaining() {
                after = None;
            }
            let now = self.relay.clock.now();
            if now.since(last_pruned) >= PRUNE_INTERVAL {
                last_pruned = now;
                self.table.prune();
            }
            let step = match after {
                None => self.list().await,
                Some(after) => self.poll_changes(after).await,
            };
            match step {
                Ok(revision) => {
                    backoff = INITIAL_BACKOFF;
                    after = Some(revision);
                    self.record_success().await;
                }
                Err(StoreError::HistoryLost) => {
                    tracing::info!(
                        table = self.options.table,
                        "history lost: listing the table again"
                    );
                    after = None;
                }
                // The call already waited for the store to return, so there is no delay.
                Err(error @ StoreError::Unreachable) => self.record_failure(&error).await,
                Err(error) => {
                    self.record_failure(&error).await;
                    tokio::select! {
                        () = tokio::time::sleep(backoff.as_duration()) => {}
                        () = self.relay.parent_found() => {}
                    }
                    backoff = Millis((backoff.0 * 2).min(self.options.max_backoff.0));
                }
            }
        }
    }

    /// Waits for changes after the revision `after`, at the parent or else at the store;
    /// returns the revision after which to poll next.
    async fn poll_changes(&mut self, after: u64) -> Result<u64, StoreError> {
        let mut hold = self.options.hold;
        if let Some(parent) = self.relay.parent() {
            let parent_hold = hold + PARENT_EXTRA_HOLD;
            match self
                .poll_parent(
                    &parent,
                    after,
                    parent_hold,
                    parent_hold + PAGE_TIMEOUT_MARGIN,
                )
                .await
            {
                PollOutcome::Page(page) => return Ok(self.apply_page(page, after).await),
                PollOutcome::Forgotten => return Err(StoreError::HistoryLost),
                // The request to the parent has already taken time, so the store must answer
                // at once.
                PollOutcome::Left => hold = Millis(0),
            }
        }
        let table = self.options.table;
        let listing = tokio::select! {
            listing = self.relay.store.changes(table, after, hold) => listing?,
            // The next poll goes to the new parent.
            () = self.relay.parent_found() => return Ok(after),
        };
        let revision = listing.revision.max(after);
        let now = self.relay.clock.now();
        let update = |view: &mut TableView| view.apply_changes(listing.rows);
        let changes = self.table.update(revision, now, update);
        if !changes.is_empty() {
            self.emit(changes, false).await;
            tokio::time::sleep(self.options.batch_delay.as_duration()).await;
        }
        Ok(revision)
    }

    /// Applies a parent's page. No batch delay follows: the root has already waited.
    async fn apply_page(&self, page: Page, after: u64) -> u64 {
        let confirmed = self.relay.clock.now() - page.age;
        let listing = page.into_listing();
        let revision = listing.revision.max(after);
        let update = |view: &mut TableView| view.apply_changes(listing.rows);
        let changes = self.table.update(revision, confirmed, update);
        if !changes.is_empty() {
            self.emit(changes, false).await;
        }
        revision
    }

    /// Asks `parent` for the changes after the revision `after`, or for all rows if 0. Leaves
    /// the parent if it doesn't answer, its data is too old, or it can't serve this process at
    /// present; the caller then asks the store.
    async fn poll_parent(
        &self,
        parent: &Parent,
        after: u64,
        hold: Millis,
        timeout: Millis,
    ) -> PollOutcome {
        let want = Want::Changes {
            after,
            table: self.options.table.to_owned(),
        };
        let reply = tokio::select! {
            reply = self.relay.ask(&parent.peer, want, hold, timeout) => reply,
            () = self.relay.parent_left(parent) => return PollOutcome::Left,
        };
        let age = match &reply {
            Some(Reply::Page(page)) => Some(page.age.0),
            _ => None,
        };
        let reason = match reply {
            Some(Reply::Page(page)) if !is_stale(page.age, self.options.hold) => {
                return PollOutcome::Page(page);
            }
            Some(Reply::Forgotten) => return PollOutcome::Forgotten,
            Some(Reply::Page(_)) => LeaveReason::Stale,
            Some(Reply::Lost) => LeaveReason::Lost,
            Some(Reply::Full(_) | Reply::Joined) => LeaveReason::Full,
            None => LeaveReason::Silent,
        };
        if self.relay.leave_parent(parent, reason) {
            let (feeder, table) = (parent.address, self.options.table);
            tracing::info!(%feeder, table, ?reason, ?age, "left the parent");
        }
        PollOutcome::Left
    }

    /// Lists the table; returns the revision after which to poll for changes.
    async fn list(&mut self) -> Result<u64, StoreError> {
        if let Some(parent) = self.relay.parent()
            && let PollOutcome::Page(page) = self
                .poll_parent(&parent, 0, Millis(0), FULL_TABLE_TIMEOUT)
                .await
        {
            let confirmed = self.relay.clock.now() - page.age;
            let listing = page.into_listing();
            let revision = listing.revision;
            let update = |view: &mut TableView| view.apply_listing(None, listing);
            let changes = self.table.update(revision, confirmed, update);
            self.table.set_complete(revision);
            self.emit(changes, true).await;
            return Ok(revision);
        }
        let (changes, from) = self.list_store().await?;
        self.table.set_complete(from);
        self.emit(changes, true).await;
        Ok(from)
    }

    /// Lists the table from the store; returns what changed in the view, and the revision
    /// after which to poll for changes.
    async fn list_store(&self) -> Result<(Vec<Change>, u64), StoreError> {
        let table = self.options.table;
        let store = &self.relay.store;
        if !self.options.has_parts {
            let listing: Listing = store.whole_part(table, "").await?;
            let now = self.relay.clock.now();
            let from = listing.revision;
            let update = |view: &mut TableView| view.apply_listing(None, listing);
            return Ok((self.table.update(from, now, update), from));
        }
        let (parts, revision) = store.parts(table).await?;
        let mut listings = Vec::new();
        for chunk in parts.chunks(MAX_CONCURRENT_LISTINGS) {
            let listing = chunk.iter().map(|part| store.whole_part(table, part));
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
                changes.extend(view.apply_listing(Some(part), listing));
            }
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            changes.extend(view.apply_parts(&parts, revision));
            changes
        };
        Ok((self.table.update(from, now, update), from))
    }

    async fn record_success(&mut self) {
        if self.connected {
            return;
        }
        self.connected = true;
        tracing::info!(table = self.options.table, "receiving changes again");
        // The receiver is gone only when the program ends.
        let _ = self.events.send(FollowEvent::Reconnected).await;
    }

    async fn record_failure(&mut self, error: &StoreError) {
        self.table.set_disconnected();
        if !self.connected {
            return;
        }
        self.connected = false;
        self.relay.step_down();
        tracing::warn!(table = self.options.table, %error, "no longer receiving changes");
        let _ = self.events.send(FollowEvent::Disconnected).await;
    }

    async fn emit(&self, changes: Vec<Change>, listed: bool) {
        // The receiver is gone only when the program ends.
        let _ = self
            .events
            .send(FollowEvent::Changes { changes, listed })
            .await;
    }
}
