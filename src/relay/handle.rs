//! Where this process stands among those that feed each other.

use super::{
    message::{RelayRequest, Reply, Want},
    table::Table, //
};
use crate::{
    base::{Clock, Millis},
    net::Peer,
    platform::Store,
    policy::relay::{Children, Feeders}, //
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

/// What a process has to say of itself to be fed, and to feed.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Where others of its group ask it.
    pub address: SocketAddr,
    /// The instances that follow the same tables in its data centre.
    pub group: String,
    pub instance: String,
}

/// How this process learns of changes, shared by all its followers.
pub struct Relay {
    children: Mutex<Children>,
    pub(super) clock: Clock,
    feeders: Mutex<Feeders>,
    role: watch::Sender<Role>,
    pub(super) identity: Identity,
    /// Whether it keeps what it learns for others.
    retaining_rows: AtomicBool,
    /// Whether it has tried to be fed since its start.
    pub(super) role_decided: watch::Sender<bool>,
    pub(super) store: Store,
    tables: Mutex<BTreeMap<&'static str, Arc<Table>>>,
}

/// Whom it asks.
#[derive(Clone)]
pub(super) enum Role {
    /// The store, as nobody feeds it.
    Standalone,
    /// Another instance.
    Child(Parent),
    /// The store, for others.
    Root,
}

/// Why a feeder was left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaveReason {
    /// It feeds as many others as it can.
    Full,
    /// It learns nothing itself.
    Lost,
    /// It did not answer.
    Silent,
    /// What it tells is too old.
    Stale,
}

impl LeaveReason {
    fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Stale => "stale",
        }
    }
}

/// The instance that feeds this one.
#[derive(Clone)]
pub(super) struct Parent {
    pub(super) address: SocketAddr,
    pub(super) peer: Peer,
}

/// How long after its start a process waits to be fed before it asks the store. When a
/// whole fleet starts at once and each lists everything, the store turns most calls away,
/// those of the roots among them, for some seconds; a root needs some tenths of one.
const ROLE_DECISION_TIMEOUT: Millis = Millis(2_500);

/// The path of all questions.
pub(super) const PATH: &str = "/relay";

impl Relay {
    /// Nobody feeds this process yet; see [`Relay::keep`].
    pub fn open(identity: Identity, store: Store, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            children: Mutex::default(),
            clock,
            feeders: Mutex::default(),
            role: watch::Sender::new(Role::Standalone),
            identity,
            retaining_rows: AtomicBool::new(false),
            role_decided: watch::Sender::new(false),
            store,
            tables: Mutex::default(),
        })
    }

    /// Whether another instance tells this one what changes.
    pub fn has_parent(&self) -> bool {
        matches!(*self.role.borrow(), Role::Child(_))
    }

    /// The client of the store that all of this process use.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Waits until the process knows whom it asks, for a while after its start.
    pub(super) async fn wait_role_decided(&self) {
        let mut role_decided = self.role_decided.subscribe();
        let decided = role_decided.wait_for(|role_decided| *role_decided);
        let _ = tokio::time::timeout(ROLE_DECISION_TIMEOUT.as_duration(), decided).await;
    }

    pub(super) fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// The instance that feeds this one.
    pub(super) fn parent(&self) -> Option<Parent> {
        match self.role() {
            Role::Child(parent) => Some(parent),
            Role::Standalone | Role::Root => None,
        }
    }

    pub(super) fn set_role(&self, role: Role) {
        self.role.send_replace(role);
    }

    /// Stops asking `parent`; false when it had been left before.
    pub(super) fn leave_parent(&self, parent: &Parent, reason: LeaveReason) -> bool {
        let left = self.role.send_if_modified(|role| {
            let meant = matches!(role, Role::Child(now) if now.address == parent.address);
            if meant {
                *role = Role::Standalone;
            }
            meant
        });
        if left {
            metrics::counter!("redwing_feeders_left_total", "reason" => reason.label())
                .increment(1);
            // One that says that it learns nothing says as well when it does again.
            if reason != LeaveReason::Lost {
                self.feeders().leave(parent.address, self.clock.now());
            }
        }
        left
    }

    /// The store does not answer this process: another may tell it what changes.
    pub(super) fn step_down(&self) {
        self.role.send_if_modified(|role| {
            let root = matches!(role, Role::Root);
            if root {
                *role = Role::Standalone;
            }
            root
        });
    }

    /// Waits until `parent` feeds this process no more.
    pub(super) async fn parent_left(&self, parent: &Parent) {
        self.wait_role(|role| !matches!(role, Role::Child(now) if now.address == parent.address))
            .await;
    }

    /// Waits until another instance feeds this one.
    pub(super) async fn parent_found(&self) {
        self.wait_role(|role| matches!(role, Role::Child(_))).await;
    }

    /// Waits until this process is no root.
    pub(super) async fn demoted(&self) {
        self.wait_role(|role| !matches!(role, Role::Root)).await;
    }

    async fn wait_role(&self, holds: impl Fn(&Role) -> bool) {
        let mut role = self.role.subscribe();
        // Its sender lives as long as this.
        let _ = role.wait_for(|role| holds(role)).await;
    }

    /// Whether this process keeps what it learns for others.
    pub(super) fn retains_rows(&self) -> bool {
        self.retaining_rows.load(Ordering::Relaxed)
    }

    pub(super) fn start_retaining_rows(&self) {
        if !self.retaining_rows.swap(true, Ordering::Relaxed) {
            tracing::info!("keeps what it learns for other instances");
        }
    }

    /// The table called `name`.
    pub(super) fn table(&self, name: &'static str) -> Arc<Table> {
        self.tables().entry(name).or_default().clone()
    }

    /// The table called `name`, if this process follows it.
    pub(super) fn known_table(&self, name: &str) -> Option<Arc<Table>> {
        self.tables().get(name).cloned()
    }

    /// All tables that this process follows.
    pub(super) fn all_tables(&self) -> Vec<Arc<Table>> {
        self.tables().values().cloned().collect()
    }

    /// Asks `peer`; `None` when there is no answer within `within`.
    pub(super) async fn ask(
        &self,
        peer: &Peer,
        want: Want,
        hold: Millis,
        within: Millis,
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
        let answer = peer.call(request, within).await.ok()?;
        postcard::from_bytes(&answer.body).ok()
    }

    pub(super) fn children(&self) -> MutexGuard<'_, Children> {
        lock(&self.children)
    }

    pub(super) fn feeders(&self) -> MutexGuard<'_, Feeders> {
        lock(&self.feeders)
    }

    fn tables(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<Table>>> {
        lock(&self.tables)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
