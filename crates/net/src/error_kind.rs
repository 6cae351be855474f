//! What the error of a call on a socket says: the one place where error numbers are looked at.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// What the error of a call on a socket says, for whoever made the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// The call was interrupted, or there is nothing yet. The same call again is good.
    Retry,
    /// This machine is short of something: descriptors, memory, buffers, ports. It says nothing of the peer; the same call
    /// is good once there is room.
    ResourceShortage,
    /// There is no way to the peer now. In connecting nothing was sent; a connection that was up is broken.
    Unreachable,
    /// The peer's machine takes no such connection. In connecting nothing was sent; a connection that was up is broken.
    Refused,
    /// The connection broke: what was sent on it may have been read.
    Broken,
}

impl SocketErrorKind {
    /// What an error says.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::Interrupted | ErrorKind::WouldBlock => SocketErrorKind::Retry,
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable => SocketErrorKind::ResourceShortage,
            ErrorKind::ConnectionRefused => SocketErrorKind::Refused,
            _ => Errno::from_io_error(error).map_or(SocketErrorKind::Broken, SocketErrorKind::of_number),
        }
    }

    fn of_number(number: Errno) -> Self {
        match number {
            Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM => SocketErrorKind::ResourceShortage,
            Errno::NETUNREACH | Errno::NETDOWN | Errno::HOSTUNREACH | Errno::HOSTDOWN => {
                SocketErrorKind::Unreachable
            }
            _ => SocketErrorKind::Broken,
        }
    }

    /// The socket is as good as before, and the call may be made again.
    pub fn is_transient(self) -> bool {
        matches!(self, SocketErrorKind::Retry | SocketErrorKind::ResourceShortage)
    }
}
