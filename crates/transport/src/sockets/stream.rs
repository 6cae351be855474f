//! A stream of records over TCP.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use violetward_net::{Alarm, Clock};

use super::Endpoint;
use crate::session::{CloseReason, Identity, Session};
use crate::{Micros, Records, SendError, MAX_RECORD_BYTES};

/// Most bytes in one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The state that the task of a stream and its owner share.
pub(super) struct Connection {
    session: RefCell<Session>,
    clock: Clock,
    alarm: Alarm,
    /// There is output to write.
    output_ready: Event,
    /// Output was written, or the stream has ended.
    output_written: Event,
    /// Bytes were received, or the stream has ended.
    received: Event,
    /// The queue of received records has space.
    receive_space: Event,
    ended: Event,
}

impl Connection {
    /// Changes the session and notifies the tasks that wait for the result.
    pub(super) fn update<T>(&self, act: impl FnOnce(&mut Session, Micros) -> T) -> T {
        let mut session = self.session.borrow_mut();
        let result = act(&mut session, self.clock.now());
        if session.close_reason().is_some() {
            for event in [&self.ended, &self.received, &self.output_written] {
                event.notify(usize::MAX);
            }
        }
        if session.has_output() {
            self.output_ready.notify(1);
        }
        if !session.is_full() {
            self.receive_space.notify(1);
        }
        self.alarm.set(Some(session.next_wake()));
        result
    }

    fn inspect<T>(&self, inspect: impl FnOnce(&Session) -> T) -> T {
        inspect(&self.session.borrow())
    }

    async fn run(self: Rc<Self>, socket: Async<TcpStream>) {
        socket.get_ref().set_nodelay(true).ok();
        let work = future::or(self.read(&socket), self.write(&socket));
        let reason = future::or(
            self.wait_until(&self.ended, Session::close_reason),
            future::or(work, self.run_timer()),
        )
        .await;
        self.update(|session, _| session.close(reason));
    }

    /// Waits until `condition` returns a value, checking it after each `event`.
    async fn wait_until<T>(&self, event: &Event, condition: impl Fn(&Session) -> Option<T>) -> T {
        loop {
            let listener = event.listen();
            if let Some(found) = self.inspect(&condition) {
                return found;
            }
            listener.await;
        }
    }

    async fn read(&self, mut socket: &Async<TcpStream>) -> CloseReason {
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        loop {
            self.wait_until(&self.receive_space, |session| (!session.is_full()).then_some(())).await;
            match socket.read(&mut bytes).await {
                Ok(0) | Err(_) => return CloseReason::Disconnected,
                Ok(size) => self.update(|session, now| session.receive(&bytes[..size], now)),
            }
            self.received.notify(usize::MAX);
            // Otherwise a fast sender would starve the other tasks of the thread.
            future::yield_now().await;
        }
    }

    async fn write(&self, mut socket: &Async<TcpStream>) -> CloseReason {
        loop {
            self.wait_until(&self.output_ready, |session| session.has_output().then_some(())).await;
            let bytes = self.update(Session::take_output);
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                match socket.write(rest).await {
                    Ok(0) | Err(_) => return CloseReason::Disconnected,
                    Ok(size) => {
                        self.update(|session, now| session.written(size, now));
                        self.output_written.notify(usize::MAX);
                        rest = &rest[size..];
                    }
                }
            }
        }
    }

    async fn run_timer(&self) -> CloseReason {
        loop {
            self.alarm.wait(&self.clock, || Some(self.inspect(Session::next_wake))).await;
            self.update(Session::on_timer);
        }
    }
}

/// A record stream over TCP. Dropping it closes the stream.
pub struct Stream {
    connection: Rc<Connection>,
    peer: Identity,
}

/// Connects to another gateway and returns the stream once that gateway is authenticated.
///
/// # Errors
/// Why no stream could be opened.
pub async fn dial(endpoint: &Rc<Endpoint>, to: SocketAddr) -> Result<Stream, CloseReason> {
    let timeout = Duration::from_micros(endpoint.timeouts.handshake);
    let connected = violetward_net::timeout(timeout, Async::<TcpStream>::connect(to)).await;
    let socket = connected.ok_or(CloseReason::TimedOut)?.map_err(|_| CloseReason::Disconnected)?;
    start_handshake(endpoint, socket, true).complete().await
}

/// Opens a stream on an accepted connection and returns it once the other end is authenticated.
///
/// # Errors
/// Why no stream could be opened.
pub async fn accept(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>) -> Result<Stream, CloseReason> {
    start_accept(endpoint, socket).complete().await
}

/// Starts the handshake on an accepted connection.
pub(super) fn start_accept(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>) -> Handshake {
    start_handshake(endpoint, socket, false)
}

fn start_handshake(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>, connects: bool) -> Handshake {
    let make = if connects { Session::connect } else { Session::accept };
    let (identity, keys) = (endpoint.identity.clone(), endpoint.keys.borrow().clone());
    let session = make(identity, keys, endpoint.timeouts, rand::random(), endpoint.clock.now());
    let connection = Rc::new(Connection {
        session: RefCell::new(session),
        clock: endpoint.clock,
        alarm: Alarm::default(),
        output_ready: Event::new(),
        output_written: Event::new(),
        received: Event::new(),
        receive_space: Event::new(),
        ended: Event::new(),
    });
    let mut streams = endpoint.streams.borrow_mut();
    streams.retain(|connection| connection.strong_count() > 0);
    streams.push(Rc::downgrade(&connection));
    endpoint.spawn(connection.clone().run(socket));
    Handshake(connection)
}

/// A stream whose other end is not authenticated yet.
pub(super) struct Handshake(Rc<Connection>);

impl Handshake {
    /// Waits until the other end is authenticated.
    pub(super) async fn complete(self) -> Result<Stream, CloseReason> {
        let outcome = |session: &Session| match (session.close_reason(), session.peer()) {
            (Some(reason), _) => Some(Err(reason)),
            (None, Some(peer)) if session.is_open() => Some(Ok(peer.clone())),
            _ => None,
        };
        let peer = self.0.wait_until(&self.0.received, outcome).await?;
        Ok(Stream { connection: self.0.clone(), peer })
    }

    /// A function that closes the stream, if it still exists.
    pub(super) fn closer(&self) -> impl Fn() {
        let connection = Rc::downgrade(&self.0);
        move || {
            if let Some(connection) = connection.upgrade() {
                connection.update(|session, _| session.close(CloseReason::Closed));
            }
        }
    }
}

impl Stream {
    /// Waits for the next record; `None` once the stream has ended and all received records were taken.
    pub async fn recv(&self) -> Option<Vec<u8>> {
        loop {
            let received = self.connection.received.listen();
            if let Some(record) = self.connection.update(|session, _| session.next_record()) {
                return Some(record);
            }
            if self.connection.inspect(Session::close_reason).is_some() {
                return None;
            }
            received.await;
        }
    }

    /// Queues a record for sending, as [`Records::send`] does.
    ///
    /// # Errors
    /// Why it was not accepted.
    pub fn send(&self, record: &[u8]) -> Result<(), SendError> {
        self.connection.update(|session, _| session.send(record))
    }

    /// Waits until some output was written, or the stream has ended.
    pub async fn wait_for_space(&self) {
        let written = self.connection.output_written.listen();
        if self.close_reason().is_none() {
            written.await;
        }
    }

    /// Bytes that are queued for sending.
    pub fn queued_bytes(&self) -> usize {
        self.connection.inspect(Session::queued_bytes)
    }

    /// The authenticated identity of the other end.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Why the stream has ended, if it has.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.connection.inspect(Session::close_reason)
    }

    /// Closes the stream. Records that were received can still be taken.
    pub fn close(&self) {
        self.connection.update(|session, _| session.close(CloseReason::Closed));
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.close();
    }
}

impl Records for Stream {
    fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(SendError::TooLong);
        }
        Stream::send(self, record)
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        self.connection.update(|session, _| session.next_record())
    }

    fn peer(&self) -> &str {
        &self.peer.name
    }

    fn is_closed(&self) -> bool {
        self.close_reason().is_some()
    }
}
