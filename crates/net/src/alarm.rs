//! A timer that wakes a state machine which has no clock of its own.

use std::cell::Cell;

use event_listener::Event;
use futures_lite::future;

use crate::{sleep_until, Clock};

/// A timer whose time can be moved earlier while a task waits for it.
#[derive(Debug)]
pub struct Alarm {
    moved_earlier: Event,
    /// The time waited for, in microseconds of the clock; `u64::MAX` if there is none.
    wake_at: Cell<u64>,
}

impl Default for Alarm {
    fn default() -> Self {
        Alarm { moved_earlier: Event::new(), wake_at: Cell::new(u64::MAX) }
    }
}

impl Alarm {
    /// Reports that the state machine's next wake-up may have changed to `next`, in microseconds of the
    /// clock.
    pub fn set(&self, next: Option<u64>) {
        if next.unwrap_or(u64::MAX) < self.wake_at.get() {
            self.moved_earlier.notify(1);
        }
    }

    /// Waits until the time that `next` returns. [`Alarm::set`] with an earlier time makes it ask `next`
    /// again.
    pub async fn wait(&self, clock: &Clock, next: impl Fn() -> Option<u64>) {
        loop {
            let moved_earlier = self.moved_earlier.listen();
            let wake_at = next();
            self.wake_at.set(wake_at.unwrap_or(u64::MAX));
            match wake_at {
                Some(at) if at <= clock.now() => return,
                Some(at) => future::or(moved_earlier, sleep_until(clock.instant(at))).await,
                None => moved_earlier.await,
            }
        }
    }
}
