//! The one place where time is read.

use super::Millis;
use std::time::{
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Reads the time: wall time when opened, monotonic from then on.
///
/// # Invariants
///
/// Two readings of one clock never go backwards, also when the wall clock is set.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Millis,
    origin: Instant,
}

impl Clock {
    /// Opens a clock that starts at the present wall time.
    pub fn open() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            base: Millis(wall.as_millis() as u64),
            origin: Instant::now(),
        }
    }

    /// Microseconds since this clock was opened, for measuring.
    pub fn micros(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// The present point in time.
    pub fn now(&self) -> Millis {
        Millis(self.base.0 + self.origin.elapsed().as_millis() as u64)
    }
}
