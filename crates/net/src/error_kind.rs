//! Classification of socket errors. No other module interprets error numbers.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// What a failed socket call means for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// The call was interrupted or would have blocked; it can be repeated.
    Retry,
    /// The local machine has run out of descriptors, memory, buffers or ports. The peer is not at fault; the
    /// call can be repeated once the resource is available.
    ResourceShortage,
    /// There is no route to the peer at present. Nothing was sent if the call was a connect; an established
    /// connection is broken.
    Unreachable,
    /// The peer's machine refused the connection. Nothing was sent if the call was a connect; an established
    /// connection is broken.
    Refused,
    /// The connection is broken. The peer may have read what was sent on it.
    Broken,
}

impl SocketErrorKind {
    /// Classifies the error of a socket call.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::Interrupted | ErrorKind::WouldBlock => SocketErrorKind::Retry,
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable => SocketErrorKind::ResourceShortage,
            ErrorKind::ConnectionRefused => SocketErrorKind::Refused,
            _ => Errno::from_io_error(error).map_or(SocketErrorKind::Broken, SocketErrorKind::of_errno),
        }
    }

    fn of_errno(errno: Errno) -> Self {
        match errno {
            Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM => SocketErrorKind::ResourceShortage,
            Errno::NETUNREACH | Errno::NETDOWN | Errno::HOSTUNREACH | Errno::HOSTDOWN => {
                SocketErrorKind::Unreachable
            }
            _ => SocketErrorKind::Broken,
        }
    }

    /// Whether the socket is still usable and the call can be repeated.
    pub fn is_transient(self) -> bool {
        matches!(self, SocketErrorKind::Retry | SocketErrorKind::ResourceShortage)
    }
}
