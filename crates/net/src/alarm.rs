//! The wake-up call of a state machine that has no clock.

use std::cell::Cell;

use event_listener::Event;
use futures_lite::future;

use crate::{sleep_until, Clock};

/// Tells when a state machine wants to be woken, and notices when it wants that sooner than it said.
#[derive(Debug)]
pub struct Alarm {
    sooner: Event,
    at: Cell<u64>,
}

impl Default for Alarm {
    fn default() -> Self {
        Alarm { sooner: Event::new(), at: Cell::new(u64::MAX) }
    }
}

impl Alarm {
    /// The machine has been touched and wants to be woken at `next`, in microseconds of the clock.
    pub fn set(&self, next: Option<u64>) {
        if next.unwrap_or(u64::MAX) < self.at.get() {
            self.sooner.notify(1);
        }
    }

    /// Waits until what `next` names has come, or anything sooner that it names meanwhile.
    pub async fn wait(&self, clock: &Clock, next: impl Fn() -> Option<u64>) {
        loop {
            let sooner = self.sooner.listen();
            let at = next();
            self.at.set(at.unwrap_or(u64::MAX));
            match at {
                Some(at) if at <= clock.now() => return,
                Some(at) => future::or(sooner, sleep_until(clock.instant(at))).await,
                None => sooner.await,
            }
        }
    }
}
