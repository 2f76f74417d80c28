//! The engine's decoding loop.

use super::handle::Inner;
use std::{
    sync::Arc,
    time::Duration, //
};

/// How often a paused or idle engine checks for work.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of load reports kept for `Faults::load_lag_ms`.
const MAX_LOAD_REPORTS: usize = 512;

/// Runs decoding steps, one for the whole batch at a time; never returns.
pub(super) async fn run(inner: Arc<Inner>) {
    let mut due = inner.clock.micros();
    loop {
        let (batch, slow, paused) = {
            let mut state = inner.state();
            state.admit(inner.tuning.max_batch);
            let now = inner.clock.now().0;
            let report = (now, state.running.len(), state.waiting.len());
            state.load_reports.push_back(report);
            if state.load_reports.len() > MAX_LOAD_REPORTS {
                state.load_reports.pop_front();
            }
            let faults = state.faults;
            (state.running.len(), faults.slow.max(1), faults.paused)
        };
        if paused || batch == 0 {
            let woken = inner.work_added.notified();
            let _ = tokio::time::timeout(IDLE_POLL_INTERVAL, woken).await;
            due = inner.clock.micros();
            continue;
        }

        // Each step is due a fixed time after the one before, so that a late timer
        // doesn't slow decoding down: later steps catch up, by 20 ms at most.
        let step = inner.tuning.step_us + inner.tuning.step_each_us * batch as u64;
        due += step * slow;
        let wait = due.saturating_sub(inner.clock.micros());
        if wait > 500 {
            tokio::time::sleep(Duration::from_micros(wait)).await;
        } else {
            tokio::task::yield_now().await;
        }
        let now = inner.clock.micros();
        due = due.max(now.saturating_sub(20_000));
        inner.state().decode_step(now);
    }
}
