//! Sends and receives messages over TCP sockets on async-io. It holds no policy.
//!
//! [`Duplex`] is a socket of any protocol that is read and written concurrently. [`Connection`] is an HTTP
//! connection: a socket with the sans-I/O reader of `violetward-statement`. [`Pool`] holds idle client
//! connections to one address. [`sleep`], [`sleep_until`] and [`timeout`] run on a timing wheel, so that
//! setting a timer is cheap (see [`timer`] and `violetward-wheel`).

mod alarm;
mod clock;
mod duplex;
mod error_kind;
mod signals;
mod stream;
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
use futures_lite::future;
pub use signals::next_signal;
pub use stream::{set_stream_options, write_all};
pub use timer::{sleep, sleep_until};
use violetward_statement::http::{self, Headers, HttpError, Limits, Message, Reader, Side};

/// An error on a connection.
#[derive(Debug)]
pub enum NetError {
    /// The socket failed, or the peer closed the connection instead of sending a response.
    Io(io::Error),
    /// The peer sent a malformed, oversized or truncated message.
    Http(HttpError),
    /// The operation did not complete within its time limit.
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

/// Runs `operation` for at most `limit`; `None` if it has not completed by then.
pub async fn timeout<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(operation.await) }, async {
        sleep(limit).await;
        None
    })
    .await
}

const READ_BUFFER_BYTES: usize = 64 << 10;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// Lends the read buffer that all connections of a thread share, so that an idle connection holds no memory
/// for one.
pub(crate) fn with_read_buffer<T>(read: impl FnOnce(&mut [u8]) -> T) -> T {
    READ_BUFFER.with_borrow_mut(|buffer| read(buffer))
}

/// Delay before a socket call is retried that failed for lack of a local resource.
const RESOURCE_SHORTAGE_DELAY: Duration = Duration::from_millis(5);

/// Whether a failed socket call is to be retried. Returns after a delay if a local resource ran short.
pub(crate) async fn should_retry(error: &io::Error) -> bool {
    let kind = SocketErrorKind::of(error);
    if kind == SocketErrorKind::ResourceShortage {
        sleep(RESOURCE_SHORTAGE_DELAY).await;
    }
    kind.is_transient()
}

/// Checks for received data without consuming it; 0 at the end of the stream.
pub(crate) fn peek(socket: &TcpStream) -> io::Result<usize> {
    loop {
        match socket.peek(&mut [0]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Bounds the memory of messages that have not been received completely.
pub trait InputMeter {
    /// Takes note of what the incomplete message of a connection takes in memory now, in bytes.
    fn note(&self, bytes: usize);
    /// Whether more may be received now; otherwise the caller asks again after other tasks had their turn.
    fn has_room(&self) -> bool;
}

/// No bound.
impl InputMeter for () {
    fn note(&self, _bytes: usize) {}

    fn has_room(&self) -> bool {
        true
    }
}

/// An HTTP connection: a socket and the reader of its messages.
#[derive(Debug)]
pub struct Connection {
    socket: Async<TcpStream>,
    reader: Reader,
    /// The socket is known to be readable; the next read need not wait for it.
    readable: Cell<bool>,
    /// Bytes have been written since the last complete message was read.
    pub has_written: bool,
}

impl Connection {
    /// The server side of an accepted socket.
    pub fn server(socket: Async<TcpStream>, limits: Limits) -> Self {
        Connection::new(socket, Side::Requests, limits)
    }

    /// Connects to a server as its client.
    ///
    /// # Errors
    /// If the socket cannot be connected.
    pub async fn connect(address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let socket = Async::<TcpStream>::connect(address).await?;
        Ok(Connection::new(socket, Side::Responses, limits))
    }

    fn new(socket: Async<TcpStream>, side: Side, limits: Limits) -> Self {
        set_stream_options(socket.get_ref());
        Connection {
            socket,
            reader: Reader::new(side, limits),
            readable: Cell::new(false),
            has_written: false,
        }
    }

    /// Whether part of a message has been received, but not all of it.
    pub fn has_partial_message(&self) -> bool {
        self.reader.is_within()
    }

    /// Frees what was received of a message that is not complete. The connection can only be written to then.
    pub fn end_input(&mut self) {
        self.reader.abandon();
    }

    /// Reads the next message; `None` if the peer closed the connection between two messages.
    ///
    /// # Errors
    /// If the socket fails or the peer sends something else than a complete message.
    pub async fn read(&mut self) -> Result<Option<Message>, NetError> {
        self.read_metered(&()).await
    }

    /// Like [`Connection::read`], with the memory of the incomplete message bounded by a meter.
    ///
    /// # Errors
    /// If the socket fails or the peer sends something else than a complete message.
    pub async fn read_metered(&mut self, meter: &impl InputMeter) -> Result<Option<Message>, NetError> {
        loop {
            let message = self.reader.next().map_err(NetError::Http)?;
            meter.note(self.reader.allocated_bytes());
            if let Some(message) = message {
                self.has_written = false;
                return Ok(Some(message));
            }
            if self.reader.expects_continue() {
                stream::write(&self.socket, b"HTTP/1.1 100 Continue\r\n\r\n", None).await?;
            }
            while !meter.has_room() {
                future::yield_now().await;
            }
            if !self.fill().await? {
                return self.reader.finish().map_err(NetError::Http);
            }
        }
    }

    /// Reads once from the socket into the reader; false at the end of the stream.
    async fn fill(&mut self) -> io::Result<bool> {
        loop {
            if !self.readable.take() {
                self.socket.readable().await?;
            }
            let read: io::Result<usize> = with_read_buffer(|buffer| {
                let read = (&mut self.socket.get_ref()).read(buffer)?;
                self.reader.feed(&buffer[..read]);
                Ok(read)
            });
            match read {
                Ok(read) => return Ok(read > 0),
                Err(e) if should_retry(&e).await => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until the peer sends data or closes the connection. Detects a client that disconnects while its
    /// request is waiting.
    pub async fn wait_readable(&self) {
        self.socket.readable().await.ok();
        self.readable.set(true);
    }

    /// Whether the peer has closed the connection and no received data is left to read.
    pub fn is_closed(&self) -> bool {
        match peek(self.socket.get_ref()) {
            Ok(read) => read == 0,
            Err(e) => !SocketErrorKind::of(&e).is_transient(),
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// If the socket fails; some of the bytes may have been sent then.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.has_written |= !bytes.is_empty();
        stream::write(&self.socket, bytes, None).await
    }

    /// Writes all of `bytes` at the pace of the peer, which must accept some of them within each `max_stall`.
    ///
    /// # Errors
    /// If the socket fails or the peer stalls; some of the bytes may have been sent then.
    pub async fn write_to_reader(&mut self, bytes: &[u8], max_stall: Duration) -> io::Result<()> {
        self.has_written |= !bytes.is_empty();
        write_all(&self.socket, bytes, max_stall).await
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    /// If the request cannot be written or no complete response is read. `self.has_written` is false if no
    /// byte of the request was sent.
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
    /// Connections with the time at which they became idle, the longest idle first.
    idle: RefCell<VecDeque<(Connection, Instant)>>,
    max_idle: usize,
}

/// Connections that have been idle for longer are closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl Pool {
    /// A pool of up to `max_idle` idle connections.
    pub fn new(address: SocketAddr, limits: Limits, max_idle: usize) -> Self {
        Pool { address, limits, idle: RefCell::default(), max_idle }
    }

    /// The address that the pool's connections go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that the peer has not closed, or opens a new one.
    ///
    /// # Errors
    /// If a new connection cannot be opened within `connect_timeout`.
    pub async fn get(&self, connect_timeout: Duration) -> Result<Connection, NetError> {
        loop {
            let idle = self.idle.borrow_mut().pop_back();
            match idle {
                Some((connection, _)) if connection.is_closed() => {}
                Some((connection, _)) => return Ok(connection),
                None => break,
            }
        }
        self.connect(connect_timeout).await
    }

    /// Opens a new connection, for a request that must not be repeated: a pooled connection may be broken
    /// without a sign of it, and it would then be unknown whether the peer had read the request.
    ///
    /// # Errors
    /// If the connection cannot be opened within `connect_timeout`.
    pub async fn connect(&self, connect_timeout: Duration) -> Result<Connection, NetError> {
        match timeout(connect_timeout, Connection::connect(self.address, self.limits)).await {
            Some(connection) => Ok(connection?),
            None => Err(NetError::TimedOut),
        }
    }

    /// Returns a connection to the pool. Its last response must have been read completely and allow another
    /// request.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while idle.front().is_some_and(|(_, since)| now.duration_since(*since) > POOL_IDLE_TIMEOUT) {
            idle.pop_front();
        }
        if idle.len() < self.max_idle {
            idle.push_back((connection, now));
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
