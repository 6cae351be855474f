//! What the error of a call on a socket says: the one place where error numbers are looked at.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// What the error of a call on a socket says, for whoever made the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketFault {
    /// The call was interrupted, or there is nothing yet. The same call again is good.
    Passing,
    /// This machine is short of something: descriptors, memory, buffers, ports. It says nothing of the peer; the same call
    /// is good once there is room.
    Shortage,
    /// There is no way to the peer now. In connecting nothing was sent; a connection that was up is broken.
    Unreachable,
    /// The peer's machine takes no such connection. In connecting nothing was sent; a connection that was up is broken.
    Refused,
    /// The connection broke: what was sent on it may have been read.
    Broken,
}

impl SocketFault {
    /// What an error says.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::Interrupted | ErrorKind::WouldBlock => SocketFault::Passing,
            ErrorKind::OutOfMemory | ErrorKind::AddrNotAvailable => SocketFault::Shortage,
            ErrorKind::ConnectionRefused => SocketFault::Refused,
            _ => Errno::from_io_error(error).map_or(SocketFault::Broken, SocketFault::of_number),
        }
    }

    fn of_number(number: Errno) -> Self {
        match number {
            Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM => SocketFault::Shortage,
            Errno::NETUNREACH | Errno::NETDOWN | Errno::HOSTUNREACH | Errno::HOSTDOWN => {
                SocketFault::Unreachable
            }
            _ => SocketFault::Broken,
        }
    }

    /// The socket is as good as before, and the call may be made again.
    pub fn is_transient(self) -> bool {
        matches!(self, SocketFault::Passing | SocketFault::Shortage)
    }
}
