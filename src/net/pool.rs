//! The open connections to one peer: idle ones, their limit, and the calls that wait for one.

use super::{
    connection::Connection,
    idle_connection::{IdleConnection, MAX_FRESH_IDLE},
    matching::RequestKey, //
};
use crate::{
    base::{Clock, Millis},
    policy::connection_limit::{BrokenConnection, ConnectionLimit, HALVED_TIME}, //
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak}, //
};
use tokio::sync::oneshot;

/// The most idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The connections of one peer.
pub(super) struct Pool {
    address: SocketAddr,
    clock: Clock,
    /// What the peer is, as a label of metrics.
    role: &'static str,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The most recently used last.
    idle: Vec<IdleConnection>,
    limit: ConnectionLimit,
    /// The connections that are open or being opened.
    open: usize,
    /// The calls that wait for a connection, the first to be served first.
    waiting: VecDeque<Waiting>,
}

/// A call in the line.
struct Waiting {
    /// The request that it is about to send.
    key: Option<RequestKey>,
    sender: oneshot::Sender<Grant>,
}

impl State {
    /// Whether a connection may be opened before any waiting call gets one.
    fn has_room(&self, now: Millis) -> bool {
        self.waiting.is_empty() && self.limit.permits(self.open, now)
    }

    /// Closes the least recently used idle connections as far as the limit would be exceeded
    /// with `wanted` further connections.
    fn close_idle(&mut self, wanted: usize, now: Millis) {
        let most = self.limit.max(now).unwrap_or(usize::MAX);
        let excess = (self.open + wanted).saturating_sub(most);
        self.idle.drain(..excess.min(self.idle.len()));
    }
}

/// What a call sends its request over.
pub(super) enum Grant {
    /// An idle connection.
    Idle(IdleConnection),
    /// The permission to open a connection.
    Place(Place),
}

/// A call's turn.
pub(super) enum Turn {
    Now(Grant),
    /// The limit is reached.
    Wait(WaitingCall),
}

/// A call that waits for a connection. Dropping it leaves the line.
pub(super) struct WaitingCall {
    pool: Arc<Pool>,
    receiver: oneshot::Receiver<Grant>,
}

impl WaitingCall {
    /// Waits until it is this call's turn; `None` if the peer's client is gone.
    pub(super) async fn granted(mut self) -> Option<Grant> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.receiver.close();
        // A connection that was granted meanwhile goes to the next call. A place does so
        // when it is dropped.
        if let Ok(Grant::Idle(connection)) = self.receiver.try_recv() {
            self.pool.put_connection(connection);
        }
        let mut state = self.pool.state();
        state.waiting.retain(|waiting| !waiting.sender.is_closed());
    }
}

/// Counts a connection as open until dropped. It does not keep the pool alive: the pool
/// owns idle connections, whose tasks own their places.
pub(super) struct Place {
    pool: Weak<Pool>,
    role: &'static str,
}

impl Drop for Place {
    fn drop(&mut self) {
        metrics::gauge!("redwing_connections_open", "role" => self.role).decrement(1.0);
        if let Some(pool) = self.pool.upgrade() {
            pool.state().open -= 1;
            pool.serve_waiting();
        }
    }
}

impl Pool {
    pub(super) fn open(address: SocketAddr, clock: Clock, role: &'static str) -> Arc<Self> {
        Arc::new(Self {
            address,
            clock,
            role,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn role(&self) -> &'static str {
        self.role
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Adds a connection whose response was read, unless the pool is full.
    pub(super) fn put(&self, connection: Connection, usable_until: Millis) {
        self.put_connection(IdleConnection {
            connection,
            idle_since: self.clock.now(),
            usable_until,
        });
    }

    /// Gives the connection to the first waiting call that may use it, or else keeps it, unless
    /// the pool is full, calls wait for its place or more connections are open than may be.
    fn put_connection(&self, mut idle: IdleConnection) {
        if idle.connection.is_closed() || idle.connection.is_exhausted() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.state();
        state.idle.retain(|idle| !idle.connection.is_closed());
        if state.limit.max(now).is_some_and(|max| state.open > max) {
            return;
        }
        loop {
            let may_use = |waiting: &Waiting| !idle.connection.has_carried(waiting.key);
            let first = state.waiting.iter().position(may_use);
            let Some(first) = first.and_then(|first| state.waiting.remove(first)) else {
                break;
            };
            match first.sender.send(Grant::Idle(idle)) {
                Err(Grant::Idle(unsent)) => idle = unsent,
                Ok(()) | Err(Grant::Place(_)) => return,
            }
        }
        if !state.waiting.is_empty() {
            return;
        }
        if state.idle.len() < MAX_IDLE_CONNECTIONS {
            state.idle.push(idle);
        }
    }

    /// Takes the most recently used idle connection that may carry the request `key`, as the
    /// peer is least likely to close that one; with `fresh_only`, only if it has been idle for
    /// at most [`MAX_FRESH_IDLE`]. Without one, returns the place for a new connection, or a
    /// place in the line.
    pub(super) fn take(self: &Arc<Self>, key: Option<RequestKey>, fresh_only: bool) -> Turn {
        let now = self.clock.now();
        let mut state = self.state();
        state
            .idle
            .retain(|idle| !idle.connection.is_closed() && idle.usable_until > now);
        let is_usable = |idle: &IdleConnection| {
            let too_old = fresh_only && now.since(idle.idle_since) > MAX_FRESH_IDLE;
            !too_old && !idle.connection.has_carried(key)
        };
        if let Some(found) = state.idle.iter().rposition(is_usable) {
            let connection = state.idle.remove(found);
            return Turn::Now(Grant::Idle(connection));
        }
        if state.has_room(now) {
            state.open += 1;
            return Turn::Now(Grant::Place(self.place()));
        }
        // Idle connections that this call can't use may hold the places that it needs.
        let wanted = state.waiting.len() + 1;
        state.close_idle(wanted, now);
        if state.waiting.is_empty() {
            let (open, limit) = (state.open, state.limit.max(now));
            tracing::info!(server = %self.address, open, ?limit, "connection limit reached");
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.push_back(Waiting { key, sender });
        Turn::Wait(WaitingCall {
            pool: self.clone(),
            receiver,
        })
    }

    /// A place for a connection above the limit.
    pub(super) fn take_extra_place(self: &Arc<Self>) -> Place {
        self.state().open += 1;
        self.place()
    }

    /// The place of a connection that is counted already.
    fn place(self: &Arc<Self>) -> Place {
        metrics::gauge!("redwing_connections_open", "role" => self.role).increment(1.0);
        Place {
            pool: Arc::downgrade(self),
            role: self.role,
        }
    }

    /// Gives free places to the waiting calls, in their order.
    fn serve_waiting(self: &Arc<Self>) {
        loop {
            let now = self.clock.now();
            let mut state = self.state();
            if !state.limit.permits(state.open, now) {
                return;
            }
            let Some(waiting) = state.waiting.pop_front() else {
                return;
            };
            state.open += 1;
            drop(state);
            // A place that the call does not take any more is dropped here, without the
            // lock, and goes to the next call.
            let _ = waiting.sender.send(Grant::Place(self.place()));
        }
    }

    /// Drops all idle connections.
    pub(super) fn clear(&self) {
        self.state().idle.clear();
    }

    /// Whether an idle connection is usable.
    pub(super) fn is_connected(&self) -> bool {
        let now = self.clock.now();
        let usable =
            |idle: &IdleConnection| !idle.connection.is_closed() && idle.usable_until > now;
        self.state().idle.iter().any(usable)
    }

    /// Whether a call could be sent now.
    pub(super) fn has_capacity(&self) -> bool {
        let now = self.clock.now();
        self.is_connected() || self.state().has_room(now)
    }

    pub(super) fn open_count(&self) -> usize {
        self.state().open
    }

    pub(super) fn is_limited(&self) -> bool {
        self.state().limit.max(self.clock.now()).is_some()
    }

    /// Sets the limit; idle connections above it are closed.
    pub(super) fn set_max_open(self: &Arc<Self>, max: Option<usize>) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.limit.set(max) {
            state.close_idle(0, now);
            drop(state);
            self.serve_waiting();
        }
    }

    /// Records a connection that broke before any byte of a response arrived. Returns whether
    /// the peer probably refused it because of its own limit; then this pool's limit is halved
    /// for a while. Without a limit, nothing is recorded.
    pub(super) fn record_broken(self: &Arc<Self>, broken: BrokenConnection) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        if state.limit.max(now).is_none() || !broken.is_refused() {
            return false;
        }
        state.limit.record_refusal(now);
        let (open, limit) = (state.open, state.limit.max(now));
        drop(state);
        metrics::counter!("redwing_connections_refused_total").increment(1);
        tracing::info!(server = %self.address, open, ?limit, age = broken.age.0, "connection refused over the server's limit");
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            tokio::time::sleep(HALVED_TIME.as_duration()).await;
            if let Some(pool) = pool.upgrade() {
                pool.serve_waiting();
            }
        });
        true
    }
}
