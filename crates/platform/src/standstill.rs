//! Notices that the process has stood still: stopped, or without the processor.
//!
//! What is read after that may have lain unread for as long, and its client's wait has run meanwhile.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// How often the process shows that it goes on.
pub const BEAT: Duration = Duration::from_millis(200);
/// A beat may be late by this much and is on time.
const PUNCTUAL: Duration = Duration::from_millis(50);
/// For how long after a standstill what is read may have come in it.
const BACKLOG: Duration = Duration::from_millis(100);

/// The beats of a process.
#[derive(Debug)]
pub struct Standstill {
    last_beat: Cell<Instant>,
    /// When the last standstill was noticed, and how long it was.
    noticed: Cell<Option<(Instant, Duration)>>,
}

impl Standstill {
    /// A process that goes on.
    pub fn new(now: Instant) -> Self {
        Standstill { last_beat: Cell::new(now), noticed: Cell::new(None) }
    }

    /// The process goes on: to be called every [`BEAT`]. How long it has stood still, if it has.
    pub fn beat(&self, now: Instant) -> Option<Duration> {
        let stood = self.overdue(now);
        if let Some(stood) = stood {
            self.noticed.set(Some((now, stood)));
        }
        self.last_beat.set(now);
        stood
    }

    /// How long what is read now may have lain unread.
    pub fn unread_for(&self, now: Instant) -> Duration {
        let noticed = self.noticed.get().filter(|&(at, _)| now.saturating_duration_since(at) < BACKLOG);
        self.overdue(now).or(noticed.map(|(_, stood)| stood)).unwrap_or_default()
    }

    /// By how much the next beat is overdue.
    fn overdue(&self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.last_beat.get()).saturating_sub(BEAT);
        (late > PUNCTUAL).then_some(late)
    }
}
