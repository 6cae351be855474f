//! Takeover of statements between gateways, free of I/O and clock: which gateway owns a statement, which
//! gateways keep a replica of its record, and which single gateway takes it over after its owner has failed.
//! See `docs/custody.md`, and `docs/glossary.md` for the terms.
//!
//! **Guarantee.** As long as every clock runs within the allowed rate of drift, no two gateways start
//! attempts of one statement at the same true time, and no two different endings of it are reported.
//!
//! **Protocol.** An *incarnation* of a gateway (one process of its name) acts under a *lease* that a quorum
//! of voters grants; the holder counts it from the time of its request. A failed incarnation is *fenced*: a
//! quorum of voters stores a mark and never grants to it again, and the fence takes effect once the leases
//! that these voters granted have expired. A voter stores a mark only on evidence of its own: it has listened
//! for the duration of a lease and has not heard that the process holds its lease. A statement has a *replica
//! list*: its owner, then its replicas. Only the owner changes the list, and only by appending to it; an
//! extended list is in force once every member of the shorter one that is not fenced has acknowledged it. A
//! member of the list acts for the statement if its own lease is valid and every member before it is fenced or
//! has resigned.

mod evidence;
mod lease;
mod node;
pub mod sim;
mod voter;
mod wire;

pub use node::{
    Effect, InjectedFault, Member, MemberState, Permission, Settings, StatementLocation, TakeoverNode, Usage,
};
pub use wire::stored_marks::StoredMarksError;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// One process of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// The number of this process, drawn at random when it starts.
    pub number: u64,
}

/// Identifies a statement across gateways: the incarnation that accepted it, and its number there, from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementKey {
    /// The incarnation that accepted the statement.
    pub accepted_by: Incarnation,
    /// The statement's number at that incarnation.
    pub number: u64,
}

/// Whether a statement may run twice, as far as takeover depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RepeatSafety {
    /// A repeat is harmless: attempts start without waiting for the replicas.
    Safe,
    /// A repeat is unsafe, or safe within limits only: the replicas hold the intent before the first byte
    /// goes to an engine.
    Unsafe,
}

/// An attempt that is or was in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// The attempt's number, from 0.
    pub number: u32,
    /// The engine's name.
    pub engine: String,
    /// The engine's own URI of the next page, if known; the engine has then read the statement.
    pub next_uri: Option<String>,
    /// The number, from 0, of the first page that the client has not received yet.
    pub next_page: u64,
    /// Time since the attempt was sent, by the owner's clock when the record was made.
    pub elapsed: Micros,
    /// Time from sending until the attempt is given up.
    pub timeout: Micros,
}

/// How a statement ended, if a gateway rather than an engine decided its ending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Refused: a retry is harmless.
    Refused(String),
    /// Failed: the statement may or may not have run.
    Failed(String),
    /// Cancelled by its client.
    Cancelled,
}

/// What a replica needs to continue a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The statement's key.
    pub key: StatementKey,
    /// Version of the record; a higher version replaces a lower one.
    pub version: u64,
    /// What a gateway needs to continue the statement: text, context, class, tenant, keys, public name.
    /// Opaque to this crate; sent once, and empty in later records.
    pub body: Vec<u8>,
    /// Whether the statement may run twice.
    pub repeat: RepeatSafety,
    /// How long the client still waits, counted from when the record was made.
    pub remaining_wait: Micros,
    /// Attempts made, including the one in flight.
    pub attempts: u32,
    /// The attempt that is in flight or about to start; it may have run.
    pub in_flight: Option<InFlightAttempt>,
    /// Pages that the client has received.
    pub pages_delivered: u64,
    /// The ending that the owner has decided.
    pub ending: Option<Ending>,
}
