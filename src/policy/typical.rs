//! The typical latency of a service's answers.

/// A moving average that does not decay: a service that was idle for a while still
/// takes as long as before.
#[derive(Clone, Copy, Debug)]
pub struct TypicalLatency {
    /// In ms.
    value: f64,
}

/// The weight of each new answer.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The average before any answer, in ms: what the users' services take, with some
/// margin.
const INITIAL_LATENCY_MS: f64 = 80.0;

impl Default for TypicalLatency {
    fn default() -> Self {
        Self {
            value: INITIAL_LATENCY_MS,
        }
    }
}

impl TypicalLatency {
    /// Adds an answer that took `taken` ms.
    pub fn record(&mut self, taken: f64) {
        self.value += SAMPLE_WEIGHT * (taken - self.value);
    }

    /// The average in ms.
    pub fn value(self) -> f64 {
        self.value
    }
}
