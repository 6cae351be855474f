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

pub use keys::{name_hash, Key, Keys};

/// Octets of the longest message.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Octets of the longest record of a stream.
pub const MAX_RECORD_BYTES: usize = 2 << 20;
/// Most messages, or records, that one side queues.
pub const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Most bytes of records that one side queues.
pub const MAX_QUEUED_BYTES: usize = 8 << 20;

/// A time in microseconds of a clock that never goes back.
pub type Micros = u64;

/// Why something was not taken to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// It is longer than [`MAX_MESSAGE_BYTES`] or [`MAX_RECORD_BYTES`].
    TooLong,
    /// It is not known where that gateway is.
    UnknownGateway,
    /// As much waits already as may.
    QueueFull,
    /// The stream has ended, or the transport was closed.
    Closed,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SendError::TooLong => "it is too long",
            SendError::UnknownGateway => "it is not known where that gateway is",
            SendError::QueueFull => "too much waits already",
            SendError::Closed => "the way is closed",
        })
    }
}

impl std::error::Error for SendError {}

/// Single messages. They may get lost, come late, more than once and in any order. What comes is what was sent, by whom it says.
pub trait Messages {
    /// Sends a message, at most [`MAX_MESSAGE_BYTES`] octets long. Never waits.
    ///
    /// # Errors
    /// Why it was not taken.
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError>;

    /// The next message that has come: its sender's name and what it says. At most [`WAITING`] are kept; the oldest go first.
    fn next(&mut self) -> Option<(String, Vec<u8>)>;
}

/// One end of a stream of records to another gateway: whole records, in order, none twice, none left out in between. It ends as a
/// whole: what was sent before the end may not have come.
pub trait Records {
    /// Sends a record, at most [`MAX_RECORD_BYTES`] octets long. Never waits.
    ///
    /// # Errors
    /// Why it was not taken.
    fn send(&mut self, record: &[u8]) -> Result<(), SendError>;

    /// The next record that has come.
    fn next(&mut self) -> Option<Vec<u8>>;

    /// Who is at the other end, as proved by its key.
    fn peer(&self) -> &str;

    /// Nothing more comes, and nothing more is taken.
    fn is_closed(&self) -> bool;
}
