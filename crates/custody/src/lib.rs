//! Takeover of statements between gateways, free of I/O and clock: who owns a statement, who keeps a replica
//! of its record, and who may take it over when its owner is gone: one gateway, once. See `docs/custody.md`,
//! and `docs/glossary.md` for the terms.
//!
//! **The property.** At no true time do two gateways start attempts of one statement, and no two different
//! endings of it are reported, as long as every clock runs within the allowed rate of drift.
//!
//! **How.** An *incarnation* of a gateway (one process of its name) acts under a *lease* that a quorum of
//! voters has granted to it, counted from when it asked. An incarnation that is gone is *fenced*: a quorum of
//! voters stores a mark and never grants to it again; it is fenced once what they had granted has run out. A
//! statement has a *replica list*: its owner, then its replicas. The list only grows at its end, by its
//! owner, and a longer list holds once every member of the shorter one that is not fenced has taken it. A
//! member of the list acts for the statement if its own lease is valid and everybody before it in the list is
//! fenced or has resigned.

mod lease;
mod node;
pub mod sim;
mod voter;
mod wire;

pub use node::{
    Effect, InjectedFault, Member, MemberState, Permission, Settings, TakeoverNode, Usage, Whereabouts,
};
pub use wire::stored_marks::StoredMarksError;

/// A time in microseconds of a clock that never goes back.
pub type Micros = u64;

/// One process of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// The number of this process, drawn at its start.
    pub life: u64,
}

/// The former name of [`Incarnation`], as some callers still write it.
pub type Life = Incarnation;

/// A statement, at whichever gateway: the incarnation that accepted it, and its number there, from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementKey {
    /// Who accepted it.
    pub taken_by: Incarnation,
    /// Its number there.
    pub number: u64,
}

/// What may happen if a statement runs twice, as far as takeover depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Repeat {
    /// Harmless: the record follows what is done.
    Harmless,
    /// Unsafe, or safe within bounds only: the intent is at the replicas before the first byte goes to an
    /// engine.
    Unsafe,
}

/// An attempt that is or was in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Out {
    /// Its number, from 0.
    pub number: u32,
    /// The engine's name.
    pub engine: String,
    /// The engine's own address of the next page, where one is known: the engine has read the statement then.
    pub next: Option<String>,
    /// The next page that its client has not got yet, by number, from 0.
    pub page: u64,
    /// It has been in flight for `sent` microseconds, and is given up after `within` in all, by the owner's
    /// clock when the record was made.
    pub sent: Micros,
    /// See `sent`.
    pub within: Micros,
}

/// How a statement ended, where a gateway decided that by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Refused: a retry is harmless.
    Refused(String),
    /// Failed: it is not said whether it ran.
    Failed(String),
    /// Its client cancelled it.
    Cancelled,
}

/// What a replica knows of a statement: all that it takes to go on with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Which statement.
    pub key: StatementKey,
    /// Counts the records of this statement: a higher one holds.
    pub version: u64,
    /// What a gateway needs to go on with the statement: text, context, class, tenant, keys, public name.
    /// Opaque here; sent once, and empty in later records.
    pub body: Vec<u8>,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// For how long its client still waits, when the record was made.
    pub left: Micros,
    /// Attempts spent, the one in flight included.
    pub attempts: u32,
    /// The attempt that is in flight, or about to be: from now on it may have run.
    pub out: Option<Out>,
    /// Pages that the client has got.
    pub passed: u64,
    /// The ending that its owner has decided.
    pub ending: Option<Ending>,
}
