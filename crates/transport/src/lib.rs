//! Messages and record streams between gateways: two small traits and what each implementation guarantees.
//! The contract tests in `violetward-contracts` check every implementation against these guarantees.
//!
//! Gateways are addressed by name; resolving a name to an address is up to the implementation. Nothing here
//! blocks: what can't be queued is rejected or dropped. Implementations on sockets move the bytes in
//! background tasks.
//!
//! [`session`] authenticates both ends of a stream and protects the integrity of its records, without I/O or
//! clock; [`seal`] does this for single messages. `sockets` carries both over UDP and TCP (feature `sockets`,
//! on by default) and adds calls with responses; [`sim`] is a simulated network with a virtual clock;
//! [`local`] connects gateways within one process. See `docs/transport.md`.

mod keys;
pub mod local;
pub mod seal;
pub mod session;
pub mod sim;
#[cfg(feature = "sockets")]
pub mod sockets;

pub use keys::{name_hash, Key, Keys};

/// Most bytes in a message.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Most bytes in a record.
pub const MAX_RECORD_BYTES: usize = 2 << 20;
/// Most messages, or records, in one receive queue.
pub const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Most bytes of records in one queue.
pub const MAX_QUEUED_BYTES: usize = 8 << 20;

/// A time in microseconds of a monotonic clock.
pub type Micros = u64;

/// Why a message or record was not accepted for sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// It is longer than [`MAX_MESSAGE_BYTES`] or [`MAX_RECORD_BYTES`].
    TooLong,
    /// No address is known for that gateway, or the stream to it is not open yet.
    UnknownGateway,
    /// The send queue is full.
    QueueFull,
    /// The stream has ended, or the transport was closed.
    Closed,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SendError::TooLong => "longer than the maximum length",
            SendError::UnknownGateway => "no address is known for the gateway",
            SendError::QueueFull => "the send queue is full",
            SendError::Closed => "the stream or transport is closed",
        })
    }
}

impl std::error::Error for SendError {}

/// Sends and receives single messages. They may be lost, delayed, duplicated and reordered, but not altered,
/// and their sender is authentic.
pub trait Messages {
    /// Sends a message of at most [`MAX_MESSAGE_BYTES`] without blocking.
    ///
    /// # Errors
    /// Why it was not accepted.
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError>;

    /// The next received message: its sender's name and its content. At most [`MAX_QUEUED_MESSAGES`] are
    /// kept; the oldest are dropped first.
    fn next(&mut self) -> Option<(String, Vec<u8>)>;
}

/// One end of a record stream to another gateway. Records arrive unaltered, in order, without duplicates or
/// gaps. When the stream ends, records sent shortly before may be lost.
pub trait Records {
    /// Sends a record of at most [`MAX_RECORD_BYTES`] without blocking.
    ///
    /// # Errors
    /// Why it was not accepted.
    fn send(&mut self, record: &[u8]) -> Result<(), SendError>;

    /// The next received record.
    fn next(&mut self) -> Option<Vec<u8>>;

    /// The name of the gateway at the other end, as authenticated by its key.
    fn peer(&self) -> &str;

    /// Whether the stream has ended: nothing more arrives, and nothing more is accepted for sending.
    fn is_closed(&self) -> bool;
}
