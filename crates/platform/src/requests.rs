//! Messages of clients: what each frame asks for, and what a bad one gets.

use std::rc::Rc;
use std::time::Instant;

use violetward::Micros;
use violetward_thrift::{Cursor, MessageHeader, MessageType, ThriftError};

use crate::call::{self, Call};
use crate::client::Client;
use crate::core::{Taken, Verdict};
use crate::host::Host;

/// Requests that may be open on one connection.
const OPEN_REQUESTS: usize = 32;

/// Codes of application exceptions.
const UNKNOWN_METHOD: i32 = 1;
const INVALID_MESSAGE_TYPE: i32 = 2;
const PROTOCOL_ERROR: i32 = 7;

/// Why a connection has to be closed.
pub struct Violation(&'static str);

/// A request that has been read and not yet been handed to the core, with its number on the connection.
struct Unsubmitted {
    seqid: i32,
    call: Call,
}

/// What the frames of one read ask for.
#[derive(Default)]
struct Read {
    /// Requests, less those that are taken back in the same read.
    requests: Vec<Unsubmitted>,
    /// Numbers of open requests that are taken back.
    cancelled: Vec<i32>,
}

/// Handles all whole frames that have come in on a connection; false if it is to be closed.
pub fn handle_frames(host: &Rc<Host>, client: &Rc<Client>) -> bool {
    let handled = read_frames(host, client).and_then(|read| {
        cancel(host, client, &read.cancelled);
        submit(host, client, read.requests)
    });
    if let Err(Violation(why)) = handled {
        if host.quotas[0].allows(host.clock.now()) {
            tracing::warn!(why, "connection closed");
        }
        return false;
    }
    client.note_read();
    true
}

/// Reads the frames that are whole.
fn read_frames(host: &Rc<Host>, client: &Rc<Client>) -> Result<Read, Violation> {
    let mut read = Read::default();
    while !client.duplex.is_closed() {
        let frame = client.frames.borrow_mut().next_frame();
        match frame {
            Ok(Some(frame)) => handle_frame(host, client, &frame, &mut read)?,
            Ok(None) => break,
            Err(ThriftError::NegativeLength) => return Err(Violation("a frame of negative length")),
            Err(_) => return Err(Violation("a frame that is too long")),
        }
    }
    Ok(read)
}

fn handle_frame(
    host: &Rc<Host>,
    client: &Rc<Client>,
    frame: &[u8],
    read: &mut Read,
) -> Result<(), Violation> {
    client.note_frame();
    let mut cursor = Cursor::new(frame);
    let head = cursor.message_header().map_err(|_| Violation("a message that can't be read"))?;
    match head.method.as_str() {
        _ if matches!(head.message_type, MessageType::Reply | MessageType::Exception) => {
            client.answer_exception(&head, INVALID_MESSAGE_TYPE, "not a call");
        }
        "dispatch" if head.message_type == MessageType::Call => {
            read_dispatch(host, client, &head, cursor, read)?
        }
        "cancelRequest" => match read_cancelled_number(cursor) {
            Ok(seqid) => note_cancelled(host, client, seqid, read),
            Err(e) => client.answer_exception(&head, PROTOCOL_ERROR, &e.to_string()),
        },
        "alive" if head.message_type == MessageType::Call => {
            client.answer_alive(head.seqid, !host.is_stopping())
        }
        _ => client.answer_exception(&head, UNKNOWN_METHOD, "no such method"),
    }
    Ok(())
}

/// A request is taken back. One that came with the same read was never wanted: it must cost neither the module's room
/// nor the engines' work, or a client that does it by the hundred keeps all others out.
fn note_cancelled(host: &Host, client: &Client, seqid: i32, read: &mut Read) {
    read.requests.retain(|request| request.seqid != seqid);
    let open = host.look(|core| core.has(client.id, seqid));
    if open && !read.cancelled.contains(&seqid) {
        read.cancelled.push(seqid);
    }
}

/// Takes open requests back, all at once: none of them gets an attempt in place of another that goes with it.
fn cancel(host: &Rc<Host>, client: &Client, seqids: &[i32]) {
    if !seqids.is_empty() {
        host.core(|core, now| core.lapse_all(now, client.id, seqids));
    }
}

/// The number that a `cancelRequest` names.
fn read_cancelled_number(mut cursor: Cursor<'_>) -> Result<i32, ThriftError> {
    let mut seqid = None;
    while let Some((kind, field)) = cursor.field_header()? {
        match (kind, field) {
            (Cursor::I32, 1) => seqid = Some(cursor.i32()?),
            _ => cursor.skip(kind)?,
        }
    }
    seqid.ok_or(ThriftError::Truncated)
}

type Arguments<'a> = (Vec<(&'a str, &'a str)>, &'a [u8]);

/// The fields and the statement of a `dispatch`.
fn read_arguments<'a>(mut cursor: Cursor<'a>) -> Result<Arguments<'a>, ThriftError> {
    let (mut fields, mut body) = (None, None);
    while let Some((kind, field)) = cursor.field_header()? {
        match (kind, field) {
            (Cursor::MAP, 1) => fields = Some(cursor.string_map()?),
            (Cursor::STRING, 2) => body = Some(cursor.binary()?),
            (_, 1 | 2) => return Err(ThriftError::UnexpectedType),
            _ => cursor.skip(kind)?,
        }
    }
    if !cursor.rest().is_empty() {
        return Err(ThriftError::Truncated);
    }
    fields.zip(body).ok_or(ThriftError::Truncated)
}

fn read_dispatch(
    host: &Rc<Host>,
    client: &Rc<Client>,
    head: &MessageHeader,
    cursor: Cursor<'_>,
    read: &mut Read,
) -> Result<(), Violation> {
    // An answer under a number that is open twice could be taken for the other's.
    let (has, open) = host.look(|core| (core.has(client.id, head.seqid), core.open_of(client.id)));
    let is_open = has && !read.cancelled.contains(&head.seqid);
    if is_open || read.requests.iter().any(|request| request.seqid == head.seqid) {
        return Err(Violation("two requests under one number"));
    }
    if open + read.requests.len() >= OPEN_REQUESTS + read.cancelled.len() {
        return Err(Violation("more open requests than a connection may have"));
    }
    let parsed = read_arguments(cursor).map_err(|e| e.to_string()).and_then(|(fields, body)| {
        call::read(&fields, body, &host.config.names, &host.config.settings.classes)
    });
    match parsed {
        Ok(call) => read.requests.push(Unsubmitted { seqid: head.seqid, call }),
        Err(why) => {
            if host.quotas[0].allows(host.clock.now()) {
                tracing::info!(why, "a request that can't be used");
            }
            client.answer_exception(head, PROTOCOL_ERROR, &why);
        }
    }
    Ok(())
}

/// Hands requests to the core, in the order in which they came. Those of a client that has gone already are not begun.
/// Where the gateway takes no more, each is refused at once.
fn submit(host: &Rc<Host>, client: &Rc<Client>, requests: Vec<Unsubmitted>) -> Result<(), Violation> {
    if requests.is_empty() || !client.duplex.is_alive() {
        return Ok(());
    }
    let unread = host.standstill.unread_for(Instant::now()).as_micros() as Micros;
    for Unsubmitted { seqid, mut call } in requests {
        call.wait = call.wait.saturating_sub(unread);
        if client.duplex.is_closed() {
            // An earlier answer found that the client does not read.
            break;
        }
        tracing::debug!(client = client.id.0, seqid, ?call, "request");
        if host.is_draining() {
            client.answer(seqid, &Verdict::Refused(0));
            continue;
        }
        match host.core(|core, now| core.request(now, client.id, seqid, call)) {
            Taken::Yes => {}
            Taken::Full => client.answer(seqid, &Verdict::Refused(0)),
            Taken::OwnId => return Err(Violation("the id of an open request again")),
            Taken::OthersId => {
                let head =
                    MessageHeader { method: "dispatch".into(), message_type: MessageType::Call, seqid };
                client.answer_exception(&head, PROTOCOL_ERROR, "id: in use");
            }
        }
    }
    Ok(())
}
