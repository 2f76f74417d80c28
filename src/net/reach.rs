//! Whether a peer answers, and when it does again.

use tokio::sync::watch;

/// What all calls to one peer showed of it.
///
/// Load pattern: a peer that everything depends on falls silent for seconds. Each call
/// that waits for it by itself finds out late that it is back: its connection is dead,
/// and its time runs on. Here one prober asks for all, and all go on at its answer.
#[derive(Debug)]
pub struct Reach {
    state: watch::Sender<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    away: bool,
    /// Calls in a row without an answer.
    missed: u32,
    /// How often the peer has come back.
    returns: u64,
}

/// Calls in a row without an answer from which on a peer counts as away: a single
/// answer may be lost.
const MISSED_MOST: u32 = 2;

impl Default for Reach {
    fn default() -> Self {
        let state = watch::Sender::new(State::default());
        Self { state }
    }
}

impl Reach {
    /// The peer answered.
    pub fn answer(&self) {
        self.state.send_if_modified(|state| {
            let back = state.away;
            state.missed = 0;
            state.away = false;
            state.returns += u64::from(back);
            back
        });
    }

    /// The peer did not answer a call; true when it counts as away from now on, and
    /// somebody has to ask whether it is back.
    pub fn miss(&self) -> bool {
        self.state.send_if_modified(|state| {
            state.missed = state.missed.saturating_add(1);
            let lost = !state.away && state.missed >= MISSED_MOST;
            state.away |= lost;
            lost
        })
    }

    /// Whether the peer is away.
    pub fn is_away(&self) -> bool {
        self.state.borrow().away
    }

    /// Waits until the peer is not away.
    pub async fn back(&self) {
        self.wait_for(|state| !state.away).await;
    }

    /// How often the peer has come back so far.
    pub fn returns(&self) -> u64 {
        self.state.borrow().returns
    }

    /// Waits until the peer has come back after the first `returns` times. A call from
    /// before that hangs on a connection that may be dead.
    pub async fn returned_since(&self, returns: u64) {
        self.wait_for(|state| state.returns > returns).await;
    }

    async fn wait_for(&self, holds: impl Fn(&State) -> bool) {
        let mut state = self.state.subscribe();
        // Its sender lives as long as this.
        let _ = state.wait_for(|state| holds(state)).await;
    }
}
