//! Bounded summaries of demand, cost and room by cell, which merge in any order; free of I/O and clock. See `docs/digest.md`.
//!
//! Each gateway sums up what it sees by [`Cell`], as [`Summary`]s on a few [`Page`]s of its own ([`PageBuilder`]). Pages carry their
//! origin and version; a [`Digest`] keeps the newest of each, whoever passed it on, and tells by cell what all of them say
//! together ([`CellAggregate`]): faded with age, and with a cap on what one gateway may add. [`GossipScheduler`] says which pages go to whom, within
//! a bound on octets.

mod digest;
mod gossip;
mod page;
mod page_builder;

pub use digest::{CellAggregate, Digest, DigestConfig};
pub use gossip::{GossipConfig, GossipScheduler};
pub use page::{
    DecodeError, Page, MAX_CELLS_PER_PAGE, MAX_DATAGRAM_BYTES, MAX_ORIGIN_BYTES, MAX_PAGES_PER_ORIGIN,
};
pub use page_builder::PageBuilder;

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
    pub fn for_class(class: u16) -> Cell {
        Cell { class, group: None, kind: None, zone: None, site: None }
    }
}

/// What one gateway says of a cell. Nothing is below zero.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Work that its clients ask for there, core milliseconds a second.
    pub demand: f64,
    /// Seen work over estimated work, as it has learned it; and the work that it was learned from, core milliseconds.
    pub cost_ratio: f64,
    /// See `k`.
    pub cost_weight: f64,
    /// Work that the cell's engines could take beyond what they have, as it sees them, core milliseconds a second.
    pub headroom: f64,
    /// How long a request is on its way to them and back, microseconds.
    pub round_trip_us: f64,
}

impl Summary {
    /// Both together, as one cell: work and room add up; what was learned and crossed is weighted by the work that it is from.
    #[must_use]
    pub fn combine(self, other: Summary) -> Summary {
        let mean = |a: f64, b: f64, (by_a, by_b): (f64, f64)| {
            if by_a + by_b > 0.0 {
                (a * by_a + b * by_b) / (by_a + by_b)
            } else {
                (a + b) / 2.0
            }
        };
        Summary {
            demand: self.demand + other.demand,
            cost_ratio: mean(self.cost_ratio, other.cost_ratio, (self.cost_weight, other.cost_weight)),
            cost_weight: self.cost_weight + other.cost_weight,
            headroom: self.headroom + other.headroom,
            round_trip_us: mean(self.round_trip_us, other.round_trip_us, (self.demand, other.demand)),
        }
    }
}
