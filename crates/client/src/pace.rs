//! How fast a statement's pages are asked for. Free of I/O and clock.

use std::time::Duration;

/// An empty page that came sooner was not held by the service.
const QUICK: Duration = Duration::from_millis(20);
/// First pause, and the longest.
const FIRST: f64 = 0.01;
const LONGEST: f64 = 0.5;

/// The polls of one statement: no pause where the service holds polls or gives rows; where it answers empty pages at once, a
/// pause that doubles, with jitter.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pace {
    idle: u32,
}

impl Pace {
    /// The pause before the next poll, after a page that took so long and had rows or none. `dice` is even from 0 to 1.
    pub fn pause(&mut self, took: Duration, rows: bool, dice: f64) -> Duration {
        if rows || took >= QUICK {
            self.idle = 0;
            return Duration::ZERO;
        }
        self.idle += 1;
        // The first page is always empty: it says that the statement was taken.
        let Some(before) = self.idle.checked_sub(2) else { return Duration::ZERO };
        let grown = (FIRST * f64::from(1 << before.min(16))).min(LONGEST);
        Duration::from_secs_f64(grown * (0.5 + 0.5 * dice.clamp(0.0, 1.0)))
    }
}
