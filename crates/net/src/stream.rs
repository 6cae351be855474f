//! Options and writes that all TCP streams of a gateway share.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncWriteExt;
use socket2::SockRef;

/// Bytes that the kernel queues beyond those that the peer's receive window allows it to send. A small queue
/// makes the progress of a slow peer visible to this process, without limiting what is on its way to a fast one.
const KERNEL_QUEUE_BYTES: u32 = 64 << 10;

/// Sets the options of a stream: small writes leave at once, and the kernel accepts bytes at the pace of the
/// peer.
pub fn set_stream_options(socket: &TcpStream) {
    socket.set_nodelay(true).ok();
    // Where the option is not known, progress shows in larger steps.
    SockRef::from(socket).set_tcp_notsent_lowat(KERNEL_QUEUE_BYTES).ok();
}

/// Writes all of `bytes` at the pace of the peer, which must accept some of them within each `max_stall`. A peer
/// that reads slowly is served to the end; one that does not read is found by the time without progress.
///
/// # Errors
/// If the socket fails, or with [`io::ErrorKind::TimedOut`] if the peer stalls; some of the bytes may have been
/// sent then.
pub async fn write_all(socket: &Async<TcpStream>, bytes: &[u8], max_stall: Duration) -> io::Result<()> {
    write(socket, bytes, Some(max_stall)).await
}

/// Writes all of `bytes`, with a limit for the time without progress if one is given.
pub(crate) async fn write(
    mut socket: &Async<TcpStream>,
    bytes: &[u8],
    max_stall: Option<Duration>,
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = match max_stall {
            Some(max_stall) => crate::timeout(max_stall, socket.write(rest)).await,
            None => Some(socket.write(rest).await),
        };
        match written.ok_or(io::ErrorKind::TimedOut)?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => rest = &rest[written..],
        }
    }
    Ok(())
}
