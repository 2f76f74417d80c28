//! Where this process stands among those that feed each other.

use super::{
    message::{Question, Reply, Want},
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

/// What a process has to say of itself to be fed, and to feed.
#[derive(Clone, Debug)]
pub struct Seat {
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
    feeders: Mutex<Parents>,
    role: watch::Sender<Role>,
    pub(super) seat: Seat,
    /// Whether it keeps what it learns for others.
    serving: AtomicBool,
    /// Whether it has tried to be fed since its start.
    pub(super) settled: watch::Sender<bool>,
    pub(super) store: Store,
    tables: Mutex<BTreeMap<&'static str, Arc<Table>>>,
}

/// Whom it asks.
#[derive(Clone)]
pub(super) enum Role {
    /// The store, as nobody feeds it.
    Alone,
    /// Another instance.
    Child(Parent),
    /// The store, for others.
    Root,
}

/// Why a feeder was left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Left {
    /// It feeds as many others as it can.
    Full,
    /// It learns nothing itself.
    Lost,
    /// It did not answer.
    Silent,
    /// What it tells is too old.
    Stale,
}

impl Left {
    fn word(self) -> &'static str {
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
const START_WAIT: Millis = Millis(2_500);

/// The path of all questions.
pub(super) const PATH: &str = "/relay";

impl Relay {
    /// Nobody feeds this process yet; see [`Relay::keep`].
    pub fn open(seat: Seat, store: Store, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            children: Mutex::default(),
            clock,
            feeders: Mutex::default(),
            role: watch::Sender::new(Role::Alone),
            seat,
            serving: AtomicBool::new(false),
            settled: watch::Sender::new(false),
            store,
            tables: Mutex::default(),
        })
    }

    /// Whether another instance tells this one what changes.
    pub fn is_fed(&self) -> bool {
        matches!(*self.role.borrow(), Role::Child(_))
    }

    /// The client of the store that all of this process use.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Waits until the process knows whom it asks, for a while after its start.
    pub(super) async fn wait_settled(&self) {
        let mut settled = self.settled.subscribe();
        let told = settled.wait_for(|settled| *settled);
        let _ = tokio::time::timeout(START_WAIT.as_duration(), told).await;
    }

    pub(super) fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// The instance that feeds this one.
    pub(super) fn parent(&self) -> Option<Parent> {
        match self.role() {
            Role::Child(parent) => Some(parent),
            Role::Alone | Role::Root => None,
        }
    }

    pub(super) fn set_role(&self, role: Role) {
        self.role.send_replace(role);
    }

    /// Stops asking `parent`; false when it had been left before.
    pub(super) fn leave(&self, parent: &Parent, reason: Left) -> bool {
        let left = self.role.send_if_modified(|role| {
            let meant = matches!(role, Role::Child(now) if now.address == parent.address);
            if meant {
                *role = Role::Alone;
            }
            meant
        });
        if left {
            metrics::counter!("redwing_feeders_left_total", "reason" => reason.word()).increment(1);
            // One that says that it learns nothing says as well when it does again.
            if reason != Left::Lost {
                self.feeders().leave(parent.address, self.clock.now());
            }
        }
        left
    }

    /// The store does not answer this process: another may tell it what changes.
    pub(super) fn lose_store(&self) {
        self.role.send_if_modified(|role| {
            let root = matches!(role, Role::Root);
            if root {
                *role = Role::Alone;
            }
            root
        });
    }

    /// Waits until `parent` feeds this process no more.
    pub(super) async fn left(&self, parent: &Parent) {
        self.role_is(|role| !matches!(role, Role::Child(now) if now.address == parent.address))
            .await;
    }

    /// Waits until another instance feeds this one.
    pub(super) async fn fed(&self) {
        self.role_is(|role| matches!(role, Role::Child(_))).await;
    }

    /// Waits until this process is no root.
    pub(super) async fn deposed(&self) {
        self.role_is(|role| !matches!(role, Role::Root)).await;
    }

    async fn role_is(&self, holds: impl Fn(&Role) -> bool) {
        let mut role = self.role.subscribe();
        // Its sender lives as long as this.
        let _ = role.wait_for(|role| holds(role)).await;
    }

    /// Whether this process keeps what it learns for others.
    pub(super) fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    pub(super) fn serve_others(&self) {
        if !self.serving.swap(true, Ordering::Relaxed) {
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
        let question = Question {
            at: self.seat.address,
            from: self.seat.instance.clone(),
            hold,
            want,
        };
        let body = postcard::to_stdvec(&question).ok()?;
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

    pub(super) fn feeders(&self) -> MutexGuard<'_, Parents> {
        lock(&self.feeders)
    }

    fn tables(&self) -> MutexGuard<'_, BTreeMap<&'static str, Arc<Table>>> {
        lock(&self.tables)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
