//! Whether a peer answers, and when it does again.

use tokio::sync::watch;

/// What all calls to one peer showed of it.
///
/// Load pattern: a peer that everything depends on falls silent for seconds. Each call
/// that waits for it by itself finds out late that it is back: its connection is dead,
/// and its time runs on. Here one prober asks for all, and all go on at its answer.
#[derive(Debug)]
pub struct Reachability {
    state: watch::Sender<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    unreachable: bool,
    /// Calls in a row without an answer.
    misses: u32,
    /// How often the peer has come back.
    recoveries: u64,
}

/// Calls in a row without an answer from which on a peer counts as away: a single
/// answer may be lost.
const MISSES_UNTIL_UNREACHABLE: u32 = 2;

impl Default for Reachability {
    fn default() -> Self {
        let state = watch::Sender::new(State::default());
        Self { state }
    }
}

impl Reachability {
    /// The peer answered.
    pub fn record_answer(&self) {
        self.state.send_if_modified(|state| {
            let recovered = state.unreachable;
            state.misses = 0;
            state.unreachable = false;
            state.recoveries += u64::from(recovered);
            recovered
        });
    }

    /// The peer did not answer a call; true when it counts as away from now on, and
    /// somebody has to ask whether it is back.
    pub fn record_miss(&self) -> bool {
        self.state.send_if_modified(|state| {
            state.misses = state.misses.saturating_add(1);
            let became_unreachable = !state.unreachable && state.misses >= MISSES_UNTIL_UNREACHABLE;
            state.unreachable |= became_unreachable;
            became_unreachable
        })
    }

    /// Whether the peer is away.
    pub fn is_unreachable(&self) -> bool {
        self.state.borrow().unreachable
    }

    /// Waits until the peer is not away.
    pub async fn wait_reachable(&self) {
        self.wait_for(|state| !state.unreachable).await;
    }

    /// How often the peer has come back so far.
    pub fn recoveries(&self) -> u64 {
        self.state.borrow().recoveries
    }

    /// Waits until the peer has come back after the first `returns` times. A call from
    /// before that hangs on a connection that may be dead.
    pub async fn wait_recovery_after(&self, recoveries: u64) {
        self.wait_for(|state| state.recoveries > recoveries).await;
    }

    async fn wait_for(&self, condition: impl Fn(&State) -> bool) {
        let mut state = self.state.subscribe();
        // Its sender lives as long as this.
        let _ = state.wait_for(|state| condition(state)).await;
    }
}
