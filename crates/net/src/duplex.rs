//! A socket that is read and written at the same time, with a bounded buffer for what the peer is slow to take.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

use async_io::Async;
use event_listener::Event;

/// A socket whose writes never wait. What the kernel does not take at once is kept and written by [`Duplex::drain`].
#[derive(Debug)]
pub struct Duplex {
    socket: Async<TcpStream>,
    kept: RefCell<VecDeque<u8>>,
    most: usize,
    more: Event,
    closed: Cell<bool>,
    moved: Cell<Instant>,
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
            closed: Cell::new(false),
            moved: Cell::new(Instant::now()),
        }
    }

    /// Writes bytes, or keeps them; false if the connection is of no further use. It is closed then, and none of the
    /// bytes were written unless the peer did not take them all.
    pub fn send(&self, bytes: &[u8]) -> bool {
        if self.closed.get() {
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
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    drop(kept);
                    self.close();
                    return false;
                }
            }
        }
        if kept.len() + rest.len() > self.most {
            // Guards the memory against peers that ask and do not read.
            drop(kept);
            self.close();
            return false;
        }
        if !rest.is_empty() {
            kept.extend(rest);
            self.more.notify(1);
        }
        true
    }

    /// Bytes that the peer has not taken yet, and when it last took some or all had been taken.
    pub fn kept(&self) -> (usize, Instant) {
        (self.kept.borrow().len(), self.moved.get())
    }

    /// Reads once and passes what came to `take`; 0 at the end of the stream.
    ///
    /// # Errors
    /// The socket's.
    pub async fn read(&self, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
        loop {
            self.socket.readable().await?;
            let read = crate::with_scratch(|scratch| {
                let read = (&mut self.socket.get_ref()).read(scratch)?;
                take(&scratch[..read]);
                Ok(read)
            });
            match read {
                Err(e) if crate::is_passing(&e) => {}
                done => return done,
            }
        }
    }

    /// Writes what is kept whenever the peer takes more. Ends only with an error.
    pub async fn drain(&self) -> io::Error {
        loop {
            let more = self.more.listen();
            if self.kept.borrow().is_empty() {
                more.await;
                continue;
            }
            if let Err(e) = self.socket.writable().await {
                return e;
            }
            let mut kept = self.kept.borrow_mut();
            match (&mut self.socket.get_ref()).write(kept.as_slices().0) {
                Ok(n) => {
                    self.moved.set(Instant::now());
                    kept.drain(..n);
                    if kept.is_empty() {
                        *kept = VecDeque::new();
                    }
                }
                Err(e) if crate::is_passing(&e) => {}
                Err(e) => return e,
            }
        }
    }

    /// Nothing is to be read and the peer has not closed: a quiet connection that can be used.
    pub fn is_quiet(&self) -> bool {
        let peeked = self.socket.get_ref().peek(&mut [0]);
        !self.closed.get() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// The peer has not closed or reset it, as far as can be seen.
    pub fn is_alive(&self) -> bool {
        let peeked = self.socket.get_ref().peek(&mut [0]);
        !self.closed.get() && peeked.map_or_else(|e| e.kind() == io::ErrorKind::WouldBlock, |n| n > 0)
    }

    /// Ends the connection; a reader sees the end of the stream.
    pub fn close(&self) {
        self.closed.set(true);
        // What the peer has not taken is lost with it, and counts no more.
        self.kept.take();
        self.socket.get_ref().shutdown(Shutdown::Both).ok();
    }

    /// It has been ended from this side.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    #[test]
    fn a_peer_that_does_not_read_is_closed_and_holds_nothing() {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("its address");
        let peer = TcpStream::connect(address).expect("a connection");
        let (socket, _) = listener.accept().expect("its other end");
        let duplex = Duplex::new(Async::new(socket).expect("a socket"), 100_000);
        let mut sent = 0;
        while duplex.send(&[7; 10_000]) {
            sent += 10_000;
            assert!(duplex.kept().0 <= 100_000 && sent < 1 << 30, "{sent} sent, {} kept", duplex.kept().0);
        }
        assert!(sent > 100_000 && duplex.is_closed() && duplex.kept().0 == 0);
        assert!(!duplex.send(b"more") && !duplex.is_alive());
        drop(peer);
    }
}
