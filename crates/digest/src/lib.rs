//! Bounded summaries of demand, cost and room by cell, which merge in any order; free of I/O and clock. See `docs/digest.md`.
//!
//! Each gateway sums up what it sees by [`Cell`], as [`Summary`]s on a few [`Page`]s of its own ([`Own`]). Pages carry their
//! origin and version; a [`Digest`] keeps the newest of each, whoever passed it on, and tells by cell what all of them say
//! together ([`View`]): faded with age, and with a cap on what one gateway may add. [`Spread`] says which pages go to whom, within
//! a bound on octets.

mod digest;
mod own;
mod page;
mod spread;

pub use digest::{Digest, Terms, View};
pub use own::Own;
pub use page::{Page, Unreadable, CELLS, DATAGRAM, NAME, PAGES};
pub use spread::{Pace, Spread};

/// A time in microseconds of a clock that never goes back.
pub type Micros = u64;

/// What is summed up alone: work of one class for one group of tables that may run on one kind of engine, in one zone, at one
/// site. Places by number, as the configuration names them; `None` where a cell is not told apart by that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// The class.
    pub class: u16,
    /// The group of tables.
    pub group: Option<u64>,
    /// The kind of engine.
    pub kind: Option<u16>,
    /// The zone.
    pub zone: Option<u16>,
    /// The site of the clients.
    pub site: Option<u16>,
}

impl Cell {
    /// The cell in which all of a class is summed up that has no room of its own.
    pub fn others(class: u16) -> Cell {
        Cell { class, group: None, kind: None, zone: None, site: None }
    }
}

/// What one gateway says of a cell. Nothing is below zero.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Work that its clients ask for there, core milliseconds a second.
    pub work: f64,
    /// Seen work over estimated work, as it has learned it; and the work that it was learned from, core milliseconds.
    pub k: f64,
    /// See `k`.
    pub weight: f64,
    /// Work that the cell's engines could take beyond what they have, as it sees them, core milliseconds a second.
    pub room: f64,
    /// How long a request is on its way to them and back, microseconds.
    pub crossing: f64,
}

impl Summary {
    /// Both together, as one cell: work and room add up; what was learned and crossed is weighted by the work that it is from.
    #[must_use]
    pub fn with(self, other: Summary) -> Summary {
        let mean = |a: f64, b: f64, (by_a, by_b): (f64, f64)| {
            if by_a + by_b > 0.0 {
                (a * by_a + b * by_b) / (by_a + by_b)
            } else {
                (a + b) / 2.0
            }
        };
        Summary {
            work: self.work + other.work,
            k: mean(self.k, other.k, (self.weight, other.weight)),
            weight: self.weight + other.weight,
            room: self.room + other.room,
            crossing: mean(self.crossing, other.crossing, (self.work, other.work)),
        }
    }
}
