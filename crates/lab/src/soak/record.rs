//! What clients, engines and the resolver of a soak saw, on one monotonic clock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::schedule::Fault;

/// A request as its client wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Written {
    /// Its id.
    pub id: u64,
    /// To whom.
    pub gateway: usize,
    /// For how long its client had held it back.
    pub held: Duration,
    /// How long its client waits, from when it had the request.
    pub wait: Duration,
    /// It may not be repeated once it may have run.
    pub unsafe_to_repeat: bool,
}

/// Something that was seen.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The last byte of a request was written.
    Written(Written),
    /// A final answer came, and whether it was a whole result of that request.
    Answered {
        /// The request.
        id: u64,
        /// It was served.
        served: bool,
        /// A served answer holds what an engine made for it.
        right: bool,
    },
    /// The client left, or took the request back.
    Left {
        /// The request.
        id: u64,
    },
    /// The connection ended with the request unanswered.
    Ended {
        /// The request.
        id: u64,
        /// It met the close of a resting connection: all that was open there had been written within
        /// [`super::check::CROSSING`].
        crossed: bool,
    },
    /// An engine was sent an attempt.
    Fetched {
        /// The request.
        id: u64,
        /// The engine.
        engine: usize,
        /// How long it was told that the gateway waits.
        patience: Duration,
    },
    /// An engine turned the attempt away unseen, so that another one is harmless.
    TurnedAway {
        /// The request.
        id: u64,
    },
    /// An engine began to drain, or vanished; the list tells it from now on.
    Drains {
        /// The engine.
        engine: usize,
    },
    /// A gateway is sent the first answer that holds a list.
    ListTold {
        /// Which one.
        gateway: usize,
        /// The engines that the list names as ready.
        ready: Vec<usize>,
    },
    /// From now on for a span the list is told late or not at all.
    ListTroubled {
        /// The span.
        span: Duration,
    },
    /// A gateway was told to end.
    Terminated {
        /// Which one.
        gateway: usize,
    },
    /// A gateway was killed.
    Killed {
        /// Which one.
        gateway: usize,
        /// It had been told to end.
        after_sigterm: bool,
    },
    /// A gateway stands still from now on for a span.
    Stopped {
        /// Which one.
        gateway: usize,
        /// The span.
        span: Duration,
    },
    /// A fault of the schedule.
    Fault(Fault),
}

/// The records of a run, in the order in which they were noted.
#[derive(Debug, Clone)]
pub struct Records {
    start: Instant,
    events: Arc<Mutex<Vec<(Duration, Event)>>>,
}

impl Records {
    pub(super) fn new() -> Self {
        Records { start: Instant::now(), events: Arc::default() }
    }

    pub(super) fn start(&self) -> Instant {
        self.start
    }

    pub(super) fn note(&self, event: Event) {
        self.note_at(Instant::now(), event);
    }

    /// Notes something that was seen a moment ago.
    pub(super) fn note_at(&self, at: Instant, event: Event) {
        let at = at.saturating_duration_since(self.start);
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((at, event));
    }

    /// All that was noted, by time.
    pub(super) fn take(&self) -> Vec<(Duration, Event)> {
        let mut events = std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner));
        events.sort_by_key(|(at, _)| *at);
        events
    }
}
