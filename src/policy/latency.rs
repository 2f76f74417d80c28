//! How long a server takes, by what its callers see.

use crate::base::Millis;

/// A moving average that rises fast, falls slowly, and fades when it has not
/// been fed: a server that was slow gets a request again after a while, and
/// the answer tells whether it still is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    at: Millis,
    value: f64,
}

/// The weight of a sample above the average, and of one below.
const UP: f64 = 0.5;
const DOWN: f64 = 0.1;

/// In this time without samples the average halves.
const HALF_LIFE: Millis = Millis(2_000);

impl Latency {
    /// The average in milliseconds; at least one.
    pub fn estimate(&self, now: Millis) -> f64 {
        let halvings = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        (self.value * 0.5_f64.powf(halvings)).max(1.0)
    }

    /// Notes that a request took `taken` milliseconds.
    pub fn note(&mut self, now: Millis, taken: f64) {
        let before = self.estimate(now);
        let weight = if taken > before { UP } else { DOWN };
        self.value = before + weight * (taken - before);
        self.at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rises_fast_and_fades() {
        let mut latency = Latency::default();
        for _ in 0..100 {
            latency.note(Millis(0), 20.0);
        }
        assert!((latency.estimate(Millis(0)) - 20.0).abs() < 0.1);
        for _ in 0..3 {
            latency.note(Millis(0), 200.0);
        }
        assert!(latency.estimate(Millis(0)) > 170.0);
        assert!(latency.estimate(HALF_LIFE) < 100.0);
    }
}
