//! A client connection: its answers, and the time-outs after which it is closed.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::Async;
use violetward_net::Duplex;
use violetward_thrift::{FrameDecoder, MessageHeader, MessageType, Writer};

use crate::core::{ClientId, Reply};
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
    /// The gateway is draining, and the connection had no open requests.
    Drained,
}

/// A client connection.
pub struct Client {
    /// The connection's id.
    pub id: ClientId,
    /// The socket.
    pub duplex: Duplex,
    /// The decoder of incoming frames.
    pub frames: RefCell<FrameDecoder>,
    opened: Instant,
    /// Since when the last frame has been incomplete.
    frame_since: Cell<Option<Instant>>,
    /// When the last frame was received or the last answer sent; `None` before the first frame.
    last_used: Cell<Option<Instant>>,
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
    /// Wraps the socket of a new connection; frames may have up to `frame_max_bytes`.
    pub fn new(id: ClientId, socket: Async<TcpStream>, frame_max_bytes: usize) -> Self {
        Client {
            id,
            duplex: Duplex::new(socket),
            frames: RefCell::new(FrameDecoder::new(frame_max_bytes)),
            opened: Instant::now(),
            frame_since: Cell::new(None),
            last_used: Cell::new(None),
            end_reason: Cell::new(None),
            short_answer_bytes: Cell::new(0),
        }
    }

    /// Starts an orderly close.
    pub fn close(&self, reason: EndReason) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.duplex.close();
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
    /// count: they are requested from engines at the pace of the client. `memory_is_short`: the answers that
    /// wait for all clients have reached their limit.
    pub async fn wait_until_read(&self, memory_is_short: impl Fn() -> bool) {
        let waiting = self.short_answer_bytes.get();
        if waiting > SHORT_ANSWERS_MAX_BYTES || (waiting > 0 && memory_is_short()) {
            self.duplex.wait_all_sent().await;
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

    /// Notes that a complete frame was received.
    pub fn note_frame(&self) {
        self.last_used.set(Some(Instant::now()));
        // The time-out of the next frame starts anew.
        self.frame_since.set(None);
    }

    /// Notes that all complete frames of a read have been handled; an incomplete one may be left.
    pub fn note_read(&self) {
        let incomplete = self.frames.borrow().has_partial_frame();
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
        if host.read_core(|core| core.open_requests_of(self.id)) > 0 {
            return;
        }
        if stalled {
            self.close(EndReason::IncompleteFrame);
        } else if idle && self.duplex.is_idle() {
            self.close(idle_reason);
        }
    }

    /// Whether no request is open or incomplete, no answer is unread, and no bytes wait in the socket.
    pub fn is_idle(&self, host: &Host) -> bool {
        self.seems_idle(host) && self.duplex.is_idle()
    }

    /// Like [`Client::is_idle`], but without the system call that checks the socket for unread bytes.
    pub fn seems_idle(&self, host: &Host) -> bool {
        !self.duplex.is_closed()
            && self.frame_since.get().is_none()
            && self.duplex.unsent_bytes() == 0
            && host.read_core(|core| core.open_requests_of(self.id)) == 0
    }

    /// The sort key in which idle connections are evicted: first those that never sent a request, then those
    /// that have been idle for longest.
    pub fn eviction_order(&self) -> (bool, Instant) {
        (self.last_used.get().is_some(), self.last_used.get().unwrap_or(self.opened))
    }
}
