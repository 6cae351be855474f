//! A connection of a client: its answers, and the times after which it is closed.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_io::Async;
use violetward_net::Duplex;
use violetward_thrift::{FrameDecoder, MessageHeader, MessageType, Writer};

use crate::core::{ClientId, Verdict};
use crate::host::Host;

/// How long a connection may be silent before its first whole frame, and a frame may take to come in whole. Bad clients
/// are owed an end within three seconds of connecting.
const SILENT: Duration = Duration::from_millis(2_000);
/// How long a connection may stay idle between requests; clients close theirs after four seconds.
const IDLE: Duration = Duration::from_millis(6_000);
/// How long a client may leave an answer unread.
const UNREAD: Duration = Duration::from_millis(2_500);
/// Bytes kept for a client that does not read: some of the largest results.
const UNREAD_BYTES: usize = 256 << 10;

/// Why a connection of a client ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client ended it, or it broke.
    ByClient,
    /// The client sent what can't be served.
    Violation,
    /// No whole frame came in the time for a first one.
    Silent,
    /// A frame that had begun did not come in whole in its time.
    StoppedWithinFrame,
    /// Nothing was asked for longer than connections may be idle.
    Idle,
    /// Answers were not read in their time, or were more than may be kept.
    Unread,
    /// It gave way to a new connection.
    MadeRoom,
    /// The gateway ends, and nothing was open.
    Drained,
}

/// A connection of a client.
pub struct Client {
    /// Which one.
    pub id: ClientId,
    /// Its socket.
    pub duplex: Duplex,
    /// Frames that come in.
    pub frames: RefCell<FrameDecoder>,
    opened: Instant,
    /// Since when a frame has been coming in.
    frame_since: Cell<Option<Instant>>,
    /// Its last frame or answer; `None` before the first frame.
    last_used: Cell<Option<Instant>>,
    /// Why it ended, once this side has ended it.
    ended: Cell<Option<EndReason>>,
}

/// Writes a result of the method `dispatch` or `alive`.
fn write_result(writer: &mut Writer, body: &[u8], good: bool) {
    writer.begin_struct(0);
    writer.binary(1, body);
    writer.string_map(2, std::iter::empty());
    writer.bool(3, good);
    writer.end_struct();
    writer.end_struct();
}

/// Writes a declared exception: the field of the result that holds it, and its fields.
fn write_thrown(writer: &mut Writer, number: i16, fields: &[(&str, &str)]) {
    writer.begin_struct(number);
    writer.string_map(1, fields.iter().copied());
    writer.end_struct();
    writer.end_struct();
}

impl Client {
    /// A connection that has just been accepted; frames hold up to `frame_bytes`.
    pub fn new(id: ClientId, socket: Async<TcpStream>, frame_bytes: usize) -> Self {
        Client {
            id,
            duplex: Duplex::new(socket, UNREAD_BYTES),
            frames: RefCell::new(FrameDecoder::new(frame_bytes)),
            opened: Instant::now(),
            frame_since: Cell::new(None),
            last_used: Cell::new(None),
            ended: Cell::new(None),
        }
    }

    /// Begins an orderly end.
    pub fn close(&self, reason: EndReason) {
        self.ended.set(self.ended.get().or(Some(reason)));
        self.duplex.close();
    }

    /// Gives the connection up, since answers are not read.
    pub fn cut_off(&self) {
        self.ended.set(self.ended.get().or(Some(EndReason::Unread)));
        self.duplex.abort();
    }

    /// Why it ended.
    pub fn end_reason(&self) -> EndReason {
        let unread = || if self.duplex.is_closed() { EndReason::Unread } else { EndReason::ByClient };
        self.ended.get().unwrap_or_else(unread)
    }

    /// Writes the final answer to a request.
    pub fn answer(&self, seqid: i32, verdict: &Verdict) {
        tracing::debug!(client = self.id.0, seqid, what = verdict.name(), "answer");
        let mut writer = Writer::message("dispatch", MessageType::Reply, seqid);
        match verdict {
            Verdict::Served(result) => write_result(&mut writer, result, true),
            Verdict::Refused(0) => write_thrown(&mut writer, 1, &[]),
            Verdict::Refused(after) => {
                write_thrown(&mut writer, 1, &[("after", &after.div_ceil(1000).to_string())]);
            }
            Verdict::Failed => write_thrown(&mut writer, 2, &[]),
        }
        self.last_used.set(Some(Instant::now()));
        self.duplex.send(&writer.into_frame());
    }

    /// Writes the answer to `alive`.
    pub fn answer_alive(&self, seqid: i32, good: bool) {
        let mut writer = Writer::message("alive", MessageType::Reply, seqid);
        write_result(&mut writer, b"", good);
        self.duplex.send(&writer.into_frame());
    }

    /// Answers a message with an application exception.
    pub fn answer_exception(&self, head: &MessageHeader, code: i32, why: &str) {
        // Nobody waits for an answer to what is no call.
        if head.message_type == MessageType::Oneway {
            return;
        }
        let mut writer = Writer::message(&head.method, MessageType::Exception, head.seqid);
        writer.binary(1, why.as_bytes());
        writer.i32(2, code);
        writer.end_struct();
        self.duplex.send(&writer.into_frame());
    }

    /// A frame has come in whole.
    pub fn note_frame(&self) {
        self.last_used.set(Some(Instant::now()));
        // The next one's time begins anew.
        self.frame_since.set(None);
    }

    /// All that came with a read has been looked at: a frame may still be coming in.
    pub fn note_read(&self) {
        let incomplete = self.frames.borrow().has_partial_frame();
        self.frame_since.set(incomplete.then(|| self.frame_since.get().unwrap_or_else(Instant::now)));
    }

    /// Closes it if it has been silent, idle or unread for too long.
    pub fn close_if_overdue(&self, host: &Host, now: Instant) {
        let over = |since: Instant, span: Duration| now.saturating_duration_since(since) > span;
        let (kept, moved) = self.duplex.unsent();
        if kept > 0 && over(moved, UNREAD) {
            return self.cut_off();
        }
        let stalled = self.frame_since.get().is_some_and(|since| over(since, SILENT));
        let (idle, idle_reason) = match self.last_used.get() {
            None => (over(self.opened, SILENT), EndReason::Silent),
            Some(last) => (over(last, IDLE), EndReason::Idle),
        };
        // What is open is still answered, by its deadline at the latest. What has arrived and was not read yet ends the
        // idleness: it is for the reader, not for the close.
        if host.look(|core| core.open_of(self.id)) > 0 {
            return;
        }
        if stalled {
            self.close(EndReason::StoppedWithinFrame);
        } else if idle && self.duplex.is_idle() {
            self.close(idle_reason);
        }
    }

    /// No request is open, none is coming in and no answer is unread; nothing has arrived that was not read yet.
    pub fn is_idle(&self, host: &Host) -> bool {
        self.seems_idle(host) && self.duplex.is_idle()
    }

    /// It is idle as far as can be told without asking the system what has arrived on its socket.
    pub fn seems_idle(&self, host: &Host) -> bool {
        !self.duplex.is_closed()
            && self.frame_since.get().is_none()
            && self.duplex.unsent().0 == 0
            && host.look(|core| core.open_of(self.id)) == 0
    }

    /// The order in which idle connections are closed where there is no room: those that never asked first, then those
    /// that have been idle for longest.
    pub fn eviction_order(&self) -> (bool, Instant) {
        (self.last_used.get().is_some(), self.last_used.get().unwrap_or(self.opened))
    }
}
