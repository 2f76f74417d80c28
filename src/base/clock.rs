//! The clock from which all modules read the time.

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

/// A clock that is set from the wall clock when it is opened and is monotonic from then on.
///
/// # Invariants
///
/// The time that [`Clock::now`] returns never goes backwards, even if the wall clock is set.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_wall: Millis,
    start: Instant,
}

impl Clock {
    /// Opens a clock that starts at the current wall time.
    pub fn open() -> Self {
        Self {
            start_wall: wall_time(),
            start: Instant::now(),
        }
    }

    /// The time since the machine booted, including the time in which it was suspended.
    /// Use it where a value must not be used beyond a certain age.
    pub fn boottime(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
    }

    /// Microseconds since this clock was opened, for measuring durations.
    pub fn micros(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The wall clock of the instance, which may be set forwards or backwards at any time.
    pub fn wall(&self) -> Millis {
        wall_time()
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        Millis(self.start_wall.0 + self.start.elapsed().as_millis() as u64)
    }
}

fn wall_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(since_epoch.unwrap_or_default().as_millis() as u64)
}
