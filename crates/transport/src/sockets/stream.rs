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

/// Octets read at once.
const READ: usize = 16 << 10;

/// What the task of a stream and its owner share.
pub(super) struct Line {
    session: RefCell<Session>,
    clock: Clock,
    alarm: Alarm,
    /// There is something to write; something was written; something has come; there is room to read; it is over.
    more: Event,
    less: Event,
    come: Event,
    room: Event,
    over: Event,
}

impl Line {
    /// Acts on the session and wakes whoever waits for what follows.
    pub(super) fn touch<T>(&self, act: impl FnOnce(&mut Session, Micros) -> T) -> T {
        let mut session = self.session.borrow_mut();
        let result = act(&mut session, self.clock.now());
        if session.close_reason().is_some() {
            for event in [&self.over, &self.come, &self.less] {
                event.notify(usize::MAX);
            }
        }
        if session.has_output() {
            self.more.notify(1);
        }
        if !session.is_full() {
            self.room.notify(1);
        }
        self.alarm.set(Some(session.next_wake()));
        result
    }

    fn look<T>(&self, look: impl FnOnce(&Session) -> T) -> T {
        look(&self.session.borrow())
    }

    async fn run(self: Rc<Self>, socket: Async<TcpStream>) {
        socket.get_ref().set_nodelay(true).ok();
        let work = future::or(self.read(&socket), self.write(&socket));
        let why =
            future::or(self.until(&self.over, Session::close_reason), future::or(work, self.watch())).await;
        self.touch(|session, _| session.close(why));
    }

    /// Waits on an event until something can be said of the session.
    async fn until<T>(&self, event: &Event, look: impl Fn(&Session) -> Option<T>) -> T {
        loop {
            let listener = event.listen();
            if let Some(found) = self.look(&look) {
                return found;
            }
            listener.await;
        }
    }

    async fn read(&self, mut socket: &Async<TcpStream>) -> CloseReason {
        let mut bytes = vec![0; READ];
        loop {
            self.until(&self.room, |session| (!session.is_full()).then_some(())).await;
            match socket.read(&mut bytes).await {
                Ok(0) | Err(_) => return CloseReason::Disconnected,
                Ok(size) => self.touch(|session, now| session.receive(&bytes[..size], now)),
            }
            self.come.notify(usize::MAX);
            // A flood must not keep the thread's other tasks waiting.
            future::yield_now().await;
        }
    }

    async fn write(&self, mut socket: &Async<TcpStream>) -> CloseReason {
        loop {
            self.until(&self.more, |session| session.has_output().then_some(())).await;
            let bytes = self.touch(Session::take_output);
            let mut rest = &bytes[..];
            while !rest.is_empty() {
                match socket.write(rest).await {
                    Ok(0) | Err(_) => return CloseReason::Disconnected,
                    Ok(size) => {
                        self.touch(|session, now| session.written(size, now));
                        self.less.notify(usize::MAX);
                        rest = &rest[size..];
                    }
                }
            }
        }
    }

    async fn watch(&self) -> CloseReason {
        loop {
            self.alarm.wait(&self.clock, || Some(self.look(Session::next_wake))).await;
            self.touch(Session::on_timer);
        }
    }
}

/// A stream of records over TCP. It ends when it is dropped.
pub struct Stream {
    line: Rc<Line>,
    peer: Identity,
}

/// Calls a endpoint and proves itself; the other end is proved when this returns well.
///
/// # Errors
/// Why there is no stream.
pub async fn dial(endpoint: &Rc<Endpoint>, to: SocketAddr) -> Result<Stream, CloseReason> {
    let span = Duration::from_micros(endpoint.timeouts.handshake);
    let connected = violetward_net::timeout(span, Async::<TcpStream>::connect(to)).await;
    let socket = connected.ok_or(CloseReason::TimedOut)?.map_err(|_| CloseReason::Disconnected)?;
    start(endpoint, socket, true).opened().await
}

/// Proves itself on a connection that came in; the other end is proved when this returns well.
///
/// # Errors
/// Why there is no stream.
pub async fn accept(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>) -> Result<Stream, CloseReason> {
    accepted(endpoint, socket).opened().await
}

/// The end of a connection that came in, not proved yet.
pub(super) fn accepted(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>) -> Unproved {
    start(endpoint, socket, false)
}

fn start(endpoint: &Rc<Endpoint>, socket: Async<TcpStream>, calls: bool) -> Unproved {
    let make = if calls { Session::connect } else { Session::accept };
    let (identity, keys) = (endpoint.identity.clone(), endpoint.keys.borrow().clone());
    let session = make(identity, keys, endpoint.timeouts, rand::random(), endpoint.clock.now());
    let line = Rc::new(Line {
        session: RefCell::new(session),
        clock: endpoint.clock,
        alarm: Alarm::default(),
        more: Event::new(),
        less: Event::new(),
        come: Event::new(),
        room: Event::new(),
        over: Event::new(),
    });
    let mut streams = endpoint.streams.borrow_mut();
    streams.retain(|line| line.strong_count() > 0);
    streams.push(Rc::downgrade(&line));
    endpoint.spawn(line.clone().run(socket));
    Unproved(line)
}

/// A stream whose other end has not proved itself yet.
pub(super) struct Unproved(Rc<Line>);

impl Unproved {
    /// Waits for the proof.
    pub(super) async fn opened(self) -> Result<Stream, CloseReason> {
        let proved = |session: &Session| match (session.close_reason(), session.peer()) {
            (Some(why), _) => Some(Err(why)),
            (None, Some(peer)) if session.is_open() => Some(Ok(peer.clone())),
            _ => None,
        };
        let peer = self.0.until(&self.0.come, proved).await?;
        Ok(Stream { line: self.0.clone(), peer })
    }

    /// What ends it from elsewhere.
    pub(super) fn end(&self) -> impl Fn() {
        let line = Rc::downgrade(&self.0);
        move || {
            if let Some(line) = line.upgrade() {
                line.touch(|session, _| session.close(CloseReason::Closed));
            }
        }
    }
}

impl Stream {
    /// Waits for the next record; `None` once the stream is over.
    pub async fn recv(&self) -> Option<Vec<u8>> {
        loop {
            let come = self.line.come.listen();
            if let Some(record) = self.line.touch(|session, _| session.next_record()) {
                return Some(record);
            }
            if self.line.look(Session::close_reason).is_some() {
                return None;
            }
            come.await;
        }
    }

    /// Sends a record, as [`Records::send`] does.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn send(&self, record: &[u8]) -> Result<(), SendError> {
        self.line.touch(|session, _| session.send(record))
    }

    /// Waits until the other end has taken something more, or the stream is over.
    pub async fn wait_for_space(&self) {
        let less = self.line.less.listen();
        if self.close_reason().is_none() {
            less.await;
        }
    }

    /// Octets that wait for the other end to take them.
    pub fn queued_bytes(&self) -> usize {
        self.line.look(Session::queued_bytes)
    }

    /// Who is at the other end.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Why it is over, if it is.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.line.look(Session::close_reason)
    }

    /// Ends it; what has come and was not taken can still be taken.
    pub fn close(&self) {
        self.line.touch(|session, _| session.close(CloseReason::Closed));
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
        self.line.touch(|session, _| session.next_record())
    }

    fn peer(&self) -> &str {
        &self.peer.name
    }

    fn is_closed(&self) -> bool {
        self.close_reason().is_some()
    }
}
