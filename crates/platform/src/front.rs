//! Connections of clients: frames in, answers out, and what a bad client gets.

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use violetward_net::Duplex;
use violetward_thrift::{Cursor, Frames, Head, Kind, ThriftError, Writer};

use crate::call::{self, Call};
use crate::core::{ClientId, Taken, Verdict};
use crate::host::Host;

/// Requests that may be open on one connection.
const OPEN: usize = 32;
/// How long a connection may be silent before its first whole frame, and a frame may take to come in whole. Bad clients
/// are owed an end within three seconds of connecting.
const SILENT: Duration = Duration::from_millis(2_000);
/// How long a connection may stay idle between requests; clients close theirs after four seconds.
const IDLE: Duration = Duration::from_millis(6_000);
/// How long a client may leave an answer unread.
const UNREAD: Duration = Duration::from_millis(2_500);
/// Bytes kept for a client that does not read: some of the largest results.
const KEPT: usize = 256 << 10;

/// Codes of application exceptions.
const UNKNOWN_METHOD: i32 = 1;
const INVALID_MESSAGE_TYPE: i32 = 2;
const PROTOCOL_ERROR: i32 = 7;

/// A connection of a client.
pub struct Client {
    id: ClientId,
    duplex: Duplex,
    frames: RefCell<Frames>,
    opened: Instant,
    /// Since when a frame has been coming in.
    within: Cell<Option<Instant>>,
    /// Its last frame or answer; `None` before the first frame.
    last: Cell<Option<Instant>>,
}

/// Why a connection is closed.
struct Unfit(&'static str);

fn answer(writer: &mut Writer, body: &[u8], good: bool) {
    writer.begin(0);
    writer.bytes(1, body);
    writer.texts(2, std::iter::empty());
    writer.bool(3, good);
    writer.stop();
    writer.stop();
}

fn thrown(writer: &mut Writer, number: i16, fields: &[(&str, &str)]) {
    writer.begin(number);
    writer.texts(1, fields.iter().copied());
    writer.stop();
    writer.stop();
}

impl Client {
    /// Writes the final answer to a request.
    fn answer(&self, seqid: i32, verdict: &Verdict) {
        tracing::debug!(client = self.id.0, seqid, what = verdict.name(), "answer");
        let mut writer = Writer::message("dispatch", Kind::Reply, seqid);
        match verdict {
            Verdict::Served(result) => answer(&mut writer, result, true),
            Verdict::Refused(0) => thrown(&mut writer, 1, &[]),
            Verdict::Refused(after) => {
                thrown(&mut writer, 1, &[("after", &after.div_ceil(1000).to_string())]);
            }
            Verdict::Failed => thrown(&mut writer, 2, &[]),
        }
        self.last.set(Some(Instant::now()));
        self.duplex.send(&writer.frame());
    }

    fn exception(&self, head: &Head, code: i32, why: &str) {
        // Nobody waits for an answer to what is no call.
        if head.kind == Kind::Oneway {
            return;
        }
        let mut writer = Writer::message(&head.name, Kind::Exception, head.seqid);
        writer.bytes(1, why.as_bytes());
        writer.i32(2, code);
        writer.stop();
        self.duplex.send(&writer.frame());
    }

    /// Closes it if it has been silent, idle or unread for too long.
    pub(crate) fn sweep(&self, host: &Host, now: Instant) {
        let over = |since: Instant, span: Duration| now.saturating_duration_since(since) > span;
        let (kept, moved) = self.duplex.kept();
        let unread = kept > 0 && over(moved, UNREAD);
        let stalled = self.within.get().is_some_and(|since| over(since, SILENT));
        let idle = match self.last.get() {
            None => over(self.opened, SILENT),
            Some(last) => over(last, IDLE) && host.look(|core| core.open_of(self.id)) == 0,
        };
        if unread || stalled || idle {
            self.duplex.close();
        }
    }

    /// No request is open, none is coming in and no answer is unread.
    fn is_idle(&self, host: &Host) -> bool {
        self.within.get().is_none()
            && self.duplex.kept().0 == 0
            && self.duplex.is_quiet()
            && host.look(|core| core.open_of(self.id)) == 0
    }

    /// What makes it the first to go when there is no room: never having asked, then idleness.
    fn rank(&self) -> (bool, Instant) {
        (self.last.get().is_some(), self.last.get().unwrap_or(self.opened))
    }
}

/// Takes connections. Never ends.
pub async fn accept(host: Rc<Host>, listener: Async<TcpListener>) {
    let (most, frame) = (host.config.limits.descriptors().clients, host.config.limits.frame_bytes());
    let mut next = 0;
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                // Out of descriptors in spite of the budget, or a connection that broke in the queue: neither spins.
                if host.quotas[0].allows(host.clock.now()) {
                    tracing::warn!(%e, "a connection could not be taken");
                }
                violetward_net::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        next += 1;
        let now = Instant::now();
        let client = Rc::new(Client {
            id: ClientId(next),
            duplex: Duplex::new(socket, KEPT),
            frames: RefCell::new(Frames::new(frame)),
            opened: now,
            within: Cell::new(None),
            last: Cell::new(None),
        });
        let full = host.clients.borrow().len() >= most;
        if full && !make_room(&host) {
            if host.quotas[0].allows(host.clock.now()) {
                tracing::warn!(most, "no room for one more connection");
            }
            continue;
        }
        host.clients.borrow_mut().insert(client.id, client.clone());
        host.spawn(serve(host.clone(), client));
        if next % 16 == 0 {
            // A wave of connections must not keep those from being read that are there.
            future::yield_now().await;
        }
    }
}

/// Ends the connection that is missed least; false if all are in use.
fn make_room(host: &Host) -> bool {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    let idle = clients.into_iter().filter(|c| c.is_idle(host));
    let Some(client) = idle.min_by_key(|c| c.rank()) else { return false };
    client.duplex.close();
    // Its task ends with the next turn; it is not counted any more.
    host.clients.borrow_mut().remove(&client.id);
    true
}

/// Bytes of answers that clients have not taken yet.
pub fn unread(host: &Host) -> usize {
    host.clients.borrow().values().map(|c| c.duplex.kept().0).sum()
}

/// Writes the final answer to a client's request. Clients that do not read share one bound: past it the one that has
/// left most unread is closed.
pub(crate) fn answer_to(host: &Host, id: ClientId, seqid: i32, verdict: &Verdict) {
    let client = host.clients.borrow().get(&id).cloned();
    let Some(client) = client else { return };
    client.answer(seqid, verdict);
    if client.duplex.kept().0 > 0 && unread(host) > host.config.limits.held_bytes() {
        let clients = host.clients.borrow();
        let worst = clients.values().max_by_key(|c| c.duplex.kept().0);
        worst.into_iter().for_each(|c| c.duplex.close());
    }
}

/// Closes connections without open requests; used at the end of service.
pub fn close_idle(host: &Host) {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    clients.iter().filter(|c| c.is_idle(host)).for_each(|c| c.duplex.close());
}

async fn serve(host: Rc<Host>, client: Rc<Client>) {
    let reading = async {
        loop {
            let mut unfit = None;
            let read = client.duplex.read(|bytes| client.frames.borrow_mut().feed(bytes)).await;
            if read.unwrap_or(0) == 0 {
                return;
            }
            let mut fresh = Vec::new();
            while unfit.is_none() {
                let frame = client.frames.borrow_mut().next();
                match frame {
                    Ok(Some(frame)) => unfit = take(&host, &client, &frame, &mut fresh).err(),
                    Ok(None) => break,
                    Err(ThriftError::Negative) => unfit = Some(Unfit("a frame of negative length")),
                    Err(_) => unfit = Some(Unfit("a frame that is too long")),
                }
            }
            if unfit.is_none() {
                unfit = hand_in(&host, &client, fresh).err();
            }
            if let Some(Unfit(why)) = unfit {
                if host.quotas[0].allows(host.clock.now()) {
                    tracing::warn!(why, "connection closed");
                }
                return;
            }
            let within = client.frames.borrow().is_within();
            client.within.set(within.then(|| client.within.get().unwrap_or_else(Instant::now)));
            if client.duplex.is_closed() {
                return;
            }
            // One that sends without pause must not keep others waiting.
            future::yield_now().await;
        }
    };
    future::or(reading, async {
        client.duplex.drain().await;
    })
    .await;
    tracing::debug!(client = client.id.0, "gone");
    client.duplex.close();
    host.clients.borrow_mut().remove(&client.id);
    host.core(|core, now| core.client_gone(now, client.id));
}

/// Requests that came with one read, by their numbers, still to be handed in.
type Fresh = Vec<(i32, Call)>;

/// Takes one frame.
fn take(host: &Rc<Host>, client: &Rc<Client>, frame: &[u8], fresh: &mut Fresh) -> Result<(), Unfit> {
    client.last.set(Some(Instant::now()));
    // A frame has been read whole; the next one's time begins anew.
    client.within.set(None);
    let mut cursor = Cursor::new(frame);
    let head = cursor.message().map_err(|_| Unfit("a message that can't be read"))?;
    if matches!(head.kind, Kind::Reply | Kind::Exception) {
        client.exception(&head, INVALID_MESSAGE_TYPE, "not a call");
        return Ok(());
    }
    match head.name.as_str() {
        "dispatch" if head.kind == Kind::Call => dispatch(host, client, &head, cursor, fresh),
        "cancelRequest" => {
            match number(cursor) {
                Ok(seqid) => {
                    // What is taken back in the same breath was never wanted: it must cost neither the module's room
                    // nor the engines' work, or a client that does it by the hundred keeps all others out.
                    let before = fresh.len();
                    fresh.retain(|(number, _)| *number != seqid);
                    if fresh.len() == before {
                        host.core(|core, now| core.lapse(now, client.id, seqid));
                    }
                }
                Err(e) => client.exception(&head, PROTOCOL_ERROR, &e.to_string()),
            }
            Ok(())
        }
        "alive" if head.kind == Kind::Call => {
            let mut writer = Writer::message("alive", Kind::Reply, head.seqid);
            answer(&mut writer, b"", !host.stopping.get());
            client.duplex.send(&writer.frame());
            Ok(())
        }
        _ => {
            client.exception(&head, UNKNOWN_METHOD, "no such method");
            Ok(())
        }
    }
}

/// The number that a `cancelRequest` names.
fn number(mut cursor: Cursor<'_>) -> Result<i32, ThriftError> {
    let mut seqid = None;
    while let Some((kind, field)) = cursor.field()? {
        match (kind, field) {
            (Cursor::I32, 1) => seqid = Some(cursor.i32()?),
            _ => cursor.skip(kind)?,
        }
    }
    seqid.ok_or(ThriftError::Short)
}

type Arguments<'a> = (Vec<(&'a str, &'a str)>, &'a [u8]);

fn arguments<'a>(mut cursor: Cursor<'a>) -> Result<Arguments<'a>, ThriftError> {
    let (mut fields, mut body) = (None, None);
    while let Some((kind, field)) = cursor.field()? {
        match (kind, field) {
            (Cursor::MAP, 1) => fields = Some(cursor.texts()?),
            (Cursor::STRING, 2) => body = Some(cursor.bytes()?),
            (_, 1 | 2) => return Err(ThriftError::Type),
            _ => cursor.skip(kind)?,
        }
    }
    if !cursor.rest().is_empty() {
        return Err(ThriftError::Short);
    }
    fields.zip(body).ok_or(ThriftError::Short)
}

fn dispatch(
    host: &Rc<Host>,
    client: &Rc<Client>,
    head: &Head,
    cursor: Cursor<'_>,
    fresh: &mut Fresh,
) -> Result<(), Unfit> {
    // An answer under a number that is open twice could be taken for the other's.
    let (has, open) = host.look(|core| (core.has(client.id, head.seqid), core.open_of(client.id)));
    if has || fresh.iter().any(|(number, _)| *number == head.seqid) {
        return Err(Unfit("two requests under one number"));
    }
    if open + fresh.len() >= OPEN {
        return Err(Unfit("more open requests than a connection may have"));
    }
    let read = arguments(cursor).map_err(|e| e.to_string()).and_then(|(fields, body)| {
        call::read(&fields, body, &host.config.names, &host.config.settings.classes)
    });
    match read {
        Ok(call) => fresh.push((head.seqid, call)),
        Err(why) => {
            if host.quotas[0].allows(host.clock.now()) {
                tracing::info!(why, "a request that can't be used");
            }
            client.exception(head, PROTOCOL_ERROR, &why);
        }
    }
    Ok(())
}

/// Hands requests in, in the order in which they came.
fn hand_in(host: &Rc<Host>, client: &Rc<Client>, fresh: Fresh) -> Result<(), Unfit> {
    for (seqid, call) in fresh {
        tracing::debug!(client = client.id.0, seqid, ?call, "request");
        match host.core(|core, now| core.request(now, client.id, seqid, call)) {
            Taken::Yes => {}
            Taken::Full => client.answer(seqid, &Verdict::Refused(0)),
            Taken::OwnId => return Err(Unfit("the id of an open request again")),
            Taken::OthersId => {
                let head = Head { name: "dispatch".into(), kind: Kind::Call, seqid };
                client.exception(&head, PROTOCOL_ERROR, "id: in use");
            }
        }
    }
    Ok(())
}

/// Listens on the address of the configuration alone.
///
/// # Errors
/// The socket's.
pub fn listen(host: &Host) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(host.config.listen)
}
