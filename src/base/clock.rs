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
    start_wall: Millis,
    start: Instant,
}

impl Clock {
    /// Opens a clock that starts at the present wall time.
    pub fn open() -> Self {
        Self {
            start_wall: wall_time(),
            start: Instant::now(),
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
        self.start.elapsed().as_micros() as u64
    }

    /// The instance's wall clock, which people and programs set.
    pub fn wall(&self) -> Millis {
        wall_time()
    }

    /// The present point in time.
    pub fn now(&self) -> Millis {
        Millis(self.start_wall.0 + self.start.elapsed().as_millis() as u64)
    }
}

fn wall_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(since_epoch.unwrap_or_default().as_millis() as u64)
}
