//! Moves messages over TCP sockets on async-io. It decides nothing.
//!
//! [`Duplex`] is a socket that is read and written at once, whatever its protocol. [`Connection`] joins a socket with the sans-I/O reader of `violetward-statement`; [`Pool`] keeps idle client
//! connections to one address; [`sleep_until`] and [`timeout`] are the only timers, and cost next to nothing to set
//! (see [`timer`] and `violetward-wheel`).

mod alarm;
mod clock;
mod duplex;
mod error_kind;
mod signals;
pub mod timer;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub use alarm::Alarm;
use async_io::Async;
pub use clock::Clock;
pub use duplex::Duplex;
pub use error_kind::SocketErrorKind;
use futures_lite::{future, AsyncWriteExt};
pub use signals::next_signal;
pub use timer::{sleep, sleep_until};
use violetward_statement::http::{self, Headers, HttpError, Limits, Message, Reader, Side};

/// What went wrong on a connection.
#[derive(Debug)]
pub enum NetError {
    /// The socket failed, or the peer closed in the middle of a message.
    Io(io::Error),
    /// The peer sent something that is no message.
    Http(HttpError),
    /// It took longer than allowed.
    TimedOut,
}

impl std::fmt::Display for NetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NetError::Io(e) => write!(f, "{e}"),
            NetError::Http(e) => write!(f, "{e}"),
            NetError::TimedOut => f.write_str("timed out"),
        }
    }
}

impl std::error::Error for NetError {}

impl From<io::Error> for NetError {
    fn from(error: io::Error) -> Self {
        NetError::Io(error)
    }
}

/// The result of `work`, or `None` once `span` has passed.
pub async fn timeout<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        sleep(span).await;
        None
    })
    .await
}

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; 64 << 10]);
}

/// Reads through the one buffer that all connections of a thread share, so that an idle one holds none.
pub(crate) fn with_scratch<T>(read: impl FnOnce(&mut [u8]) -> T) -> T {
    SCRATCH.with_borrow_mut(|scratch| read(scratch))
}

/// How long a call waits that failed because this machine is short of something.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// Whether a call on a socket that is as good as before may be made again, now: it waits while this machine is short of
/// something.
pub(crate) async fn may_repeat(error: &io::Error) -> bool {
    let fault = SocketErrorKind::of(error);
    if fault == SocketErrorKind::ResourceShortage {
        sleep(SHORTAGE_PAUSE).await;
    }
    fault.is_transient()
}

/// Looks at what has come on a socket without taking it.
pub(crate) fn peek(socket: &TcpStream) -> io::Result<usize> {
    loop {
        match socket.peek(&mut [0]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// A socket with a reader of messages.
#[derive(Debug)]
pub struct Connection {
    socket: Async<TcpStream>,
    reader: Reader,
    /// It has been seen that there is something to read.
    ready: Cell<bool>,
    /// Bytes of a message have been written since the last one was read whole.
    pub has_written: bool,
}

impl Connection {
    /// The server's end of a socket.
    pub fn server(socket: Async<TcpStream>, limits: Limits) -> Self {
        Connection::new(socket, Side::Requests, limits)
    }

    /// Connects as a client.
    ///
    /// # Errors
    /// The socket's.
    pub async fn connect(address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let socket = Async::<TcpStream>::connect(address).await?;
        Ok(Connection::new(socket, Side::Responses, limits))
    }

    fn new(socket: Async<TcpStream>, side: Side, limits: Limits) -> Self {
        socket.get_ref().set_nodelay(true).ok();
        Connection { socket, reader: Reader::new(side, limits), ready: Cell::new(false), has_written: false }
    }

    /// A message has begun to come in and is not whole yet.
    pub fn has_partial_message(&self) -> bool {
        self.reader.is_within()
    }

    /// The next message; `None` if the peer closed between two.
    ///
    /// # Errors
    /// See [`NetError`].
    pub async fn read(&mut self) -> Result<Option<Message>, NetError> {
        loop {
            if let Some(message) = self.reader.next().map_err(NetError::Http)? {
                self.has_written = false;
                return Ok(Some(message));
            }
            if self.reader.expects_continue() {
                self.socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            if !self.fill().await? {
                return self.reader.finish().map_err(NetError::Http);
            }
        }
    }

    /// Reads once; false at the end of the stream.
    async fn fill(&mut self) -> io::Result<bool> {
        loop {
            if !self.ready.take() {
                self.socket.readable().await?;
            }
            let read: io::Result<usize> = with_scratch(|scratch| {
                let read = (&mut self.socket.get_ref()).read(scratch)?;
                self.reader.feed(&scratch[..read]);
                Ok(read)
            });
            match read {
                Ok(read) => return Ok(read > 0),
                Err(e) if may_repeat(&e).await => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until the peer closes or sends; used to notice a client that leaves while it is kept waiting.
    pub async fn wait_readable(&self) {
        self.socket.readable().await.ok();
        self.ready.set(true);
    }

    /// Whether the peer has closed and left nothing to read.
    pub fn is_closed(&self) -> bool {
        match peek(self.socket.get_ref()) {
            Ok(read) => read == 0,
            Err(e) => !SocketErrorKind::of(&e).is_transient(),
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    /// The socket's.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let n = self.socket.write(rest).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.has_written = true;
            rest = &rest[n..];
        }
        Ok(())
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    /// See [`NetError`]; `self.has_written` tells whether any byte had gone out.
    pub async fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &Headers,
        body: &[u8],
    ) -> Result<Message, NetError> {
        self.has_written = false;
        let mut out = Vec::with_capacity(512 + body.len());
        http::write_request(&mut out, method, target, headers, body);
        self.write(&out).await?;
        let response = self.read().await;
        self.has_written |= response.is_err();
        response?.ok_or_else(|| NetError::Io(io::ErrorKind::UnexpectedEof.into()))
    }
}

/// Idle client connections to one address.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    idle: RefCell<VecDeque<(Connection, Instant)>>,
    keep: usize,
}

impl Pool {
    /// A pool that keeps up to `keep` idle connections.
    pub fn new(address: SocketAddr, limits: Limits, keep: usize) -> Self {
        Pool { address, limits, idle: RefCell::default(), keep }
    }

    /// Where it connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// An idle connection that the peer has not closed, or a new one.
    ///
    /// # Errors
    /// The socket's, or a time-out.
    pub async fn get(&self, connect_within: Duration) -> Result<Connection, NetError> {
        loop {
            let idle = self.idle.borrow_mut().pop_back();
            match idle {
                Some((connection, _)) if connection.is_closed() => {}
                Some((connection, _)) => return Ok(connection),
                None => break,
            }
        }
        self.connect(connect_within).await
    }

    /// A connection that has not been used before: one that has may be dead without our knowing, and then it can't be
    /// told whether what was written into it was read.
    ///
    /// # Errors
    /// The socket's, or a time-out.
    pub async fn connect(&self, connect_within: Duration) -> Result<Connection, NetError> {
        match timeout(connect_within, Connection::connect(self.address, self.limits)).await {
            Some(connection) => Ok(connection?),
            None => Err(NetError::TimedOut),
        }
    }

    /// Gives a connection back after a whole response that allows another.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while idle.front().is_some_and(|(_, at)| now.duration_since(*at) > Duration::from_secs(30)) {
            idle.pop_front();
        }
        if idle.len() < self.keep {
            idle.push_back((connection, now));
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
