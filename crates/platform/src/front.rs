//! Takes connections of clients and serves them: requests in, answers out.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use violetward_net::SocketErrorKind;

use crate::client::{Client, EndReason};
use crate::core::{ClientId, Verdict};
use crate::host::Host;
use crate::requests;

/// Connections that are taken in a row before those that are there are read again.
const ACCEPTED_IN_A_ROW: u64 = 16;
/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Connections that could not be taken, after which the rest of the queue is given up when the gateway drains.
const QUEUE_FAILURES: u32 = 50;
/// How often connections are looked at for their end while the gateway drains.
const CLOSE_DRAINED_EVERY: Duration = Duration::from_millis(5);

/// Listens on the address of the configuration alone.
///
/// # Errors
/// The socket's.
pub fn listen(host: &Host) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(host.config.listen)
}

/// Takes connections until the gateway drains. Those that wait then are still taken: closing the listener over them
/// would reset them.
pub async fn accept(host: Rc<Host>, listener: Async<TcpListener>) {
    let mut number = 0;
    loop {
        let accepted = async { Some(listener.accept().await.map(|(socket, _)| socket)) };
        let drains = async {
            host.drain_begins().await;
            None
        };
        match future::or(drains, accepted).await {
            None => break,
            Some(Ok(socket)) => {
                number += 1;
                admit(&host, ClientId(number), socket);
                if number % ACCEPTED_IN_A_ROW == 0 {
                    // A wave of connections must not keep those from being read that are there.
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

/// Takes the connections that wait when the gateway drains. One that can't be taken does not end it: those behind it would
/// be reset with the listener.
async fn take_queue(host: &Rc<Host>, listener: &Async<TcpListener>, mut number: u64) {
    let mut failures = 0;
    while failures < QUEUE_FAILURES {
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

/// Out of descriptors in spite of the budget, or a connection that broke in the queue: neither spins.
fn note_accept_error(host: &Host, error: &io::Error) {
    if host.quotas[0].allows(host.clock.now()) {
        tracing::warn!(%error, "a connection could not be taken");
    }
    if SocketErrorKind::of(error) == SocketErrorKind::ResourceShortage {
        evict_idle_client(host);
    }
}

/// Serves a new connection if there is room for it, else closes it unread.
fn admit(host: &Rc<Host>, id: ClientId, socket: Async<TcpStream>) {
    let most = host.config.limits.descriptors().clients;
    let full = host.clients.borrow().len() >= most;
    if full && !evict_idle_client(host) {
        if host.quotas[0].allows(host.clock.now()) {
            tracing::warn!(most, "no room for one more connection");
        }
        return;
    }
    let client = Rc::new(Client::new(id, socket, host.config.limits.frame_bytes()));
    host.clients.borrow_mut().insert(id, client.clone());
    host.spawn(serve(host.clone(), client));
}

/// Closes the idle connection that is missed least; false if all are in use. This happens for every new connection while
/// idle ones fill the descriptors, so that the system is asked about the chosen one alone and not about all of them.
fn evict_idle_client(host: &Host) -> bool {
    let mut candidates: Vec<Rc<Client>> = {
        let clients = host.clients.borrow();
        clients.values().filter(|client| client.seems_idle(host)).cloned().collect()
    };
    while let Some(place) = least_missed(&candidates) {
        let client = candidates.swap_remove(place);
        if client.duplex.is_idle() {
            client.close(EndReason::MadeRoom);
            // Its task ends with the next turn; it is not counted any more.
            host.clients.borrow_mut().remove(&client.id);
            return true;
        }
    }
    false
}

/// The place of the connection that is the first to be closed.
fn least_missed(clients: &[Rc<Client>]) -> Option<usize> {
    let ranked = clients.iter().enumerate();
    ranked.min_by_key(|(_, client)| client.eviction_order()).map(|(place, _)| place)
}

/// Serves a connection until either side ends it, then closes it.
async fn serve(host: Rc<Host>, client: Rc<Client>) {
    let writing = async {
        client.duplex.run_writer().await;
    };
    future::or(read_requests(&host, &client), writing).await;
    host.clients.borrow_mut().remove(&client.id);
    note_end(&host, &client);
    host.core(|core, now| core.client_gone(now, client.id));
    host.closing.finish(&client.duplex).await;
}

/// Tells why a connection ended. One that this side ended with requests open owes answers: that is a fault, unless its
/// client broke the protocol or does not read.
fn note_end(host: &Host, client: &Client) {
    let (reason, open) = (client.end_reason(), host.look(|core| core.open_of(client.id)));
    let allowed = matches!(reason, EndReason::ByClient | EndReason::Violation | EndReason::Unread);
    if open > 0 && !allowed && host.quotas[0].allows(host.clock.now()) {
        tracing::error!(client = client.id.0, ?reason, open, "ended with requests open");
    }
    tracing::debug!(client = client.id.0, ?reason, open, "gone");
}

/// Reads requests until the client or this side ends the connection.
async fn read_requests(host: &Rc<Host>, client: &Rc<Client>) {
    loop {
        let read = client.duplex.read(|bytes| client.frames.borrow_mut().feed(bytes)).await;
        if read.unwrap_or(0) == 0 {
            return;
        }
        if !requests::handle_frames(host, client) {
            return client.close(EndReason::Violation);
        }
        // One that sends without pause must not keep others waiting.
        future::yield_now().await;
    }
}

/// Closes the connections that have been silent, idle or unread for too long at a time.
pub fn close_overdue(host: &Host, now: Instant) {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    clients.iter().for_each(|client| client.close_if_overdue(host, now));
}

/// Bytes of answers that clients have not taken yet.
pub fn unread_bytes(host: &Host) -> usize {
    host.clients.borrow().values().map(|client| client.duplex.unsent().0).sum()
}

/// Writes the final answer to a client's request. Clients that do not read share one bound: past it the one that has
/// left most unread is cut off.
pub(crate) fn answer_request(host: &Host, id: ClientId, seqid: i32, verdict: &Verdict) {
    let client = host.clients.borrow().get(&id).cloned();
    let Some(client) = client else { return };
    client.answer(seqid, verdict);
    if client.duplex.unsent().0 > 0 && unread_bytes(host) > host.config.limits.held_bytes() {
        let clients = host.clients.borrow();
        let fullest = clients.values().max_by_key(|client| client.duplex.unsent().0);
        fullest.into_iter().for_each(|client| client.cut_off());
    }
}

/// While the gateway drains, ends each connection behind its last answer. Never ends.
///
/// This is a task of its own, and nothing else closes connections for the drain: within a turn the core can have ended
/// requests whose answers are still to be written, and a read can hold requests that the core has not seen yet.
pub async fn run_drain(host: Rc<Host>) {
    loop {
        close_drained(&host);
        violetward_net::sleep(CLOSE_DRAINED_EVERY).await;
    }
}

/// Closes the connections that have nothing open. To be called between turns.
pub fn close_drained(host: &Host) {
    let clients: Vec<_> = host.clients.borrow().values().cloned().collect();
    for client in clients {
        if client.is_idle(host) {
            client.close(EndReason::Drained);
        }
    }
}
