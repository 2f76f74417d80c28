//! What a service's answers take as a rule.

/// A moving average that does not fade: a service that was idle for a while
/// still takes what it took.
#[derive(Clone, Copy, Debug)]
pub struct TypicalLatency {
    value: f64,
}

/// The weight of each new answer.
const WEIGHT: f64 = 0.1;

/// Before any answer: what the users' services take, with room.
const INITIAL: f64 = 80.0;

impl Default for TypicalLatency {
    fn default() -> Self {
        Self { value: INITIAL }
    }
}

impl TypicalLatency {
    /// Notes that an answer took `taken` ms.
    pub fn note(&mut self, taken: f64) {
        self.value += WEIGHT * (taken - self.value);
    }

    /// The average in ms.
    pub fn value(self) -> f64 {
        self.value
    }
}
