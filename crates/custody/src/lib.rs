//! Work in hand that outlives its gateway, free of I/O and clock: who holds a statement, who keeps a record of it, and who may
//! take it over when its holder is gone: one, once. See `docs/custody.md`.
//!
//! **The property.** At no true time do two gateways start attempts of one statement, and no two different endings of it are
//! told, as long as every clock runs within the allowed rate of drift.
//!
//! **How.** A gateway's *life* (one process of a name) acts under a *tenure*: a lease that a quorum of the voters has granted to
//! that life, counted from when it asked. A life that is gone is *ended*: a quorum of voters marks it for good, keeps the mark
//! and never grants to it again; it is surely over once what they had granted has run out. A statement has a *chain*: its
//! holder, then its guardians. The chain only grows at its end, by its holder, and a longer chain holds once every member of
//! the shorter one that is not surely over has taken it. Who stands in the chain acts for the statement if its own tenure
//! holds and every life before it in the chain is surely over.

mod node;
pub mod sim;
mod tenure;
mod wire;

pub use node::{Effect, InjectedFault, Member, MemberState, Permission, Settings, TakeoverNode, Whereabouts};
pub use wire::StoredMarksError;

/// A time in microseconds of a clock that never goes back.
pub type Micros = u64;

/// One process of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Which process of that name, drawn at its start.
    pub life: u64,
}

/// The former name of [`Incarnation`], as some callers still write it.
pub type Life = Incarnation;

/// A statement, wherever it is: the life that took it, and its number there, from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementKey {
    /// Who took it.
    pub taken_by: Incarnation,
    /// Its number there.
    pub number: u64,
}

/// What may happen if a statement runs twice, as far as custody goes by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Repeat {
    /// Harmless: the record follows what is done.
    Harmless,
    /// Unsafe, or safe within bounds only: the intent is with a guardian before the first byte goes to an engine.
    Unsafe,
}

/// An attempt that is or was out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Out {
    /// Its number, from 0.
    pub number: u32,
    /// The engine's name.
    pub engine: String,
    /// The engine's own address of the next page, where one is known: the statement has been read there.
    pub next: Option<String>,
    /// The next page that its client has not got yet, by number, from 0.
    pub page: u64,
    /// It has been sent for `sent` microseconds, and is given up after `within` in all, by the holder's clock when the record
    /// was made.
    pub sent: Micros,
    /// See `sent`.
    pub within: Micros,
}

/// How a statement ended, where a gateway decided that by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Refused: a further try is harmless.
    Refused(String),
    /// Failed: it is not said whether it ran.
    Failed(String),
    /// Its client wanted no more.
    Cancelled,
}

/// What a guardian knows of a statement: all that it takes to go on with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Which statement.
    pub key: StatementKey,
    /// Counts the records of this statement: a higher one holds.
    pub version: u64,
    /// What the gateway needs to take it up anew: text, context, class, tenant, keys, public name. Opaque here; told once, and
    /// empty in later records.
    pub body: Vec<u8>,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// Time that its client still waits, when the record was made.
    pub left: Micros,
    /// Attempts spent, the one that is out included.
    pub attempts: u32,
    /// The attempt that is out, or about to be: from now on it may have run.
    pub out: Option<Out>,
    /// Pages that the client has got.
    pub passed: u64,
    /// The end that its holder has decided.
    pub ending: Option<Ending>,
}
