//! Tracks whether a peer is unreachable, and lets calls wait until it answers again.

use tokio::sync::watch;

/// Whether a peer is unreachable, by the results of all calls to it.
///
/// Meant for a peer that everything depends on and that stops answering for seconds. A call
/// that waits by itself notices the peer's recovery late, as its connection is dead. So one
/// prober probes for all calls, and all calls go on once a probe is answered.
#[derive(Debug)]
pub struct Reachability {
    state: watch::Sender<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    unreachable: bool,
    /// Consecutive calls without an answer.
    misses: u32,
    /// How often the peer has become reachable again.
    recoveries: u64,
}

/// Consecutive calls without an answer after which a peer counts as unreachable. One is not
/// enough, as a single answer may be lost.
const MISSES_UNTIL_UNREACHABLE: u32 = 2;

impl Default for Reachability {
    fn default() -> Self {
        let state = watch::Sender::new(State::default());
        Self { state }
    }
}

impl Reachability {
    /// Records an answer of the peer.
    pub fn record_answer(&self) {
        self.state.send_if_modified(|state| {
            let recovered = state.unreachable;
            state.misses = 0;
            state.unreachable = false;
            state.recoveries += u64::from(recovered);
            recovered
        });
    }

    /// Records a call without an answer; true if this makes the peer unreachable. The caller
    /// then has to start a prober.
    pub fn record_miss(&self) -> bool {
        self.state.send_if_modified(|state| {
            state.misses = state.misses.saturating_add(1);
            let became_unreachable = !state.unreachable && state.misses >= MISSES_UNTIL_UNREACHABLE;
            state.unreachable |= became_unreachable;
            became_unreachable
        })
    }

    /// Whether the peer is unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.state.borrow().unreachable
    }

    /// Waits until the peer is reachable.
    pub async fn wait_reachable(&self) {
        self.wait_for(|state| !state.unreachable).await;
    }

    /// How often the peer has become reachable again so far.
    pub fn recoveries(&self) -> u64 {
        self.state.borrow().recoveries
    }

    /// Waits until the peer has recovered again since [`Self::recoveries`] returned
    /// `recoveries`. A call that began before the recovery may be waiting on a dead connection.
    pub async fn wait_recovery_after(&self, recoveries: u64) {
        self.wait_for(|state| state.recoveries > recoveries).await;
    }

    async fn wait_for(&self, condition: impl Fn(&State) -> bool) {
        let mut state = self.state.subscribe();
        // `self` owns the sender, so waiting can't fail.
        let _ = state.wait_for(|state| condition(state)).await;
    }
}
