//! The clock of a gateway.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// u64econds since the Unix epoch that never go back: times that engine lists tell are on the same clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    base: u64,
}

impl Clock {
    /// A clock that goes on from the system's time of now.
    pub fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Clock { start: Instant::now(), base }
    }

    /// The time.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_micros() as u64
    }

    /// The instant at which it shows a time.
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
