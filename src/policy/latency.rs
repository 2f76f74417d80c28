//! Estimates how long a server takes to answer, as its callers measure it.

use crate::base::Millis;

/// A moving average that rises fast, falls slowly, and decays towards the typical latency
/// while there are no samples. A server that was slow therefore gets a request again
/// after a while, and the answer shows whether it still is slow.
///
/// A server without samples counts as typical. If it counted as faster, each caller would
/// try every server of its service, over a new connection each time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// When the last sample was added.
    at: Millis,
    /// The average at that time, in ms; `None` before the first sample.
    value: Option<f64>,
}

/// The weight of a sample above the average.
const RISE_WEIGHT: f64 = 0.5;

/// The weight of a sample below the average.
const FALL_WEIGHT: f64 = 0.1;

/// The time without samples in which the average moves half the way to the typical
/// latency.
const HALF_LIFE: Millis = Millis(2_000);

impl Latency {
    /// The average in ms, at least 1; `typical` is the typical latency.
    pub fn estimate(&self, now: Millis, typical: f64) -> f64 {
        let excess = self.value.map_or(0.0, |value| value - typical);
        let halvings = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        (typical + excess * 0.5_f64.powf(halvings)).max(1.0)
    }

    /// Adds a sample: a request took `taken` ms.
    pub fn record(&mut self, now: Millis, typical: f64, taken: f64) {
        let before = self.estimate(now, typical);
        let weight = if taken > before {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.value = Some(before + weight * (taken - before));
        self.at = now;
    }
}

/// A server's latency over the last minutes, relative to which [`Latency`] shows the recent
/// one. It decays slowly, as the speed of a machine lasts while its load changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualLatency {
    /// When the last sample was added.
    at: Millis,
    samples: u32,
    /// The average at that time, in ms.
    value: f64,
}

/// The time without samples in which the usual latency moves half the way to the typical one.
/// A process with few calls sends one in several seconds. A server that was left as slow gets
/// a call again after minutes, unless the other servers become worse.
const USUAL_HALF_LIFE: Millis = Millis(60_000);

/// The least weight of a sample in the usual latency.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// The largest sample as a multiple of the usual latency. One in a hundred calls takes five
/// times as long; without the cap it would dominate the average of a few samples.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

impl UsualLatency {
    /// The average in ms, at least 1; `typical` is the typical latency of the service, which
    /// counts as the first sample.
    pub fn estimate(&self, now: Millis, typical: f64) -> f64 {
        if self.samples == 0 {
            return typical.max(1.0);
        }
        let halvings = now.since(self.at).0 as f64 / USUAL_HALF_LIFE.0 as f64;
        (typical + (self.value - typical) * 0.5_f64.powf(halvings)).max(1.0)
    }

    /// Adds a sample: a request took `taken` ms.
    pub fn record(&mut self, now: Millis, typical: f64, taken: f64) {
        let before = self.estimate(now, typical);
        let weight = (1.0 / f64::from(self.samples.saturating_add(2))).max(MIN_SAMPLE_WEIGHT);
        let sample = taken.min(before * MAX_SAMPLE_FACTOR);
        self.value = before + weight * (sample - before);
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rises_fast_and_decays_to_the_usual() {
        let typical = 20.0;
        let mut latency = Latency::default();
        assert!((latency.estimate(Millis(5_000), typical) - typical).abs() < 0.1);
        for _ in 0..100 {
            latency.record(Millis(0), typical, 20.0);
        }
        assert!((latency.estimate(Millis(0), typical) - 20.0).abs() < 0.1);
        for _ in 0..3 {
            latency.record(Millis(0), typical, 200.0);
        }
        assert!(latency.estimate(Millis(0), typical) > 170.0);
        assert!(latency.estimate(HALF_LIFE, typical) < 100.0);
        assert!(latency.estimate(Millis(60_000), typical) < typical + 1.0);
    }
}
