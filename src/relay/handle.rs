//! The role of this process in the relay tree, and the state shared by its followers.

use super::{
    message::{RelayRequest, Reply, Want},
    table::Table, //
};
use crate::{
    base::{Clock, Millis},
    net::Peer,
    platform::Store,
    policy::relay::{Children, Parents}, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicBool, Ordering}, //
    },
};
use tokio::sync::watch;

/// How a process identifies itself to the other instances of its group.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The address at which the process takes relay requests.
    pub address: SocketAddr,
    /// The name of the group: the instances of one program in one data centre, which
    /// follow the same tables.
    pub group: String,
    /// The instance's name.
    pub instance: String,
}

/// This process's node in the relay tree, shared by all its followers.
pub struct Relay {
    children: Mutex<Children>,
    pub(super) clock: Clock,
    /// What this process found out about its possible parents.
    parents: Mutex<Parents>,
    role: watch::Sender<Role>,
    pub(super) identity: Identity,
    /// Whether the process retains rows for children.
    retaining_rows: AtomicBool,
    /// Whether the process has become a child or a root since its start.
    pub(super) role_decided: watch::Sender<bool>,
    pub(super) store: Store,
    tables: Mutex<BTreeMap<&'static str, Arc<Table>>>,
}

/// The role of a process, which determines where it gets changes from.
#[derive(Clone)]
pub(super) enum Role {
    /// Reads the store for itself, as it has no parent.
    Standalone,
    /// Gets changes from its parent.
    Child(Parent),
    /// Reads the store and serves children.
    Root,
}

/// Why a child left its parent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaveReason {
    /// The parent no longer counts this process as a child and has no room for another.
    Full,
    /// The parent doesn't get changes itself.
    Lost,
    /// The parent did not answer.
    Silent,
    /// The parent's data is too old.
    Stale,
}

impl LeaveReason {
    /// The value of the metric's label.
    fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Stale => "stale",
        }
    }
}

/// The instance from which this one gets changes.
#[derive(Clone)]
pub(super) struct Parent {
    pub(super) address: SocketAddr,
    pub(super) peer: Peer,
}

/// How long a process waits after its start for its role before it reads the store
/// itself. When a whole fleet starts at once and every instance lists all tables, the
/// store rejects most calls for some seconds, including those of the roots. Without that
/// load a root is ready within some tenths of a second.
const ROLE_DECISION_TIMEOUT: Millis = Millis(2_500);

/// The HTTP path of all relay requests.
pub(super) const PATH: &str = "/relay";

impl Relay {
    /// Creates the node as standalone; [`Relay::maintain_role`] finds it a role.
    pub fn open(identity: Identity, store: Store, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            children: Mutex::default(),
            clock,
            parents: Mutex::default(),
            role: watch::Sender::new(Role::Standalone),
            identity,
            retaining_rows: AtomicBool::new(false),
            role_decided: watch::Sender::new(false),
            store,
            tables: Mutex::default(),
        })
    }

    /// Whether this process gets changes from a parent.
    pub fn has_parent(&self) -> bool {
        matches!(*self.role.borrow(), Role::Child(_))
    }

    /// The store client of this process.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Waits until this process has become a child or a root since its start, at most
    /// [`ROLE_DECISION_TIMEOUT`].
    pub(super) async fn wait_role_decided(&self) {
        let mut role_decided = self.role_decided.subscribe();
        let decided = role_decided.wait_for(|role_decided| *role_decided);
        let _ = tokio::time::timeout(ROLE_DECISION_TIMEOUT.as_duration(), decided).await;
    }

    pub(super) fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// The parent of this process, if it is a child.
    pub(super) fn parent(&self) -> Option<Parent> {
        match self.role() {
            Role::Child(parent) => Some(parent),
            Role::Standalone | Role::Root => None,
        }
    }

    pub(super) fn set_role(&self, role: Role) {
        self.role.send_replace(role);
    }

    /// Leaves `parent` and becomes standalone. Returns false if `parent` was no longer the
    /// parent.
    pub(super) fn leave_parent(&self, parent: &Parent, reason: LeaveReason) -> bool {
        let left = self.role.send_if_modified(|role| {
            let is_parent = matches!(role, Role::Child(now) if now.address == parent.address);
            if is_parent {
                *role = Role::Standalone;
            }
            is_parent
        });
        if left {
            metrics::counter!("redwing_feeders_left_total", "reason" => reason.label())
                .increment(1);
            // A parent without changes answers, and also tells when it has them again, so it
            // need not be avoided.
            if reason != LeaveReason::Lost {
                self.parents().leave(parent.address, self.clock.now());
            }
        }
        left
    }

    /// Makes a root standalone, as the store doesn't answer it: it may find a parent.
    pub(super) fn step_down(&self) {
        self.role.send_if_modified(|role| {
            let is_root = matches!(role, Role::Root);
            if is_root {
                *role = Role::Standalone;
            }
            is_root
        });
    }

    /// Waits until `parent` is no longer the parent of this process.
    pub(super) async fn parent_left(&self, parent: &Parent) {
        self.wait_role(|role| !matches!(role, Role::Child(now) if now.address == parent.address))
            .await;
    }

    /// Waits until this process has a parent.
    pub(super) async fn parent_found(&self) {
        self.wait_role(|role| matches!(role, Role::Child(_))).await;
    }

    /// Waits until this process is not a root.
    pub(super) async fn demoted(&self) {
        self.wait_role(|role| !matches!(role, Role::Root)).await;
    }

    async fn wait_role(&self, predicate: impl Fn(&Role) -> bool) {
        let mut role = self.role.subscribe();
        // The sender is a field of `self`, so the channel can't close.
        let _ = role.wait_for(|role| predicate(role)).await;
    }

    /// Whether this process retains rows for children.
    pub(super) fn retains_rows(&self) -> bool {
        self.retaining_rows.load(Ordering::Relaxed)
    }

    /// Makes the followers of this process retain rows for children.
    pub(super) fn start_retaining_rows(&self) {
        if !self.retaining_rows.swap(true, Ordering::Relaxed) {
            tracing::info!("retaining rows for other instances");
        }
    }

    /// The state of the table `name`, created on first use.
    pub(super) fn table(&self, name: &'static str) -> Arc<Table> {
        self.tables().entry(name).or_default().clone()
    }

    /// The state of the table `name`, if this process follows it.
    pub(super) fn known_table(&self, name: &str) -> Option<Arc<Table>> {
        self.tables().get(name).cloned()
    }

    /// The states of all tables that this process follows.
    pub(super) fn all_tables(&self) -> Vec<Arc<Table>> {
        self.tables().values().cloned().collect()
    }

    /// Sends a relay request to `peer`; `None` if no valid reply arrives within `timeout`.
    pub(super) async fn ask(
        &self,
        peer: &Peer,
        want: Want,
        hold: Millis,
        timeout: Millis,
    ) -> Option<Reply> {
        let message = RelayRequest {
            at: self.identity.address,
            from: self.identity.instance.clone(),
            hold,
            want,
        };
        let body = postcard::to_stdvec(&message).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let answer = peer.call(request, timeout).await.ok()?;
        postcard::from_bytes(&answer.body).ok()
    }

    pub(super) fn children(&self) -> MutexGuard<'_, Children> {
        lock(&self.children)
    }

    pub(super) fn parents(&self) -> MutexGuard<'_, Parents> {
        lock(&self.parents)
    }

    fn tables(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<Table>>> {
        lock(&self.tables)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
