//! Calls with responses over streams. Each is a record `tag 1 | call number 4 | content`, sizes in bytes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use event_listener::Event;
use futures_lite::future;

use super::stream::{dial, start_accept};
use super::{Endpoint, Stream};
use crate::session::CloseReason;
use crate::{SendError, MAX_QUEUED_BYTES, MAX_RECORD_BYTES};

/// Most pending calls on one stream, on the calling and on the serving end.
const MAX_PENDING_CALLS: usize = 256;
/// Most outgoing streams to one address.
const MAX_STREAMS_PER_ADDRESS: usize = 2;
/// A further stream to an address is opened once this many bytes are queued on the existing ones.
const BUSY_QUEUE_BYTES: usize = 64 << 10;
/// Most addresses with outgoing streams.
const MAX_ADDRESSES: usize = 1_024;
/// An outgoing stream without pending calls is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most incoming streams from one gateway; the oldest are closed first, as for the two limits below.
const MAX_INCOMING_PER_GATEWAY: usize = 4;
/// Most incoming streams from all gateways together.
const MAX_INCOMING: usize = 2_048;
/// Most incoming streams whose other end is not authenticated yet.
const MAX_INCOMING_HANDSHAKES: usize = 256;
/// Pause after a connection could not be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

const TAG_CALL: u8 = 1;
const TAG_RESPONSE: u8 = 2;
/// The serving end has too many pending calls and did not pass this one to its handler.
const TAG_OVERLOADED: u8 = 3;
/// The handler's response is longer than [`MAX_RECORD_BYTES`].
const TAG_RESPONSE_TOO_LONG: u8 = 4;

/// Why a call got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum CallFailure {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    TooLong,
    /// Too many calls are pending, or too many bytes are queued.
    QueueFull,
    /// No stream to that address is open, and none could be opened.
    Unreachable(CloseReason),
    /// The gateway at that address has this name instead of the expected one.
    WrongGateway(String),
    /// The other end has too many pending calls.
    Overloaded,
    /// No response arrived in time.
    TimedOut,
    /// The stream ended while the call was pending.
    StreamClosed(CloseReason),
    /// The response is longer than [`MAX_RECORD_BYTES`].
    ResponseTooLong,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::TooLong => f.write_str("the record is too long"),
            CallFailure::QueueFull => f.write_str("too many calls are pending"),
            CallFailure::Unreachable(reason) => write!(f, "no stream could be opened: {reason}"),
            CallFailure::WrongGateway(name) => write!(f, "the gateway at that address is {name}"),
            CallFailure::Overloaded => f.write_str("the other end is overloaded"),
            CallFailure::TimedOut => f.write_str("timed out"),
            CallFailure::StreamClosed(reason) => write!(f, "the stream ended: {reason}"),
            CallFailure::ResponseTooLong => f.write_str("the response is too long"),
        }
    }
}

/// A call that got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The record has not been passed to the other end's handler and never will be.
    NotDelivered(CallFailure),
    /// The record may have been passed to the other end's handler, or may still be.
    MayBeDelivered(CallFailure),
}

impl CallError {
    /// Whether the record has certainly not been passed to the other end's handler and never will be.
    pub fn is_undelivered(&self) -> bool {
        matches!(self, CallError::NotDelivered(_))
    }

    /// Why there is no response.
    pub fn failure(&self) -> &CallFailure {
        let (CallError::NotDelivered(failure) | CallError::MayBeDelivered(failure)) = self;
        failure
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotDelivered(failure) => write!(f, "not delivered: {failure}"),
            CallError::MayBeDelivered(failure) => write!(f, "it may have been delivered: {failure}"),
        }
    }
}

impl std::error::Error for CallError {}

type CallResult = Result<Vec<u8>, CallError>;

/// An outgoing stream with its pending calls.
struct Connection {
    stream: Stream,
    /// Pending calls by number. Dropping a sender tells its call that the stream has ended.
    pending: RefCell<HashMap<u32, async_channel::Sender<CallResult>>>,
    next_number: Cell<u32>,
}

/// Removes a call from the pending ones when dropped.
struct PendingCall<'a>(&'a Connection, u32);

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.0.pending.borrow_mut().remove(&self.1);
    }
}

impl Connection {
    fn is_available(&self) -> bool {
        self.stream.close_reason().is_none() && self.pending.borrow().len() < MAX_PENDING_CALLS
    }

    /// Sends a call and waits for its response; sets `is_sent` once the record may be delivered.
    async fn call(&self, record: &[u8], is_sent: &Cell<bool>) -> CallResult {
        let number = self.next_number.replace(self.next_number.get().wrapping_add(1));
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(number, sender);
        let _pending = PendingCall(self, number);
        self.stream.send(&encode(TAG_CALL, number, record)).map_err(|error| {
            CallError::NotDelivered(match error {
                SendError::TooLong => CallFailure::TooLong,
                SendError::QueueFull => CallFailure::QueueFull,
                _ => {
                    CallFailure::Unreachable(self.stream.close_reason().unwrap_or(CloseReason::Disconnected))
                }
            })
        })?;
        is_sent.set(true);
        let stream_closed = || {
            let reason = self.stream.close_reason().unwrap_or(CloseReason::Disconnected);
            CallError::MayBeDelivered(CallFailure::StreamClosed(reason))
        };
        receiver.recv().await.unwrap_or_else(|_| Err(stream_closed()))
    }

    /// Passes responses to their calls until the stream ends or has been idle for too long.
    async fn receive(&self) {
        loop {
            match violetward_net::timeout(IDLE_TIMEOUT, self.stream.recv()).await {
                Some(Some(record)) => {
                    let Some((tag, number, content)) = decode(&record) else { break };
                    let result = match tag {
                        TAG_RESPONSE => Ok(content.to_vec()),
                        TAG_OVERLOADED => Err(CallError::NotDelivered(CallFailure::Overloaded)),
                        TAG_RESPONSE_TOO_LONG => Err(CallError::MayBeDelivered(CallFailure::ResponseTooLong)),
                        _ => break,
                    };
                    // The response to a call that was given up is dropped.
                    if let Some(sender) = self.pending.borrow_mut().remove(&number) {
                        sender.try_send(result).ok();
                    }
                }
                Some(None) => break,
                None if self.pending.borrow().is_empty() => break,
                None => {}
            }
        }
        self.stream.close();
        // Closes the channels of the pending calls, which tells them that the stream has ended.
        self.pending.borrow_mut().clear();
    }
}

/// The outgoing streams to one address.
#[derive(Default)]
struct ConnectionPool {
    connections: RefCell<Vec<Rc<Connection>>>,
    is_dialing: Cell<bool>,
    /// How many times no stream could be opened, and why the last time.
    failures: Cell<(u64, Option<CloseReason>)>,
    /// A stream was opened or has ended, or could not be opened.
    changed: Event,
}

impl ConnectionPool {
    /// The available stream with the fewest queued bytes.
    fn least_loaded(&self) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter(|connection| connection.is_available())
            .min_by_key(|connection| connection.stream.queued_bytes())
            .cloned()
    }
}

/// Calls other gateways, over a few streams to each that stay open while they are used.
pub struct Caller {
    endpoint: Rc<Endpoint>,
    pools: RefCell<HashMap<SocketAddr, Rc<ConnectionPool>>>,
}

impl Caller {
    /// Creates a caller without open streams.
    pub fn new(endpoint: &Rc<Endpoint>) -> Self {
        Caller { endpoint: endpoint.clone(), pools: RefCell::default() }
    }

    /// Sends a record to the gateway at an address, whatever its name, and waits for the response.
    ///
    /// # Errors
    /// Why no response arrived within the time limit, and whether the record may have been delivered.
    pub async fn call(&self, to: SocketAddr, record: &[u8], time_limit: Duration) -> CallResult {
        self.call_with_limit(None, to, record, time_limit).await
    }

    /// As [`Caller::call`], but only if the gateway at the address has this name.
    ///
    /// # Errors
    /// As for [`Caller::call`]; [`CallFailure::WrongGateway`] if it has another name.
    pub async fn call_named(
        &self,
        name: &str,
        to: SocketAddr,
        record: &[u8],
        time_limit: Duration,
    ) -> CallResult {
        self.call_with_limit(Some(name), to, record, time_limit).await
    }

    async fn call_with_limit(
        &self,
        name: Option<&str>,
        to: SocketAddr,
        record: &[u8],
        time_limit: Duration,
    ) -> CallResult {
        if record.len() > MAX_RECORD_BYTES {
            return Err(CallError::NotDelivered(CallFailure::TooLong));
        }
        let is_sent = Cell::new(false);
        let call = async {
            let connection = self.connection(to).await.map_err(CallError::NotDelivered)?;
            let peer_name = &connection.stream.peer().name;
            if name.is_some_and(|name| name != peer_name) {
                return Err(CallError::NotDelivered(CallFailure::WrongGateway(peer_name.clone())));
            }
            connection.call(record, &is_sent).await
        };
        let error = || if is_sent.get() { CallError::MayBeDelivered } else { CallError::NotDelivered };
        violetward_net::timeout(time_limit, call).await.unwrap_or_else(|| Err(error()(CallFailure::TimedOut)))
    }

    /// An available stream to an address. Opens one if there is none or if all of them are busy.
    async fn connection(&self, to: SocketAddr) -> Result<Rc<Connection>, CallFailure> {
        let pool = self.pool(to)?;
        let failures_before = pool.failures.get().0;
        loop {
            let changed = pool.changed.listen();
            let available = pool.least_loaded();
            let open_count = pool.connections.borrow().len();
            let is_busy = |c: &Rc<Connection>| c.stream.queued_bytes() > BUSY_QUEUE_BYTES;
            let needs_stream = available.as_ref().is_none_or(is_busy);
            if needs_stream && open_count < MAX_STREAMS_PER_ADDRESS && !pool.is_dialing.replace(true) {
                self.endpoint.spawn(run_connection(self.endpoint.clone(), pool.clone(), to));
            }
            match (available, pool.failures.get()) {
                (Some(connection), _) => return Ok(connection),
                (None, (count, Some(reason))) if count > failures_before => {
                    return Err(CallFailure::Unreachable(reason));
                }
                (None, _) if open_count == MAX_STREAMS_PER_ADDRESS => return Err(CallFailure::QueueFull),
                _ => changed.await,
            }
        }
    }

    /// The pool of an address. Drops unused pools if there are too many.
    fn pool(&self, to: SocketAddr) -> Result<Rc<ConnectionPool>, CallFailure> {
        let mut pools = self.pools.borrow_mut();
        if pools.len() >= MAX_ADDRESSES && !pools.contains_key(&to) {
            pools.retain(|_, pool| Rc::strong_count(pool) > 1 || !pool.connections.borrow().is_empty());
            if pools.len() >= MAX_ADDRESSES {
                return Err(CallFailure::QueueFull);
            }
        }
        Ok(pools.entry(to).or_default().clone())
    }
}

/// Opens a stream and keeps it in the pool of its address until it ends.
async fn run_connection(endpoint: Rc<Endpoint>, pool: Rc<ConnectionPool>, to: SocketAddr) {
    let dialed = dial(&endpoint, to).await;
    pool.is_dialing.set(false);
    match dialed {
        Ok(stream) => {
            let connection =
                Rc::new(Connection { stream, pending: RefCell::default(), next_number: Cell::new(0) });
            pool.connections.borrow_mut().push(connection.clone());
            pool.changed.notify(usize::MAX);
            connection.receive().await;
            pool.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, &connection));
        }
        Err(reason) => pool.failures.set((pool.failures.get().0 + 1, Some(reason))),
    }
    pool.changed.notify(usize::MAX);
}

fn encode(tag: u8, number: u32, content: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(5 + content.len());
    out.push(tag);
    out.extend_from_slice(&number.to_be_bytes());
    out.extend_from_slice(content);
    out
}

/// Splits a record into tag, call number and content.
fn decode(record: &[u8]) -> Option<(u8, u32, &[u8])> {
    let (&tag, rest) = record.split_first()?;
    let (number, content) = rest.split_first_chunk::<4>()?;
    Some((tag, u32::from_be_bytes(*number), content))
}

/// An incoming stream, with a function that closes it. The name is empty until the other end is
/// authenticated.
struct Incoming {
    name: String,
    id: u64,
    close: Box<dyn Fn()>,
}

/// Incoming streams, the oldest first.
type IncomingQueue = RefCell<VecDeque<Incoming>>;

/// All incoming streams.
#[derive(Default)]
struct IncomingStreams {
    next_id: Cell<u64>,
    handshaking: IncomingQueue,
    authenticated: IncomingQueue,
}

impl IncomingStreams {
    /// Adds a stream. If more than `limit` streams match `is_counted` then, closes the oldest of them.
    fn add(queue: &IncomingQueue, stream: Incoming, limit: usize, is_counted: impl Fn(&str) -> bool) {
        let mut queue = queue.borrow_mut();
        queue.push_back(stream);
        if queue.iter().filter(|stream| is_counted(&stream.name)).count() > limit {
            let position = queue.iter().position(|stream| is_counted(&stream.name));
            let oldest = position.and_then(|at| queue.remove(at));
            drop(queue);
            if let Some(oldest) = oldest {
                (oldest.close)();
            }
        }
    }

    fn remove(queue: &IncomingQueue, id: u64) {
        queue.borrow_mut().retain(|stream| stream.id != id);
    }
}

/// Accepts calls until it is dropped. Each is passed to `handler` with the name of the calling gateway, and
/// the handler's return value is the response. Calls run concurrently and are answered as they complete, at
/// most 256 per stream with 8 MiB of content together; further ones are rejected as
/// [`CallFailure::Overloaded`]. A handler runs to completion even if the caller has disconnected.
pub async fn serve<H, F>(endpoint: Rc<Endpoint>, listener: Async<TcpListener>, handler: H)
where
    H: Fn(String, Vec<u8>) -> F + 'static,
    F: Future<Output = Vec<u8>> + 'static,
{
    let (handler, incoming) = (Rc::new(handler), Rc::new(IncomingStreams::default()));
    loop {
        // Otherwise a flood of connections would starve the other tasks of the thread.
        future::yield_now().await;
        let Ok((socket, _)) = listener.accept().await else {
            // No file descriptor is free, or the caller has disconnected already.
            violetward_net::sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        let handshake = start_accept(&endpoint, socket);
        let id = incoming.next_id.replace(incoming.next_id.get() + 1);
        // Bounds the connections of ends that never authenticate: new ones displace the oldest.
        let entry = Incoming { name: String::new(), id, close: Box::new(handshake.closer()) };
        IncomingStreams::add(&incoming.handshaking, entry, MAX_INCOMING_HANDSHAKES, |_| true);
        let (endpoint, handler, incoming) = (endpoint.clone(), handler.clone(), incoming.clone());
        let spawner = endpoint.clone();
        spawner.spawn(async move {
            let close = Box::new(handshake.closer());
            let completed = handshake.complete().await;
            IncomingStreams::remove(&incoming.handshaking, id);
            let Ok(stream) = completed else { return };
            let name = stream.peer().name.clone();
            let entry = Incoming { name: name.clone(), id, close };
            let is_same_gateway = |other: &str| other == name;
            IncomingStreams::add(&incoming.authenticated, entry, MAX_INCOMING_PER_GATEWAY, is_same_gateway);
            if incoming.authenticated.borrow().len() > MAX_INCOMING {
                let oldest = incoming.authenticated.borrow_mut().pop_front();
                oldest.iter().for_each(|stream| (stream.close)());
            }
            serve_stream(&endpoint, stream, &*handler).await;
            IncomingStreams::remove(&incoming.authenticated, id);
        });
    }
}

/// The number of pending calls of an incoming stream and the bytes of their content.
#[derive(Clone, Copy, Default)]
struct PendingLoad {
    calls: usize,
    bytes: usize,
}

/// Subtracts a call with this many bytes from the load when dropped.
struct LoadGuard(Rc<Cell<PendingLoad>>, usize);

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let load = self.0.get();
        self.0.set(PendingLoad { calls: load.calls - 1, bytes: load.bytes - self.1 });
    }
}

async fn serve_stream<H, F>(endpoint: &Endpoint, stream: Stream, handler: &H)
where
    H: Fn(String, Vec<u8>) -> F,
    F: Future<Output = Vec<u8>> + 'static,
{
    let stream = Rc::new(stream);
    let pending_load = Rc::new(Cell::new(PendingLoad::default()));
    while let Some(record) = stream.recv().await {
        let Some((TAG_CALL, number, content)) = decode(&record) else { break };
        let load = pending_load.get();
        if load.calls >= MAX_PENDING_CALLS || load.bytes + content.len() > MAX_QUEUED_BYTES {
            respond(&stream, TAG_OVERLOADED, number, &[]).await;
            continue;
        }
        pending_load.set(PendingLoad { calls: load.calls + 1, bytes: load.bytes + content.len() });
        let guard = LoadGuard(pending_load.clone(), content.len());
        let handling = handler(stream.peer().name.clone(), content.to_vec());
        let stream = stream.clone();
        endpoint.spawn(async move {
            let response = handling.await;
            if response.len() > MAX_RECORD_BYTES {
                respond(&stream, TAG_RESPONSE_TOO_LONG, number, &[]).await;
            } else {
                respond(&stream, TAG_RESPONSE, number, &response).await;
            }
            drop(guard);
        });
    }
    stream.close();
}

/// Sends a response, waiting for space in the send queue; gives up when the stream ends.
async fn respond(stream: &Stream, tag: u8, number: u32, content: &[u8]) {
    while stream.send(&encode(tag, number, content)) == Err(SendError::QueueFull) {
        stream.wait_for_space().await;
    }
}
