//! Accepts client connections and serves them.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use violetward_net::SocketErrorKind;
use violetward_overload::Holding;

use crate::client::{Client, EndReason};
use crate::core::{ClientId, Reply};
use crate::host::Host;
use crate::requests;

/// How many connections are accepted before other tasks get a turn.
const ACCEPT_BATCH: u64 = 16;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// After this many failed accepts at the start of the drain, the rest of the accept queue is abandoned.
const QUEUE_FAILURES_MAX: u32 = 50;
/// How often idle connections are closed while the gateway drains.
const CLOSE_DRAINED_INTERVAL: Duration = Duration::from_millis(5);

/// Listens on the configured address.
///
/// # Errors
/// Those of binding the socket.
pub fn listen(host: &Host) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(host.config.listen)
}

/// Accepts connections until the gateway drains. Connections in the accept queue at that time are still
/// accepted: closing the listener would reset them.
pub async fn accept(host: Rc<Host>, listener: Async<TcpListener>) {
    let mut number = 0;
    loop {
        let accepted = async { Some(listener.accept().await.map(|(socket, _)| socket)) };
        let drain = async {
            host.drain_started().await;
            None
        };
        match future::or(drain, accepted).await {
            None => break,
            Some(Ok(socket)) => {
                number += 1;
                admit(&host, ClientId(number), socket);
                if number % ACCEPT_BATCH == 0 {
                    // A burst of new connections must not delay the existing ones.
                    future::yield_now().await;
                }
            }
            Some(Err(e)) => {
                note_accept_error(&host, &e);
                violetward_net::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    take_queue(&host, &listener, number).await;
    host.listening.set(false);
}

/// Accepts the connections that are in the queue when the gateway starts to drain. It goes on after a failed
/// accept: closing the listener would reset the connections that are left.
async fn take_queue(host: &Rc<Host>, listener: &Async<TcpListener>, mut number: u64) {
    let mut failures = 0;
    while failures < QUEUE_FAILURES_MAX {
        match listener.get_ref().accept() {
            Ok((socket, _)) => {
                number += 1;
                if let Ok(socket) = Async::new(socket) {
                    admit(host, ClientId(number), socket);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                failures += 1;
                note_accept_error(host, &error);
                violetward_net::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Logs a failed accept. If the process or the machine is out of descriptors in spite of the budget, closes
/// an idle connection.
fn note_accept_error(host: &Host, error: &io::Error) {
    if host.log_quotas.clients.allows(host.clock.now()) {
        tracing::warn!(%error, "accepting a connection failed");
    }
    if SocketErrorKind::of(error) == SocketErrorKind::ResourceShortage {
        evict_client(host);
    }
}

/// Serves a new connection if there is room for it, else drops it without reading.
fn admit(host: &Rc<Host>, id: ClientId, socket: Async<TcpStream>) {
    let max = host.config.limits.descriptors().clients;
    let full = host.clients.borrow().len() >= max;
    if full && !evict_client(host) {
        if host.log_quotas.clients.allows(host.clock.now()) {
            tracing::warn!(
                max,
                "client connection rejected: the limit is reached and all have open requests"
            );
        }
        return;
    }
    let client = Rc::new(Client::new(id, socket, host.config.limits.frame_max_bytes(), &host.memory));
    host.clients.borrow_mut().insert(id, client.clone());
    host.spawn(serve(host.clone(), client));
}

/// Closes the connection that comes first in the eviction order; false if all have open requests.
///
/// This runs for every new connection while others use up the descriptors. To keep it cheap, only the
/// chosen connection is checked with a system call, not all of them.
fn evict_client(host: &Host) -> bool {
    let mut candidates: Vec<Rc<Client>> = {
        let clients = host.clients.borrow();
        clients.values().filter(|client| client.is_evictable(host)).cloned().collect()
    };
    while let Some(index) = first_to_evict(&candidates) {
        let client = candidates.swap_remove(index);
        // One that the client has closed may still have bytes to be read.
        if client.has_left() || client.duplex.is_idle() {
            client.close(EndReason::Evicted);
            // Its task ends in the next turn of the event loop; it must not be counted until then.
            host.clients.borrow_mut().remove(&client.id);
            return true;
        }
    }
    false
}

/// The index of the connection that is evicted first.
fn first_to_evict(clients: &[Rc<Client>]) -> Option<usize> {
    let indexed = clients.iter().enumerate();
    indexed.min_by_key(|(_, client)| client.eviction_order()).map(|(index, _)| index)
}

/// Serves a connection until either side ends it, then closes it.
async fn serve(host: Rc<Host>, client: Rc<Client>) {
    let writing = async {
        client.duplex.run_writer(|| host.request_results()).await;
    };
    future::or(read_requests(&host, &client), writing).await;
    client.end_input();
    host.clients.borrow_mut().remove(&client.id);
    note_end(&host, &client);
    host.with_core(|core, now| core.client_disconnected(now, client.id));
    // What waited for this client is no longer in the way of others.
    host.request_results();
    host.closing.finish(&client.duplex).await;
}

/// Logs why a connection ended. A connection that this side closed with open requests leaves answers unsent.
/// That is a fault, unless the client violated the protocol or does not read.
fn note_end(host: &Host, client: &Client) {
    let (reason, open) = (client.end_reason(), host.read_core(|core| core.open_requests_of(client.id)));
    let expected = matches!(reason, EndReason::ByClient | EndReason::Violation | EndReason::Unread);
    if open > 0 && !expected && host.log_quotas.clients.allows(host.clock.now()) {
        tracing::error!(client = client.id.0, ?reason, open, "connection closed with open requests");
    }
    tracing::debug!(client = client.id.0, ?reason, open, "gone");
}

/// Reads requests until either side ends the connection.
async fn read_requests(host: &Rc<Host>, client: &Rc<Client>) {
    while receive(host, client).await {
        if !requests::handle_received(host, client).await {
            return client.close(EndReason::Violation);
        }
        host.send_postponed();
        // A client that sends without pause must not delay others.
        future::yield_now().await;
    }
}

/// Reads once from a client; false once the connection has ended. Other clients may have to make room.
pub(crate) async fn receive(host: &Rc<Host>, client: &Rc<Client>) -> bool {
    let read = client.duplex.read(|bytes| client.receive(bytes)).await;
    if read.unwrap_or(0) == 0 {
        return false;
    }
    client.begin_handling();
    make_room(host);
    true
}

/// Frees the memory of unfinished requests until what is held for all peers is within its limit.
fn make_room(host: &Host) {
    while host.memory.excess() > 0 {
        let now = Instant::now();
        let first = {
            let clients = host.clients.borrow();
            let holders = clients.values().filter(|client| client.input_bytes() > 0);
            holders.min_by_key(|client| client.shed_order(host, now)).cloned()
        };
        let Some(client) = first else { return };
        if host.log_quotas.memory.allows(host.clock.now()) {
            let (bytes, memory) = (client.input_bytes(), &host.memory);
            tracing::warn!(
                client = client.id.0,
                bytes,
                ?memory,
                "memory is short: an unfinished request is dropped"
            );
        }
        client.shed(host);
    }
}

/// Closes the connections of which a time-out has expired.
pub fn close_timed_out(host: &Host, now: Instant) {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    clients.iter().for_each(|client| client.close_if_timed_out(host, now));
}

/// The memory of answers that clients have not read yet, in bytes.
pub fn unread_bytes(host: &Host) -> usize {
    host.memory.used_for(Holding::Answers)
}

/// Sends the final answer to a client's request. A result for which there is no memory is answered as failed:
/// the connections that use the memory are being read, or will be closed for not being read.
pub(crate) fn answer_request(host: &Host, id: ClientId, seqid: i32, reply: &Reply) {
    let client = host.clients.borrow().get(&id).cloned();
    let Some(client) = client else { return };
    match reply {
        // A connection that has taken all of its answers buffers one result at most.
        Reply::Served(result)
            if client.duplex.unsent_bytes() > 0 && !host.has_room_for_result(result.len()) =>
        {
            if host.log_quotas.clients.allows(host.clock.now()) {
                tracing::warn!(
                    client = id.0,
                    seqid,
                    bytes = result.len(),
                    unread = unread_bytes(host),
                    "no memory for a result: its request is answered as failed"
                );
            }
            client.answer(seqid, &Reply::Failed);
        }
        _ => client.answer(seqid, reply),
    }
}

/// Closes each connection after its last answer while the gateway drains. Never returns.
///
/// Only this task closes connections for the drain, since it runs between the turns of others: within a turn,
/// the core may have ended requests whose answers are still to be sent, and a read may hold requests that the
/// core has not got.
pub async fn run_drain(host: Rc<Host>) {
    loop {
        close_drained(&host);
        violetward_net::sleep(CLOSE_DRAINED_INTERVAL).await;
    }
}

/// Closes all idle connections. To be called between turns; see [`run_drain`].
pub fn close_drained(host: &Host) {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    for client in clients {
        if client.is_idle(host) {
            client.close(EndReason::Drained);
        }
    }
}
