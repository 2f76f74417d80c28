//! The report of a stand-in trainer's run.

use serde::Serialize;

/// Counts and times of a trainer's run, from its own checks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Samples that the steps asked for.
    pub asked: u64,
    /// Samples delivered, each counted once.
    pub delivered: u64,
    /// Further deliveries of samples already delivered.
    pub duplicate: u64,
    /// Fetches that failed or came from an old owner, and were repeated.
    pub failed_requests: u64,
    /// Time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Samples whose text doesn't match their weight versions.
    pub misversioned: u64,
    /// Samples never delivered.
    pub missing: u64,
    /// Samples with too few or too many tokens, or with a wrong score.
    pub partial: u64,
    /// Samples generated again, as counted by the owner.
    pub regenerated: u64,
    /// Samples older than the staleness limit.
    pub stale: u64,
    /// How many versions each sample was behind at its delivery.
    pub staleness: Vec<u64>,
    /// The time of each step from its submission to its last sample, in milliseconds.
    pub step_ms: Vec<u64>,
    /// Samples whose versions don't cover all of their tokens.
    pub unversioned: u64,
    pub wall_ms: u64,
}

impl Report {
    /// The fraction of the run that the trainer waited for samples.
    pub fn idle_fraction(&self) -> f64 {
        self.idle_ms as f64 / self.wall_ms.max(1) as f64
    }

    /// Whether each sample was delivered once and passed its checks.
    pub fn passed(&self) -> bool {
        let violations = self.duplicate
            + self.misversioned
            + self.missing
            + self.partial
            + self.stale
            + self.unversioned;
        violations == 0
    }

    /// A quantile of the staleness, `share` from 0 to 1.
    pub fn staleness_quantile(&self, share: f64) -> u64 {
        let mut sorted = self.staleness.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * share) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(at.min(last)).copied().unwrap_or(0)
    }
}
