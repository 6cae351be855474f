//! Bounded summaries of demand, cost and room by cell, which merge in any order; free of I/O and clock. See `docs/digest.md`.

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
