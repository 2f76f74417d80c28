//! What a stand-in trainer saw.

use serde::Serialize;

/// The outcome of a trainer's run, by its own checks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub asked: u64,
    pub delivered: u64,
    pub duplicate: u64,
    /// Requests that were refused or failed and made again.
    pub failed_requests: u64,
    /// Time without anything to train on, in milliseconds.
    pub idle_ms: u64,
    pub misversioned: u64,
    pub missing: u64,
    /// Samples that are not whole, or whose score is not theirs.
    pub partial: u64,
    /// Samples made more than once, as the owner counts them.
    pub regenerated: u64,
    pub stale: u64,
    /// How far each sample was behind at its delivery.
    pub staleness: Vec<u64>,
    /// How long each step took from its submission, in milliseconds.
    pub step_ms: Vec<u64>,
    pub unversioned: u64,
    pub wall_ms: u64,
}

impl Report {
    /// The share of the time that the trainer was idle.
    pub fn idle_fraction(&self) -> f64 {
        self.idle_ms as f64 / self.wall_ms.max(1) as f64
    }

    /// Whether every promise about samples held.
    pub fn passed(&self) -> bool {
        let violations = self.duplicate
            + self.misversioned
            + self.missing
            + self.partial
            + self.stale
            + self.unversioned;
        violations == 0
    }

    /// A percentile of the staleness, `share` from 0 to 1.
    pub fn staleness_quantile(&self, share: f64) -> u64 {
        let mut sorted = self.staleness.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * share) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(at.min(last)).copied().unwrap_or(0)
    }
}
