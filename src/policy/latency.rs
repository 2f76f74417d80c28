//! How long a server takes, by what its callers see.

use crate::base::Millis;

/// A moving average that rises fast, falls slowly, and fades towards what is usual when
/// it has not been fed: a server that was slow gets a request again after a while, and
/// the answer tells whether it still is.
///
/// A server of which nothing is known counts as usual. Taken for faster, each caller
/// would try every server of its service, over a new connection each time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    at: Millis,
    /// `None` before the first sample.
    value: Option<f64>,
}

/// The weight of a sample above the average, and of one below.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.1;

/// In this time without samples the average comes half the way to what is usual.
const HALF_LIFE: Millis = Millis(2_000);

impl Latency {
    /// The average in milliseconds, where `usual` is usual; at least one.
    pub fn estimate(&self, now: Millis, usual: f64) -> f64 {
        let beyond = self.value.map_or(0.0, |value| value - usual);
        let halvings = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        (usual + beyond * 0.5_f64.powf(halvings)).max(1.0)
    }

    /// Notes that a request took `taken` milliseconds.
    pub fn note(&mut self, now: Millis, usual: f64, taken: f64) {
        let before = self.estimate(now, usual);
        let weight = if taken > before {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.value = Some(before + weight * (taken - before));
        self.at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rises_fast_and_fades() {
        let usual = 20.0;
        let mut latency = Latency::default();
        assert!((latency.estimate(Millis(5_000), usual) - usual).abs() < 0.1);
        for _ in 0..100 {
            latency.note(Millis(0), usual, 20.0);
        }
        assert!((latency.estimate(Millis(0), usual) - 20.0).abs() < 0.1);
        for _ in 0..3 {
            latency.note(Millis(0), usual, 200.0);
        }
        assert!(latency.estimate(Millis(0), usual) > 170.0);
        assert!(latency.estimate(HALF_LIFE, usual) < 100.0);
        assert!(latency.estimate(Millis(60_000), usual) < usual + 1.0);
    }
}
