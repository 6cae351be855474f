//! A socket that is read and written at the same time, with a bounded buffer for what the peer is slow to take.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;

use crate::SocketErrorKind;

/// Bytes that [`Duplex::finish`] reads and discards at most: a peer that goes on sending is cut off beyond it.
const DISCARD_BYTES: usize = 256 << 10;

/// A socket whose writes never wait: bytes that the kernel does not take at once are buffered until
/// [`Duplex::run_writer`] writes them.
///
/// It ends in one of two ways. [`Duplex::close`] followed by [`Duplex::finish`] is the orderly one: what is kept is
/// still sent, and bytes of the peer that cross the close are discarded, so that no reset overtakes the last answer.
/// [`Duplex::abort`] gives the connection up at once. After either one [`Duplex::read`] yields nothing any more, even
/// if the kernel still holds bytes: what a peer sends to a closed connection is never acted upon.
#[derive(Debug)]
pub struct Duplex {
    socket: Async<TcpStream>,
    kept: RefCell<VecDeque<u8>>,
    most: usize,
    more: Event,
    state: Cell<State>,
    /// Told when the state is no longer [`State::Open`].
    ended: Event,
    moved: Cell<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing more is read or accepted for sending; what is kept is still sent.
    Closing,
    /// Given up: what was kept is lost.
    Aborted,
}

impl Duplex {
    /// Wraps a socket; up to `most` bytes are kept for a peer that does not read.
    pub fn new(socket: Async<TcpStream>, most: usize) -> Self {
        socket.get_ref().set_nodelay(true).ok();
        Duplex {
            socket,
            kept: RefCell::default(),
            most,
            more: Event::new(),
            state: Cell::new(State::Open),
            ended: Event::new(),
            moved: Cell::new(Instant::now()),
        }
    }

    /// Writes bytes, or keeps them; false if the connection is of no further use. It is given up then, and none of the
    /// bytes were written unless the peer did not take them all.
    pub fn send(&self, bytes: &[u8]) -> bool {
        if self.is_closed() {
            return false;
        }
        let mut kept = self.kept.borrow_mut();
        let mut rest = bytes;
        while kept.is_empty() && !rest.is_empty() {
            match (&mut self.socket.get_ref()).write(rest) {
                Ok(n) => {
                    self.moved.set(Instant::now());
                    rest = &rest[n..];
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if SocketErrorKind::of(&e).is_transient() => break,
                Err(_) => {
                    drop(kept);
                    self.abort();
                    return false;
                }
            }
        }
        if kept.len() + rest.len() > self.most {
            // Guards the memory against peers that ask and do not read.
            drop(kept);
            self.abort();
            return false;
        }
        if !rest.is_empty() {
            kept.extend(rest);
            self.more.notify(1);
        }
        true
    }

    /// Bytes that the peer has not taken yet, and when it last took some or all had been taken.
    pub fn unsent(&self) -> (usize, Instant) {
        (self.kept.borrow().len(), self.moved.get())
    }

    /// Reads once and passes what came to `take`; 0 at the end of the stream, and once this side has ended it.
    ///
    /// # Errors
    /// The socket's.
    pub async fn read(&self, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
        loop {
            let ended = self.ended.listen();
            if self.is_closed() {
                return Ok(0);
            }
            let readable = async {
                self.socket.readable().await?;
                Ok(true)
            };
            let ended = async {
                ended.await;
                Ok::<_, io::Error>(false)
            };
            if !future::or(ended, readable).await? || self.is_closed() {
                return Ok(0);
            }
            let read = crate::with_scratch(|scratch| {
                let read = (&mut self.socket.get_ref()).read(scratch)?;
                take(&scratch[..read]);
                Ok(read)
            });
            match read {
                Err(e) if crate::may_repeat(&e).await => {}
                done => return done,
            }
        }
    }

    /// Writes what is kept whenever the peer takes more. Ends only with an error.
    pub async fn run_writer(&self) -> io::Error {
        loop {
            let more = self.more.listen();
            if self.kept.borrow().is_empty() {
                more.await;
            } else if let Err(e) = self.write_kept().await {
                return e;
            }
        }
    }

    /// Writes some of what is kept, as soon as the peer takes it.
    async fn write_kept(&self) -> io::Result<()> {
        self.socket.writable().await?;
        let written = (&mut self.socket.get_ref()).write(self.kept.borrow().as_slices().0);
        match written {
            Ok(n) => {
                self.moved.set(Instant::now());
                let mut kept = self.kept.borrow_mut();
                kept.drain(..n);
                if kept.is_empty() {
                    *kept = VecDeque::new();
                }
                Ok(())
            }
            Err(e) if crate::may_repeat(&e).await => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Nothing is to be read and the peer has not closed: a quiet connection that can be used.
    pub fn is_idle(&self) -> bool {
        let peeked = crate::peek(self.socket.get_ref());
        !self.is_closed() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// The peer has not closed or reset it, as far as can be seen.
    pub fn is_alive(&self) -> bool {
        let peeked = crate::peek(self.socket.get_ref());
        !self.is_closed() && peeked.map_or_else(|e| SocketErrorKind::of(&e).is_transient(), |n| n > 0)
    }

    /// Begins an orderly end: nothing more is read, nothing more is accepted for sending, and the peer sees the end of
    /// the stream behind what was sent. [`Duplex::finish`] completes it.
    pub fn close(&self) {
        if self.is_closed() {
            return;
        }
        self.state.set(State::Closing);
        self.ended.notify(usize::MAX);
        if self.kept.borrow().is_empty() {
            self.socket.get_ref().shutdown(Shutdown::Write).ok();
        }
    }

    /// Gives the connection up: what the peer has not taken is lost.
    pub fn abort(&self) {
        self.state.set(State::Aborted);
        self.kept.take();
        self.ended.notify(usize::MAX);
        self.socket.get_ref().shutdown(Shutdown::Both).ok();
    }

    /// Completes an orderly end within a time: sends what is kept, ends the stream, then discards what the peer still
    /// sends until the peer has closed too. Closing a socket over unread bytes would reset the connection, and the reset
    /// could overtake what was sent last. Nothing is waited for after [`Duplex::abort`].
    pub async fn finish(&self, within: Duration) {
        self.close();
        let orderly = async {
            while self.unsent().0 > 0 {
                self.write_kept().await?;
            }
            self.socket.get_ref().shutdown(Shutdown::Write)?;
            self.discard().await
        };
        if self.state.get() == State::Closing {
            // The peer may be gone already; then there is nothing left to be orderly about.
            let _: Option<io::Result<()>> = crate::timeout(within, orderly).await;
        }
    }

    /// Reads and drops what comes, until the peer's end or a bound of bytes.
    async fn discard(&self) -> io::Result<()> {
        let mut discarded = 0;
        while discarded < DISCARD_BYTES {
            match crate::with_scratch(|scratch| (&mut self.socket.get_ref()).read(scratch)) {
                Ok(0) => return Ok(()),
                Ok(n) => discarded += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.socket.readable().await?,
                Err(e) if crate::may_repeat(&e).await => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// It has been ended from this side.
    pub fn is_closed(&self) -> bool {
        self.state.get() != State::Open
    }
}
