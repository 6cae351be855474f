//! Size-bounded summaries of demand, cost and headroom per cell, which can be merged in any order. Does no
//! I/O and reads no clock. See `docs/digest.md`.
//!
//! Each gateway summarizes its own observations per [`Cell`] as a [`Summary`] and publishes them on a small
//! number of [`Page`]s ([`PageBuilder`]). A page carries its origin and a version. A [`Digest`] keeps the
//! newest version of each page, whichever gateway forwarded it, and combines them into one [`CellAggregate`]
//! per cell: reports lose weight with age, and the influence of a single gateway is capped.
//! [`GossipScheduler`] selects which pages are sent to which gateway, within a limit on bytes per second.

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

/// A time of a monotonic clock, in microseconds.
pub type Micros = u64;

/// The unit of aggregation: requests of one class on one group of tables, for one kind of engine, in one
/// zone, from clients of one site. Kinds, zones and sites are identified by their position in the
/// configuration. A dimension that is `None` is not distinguished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// The class of the requests, by its position in the configuration.
    pub class: u16,
    /// Identifies the group of tables.
    pub group: Option<u64>,
    /// The kind of engine.
    pub kind: Option<u16>,
    /// The zone of the engines.
    pub zone: Option<u16>,
    /// The site of the clients.
    pub site: Option<u16>,
}

impl Cell {
    /// Returns the cell that distinguishes nothing but the class. It also collects the cells of the class
    /// that do not fit on a page of their own.
    pub fn for_class(class: u16) -> Cell {
        Cell { class, group: None, kind: None, zone: None, site: None }
    }
}

/// What one gateway reports for a cell. No value is negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Work requested by the gateway's clients, in core milliseconds per second.
    pub demand: f64,
    /// Ratio of measured work to estimated work, as learned by the gateway.
    pub cost_ratio: f64,
    /// The work from which `cost_ratio` was learned, in core milliseconds.
    pub cost_weight: f64,
    /// Additional work that the engines of the cell could take, as seen by the gateway, in core milliseconds
    /// per second.
    pub headroom: f64,
    /// Network round trip between the gateway and the engines, in microseconds.
    pub round_trip_us: f64,
}

impl Summary {
    /// Merges two summaries of one gateway into the summary of one cell. Demand, cost weight and headroom are
    /// added. The cost ratio is averaged by cost weight, the round trip by demand.
    #[must_use]
    pub fn combine(self, other: Summary) -> Summary {
        let weighted_mean = |a: f64, b: f64, (weight_a, weight_b): (f64, f64)| {
            if weight_a + weight_b > 0.0 {
                (a * weight_a + b * weight_b) / (weight_a + weight_b)
            } else {
                (a + b) / 2.0
            }
        };
        let cost_weights = (self.cost_weight, other.cost_weight);
        let demands = (self.demand, other.demand);
        Summary {
            demand: self.demand + other.demand,
            cost_ratio: weighted_mean(self.cost_ratio, other.cost_ratio, cost_weights),
            cost_weight: self.cost_weight + other.cost_weight,
            headroom: self.headroom + other.headroom,
            round_trip_us: weighted_mean(self.round_trip_us, other.round_trip_us, demands),
        }
    }
}
