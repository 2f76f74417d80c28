//! One table as this process has read it, for itself and for those that it feeds.

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

/// Written by the table's follower.
pub(super) struct Table {
    state: watch::Sender<State>,
    view: Mutex<TableView>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// The revision of the newest change.
    changed: u64,
    /// When the store told what is known.
    confirmed: Millis,
    /// Whether changes are learnt at present.
    connected: bool,
    /// The revision up to which all changes are known.
    revision: u64,
    /// Whether all rows are kept, for others.
    complete: bool,
}

impl State {
    /// Whether the rows are kept for others, and learnt at present.
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
    /// Takes what was told of the table up to `revision`, as the store had it at
    /// `confirmed`; returns what it changes.
    pub(super) fn update(
        &self,
        revision: u64,
        confirmed: Millis,
        take: impl FnOnce(&mut TableView) -> Vec<Change>,
    ) -> Vec<Change> {
        let (changes, newest) = {
            let mut view = self.view();
            let changes = take(&mut view);
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

    /// All rows were told, up to `revision`.
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

    /// Keeps the rows from now on, for others; true when they have to be listed for it.
    pub(super) fn start_retaining(&self) -> bool {
        let mut view = self.view();
        let starts = !view.retains_rows();
        if starts {
            view.retain_rows();
        }
        starts
    }

    /// Whether the rows are kept for others, and learnt at present.
    pub(super) fn can_serve(&self) -> bool {
        self.state.borrow().can_serve()
    }

    /// Nothing is learnt at present.
    pub(super) fn set_disconnected(&self) {
        self.state.send_modify(|state| state.connected = false);
    }

    /// Forgets removed rows that nobody can miss any more.
    pub(super) fn prune(&self) {
        self.view().prune();
    }

    /// Waits at most `hold` until others can be fed.
    pub(super) async fn wait_servable(&self, hold: Millis) {
        let mut state = self.state.subscribe();
        let can_serve = state.wait_for(State::can_serve);
        let _ = tokio::time::timeout(hold.as_duration(), can_serve).await;
    }

    /// Waits at most `hold` for a change after `after`, for the store's word that there
    /// is none, or until nothing is learnt.
    ///
    /// With changes alone each instance between the store and another would add the time
    /// that it waits to the age of what is told, until it is too old to go by.
    pub(super) async fn wait_update(&self, after: u64, hold: Millis) {
        let mut state = self.state.subscribe();
        let confirmed = state.borrow().confirmed;
        let updated = state.wait_for(|state| {
            state.changed > after || state.confirmed > confirmed || !state.connected
        });
        let _ = tokio::time::timeout(hold.as_duration(), updated).await;
    }

    /// What changed after `after`; `None` when that is not kept.
    pub(super) fn page(&self, after: u64, now: Millis) -> Option<Page> {
        let state = *self.state.borrow();
        if !state.complete {
            return None;
        }
        let rows = self.view().rows_since(after)?;
        Some(Page {
            age: now.since(state.confirmed),
            // What changed since may be among the rows, but not all of it.
            revision: state.revision,
            rows,
        })
    }

    fn view(&self) -> MutexGuard<'_, TableView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
