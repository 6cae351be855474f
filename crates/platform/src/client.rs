//! A client connection: its answers, and the time-outs after which it is closed.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use violetward_net::Duplex;
use violetward_overload::{shed_order, Charge, Holding, MemoryLedger, PeerState, ShedOrder};
use violetward_thrift::{FrameDecoder, MessageHeader, MessageType, ThriftError, Writer};

use crate::core::{ClientId, Reply};
use crate::front;
use crate::host::Host;

/// Time-out for the first frame of a connection, and for receiving any frame completely. Misbehaving clients
/// have to be disconnected within 3 s of connecting.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time-out between requests. Clients close idle connections after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long a client may take none of the bytes that wait for it.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes of answers without a result that may wait for a client while its requests are still read: far more
/// than those to all requests that one connection may have open.
const SHORT_ANSWERS_MAX_BYTES: usize = 64 << 10;
/// Input that was read within this time before an attempt begins counts as current: a client that sends on and on
/// always has more.
const INPUT_MAX_AGE: Duration = Duration::from_millis(10);
/// About the memory of a connection without what is buffered for it: its state and its task.
const CONNECTION_BYTES: usize = 4 << 10;

/// Why a client connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client closed it, or it broke.
    ByClient,
    /// The client violated the protocol.
    Violation,
    /// No complete frame came within the time-out.
    NoFirstFrame,
    /// The rest of a frame did not come within the time-out.
    IncompleteFrame,
    /// It was idle for too long.
    Idle,
    /// The client took none of its waiting answers for too long.
    Unread,
    /// It was closed to make room for a new connection.
    Evicted,
    /// It was closed, or is no longer read, to make room in the memory for others.
    MemoryShort,
    /// The gateway is draining, and the connection had no open requests.
    Drained,
}

/// What is done with the frames that were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Handling {
    /// All complete ones have been handled.
    Done,
    /// The next ones wait until the client has taken its answers.
    Paused,
    /// The next ones are handled in the next turn of the event loop.
    Active,
}

/// A client connection.
pub struct Client {
    /// The connection's id.
    pub id: ClientId,
    /// The socket.
    pub duplex: Duplex,
    /// The decoder of incoming frames; `None` once no more requests are read.
    frames: RefCell<Option<FrameDecoder>>,
    /// Counts the memory of `frames`.
    input_charge: Charge,
    /// Counts the statements that were read and are not submitted yet.
    statements_charge: Charge,
    /// Counts the memory of the connection itself; held until it is dropped.
    _connection_charge: Charge,
    opened: Instant,
    handling: Cell<Handling>,
    /// Since when the last frame has been incomplete.
    frame_since: Cell<Option<Instant>>,
    /// When the last frame was received or the last answer sent; `None` before the first frame.
    last_used: Cell<Option<Instant>>,
    /// It has sent a request that could be used.
    has_sent_request: Cell<bool>,
    /// When all that had been received was last read.
    input_read_at: Cell<Instant>,
    /// Why this side ended the connection, once it has.
    end_reason: Cell<Option<EndReason>>,
    /// Bytes of answers without a result since the last time when none were waiting.
    short_answer_bytes: Cell<usize>,
}

/// Writes the result of the method `dispatch` or `alive`.
fn write_result(writer: &mut Writer, body: &[u8], ok: bool) {
    writer.begin_struct(0);
    writer.binary(1, body);
    writer.string_map(2, std::iter::empty());
    writer.bool(3, ok);
    writer.end_struct();
    writer.end_struct();
}

/// Writes a declared exception into the result's field with the given id.
fn write_exception(writer: &mut Writer, field_id: i16, fields: &[(&str, &str)]) {
    writer.begin_struct(field_id);
    writer.string_map(1, fields.iter().copied());
    writer.end_struct();
    writer.end_struct();
}

impl Client {
    /// Wraps the socket of a new connection; frames may have up to `frame_max_bytes`. What is held for it is
    /// charged to `memory`.
    pub fn new(
        id: ClientId,
        socket: Async<TcpStream>,
        frame_max_bytes: usize,
        memory: &Rc<MemoryLedger>,
    ) -> Self {
        let connection_charge = memory.charge(Holding::Connections);
        connection_charge.set(CONNECTION_BYTES);
        Client {
            id,
            duplex: Duplex::new(socket, memory.charge(Holding::Answers)),
            frames: RefCell::new(Some(FrameDecoder::new(frame_max_bytes))),
            input_charge: memory.charge(Holding::Input),
            statements_charge: memory.charge(Holding::Input),
            _connection_charge: connection_charge,
            opened: Instant::now(),
            handling: Cell::new(Handling::Done),
            frame_since: Cell::new(None),
            last_used: Cell::new(None),
            has_sent_request: Cell::new(false),
            input_read_at: Cell::new(Instant::now()),
            end_reason: Cell::new(None),
            short_answer_bytes: Cell::new(0),
        }
    }

    /// Takes received bytes in; drops them if no more requests are read.
    pub fn receive(&self, bytes: &[u8]) {
        if let Some(frames) = &mut *self.frames.borrow_mut() {
            frames.feed(bytes);
            self.input_charge.set(frames.allocated_bytes());
        }
    }

    /// Counts statements that were read and are not submitted yet, in bytes.
    pub fn hold_statements(&self, bytes: usize) {
        self.statements_charge.set(bytes);
    }

    /// The next complete frame that was received; `None` until more bytes are received.
    ///
    /// # Errors
    /// If the length of the frame is not allowed.
    pub fn next_frame(&self) -> Result<Option<Vec<u8>>, ThriftError> {
        let mut frames = self.frames.borrow_mut();
        let Some(decoder) = &mut *frames else { return Ok(None) };
        let frame = decoder.next_frame();
        self.input_charge.set(decoder.allocated_bytes());
        frame
    }

    /// Whether the client has closed the connection, or it broke; then it is closed here too. What the client had
    /// sent may still be unread.
    pub fn has_left(&self) -> bool {
        let has_left = self.duplex.has_peer_closed() || !self.duplex.is_alive();
        if has_left {
            self.close(EndReason::ByClient);
        }
        has_left
    }

    /// Whether input is left to be read that may take back its requests. While it has to take answers first,
    /// nothing is read, and nothing waits for that.
    pub fn has_input_to_read(&self) -> bool {
        if self.input_read_at.get().elapsed() < INPUT_MAX_AGE {
            return false;
        }
        match self.handling.get() {
            Handling::Done => self.duplex.has_unread_input(),
            Handling::Paused => false,
            Handling::Active => true,
        }
    }

    /// Notes that all has been read that had been received.
    pub fn note_input_read(&self) {
        self.input_read_at.set(Instant::now());
    }

    /// Reads no more requests, and frees what was received of the next one. Whatever still comes is dropped.
    pub fn end_input(&self) {
        self.frames.take();
        self.input_charge.set(0);
    }

    /// Starts an orderly close.
    pub fn close(&self, reason: EndReason) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.end_input();
        self.duplex.close();
    }

    /// Frees the memory of an unfinished request. Answers that are owed are still sent; the connection is closed
    /// behind the last one, since what follows the unfinished request can't be read.
    pub fn shed(&self, host: &Host) {
        self.end_input();
        self.end_reason.set(self.end_reason.get().or(Some(EndReason::MemoryShort)));
        if !self.is_owed_answers(host) {
            self.close(EndReason::MemoryShort);
        }
    }

    /// Whether answers to requests that were received are still to be sent, or to be taken by the client.
    fn is_owed_answers(&self, host: &Host) -> bool {
        self.handling.get() != Handling::Done
            || self.duplex.unsent_bytes() > 0
            || host.read_core(|core| core.open_requests_of(self.id)) > 0
    }

    /// The memory of an unfinished request, in bytes.
    pub fn input_bytes(&self) -> usize {
        self.input_charge.bytes()
    }

    /// Its place among the clients that make room when memory is short; the least goes first. Those whose
    /// complete frames are being handled come last.
    pub fn shed_order(&self, host: &Host, now: Instant) -> (bool, ShedOrder) {
        let since = self.frame_since.get();
        let order = shed_order(&PeerState {
            has_sent_request: self.has_sent_request.get(),
            open_requests: host.read_core(|core| core.open_requests_of(self.id)),
            unfinished_bytes: self.input_bytes(),
            unfinished_for: since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        });
        (self.handling.get() == Handling::Active, order)
    }

    /// Closes the connection at once because the client does not read its answers.
    fn abort_unread(&self, stalled: Duration) {
        tracing::debug!(
            client = self.id.0,
            unsent = self.duplex.unsent_bytes(),
            ?stalled,
            "answers are not read"
        );
        self.end_reason.set(self.end_reason.get().or(Some(EndReason::Unread)));
        self.end_input();
        self.duplex.abort();
    }

    /// Why the connection ended.
    pub fn end_reason(&self) -> EndReason {
        self.end_reason.get().unwrap_or(EndReason::ByClient)
    }

    /// Sends the final answer to a request.
    pub fn answer(&self, seqid: i32, reply: &Reply) {
        tracing::debug!(client = self.id.0, seqid, what = reply.name(), "answer");
        let mut writer = Writer::message("dispatch", MessageType::Reply, seqid);
        match reply {
            Reply::Served(result) => write_result(&mut writer, result, true),
            Reply::Refused(0) => write_exception(&mut writer, 1, &[]),
            Reply::Refused(after) => {
                write_exception(&mut writer, 1, &[("after", &after.div_ceil(1000).to_string())]);
            }
            Reply::Failed => write_exception(&mut writer, 2, &[]),
        }
        self.last_used.set(Some(Instant::now()));
        let frame = writer.into_frame();
        if matches!(reply, Reply::Served(_)) {
            self.duplex.send(&frame);
        } else {
            self.send_short(&frame);
        }
    }

    /// Sends an answer without a result.
    fn send_short(&self, frame: &[u8]) {
        self.duplex.send(frame);
        let is_waiting = self.duplex.unsent_bytes() > 0;
        self.short_answer_bytes.set(if is_waiting { self.short_answer_bytes.get() + frame.len() } else { 0 });
    }

    /// Waits until the client has taken enough of its answers for its next requests to be read. Results do not
    /// count: they are requested from engines at the pace of the client. When the answers that wait for all
    /// clients have reached their limit, it has to take all of them.
    pub async fn wait_until_read(&self, host: &Host) {
        let waiting = self.short_answer_bytes.get();
        let memory_is_short = || front::unread_bytes(host) > host.config.limits.buffer_max_bytes();
        if waiting > SHORT_ANSWERS_MAX_BYTES || (waiting > 0 && memory_is_short()) {
            let handling = self.handling.replace(self.handling.get().min(Handling::Paused));
            self.duplex.wait_all_sent().await;
            self.handling.set(handling);
            self.short_answer_bytes.set(0);
            // The rest of a frame was not read meanwhile.
            self.frame_since.set(self.frame_since.get().map(|_| Instant::now()));
        }
    }

    /// Sends the answer to `alive`.
    pub fn answer_alive(&self, seqid: i32, ok: bool) {
        let mut writer = Writer::message("alive", MessageType::Reply, seqid);
        write_result(&mut writer, b"", ok);
        self.send_short(&writer.into_frame());
    }

    /// Sends a Thrift application exception as the answer to a message.
    pub fn answer_exception(&self, head: &MessageHeader, code: i32, message: &str) {
        // One-way messages get no answer.
        if head.message_type == MessageType::Oneway {
            return;
        }
        let mut writer = Writer::message(&head.method, MessageType::Exception, head.seqid);
        writer.binary(1, message.as_bytes());
        writer.i32(2, code);
        writer.end_struct();
        self.send_short(&writer.into_frame());
    }

    /// Notes that complete frames of a read may be left to be handled.
    pub fn begin_handling(&self) {
        self.handling.set(Handling::Active);
    }

    /// Notes that a request was received that can be used.
    pub fn note_request(&self) {
        self.has_sent_request.set(true);
    }

    /// Notes that a complete frame was received.
    pub fn note_frame(&self) {
        self.last_used.set(Some(Instant::now()));
        // The time-out of the next frame starts anew.
        self.frame_since.set(None);
    }

    /// Notes that all complete frames of a read have been handled; an incomplete one may be left.
    pub fn note_read(&self) {
        self.handling.set(Handling::Done);
        let incomplete = self.frames.borrow().as_ref().is_some_and(FrameDecoder::has_partial_frame);
        self.frame_since.set(incomplete.then(|| self.frame_since.get().unwrap_or_else(Instant::now)));
    }

    /// Closes the connection if one of its time-outs has expired.
    pub fn close_if_timed_out(&self, host: &Host, now: Instant) {
        let expired = |since: Instant, timeout: Duration| now.saturating_duration_since(since) > timeout;
        if let Some(since) = self.duplex.stalled_since() {
            if expired(since, UNREAD_TIMEOUT) {
                self.abort_unread(now.saturating_duration_since(since));
            }
            // Whoever still takes answers is not idle.
            self.last_used.set(Some(now));
            return;
        }
        let stalled = self.frame_since.get().is_some_and(|since| expired(since, FRAME_TIMEOUT));
        let (idle, idle_reason) = match self.last_used.get() {
            None => (expired(self.opened, FRAME_TIMEOUT), EndReason::NoFirstFrame),
            Some(last) => (expired(last, IDLE_TIMEOUT), EndReason::Idle),
        };
        // Open requests are still answered, by their deadlines at the latest. A connection on which unread
        // bytes have arrived is not idle either: the reader will handle them.
        if self.is_owed_answers(host) {
            return;
        }
        if self.frames.borrow().is_none() {
            self.close(EndReason::MemoryShort);
        } else if stalled {
            self.close(EndReason::IncompleteFrame);
        } else if idle && self.duplex.is_idle() {
            self.close(idle_reason);
        }
    }

    /// Whether no request is open or incomplete, no answer is unread, and no bytes wait in the socket.
    pub fn is_idle(&self, host: &Host) -> bool {
        self.is_evictable(host) && self.frame_since.get().is_none() && self.duplex.is_idle()
    }

    /// Whether it is open and no answer is owed. Without a system call: bytes may wait in the socket.
    pub fn is_evictable(&self, host: &Host) -> bool {
        !self.duplex.is_closed() && !self.is_owed_answers(host)
    }

    /// The sort key in which connections without open requests are closed to make room for a new one: first those
    /// that have not sent a request that could be used, oldest first; then those that have been idle for longest;
    /// last those that are in the middle of a further request.
    pub fn eviction_order(&self) -> (bool, bool, Instant) {
        if !self.has_sent_request.get() {
            return (false, false, self.opened);
        }
        (true, self.frame_since.get().is_some(), self.last_used.get().unwrap_or(self.opened))
    }
}
