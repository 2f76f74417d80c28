//! The one place where time is read.

use super::Millis;
use rustix::time::{
    ClockId,
    clock_gettime, //
};
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
        Self {
            base: wall(),
            origin: Instant::now(),
        }
    }

    /// The time since the machine's start, which runs on while it is suspended: for
    /// the age of what must not be used when it is old.
    pub fn boottime(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    }

    /// Microseconds since this clock was opened, for measuring.
    pub fn micros(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// The instance's wall clock, which people and programs set.
    pub fn wall(&self) -> Millis {
        wall()
    }

    /// The present point in time.
    pub fn now(&self) -> Millis {
        Millis(self.base.0 + self.origin.elapsed().as_millis() as u64)
    }
}

fn wall() -> Millis {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(wall.unwrap_or_default().as_millis() as u64)
}
