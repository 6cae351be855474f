//! What can be made to go wrong with a stand-in engine. Spans are milliseconds.

use serde::{Deserialize, Serialize};

/// A fault, as the control port takes it (JSON, tagged by `kind`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// Dies at once, connections break; comes back cold after a span.
    Crash {
        /// How long it is away.
        for_ms: u64,
    },
    /// Goes silent: no reset, no answer; comes back cold after a span.
    Vanish {
        /// How long it is silent.
        for_ms: u64,
    },
    /// Takes statements and answers none for a span.
    Hang {
        /// How long.
        for_ms: u64,
    },
    /// Runs slower for a span.
    Slow {
        /// How many times.
        factor: f64,
        /// How long.
        for_ms: u64,
    },
    /// Fails a share of its statements at once.
    FastErrors {
        /// Which share.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Loses a share of its answers: the connection closes in their place.
    LostAnswers {
        /// Which share.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Forgets what it kept warm.
    Flush,
    /// Another program takes a part of the machine.
    Neighbour {
        /// Which part.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Refuses new connections.
    Refuse {
        /// How long.
        for_ms: u64,
    },
    /// Writes half of an answer and closes, for a share of them.
    HalfAnswers {
        /// Which share.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Writes answers byte by byte.
    Split {
        /// How long.
        for_ms: u64,
    },
    /// Stops after a number of pages of rows, without an end.
    StopAfterPages {
        /// How many are still sent.
        pages: u64,
        /// How long.
        for_ms: u64,
    },
    /// Tells its load late.
    ReportLate {
        /// How much later than usual.
        by_ms: u64,
        /// How long.
        for_ms: u64,
    },
    /// Sends something that is no HTTP, for a share of its answers.
    Garbage {
        /// Which share.
        share: f64,
        /// How long.
        for_ms: u64,
    },
    /// Comes back cold after it has fallen over or was told to stay down.
    Restart,
    /// Stays down.
    Down,
}

/// A share or factor that holds until a time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Until {
    /// The value.
    pub value: f64,
    /// Microseconds.
    pub until: u64,
}

impl Until {
    /// The value while it holds, else `usual`.
    pub fn at(&self, now: u64, usual: f64) -> f64 {
        if now < self.until {
            self.value
        } else {
            usual
        }
    }
}
