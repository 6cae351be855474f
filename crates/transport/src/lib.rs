//! Messages and streams of records between gateways. Two small traits, and what each implementation promises; the contracts in
//! `violetward-contracts` hold every implementation to it.
//!
//! A gateway is named; where it is reached is for the implementation to know. Nothing here waits: what cannot be taken now is
//! refused or lost, and a task that moves bytes stands behind implementations on sockets.
//!
//! [`session`] proves both ends of a stream to each other and keeps its records whole, free of I/O and clock; [`seal`] does it for
//! single messages. `sockets` moves both over UDP and TCP (feature `sockets`, on by default), with calls and answers on top; [`sim`] is a
//! network under a virtual clock, [`local`] joins gateways of one process. See `docs/transport.md`.

mod keys;
pub mod local;
pub mod seal;
pub mod session;
pub mod sim;
#[cfg(feature = "sockets")]
pub mod sockets;

pub use keys::{mark, Key, Keys};

/// Octets of the longest message.
pub const MESSAGE: usize = 1_200;
/// Octets of the longest record of a stream.
pub const RECORD: usize = 2 << 20;
/// Messages, or octets of records, that wait on one side at once.
pub const WAITING: (usize, usize) = (4_096, 8 << 20);

/// A time in microseconds of a clock that never goes back.
pub type Micros = u64;

/// Why something was not taken to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsent {
    /// It is longer than [`MESSAGE`] or [`RECORD`].
    TooLong,
    /// It is not known where that gateway is.
    Unknown,
    /// As much waits already as may.
    Full,
    /// The stream has ended, or the transport was closed.
    Closed,
}

impl std::fmt::Display for Unsent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unsent::TooLong => "it is too long",
            Unsent::Unknown => "it is not known where that gateway is",
            Unsent::Full => "too much waits already",
            Unsent::Closed => "the way is closed",
        })
    }
}

impl std::error::Error for Unsent {}

/// Single messages. They may get lost, come late, more than once and in any order. What comes is what was sent, by whom it says.
pub trait Messages {
    /// Sends a message, at most [`MESSAGE`] octets long. Never waits.
    ///
    /// # Errors
    /// Why it was not taken.
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), Unsent>;

    /// The next message that has come: its sender's name and what it says. At most [`WAITING`] are kept; the oldest go first.
    fn next(&mut self) -> Option<(String, Vec<u8>)>;
}

/// One end of a stream of records to another gateway: whole records, in order, none twice, none left out in between. It ends as a
/// whole: what was sent before the end may not have come.
pub trait Records {
    /// Sends a record, at most [`RECORD`] octets long. Never waits.
    ///
    /// # Errors
    /// Why it was not taken.
    fn send(&mut self, record: &[u8]) -> Result<(), Unsent>;

    /// The next record that has come.
    fn next(&mut self) -> Option<Vec<u8>>;

    /// Who is at the other end, as proved by its key.
    fn peer(&self) -> &str;

    /// Nothing more comes, and nothing more is taken.
    fn is_closed(&self) -> bool;
}
