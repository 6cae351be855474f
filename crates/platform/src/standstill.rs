//! Detects pauses of the process: it was stopped, or got no CPU time.
//!
//! Requests that are read after a pause may have waited in the socket for as long, while the client's wait
//! was running.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The interval of the heartbeat that reveals pauses.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A heartbeat that is late by no more than this indicates no pause.
const HEARTBEAT_TOLERANCE: Duration = Duration::from_millis(50);
/// For how long after a pause requests that are read may have come during it.
const BACKLOG_TIME: Duration = Duration::from_millis(100);

/// Detects pauses by late heartbeats.
#[derive(Debug)]
pub struct PauseDetector {
    last_heartbeat: Cell<Instant>,
    /// When the last pause was detected, and how long it was.
    last_pause: Cell<Option<(Instant, Duration)>>,
}

impl PauseDetector {
    /// A detector that has seen no pause.
    pub fn new(now: Instant) -> Self {
        PauseDetector { last_heartbeat: Cell::new(now), last_pause: Cell::new(None) }
    }

    /// Records a heartbeat, and returns the length of the pause that it reveals, if any. To be called every
    /// [`HEARTBEAT_INTERVAL`].
    pub fn heartbeat(&self, now: Instant) -> Option<Duration> {
        let pause = self.overdue(now);
        if let Some(pause) = pause {
            self.last_pause.set(Some((now, pause)));
        }
        self.last_heartbeat.set(now);
        pause
    }

    /// For how long a request that is read now may have waited in the socket.
    pub fn backlog_age(&self, now: Instant) -> Duration {
        let recent = |&(at, _): &(Instant, Duration)| now.saturating_duration_since(at) < BACKLOG_TIME;
        let last_pause = self.last_pause.get().filter(recent).map(|(_, pause)| pause);
        self.overdue(now).or(last_pause).unwrap_or_default()
    }

    /// By how much the next heartbeat is overdue, if by more than the tolerance: the process has paused.
    pub fn overdue(&self, now: Instant) -> Option<Duration> {
        let late =
            now.saturating_duration_since(self.last_heartbeat.get()).saturating_sub(HEARTBEAT_INTERVAL);
        (late > HEARTBEAT_TOLERANCE).then_some(late)
    }
}
