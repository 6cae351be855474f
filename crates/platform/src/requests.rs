//! Handles the messages of clients, and answers or rejects invalid ones.

use std::rc::Rc;
use std::time::Instant;

use futures_lite::future;
use violetward::Micros;
use violetward_thrift::{Cursor, MessageHeader, MessageType, ThriftError};

use crate::call::{self, Call};
use crate::client::Client;
use crate::core::{Admission, Reply};
use crate::front;
use crate::host::Host;

/// Maximum number of open requests of one connection.
const OPEN_REQUESTS_MAX: usize = 32;
/// Maximum number of frames of one connection that are handled in one turn of the event loop.
const FRAMES_PER_TURN: usize = 32;
/// Maximum number of reads before the requests in them are submitted: enough for all requests that one connection
/// may have open.
const READS_PER_BATCH: usize = 40;

/// Codes of Thrift application exceptions.
const UNKNOWN_METHOD: i32 = 1;
const INVALID_MESSAGE_TYPE: i32 = 2;
const PROTOCOL_ERROR: i32 = 7;

/// A violation of the protocol, after which the connection has to be closed.
pub struct Violation(&'static str);

/// A parsed request that has not been submitted to the core yet.
struct Unsubmitted {
    seqid: i32,
    call: Call,
}

/// The requests and cancellations in the frames that are handled together.
#[derive(Default)]
struct Batch {
    /// New requests, without those that a later frame of the same batch cancels.
    requests: Vec<Unsubmitted>,
    /// Sequence numbers of open requests to be cancelled.
    cancelled: Vec<i32>,
}

/// Handles all complete frames that were received on a connection; false if the connection has to be closed.
pub async fn handle_received(host: &Rc<Host>, client: &Rc<Client>) -> bool {
    let read = read_batch(host, client).await;
    client.hold_statements(0);
    client.note_input_read();
    let handled = match read {
        // Nothing that a client has sent is begun once it has gone, however much of it is left to be read.
        Ok(_) if client.has_left() => return true,
        Ok(batch) => {
            cancel(host, client, &batch.cancelled);
            submit(host, client, batch.requests)
        }
        Err(violation) => Err(violation),
    };
    if let Err(Violation(why)) = handled {
        if host.log_quotas.clients.allows(host.clock.now()) {
            tracing::warn!(client = client.id.0, why, "connection closed");
        }
        return false;
    }
    client.note_read();
    client.wait_until_read(host).await;
    true
}

/// Reads all complete frames, and while they contain requests, whatever else the client has sent: the end of the
/// connection, or cancellations, may be behind it.
async fn read_batch(host: &Rc<Host>, client: &Rc<Client>) -> Result<Batch, Violation> {
    let mut batch = Batch::default();
    for _ in 0..READS_PER_BATCH {
        read_frames(host, client, &mut batch).await?;
        client.hold_statements(batch.requests.iter().map(|request| request.call.body.len()).sum());
        let has_read_all = batch.requests.is_empty() || client.duplex.is_idle() || host.memory.excess() > 0;
        if has_read_all || !front::receive(host, client).await {
            break;
        }
    }
    Ok(batch)
}

/// Reads all complete frames that were received, a few in each turn of the event loop: other connections get
/// their turns between them, however many frames came with one read.
async fn read_frames(host: &Rc<Host>, client: &Rc<Client>, batch: &mut Batch) -> Result<(), Violation> {
    while !read_some_frames(host, client, batch)? {
        future::yield_now().await;
        client.wait_until_read(host).await;
    }
    Ok(())
}

/// Reads up to [`FRAMES_PER_TURN`] frames; true if no complete one is left.
fn read_some_frames(host: &Rc<Host>, client: &Rc<Client>, batch: &mut Batch) -> Result<bool, Violation> {
    // Some requests may have been answered since the last turn.
    host.read_core(|core| batch.cancelled.retain(|&seqid| core.has_request(client.id, seqid)));
    if client.has_left() {
        return Ok(true);
    }
    for _ in 0..FRAMES_PER_TURN {
        if client.duplex.is_closed() {
            return Ok(true);
        }
        match client.next_frame() {
            Ok(Some(frame)) => handle_frame(host, client, &frame, batch)?,
            Ok(None) => return Ok(true),
            Err(ThriftError::NegativeLength) => return Err(Violation("frame of negative length")),
            Err(_) => return Err(Violation("frame is too long")),
        }
    }
    Ok(false)
}

fn handle_frame(
    host: &Rc<Host>,
    client: &Rc<Client>,
    frame: &[u8],
    batch: &mut Batch,
) -> Result<(), Violation> {
    client.note_frame();
    let mut cursor = Cursor::new(frame);
    let head = cursor.message_header().map_err(|_| Violation("malformed message"))?;
    match head.method.as_str() {
        _ if matches!(head.message_type, MessageType::Reply | MessageType::Exception) => {
            client.answer_exception(&head, INVALID_MESSAGE_TYPE, "not a call");
        }
        "dispatch" if head.message_type == MessageType::Call => {
            read_dispatch(host, client, &head, cursor, batch)?
        }
        "cancelRequest" => match read_cancelled_seqid(cursor) {
            Ok(seqid) => note_cancelled(host, client, seqid, batch),
            Err(e) => client.answer_exception(&head, PROTOCOL_ERROR, &e.to_string()),
        },
        "alive" if head.message_type == MessageType::Call => {
            client.note_request();
            client.answer_alive(head.seqid, !host.is_stopping());
        }
        _ => client.answer_exception(&head, UNKNOWN_METHOD, "no such method"),
    }
    Ok(())
}

/// Notes the cancellation of a request. A request that came with the same read is dropped before the decision
/// module sees it: a client that sends and cancels requests by the hundred must not take room and engine time
/// from others.
fn note_cancelled(host: &Host, client: &Client, seqid: i32, batch: &mut Batch) {
    batch.requests.retain(|request| request.seqid != seqid);
    let open = host.read_core(|core| core.has_request(client.id, seqid));
    if open && !batch.cancelled.contains(&seqid) {
        batch.cancelled.push(seqid);
    }
}

/// Cancels open requests together; see [`Core::cancel_requests`](crate::core::Core::cancel_requests).
fn cancel(host: &Rc<Host>, client: &Client, seqids: &[i32]) {
    if !seqids.is_empty() {
        host.with_core(|core, now| core.cancel_requests(now, client.id, seqids));
    }
}

/// The sequence number that a `cancelRequest` names.
fn read_cancelled_seqid(mut cursor: Cursor<'_>) -> Result<i32, ThriftError> {
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
    batch: &mut Batch,
) -> Result<(), Violation> {
    // With two open requests under one sequence number, the client could not tell their answers apart.
    let (has, open) =
        host.read_core(|core| (core.has_request(client.id, head.seqid), core.open_requests_of(client.id)));
    let is_open = has && !batch.cancelled.contains(&head.seqid);
    if is_open || batch.requests.iter().any(|request| request.seqid == head.seqid) {
        return Err(Violation("sequence number of an open request reused"));
    }
    if open + batch.requests.len() >= OPEN_REQUESTS_MAX + batch.cancelled.len() {
        return Err(Violation("too many open requests on one connection"));
    }
    let parsed = read_arguments(cursor).map_err(|e| e.to_string()).and_then(|(fields, body)| {
        call::parse(&fields, body, &host.config.names, &host.config.settings.classes)
    });
    match parsed {
        Ok(call) => {
            client.note_request();
            batch.requests.push(Unsubmitted { seqid: head.seqid, call });
        }
        Err(why) => {
            if host.log_quotas.clients.allows(host.clock.now()) {
                tracing::info!(why, "a request that can't be used");
            }
            client.answer_exception(head, PROTOCOL_ERROR, &why);
        }
    }
    Ok(())
}

/// Submits requests to the core in the order in which they came. Requests of a client that has disconnected
/// are dropped. While the gateway drains, every request is refused at once.
fn submit(host: &Rc<Host>, client: &Rc<Client>, requests: Vec<Unsubmitted>) -> Result<(), Violation> {
    if requests.is_empty() {
        return Ok(());
    }
    let backlog_age = host.pauses.backlog_age(Instant::now()).as_micros() as Micros;
    for Unsubmitted { seqid, mut call } in requests {
        call.wait = call.wait.saturating_sub(backlog_age);
        if client.duplex.is_closed() {
            // Sending an earlier answer showed that the connection is broken.
            break;
        }
        tracing::debug!(client = client.id.0, seqid, ?call, "request");
        if host.is_draining() {
            client.answer(seqid, &Reply::Refused(0));
            continue;
        }
        match host.with_core(|core, now| core.submit(now, client.id, seqid, call)) {
            Admission::Accepted => {}
            Admission::Full => client.answer(seqid, &Reply::Refused(0)),
            Admission::OwnIdReused => return Err(Violation("id of an open request reused")),
            Admission::IdInUse => {
                let head =
                    MessageHeader { method: "dispatch".into(), message_type: MessageType::Call, seqid };
                client.answer_exception(&head, PROTOCOL_ERROR, "id: used before");
            }
        }
    }
    Ok(())
}
