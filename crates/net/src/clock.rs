//! The clock of a gateway process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts microseconds since the Unix epoch, so that its times compare with those in
/// engine lists.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// System time at `start`, in microseconds since the Unix epoch.
    start_micros: u64,
}

impl Clock {
    /// A clock that starts at the current system time and ignores later changes of it.
    pub fn new() -> Self {
        let start_micros =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Clock { start: Instant::now(), start_micros }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        self.start_micros + self.start.elapsed().as_micros() as u64
    }

    /// The instant at which this clock reaches `at`; the clock's start for earlier times.
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.start_micros))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
