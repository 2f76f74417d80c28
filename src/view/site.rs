//! The state of the site as this process knows it.

use crate::{
    base::{Clock, Millis},
    policy::freshness::Freshness,
    routing::{Config, Directory, Server}, //
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicBool, Ordering}, //
    },
};
use tokio::sync::{
    Notify,
    watch, //
};

/// The state of the site, shared by all tasks of a program and updated by
/// [`super::sync_site`]. A site is the deployment that one configuration describes: the
/// gateways and runners that share a store, and the backend servers that the store lists.
///
/// # Invariants
///
/// The configuration's version and each named version never decrease.
pub struct Site {
    pub clock: Clock,
    /// When the announced incarnation of each server was first seen.
    announced: Mutex<HashMap<String, Millis>>,
    config: watch::Sender<Option<Arc<Config>>>,
    /// Since when the store hasn't answered the checks of [`super::watch_store`].
    unreachable_since: Mutex<Option<Millis>>,
    /// Notified when the store has confirmed the configuration.
    confirmed: Notify,
    directory: Mutex<Directory>,
    freshness: Mutex<Freshness>,
    servers_listed: AtomicBool,
    /// The highest weight version that a trainer has named, by model, and when it was first
    /// seen.
    named: Mutex<HashMap<String, (u64, Millis)>>,
    /// Notified when a caller needs the configuration confirmed.
    confirmation_requested: Notify,
}

impl Site {
    /// Creates the state with nothing known. A removed key must stop working within
    /// `revocation`, if that is set.
    pub fn new(clock: Clock, revocation: Option<Millis>) -> Self {
        Self {
            clock,
            announced: Mutex::default(),
            config: watch::Sender::new(None),
            unreachable_since: Mutex::default(),
            confirmed: Notify::new(),
            freshness: Mutex::new(Freshness::new(revocation)),
            confirmation_requested: Notify::new(),
            directory: Mutex::default(),
            servers_listed: AtomicBool::new(false),
            named: Mutex::default(),
        }
    }

    /// The configuration in force; `None` until one was received.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts `config` in force if it is newer than the current one.
    pub(super) fn apply_config(&self, config: Config) {
        self.config.send_if_modified(|current| {
            let in_force = current.as_ref().map(|config| config.version);
            if in_force == Some(config.version) {
                return false;
            }
            let newer = in_force.is_none_or(|version| version < config.version);
            match newer {
                true => {
                    let version = config.version;
                    tracing::info!(version, ?in_force, "configuration applied");
                    *current = Some(Arc::new(config));
                }
                false => {
                    let version = config.version;
                    tracing::warn!(version, ?in_force, "older configuration ignored");
                }
            }
            newer
        });
    }

    /// Whether the configuration was confirmed recently enough to authorise requests with
    /// keys.
    pub fn is_config_fresh(&self) -> bool {
        self.freshness().is_fresh(self.clock.boottime())
    }

    /// Whether the age of the configuration is limited, so that a removed key stops working
    /// within a bounded time.
    pub fn is_config_age_limited(&self) -> bool {
        self.freshness().is_bounded()
    }

    /// Records that the store confirmed the configuration in force, in answer to a call made
    /// at `asked` by the clock that also runs while the process is suspended.
    pub(super) fn set_confirmed(&self, asked: Millis) {
        self.freshness().confirm(asked);
        self.confirmed.notify_waiters();
    }

    /// Waits until a caller needs the configuration confirmed.
    pub(super) async fn confirmation_requested(&self) {
        self.confirmation_requested.notified().await;
    }

    /// Requests a confirmation of the configuration and waits for it. Returns false if it
    /// doesn't arrive within `timeout`.
    pub async fn reconfirm_config(&self, timeout: Millis) -> bool {
        let at = self.clock.boottime();
        let confirmed = async {
            loop {
                let next = self.confirmed.notified();
                if self.freshness().is_confirmed_since(at) {
                    return;
                }
                self.confirmation_requested.notify_one();
                next.await;
            }
        };
        let confirmed = tokio::time::timeout(timeout.as_duration(), confirmed);
        confirmed.await.is_ok()
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the directory of servers. Callers must release it quickly and not await.
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the servers' table was listed since the start.
    pub fn servers_listed(&self) -> bool {
        self.servers_listed.load(Ordering::Relaxed)
    }

    pub(super) fn set_servers_listed(&self) {
        self.servers_listed.store(true, Ordering::Relaxed);
    }

    /// Since when changes haven't arrived, or the store hasn't answered this process directly;
    /// `None` if neither is the case.
    pub fn store_unreachable_since(&self) -> Option<Millis> {
        let feed_lost_since = self.directory().outage_start();
        let unreachable_since = *self
            .unreachable_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        feed_lost_since.into_iter().chain(unreachable_since).min()
    }

    /// Records whether the store answers this process directly.
    pub(super) fn set_store_reachable(&self, reached: bool) {
        let now = self.now();
        let mut unreachable_since = self
            .unreachable_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if unreachable_since.is_some() == reached {
            tracing::info!(reached, "store reachability changed");
        }
        *unreachable_since = match reached {
            true => None,
            false => unreachable_since.or(Some(now)),
        };
    }

    /// When the announced incarnation of the server `id` was first seen; `None` if it is not
    /// announced.
    pub fn announced_at(&self, id: &str) -> Option<Millis> {
        self.announcements().get(id).copied()
    }

    /// Records that a new incarnation of the server `id` is announced.
    pub(super) fn record_announced(&self, id: &str, now: Millis) {
        self.announcements().insert(id.to_owned(), now);
    }

    /// Drops when the server `id`, which is not in the directory any more, was announced.
    pub(super) fn forget_announced(&self, id: &str) {
        self.announcements().remove(id);
    }

    fn announcements(&self) -> MutexGuard<'_, HashMap<String, Millis>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The server of `service` at `address`.
    pub fn server_at(&self, address: SocketAddr, service: &str) -> Option<Arc<Server>> {
        self.directory().server_at(address, service).cloned()
    }

    /// The highest version that was named for `model`, and when it was first seen; version 1
    /// if none was named.
    pub fn named_version(&self, model: &str) -> (u64, Millis) {
        let named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        named.get(model).copied().unwrap_or((1, Millis(0)))
    }

    pub(super) fn set_named_version(&self, model: String, version: u64) {
        let now = self.now();
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let known = named.entry(model.clone()).or_insert((1, Millis(0)));
        if version > known.0 {
            *known = (version, now);
            tracing::info!(model, version, "weight version named");
        }
    }

    /// The present point in time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }
}
