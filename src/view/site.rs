//! The site as this process knows it.

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

/// Shared by all tasks of a program; [`super::keep`] writes it.
///
/// # Invariants
///
/// The configuration's version and each named version never fall.
pub struct Site {
    pub clock: Clock,
    config: watch::Sender<Option<Arc<Config>>>,
    /// Since when the store does not answer this process itself.
    cut: Mutex<Option<Millis>>,
    /// Told when the store has confirmed the configuration.
    confirmed: Notify,
    directory: Mutex<Directory>,
    freshness: Mutex<Freshness>,
    listed: AtomicBool,
    /// The version that a trainer named last, by model, and when it was seen.
    named: Mutex<HashMap<String, (u64, Millis)>>,
    /// Told when somebody wants the configuration confirmed.
    wanted: Notify,
}

impl Site {
    /// A site of which nothing is known, where a key must stop working within
    /// `revocation` of its removal.
    pub fn new(clock: Clock, revocation: Option<Millis>) -> Self {
        Self {
            clock,
            config: watch::Sender::new(None),
            cut: Mutex::default(),
            confirmed: Notify::new(),
            freshness: Mutex::new(Freshness::new(revocation)),
            wanted: Notify::new(),
            directory: Mutex::default(),
            listed: AtomicBool::new(false),
            named: Mutex::default(),
        }
    }

    /// The configuration in force; `None` until one was seen.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Takes `config` unless it is older than the one in force.
    pub(super) fn offer(&self, config: Config) {
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
                    tracing::warn!(version, ?in_force, "an older configuration is left out");
                }
            }
            newer
        });
    }

    /// Whether the configuration is new enough to go by for requests with keys.
    pub fn is_fresh(&self) -> bool {
        self.freshness().is_fresh(self.clock.boottime())
    }

    /// Whether a key must stop working within a bounded time of its removal.
    pub fn is_bounded(&self) -> bool {
        self.freshness().is_bounded()
    }

    /// The store named the configuration in force when it was asked at `asked`, by
    /// the clock that runs on while the process is suspended.
    pub(super) fn confirm(&self, asked: Millis) {
        self.freshness().confirm(asked);
        self.confirmed.notify_waiters();
    }

    /// Waits until somebody wants the configuration confirmed.
    pub(super) async fn confirmation_wanted(&self) {
        self.wanted.notified().await;
    }

    /// Has the store asked anew for the newest configuration, and waits for that;
    /// false when it has not answered `within` that time.
    pub async fn confirm_anew(&self, within: Millis) -> bool {
        let at = self.clock.boottime();
        let confirmed = async {
            loop {
                let next = self.confirmed.notified();
                if self.freshness().is_confirmed_since(at) {
                    return;
                }
                self.wanted.notify_one();
                next.await;
            }
        };
        let confirmed = tokio::time::timeout(within.as_duration(), confirmed);
        confirmed.await.is_ok()
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The servers; held only for a moment.
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the servers' announcements were read since the start.
    pub fn servers_listed(&self) -> bool {
        self.listed.load(Ordering::Relaxed)
    }

    pub(super) fn set_listed(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Since when the store does not answer, or not this process; `None` while it does.
    pub fn store_away_since(&self) -> Option<Millis> {
        let away = self.directory().outage_start();
        let cut = *self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        away.into_iter().chain(cut).min()
    }

    /// Whether the store answers this process itself.
    pub(super) fn set_reached(&self, reached: bool) {
        let now = self.now();
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.is_some() == reached {
            tracing::info!(reached, "the store answers this process, or does not");
        }
        *cut = match reached {
            true => None,
            false => cut.or(Some(now)),
        };
    }

    /// The server of `service` at `address`.
    pub fn server_at(&self, address: SocketAddr, service: &str) -> Option<Arc<Server>> {
        self.directory().server_at(address, service).cloned()
    }

    /// The version that was named last for `model`, and when that was seen;
    /// version 1 before any.
    pub fn named(&self, model: &str) -> (u64, Millis) {
        let named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        named.get(model).copied().unwrap_or((1, Millis(0)))
    }

    pub(super) fn name(&self, model: String, version: u64) {
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
