//! Holds attempts back after a pause of the process until the list of engines is current again.
//!
//! A process that was stopped, or got no CPU time, has missed changes of the list that count as known. What it
//! sends before the resolver has answered again could go to an engine that drains.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Pauses from this length on may hide a change that counts as known by their end: that is 1.5 s after the
/// change, and the list is polled four times a second.
pub const HOLD_MIN_PAUSE: Duration = Duration::from_secs(1);
/// The longest hold: the resolver may be silent, and requests have deadlines.
pub const HOLD_MAX: Duration = Duration::from_millis(300);

/// A period in which no attempt is sent.
#[derive(Debug, Clone, Copy)]
struct Hold {
    /// Answers to queries from this moment on contain the changes that were missed.
    asked_from: Instant,
    ends: Instant,
}

/// Whether attempts are held back.
#[derive(Debug, Default)]
pub struct ListFreshness {
    hold: Cell<Option<Hold>>,
}

impl ListFreshness {
    /// Starts a hold after a pause that ended just before `now`; returns when it ends at the latest.
    pub fn hold(&self, now: Instant) -> Instant {
        // Every query from before the pause is older than this.
        let asked_from = now.checked_sub(HOLD_MIN_PAUSE / 2).unwrap_or(now);
        let ends = now + HOLD_MAX;
        self.hold.set(Some(Hold { asked_from, ends }));
        ends
    }

    /// Whether a hold is on.
    pub fn is_held(&self, now: Instant) -> bool {
        self.hold.get().is_some_and(|hold| now < hold.ends)
    }

    /// Notes a valid answer to a query that was sent at `asked`; true if it ends a hold.
    pub fn confirm(&self, asked: Instant) -> bool {
        let ends_hold = self.hold.get().is_some_and(|hold| asked >= hold.asked_from);
        if ends_hold {
            self.hold.set(None);
        }
        ends_hold
    }
}
