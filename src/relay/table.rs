//! The state of one followed table, for this process and its children.

use super::message::Page;
use crate::{
    base::Millis,
    store::{Change, TableView}, //
};
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::sync::watch;

/// A followed table. Its follower writes it; the server of relay requests reads it.
pub(super) struct Table {
    state: watch::Sender<State>,
    view: Mutex<TableView>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// The revision of the newest retained change.
    changed: u64,
    /// When the store confirmed the known state.
    confirmed: Millis,
    /// Whether the follower receives changes at present.
    connected: bool,
    /// The revision up to which all changes are known.
    revision: u64,
    /// Whether all rows of the table are retained.
    complete: bool,
}

impl State {
    /// Whether children can be served: all rows are retained, and changes arrive.
    fn can_serve(&self) -> bool {
        self.complete && self.connected
    }
}

impl Default for Table {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(State::default()),
            view: Mutex::default(),
        }
    }
}

impl Table {
    /// Applies an update that is complete up to `revision` and that the store confirmed at
    /// `confirmed`. `apply` applies it to the view; its changes are returned.
    pub(super) fn update(
        &self,
        revision: u64,
        confirmed: Millis,
        apply: impl FnOnce(&mut TableView) -> Vec<Change>,
    ) -> Vec<Change> {
        let (changes, newest) = {
            let mut view = self.view();
            let changes = apply(&mut view);
            (changes, view.newest_retained())
        };
        self.state.send_modify(|state| {
            state.changed = newest;
            state.confirmed = confirmed;
            state.connected = true;
            state.revision = state.revision.max(revision);
        });
        changes
    }

    /// Records that a listing of all rows, up to `revision`, was applied.
    pub(super) fn set_complete(&self, revision: u64) {
        let was_complete = self.state.borrow().complete;
        let mut view = self.view();
        if was_complete || !view.retains_rows() {
            return;
        }
        view.set_complete(revision);
        drop(view);
        self.state.send_modify(|state| state.complete = true);
    }

    /// Starts to retain rows for children. Returns true if that is new, in which case the
    /// table must be listed again.
    pub(super) fn start_retaining(&self) -> bool {
        let mut view = self.view();
        let starts = !view.retains_rows();
        if starts {
            view.retain_rows();
        }
        starts
    }

    /// Whether children can be served: all rows are retained, and changes arrive.
    pub(super) fn can_serve(&self) -> bool {
        self.state.borrow().can_serve()
    }

    /// Records that no changes arrive at present.
    pub(super) fn set_disconnected(&self) {
        self.state.send_modify(|state| state.connected = false);
    }

    /// Drops rows that were removed some time ago; see [`TableView::prune`].
    pub(super) fn prune(&self) {
        self.view().prune();
    }

    /// Waits at most `hold` until children can be served.
    pub(super) async fn wait_servable(&self, hold: Millis) {
        let mut state = self.state.subscribe();
        let can_serve = state.wait_for(State::can_serve);
        let _ = tokio::time::timeout(hold.as_duration(), can_serve).await;
    }

    /// Waits at most `hold` for a change after the revision `after`, for a newer
    /// confirmation from the store, or until changes no longer arrive.
    ///
    /// If confirmations didn't end the wait, each level of the tree would add its hold to
    /// the age of the pages, until children take them for stale.
    pub(super) async fn wait_update(&self, after: u64, hold: Millis) {
        let mut state = self.state.subscribe();
        let confirmed = state.borrow().confirmed;
        let updated = state.wait_for(|state| {
            state.changed > after || state.confirmed > confirmed || !state.connected
        });
        let _ = tokio::time::timeout(hold.as_duration(), updated).await;
    }

    /// The changes after the revision `after`; `None` if they are not retained.
    pub(super) fn page(&self, after: u64, now: Millis) -> Option<Page> {
        let state = *self.state.borrow();
        if !state.complete {
            return None;
        }
        let rows = self.view().rows_since(after)?;
        Some(Page {
            age: now.since(state.confirmed),
            // The rows may include newer changes, but not all of them.
            revision: state.revision,
            rows,
        })
    }

    fn view(&self) -> MutexGuard<'_, TableView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
