//! A socket that is read and written concurrently, with a buffer for bytes that the peer is slow to read.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use violetward_overload::Charge;

use crate::SocketErrorKind;

/// Bytes that [`Duplex::finish`] discards at most. A peer that sends more is disconnected.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// A full buffer grows by its size divided by this.
const GROWTH_DIVISOR: usize = 8;

/// A socket whose writes never wait: bytes that the kernel does not accept at once are buffered until
/// [`Duplex::run_writer`] writes them.
///
/// The buffer has no limit of its own, since the number of buffered bytes does not tell a peer that does not
/// read from one that has asked for much. [`Duplex::stalled_since`] does. The owner bounds the memory of all
/// its connections together, by the [`Charge`] that the buffer's memory is counted in.
///
/// [`Duplex::close`] followed by [`Duplex::finish`] shuts the connection down in order: buffered bytes are
/// still sent, and bytes that the peer sends meanwhile are discarded, so that no reset overtakes the last
/// answer. [`Duplex::abort`] drops the connection at once. After either, [`Duplex::read`] returns no more
/// data even if the kernel still holds some: nothing that a peer sends to a closed connection is acted upon.
#[derive(Debug)]
pub struct Duplex {
    socket: Async<TcpStream>,
    unsent: RefCell<VecDeque<u8>>,
    /// Counts the memory of `unsent`.
    charge: Charge,
    /// Notified when bytes have been added to `unsent`.
    unsent_added: Event,
    /// Notified when the last byte of `unsent` was written, and when the connection is closed.
    all_sent: Event,
    state: Cell<State>,
    /// Notified when the state changes from [`State::Open`].
    closed: Event,
    /// When the kernel last accepted bytes, or when bytes began to wait in an empty buffer.
    last_progress: Cell<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing more is read or accepted for sending; the unsent bytes are still sent.
    Closing,
    /// Nothing more is read or sent; the unsent bytes have been dropped.
    Aborted,
}

/// Makes room for more bytes. Grows by less than a vector does: what is allocated counts.
fn reserve(buffer: &mut VecDeque<u8>, additional: usize) {
    let (needed, capacity) = (buffer.len() + additional, buffer.capacity());
    if needed > capacity {
        let grown = needed.max(capacity + capacity / GROWTH_DIVISOR);
        buffer.reserve_exact(grown - buffer.len());
    }
}

impl Duplex {
    /// Wraps a socket. The memory of buffered bytes is counted in `charge`.
    pub fn new(socket: Async<TcpStream>, charge: Charge) -> Self {
        crate::set_stream_options(socket.get_ref());
        Duplex {
            socket,
            unsent: RefCell::default(),
            charge,
            unsent_added: Event::new(),
            all_sent: Event::new(),
            state: Cell::new(State::Open),
            closed: Event::new(),
            last_progress: Cell::new(Instant::now()),
        }
    }

    /// Writes bytes to the socket and buffers the rest. Returns false if the connection is closed, or has to
    /// be aborted because the socket failed; a part of the bytes may have been sent in the latter case.
    pub fn send(&self, bytes: &[u8]) -> bool {
        if self.is_closed() {
            return false;
        }
        let mut unsent = self.unsent.borrow_mut();
        let mut rest = bytes;
        while unsent.is_empty() && !rest.is_empty() {
            match (&mut self.socket.get_ref()).write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if SocketErrorKind::of(&e).is_transient() => break,
                Err(_) => {
                    drop(unsent);
                    self.abort();
                    return false;
                }
            }
        }
        if !rest.is_empty() {
            if unsent.is_empty() {
                self.last_progress.set(Instant::now());
            }
            reserve(&mut unsent, rest.len());
            unsent.extend(rest);
            self.charge.set(unsent.capacity());
            self.unsent_added.notify(1);
        }
        true
    }

    /// The number of buffered bytes.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.borrow().len()
    }

    /// Since when the kernel has accepted none of the buffered bytes; `None` if none are buffered. Tries to
    /// write some first: this process may have been stopped while the peer was reading.
    pub fn stalled_since(&self) -> Option<Instant> {
        if self.unsent.borrow().is_empty() {
            return None;
        }
        // The writer finds out about errors.
        self.try_write_unsent().ok();
        (!self.unsent.borrow().is_empty()).then(|| self.last_progress.get())
    }

    /// Waits until no bytes are buffered or this side has closed the connection.
    pub async fn wait_all_sent(&self) {
        loop {
            let all_sent = self.all_sent.listen();
            if self.unsent.borrow().is_empty() || self.is_closed() {
                return;
            }
            all_sent.await;
        }
    }

    /// Reads once and passes the bytes to `consume`. Returns 0 at the end of the stream and once this side
    /// has closed or aborted the connection.
    ///
    /// # Errors
    /// If the socket fails.
    pub async fn read(&self, mut consume: impl FnMut(&[u8])) -> io::Result<usize> {
        loop {
            let closed = self.closed.listen();
            if self.is_closed() {
                return Ok(0);
            }
            let readable = async {
                self.socket.readable().await?;
                Ok(true)
            };
            let closed = async {
                closed.await;
                Ok::<_, io::Error>(false)
            };
            if !future::or(closed, readable).await? || self.is_closed() {
                return Ok(0);
            }
            let read = crate::with_read_buffer(|buffer| {
                let read = (&mut self.socket.get_ref()).read(buffer)?;
                consume(&buffer[..read]);
                Ok(read)
            });
            match read {
                Err(e) if crate::should_retry(&e).await => {}
                result => return result,
            }
        }
    }

    /// Writes the buffered bytes whenever the socket accepts more, and calls `on_progress` each time. Returns
    /// only when the socket fails.
    pub async fn run_writer(&self, on_progress: impl Fn()) -> io::Error {
        loop {
            let unsent_added = self.unsent_added.listen();
            if self.unsent.borrow().is_empty() {
                unsent_added.await;
            } else if let Err(e) = self.write_unsent().await {
                return e;
            } else {
                on_progress();
            }
        }
    }

    /// Waits until the socket is writable, then writes some of the buffered bytes.
    async fn write_unsent(&self) -> io::Result<()> {
        self.socket.writable().await?;
        match self.try_write_unsent() {
            Err(e) if crate::should_retry(&e).await => Ok(()),
            result => result,
        }
    }

    /// Writes as many of the buffered bytes as the socket accepts in one call.
    fn try_write_unsent(&self) -> io::Result<()> {
        let mut unsent = self.unsent.borrow_mut();
        if unsent.is_empty() {
            return Ok(());
        }
        let written = (&mut self.socket.get_ref()).write(unsent.as_slices().0)?;
        self.last_progress.set(Instant::now());
        unsent.drain(..written);
        if unsent.is_empty() {
            *unsent = VecDeque::new();
            self.all_sent.notify(usize::MAX);
        } else if unsent.len() < unsent.capacity() / 4 {
            let twice = 2 * unsent.len();
            unsent.shrink_to(twice);
        }
        self.charge.set(unsent.capacity());
        Ok(())
    }

    /// Whether the connection is open at both ends and no received data is left to read.
    pub fn is_idle(&self) -> bool {
        let peeked = crate::peek(self.socket.get_ref());
        !self.is_closed() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the connection is open and the next read would return neither the end of the stream nor an
    /// error.
    pub fn is_alive(&self) -> bool {
        let peeked = crate::peek(self.socket.get_ref());
        !self.is_closed() && peeked.map_or_else(|e| SocketErrorKind::of(&e).is_transient(), |n| n > 0)
    }

    /// Whether the peer has ended its side of the connection, or the connection broke, also if received data is
    /// left to read: reading alone finds the end only behind that data.
    pub fn has_peer_closed(&self) -> bool {
        let mut sockets = [PollFd::new(self.socket.get_ref(), PollFlags::RDHUP)];
        // A call that fails tells nothing of the peer.
        let polled = poll(&mut sockets, Some(&Timespec::default()));
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_ok() && sockets[0].revents().intersects(ends)
    }

    /// Whether received data, or the end of the stream, is left to read.
    pub fn has_unread_input(&self) -> bool {
        let mut sockets = [PollFd::new(self.socket.get_ref(), PollFlags::IN)];
        // A call that fails tells nothing of the input.
        let polled = poll(&mut sockets, Some(&Timespec::default()));
        polled.is_ok() && sockets[0].revents().contains(PollFlags::IN)
    }

    /// Begins an orderly shutdown: nothing more is read or accepted for sending, and the peer sees the end of
    /// the stream after the last buffered byte. [`Duplex::finish`] completes it.
    pub fn close(&self) {
        if self.is_closed() {
            return;
        }
        self.state.set(State::Closing);
        self.closed.notify(usize::MAX);
        self.all_sent.notify(usize::MAX);
        if self.unsent.borrow().is_empty() {
            self.socket.get_ref().shutdown(Shutdown::Write).ok();
        }
    }

    /// Shuts both directions down at once and drops the buffered bytes.
    pub fn abort(&self) {
        self.drop_unsent();
        self.socket.get_ref().shutdown(Shutdown::Both).ok();
    }

    /// Drops the buffered bytes, and lets the connection be reset when the socket is dropped: bytes that the peer
    /// has not received by then are dropped by the kernel too. After an abort the kernel goes on to send them,
    /// for minutes if the network is cut.
    pub fn reset(&self) {
        if SockRef::from(self.socket.get_ref()).set_linger(Some(Duration::ZERO)).is_err() {
            return self.abort();
        }
        self.drop_unsent();
    }

    /// Ends reading and writing, and drops the buffered bytes.
    fn drop_unsent(&self) {
        self.state.set(State::Aborted);
        self.unsent.take();
        self.charge.set(0);
        self.closed.notify(usize::MAX);
        self.all_sent.notify(usize::MAX);
    }

    /// Completes an orderly shutdown: sends the buffered bytes, ends the stream, then discards what the peer
    /// sends until the peer closes too. Closing a socket with unread bytes would reset the connection, and
    /// the reset could overtake the bytes sent last. Gives up when none of the buffered bytes could be sent
    /// for the time `limit`, or the peer does not close within that time. Returns at once after
    /// [`Duplex::abort`].
    pub async fn finish(&self, limit: Duration) {
        self.close();
        if self.state.get() != State::Closing {
            return;
        }
        // A failure means that the peer is gone already: nothing is left to send or to wait for.
        while self.unsent_bytes() > 0 {
            if !matches!(crate::timeout(limit, self.write_unsent()).await, Some(Ok(()))) {
                return;
            }
        }
        if self.socket.get_ref().shutdown(Shutdown::Write).is_ok() {
            let _: Option<io::Result<()>> = crate::timeout(limit, self.discard()).await;
        }
    }

    /// Reads and discards data until the peer closes or [`MAX_DISCARDED_BYTES`] have been discarded.
    async fn discard(&self) -> io::Result<()> {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match crate::with_read_buffer(|buffer| (&mut self.socket.get_ref()).read(buffer)) {
                Ok(0) => return Ok(()),
                Ok(read) => discarded += read,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.socket.readable().await?,
                Err(e) if crate::should_retry(&e).await => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether this side has closed or aborted the connection.
    pub fn is_closed(&self) -> bool {
        self.state.get() != State::Open
    }
}
