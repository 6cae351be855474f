//! The queries that may still be answered, and their sockets.
//!
//! An answer contains the list of the moment at which it is sent, and from that moment on the platform takes
//! its changes as known. So the answer to any query counts, however late it comes and whether or not a later
//! query was answered before it: a query is forgotten only long after it was sent, or when the resolver
//! moves.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use violetward_net::SocketErrorKind;
use violetward_settings::Names;

use crate::list::{self, List};

/// How long a query stays open.
const QUERY_LIFETIME: Duration = Duration::from_secs(10);
/// Answers later than this are logged.
const LATE_ANSWER: Duration = Duration::from_millis(100);
/// Maximum number of sockets. Once all of them have open queries, further queries share them.
const SOCKETS_MAX: usize = 8;
/// Maximum number of datagrams that are examined on a socket for each query sent on it: a flood of them must
/// not block the only thread.
const DATAGRAMS_MAX: u32 = 32;
/// Maximum size of a datagram, and so of an answer.
const ANSWER_MAX_BYTES: usize = 65_535;
/// How often the sending of a query is tried while the call is interrupted, or reports the error of an
/// earlier datagram.
const SEND_ATTEMPTS: u32 = 3;
/// The pause after a receive that failed for lack of resources.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A query without a valid answer.
struct OpenQuery {
    id: u16,
    sent: Instant,
}

/// A valid answer without its id, and its list.
struct ValidAnswer {
    content: Vec<u8>,
    list: Rc<List>,
}

/// A socket and the queries that were sent on it.
struct QuerySocket {
    socket: Async<UdpSocket>,
    /// The open queries, oldest first.
    open: Vec<OpenQuery>,
    /// When the last query was sent on it.
    last_query: Instant,
    /// That query was answered. The port of such a socket is known to be reachable.
    is_proven: bool,
    /// How many datagrams were examined since the last query.
    datagrams: u32,
}

impl QuerySocket {
    fn new(socket: Async<UdpSocket>, now: Instant) -> Self {
        QuerySocket { socket, open: Vec::new(), last_query: now, is_proven: false, datagrams: 0 }
    }

    /// Forgets the queries that were sent too long ago.
    fn expire(&mut self, now: Instant) {
        self.open.retain(|query| {
            let is_alive = now.duration_since(query.sent) < QUERY_LIFETIME;
            if !is_alive {
                tracing::debug!(id = query.id, "query given up");
            }
            is_alive
        });
    }

    /// Decodes an answer and closes its query; returns the list and when the query was sent. `last` is the last
    /// valid answer: one with the same content is not decoded again.
    fn take_answer(
        &mut self,
        bytes: &[u8],
        last: &mut Option<ValidAnswer>,
        names: &Names,
    ) -> Result<(Rc<List>, Instant), String> {
        let id = bytes.first_chunk().map(|id| u16::from_be_bytes(*id)).ok_or("answer has no id")?;
        let index = self.open.iter().position(|query| query.id == id).ok_or("answer to no open query")?;
        let content = &bytes[size_of::<u16>()..];
        let list = match last {
            Some(last) if last.content == content => last.list.clone(),
            _ => {
                let list = Rc::new(list::parse_answer(bytes, id, names)?);
                *last = Some(ValidAnswer { content: content.to_vec(), list: list.clone() });
                list
            }
        };
        let query = self.open.remove(index);
        self.is_proven |= query.sent == self.last_query;
        let age = query.sent.elapsed();
        if age > LATE_ANSWER {
            tracing::debug!(id, ?age, number = list.number, "late answer");
        }
        tracing::trace!(id, ?age, number = list.number, "list received");
        Ok((list, query.sent))
    }
}

/// What came from the resolver.
pub(super) enum Received {
    /// A valid answer: the list, and when its query was sent.
    List(Rc<List>, Instant),
    /// Something that can't be used.
    Invalid,
}

/// The queries to the present address of the resolver.
pub(super) struct Queries {
    address: SocketAddr,
    sockets: Vec<QuerySocket>,
    /// A socket from the previous address, kept in case no new one can be opened.
    spare_socket: Option<Async<UdpSocket>>,
    last_valid: Option<ValidAnswer>,
    /// Why the last query failed.
    last_error: String,
}

impl Queries {
    /// No queries yet, to an address.
    pub(super) fn to(address: SocketAddr) -> Self {
        Queries {
            address,
            sockets: Vec::new(),
            spare_socket: None,
            last_valid: None,
            last_error: "no answer".into(),
        }
    }

    /// The address that queries are sent to.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Why the last query failed.
    pub(super) fn last_error(&self) -> &str {
        &self.last_error
    }

    /// Drops all open queries and sends the next ones to another address: what the old one answers from now
    /// on does not count.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        let last = self.sockets.drain(..).next_back().map(|open| open.socket);
        self.spare_socket = last.or(self.spare_socket.take());
        self.address = address;
    }

    /// Sends a query with a new random id, if that is possible.
    pub(super) fn send(&mut self, now: Instant) {
        self.sockets.iter_mut().for_each(|open| open.expire(now));
        let sent = self.pick_socket(now).and_then(|index| self.send_on(index, now));
        if let Err(error) = sent {
            tracing::debug!(address = %self.address, %error, "query not sent");
            self.last_error = error.to_string();
        }
    }

    fn send_on(&mut self, index: usize, now: Instant) -> std::io::Result<()> {
        let open = &mut self.sockets[index];
        let id = rand::random();
        let bytes = list::query(id);
        let mut attempts = 1;
        while let Err(error) = open.socket.get_ref().send(&bytes) {
            let kind = error.kind();
            let is_repeatable =
                matches!(kind, std::io::ErrorKind::Interrupted | std::io::ErrorKind::ConnectionRefused);
            if !is_repeatable || attempts == SEND_ATTEMPTS {
                return Err(error);
            }
            attempts += 1;
        }
        (open.last_query, open.is_proven, open.datagrams) = (now, false, 0);
        open.open.push(OpenQuery { id, sent: now });
        tracing::trace!(address = %self.address, id, sockets = self.sockets.len(), "query sent");
        Ok(())
    }

    /// The socket for the next query: the one whose last query was answered; else a new one, whose port is
    /// unknown to anybody who might forge answers; else the one that was used least recently.
    fn pick_socket(&mut self, now: Instant) -> std::io::Result<usize> {
        let last_proven = self.sockets.iter().filter(|open| open.is_proven).map(|open| open.last_query).max();
        let is_last_proven = |open: &QuerySocket| open.is_proven && Some(open.last_query) == last_proven;
        self.sockets.retain(|open| !open.open.is_empty() || is_last_proven(open));
        if let Some(index) = self.sockets.iter().position(is_last_proven) {
            return Ok(index);
        }
        if self.sockets.len() < SOCKETS_MAX {
            match self.open_socket() {
                Ok(socket) => self.sockets.push(QuerySocket::new(socket, now)),
                Err(error) if self.sockets.is_empty() => return Err(error),
                Err(_) => return Ok(self.least_recently_used()),
            }
            return Ok(self.sockets.len() - 1);
        }
        Ok(self.least_recently_used())
    }

    fn least_recently_used(&self) -> usize {
        let indexed = self.sockets.iter().enumerate();
        indexed.min_by_key(|(_, open)| open.last_query).map_or(0, |(index, _)| index)
    }

    /// Opens a socket. If no file descriptor is free, the socket of the previous address is redirected.
    fn open_socket(&mut self) -> std::io::Result<Async<UdpSocket>> {
        match (open(self.address), self.spare_socket.take()) {
            (Ok(socket), _) => Ok(socket),
            (Err(_), Some(spare)) => redirect(spare, self.address),
            (Err(error), None) => Err(error),
        }
    }

    /// What comes next from the resolver; `None` if nothing comes in time.
    pub(super) async fn receive_until(&mut self, deadline: Instant, names: &Names) -> Option<Received> {
        let received = async { Some(self.receive(names).await) };
        let timed_out = async {
            violetward_net::sleep_until(deadline).await;
            None
        };
        future::or(received, timed_out).await
    }

    /// What comes next from the resolver. Never returns if nothing comes.
    async fn receive(&mut self, names: &Names) -> Received {
        let mut bytes = vec![0; ANSWER_MAX_BYTES];
        loop {
            let index = self.readable().await;
            let open = &mut self.sockets[index];
            let why = match open.socket.get_ref().recv(&mut bytes) {
                Ok(size) => match open.take_answer(&bytes[..size], &mut self.last_valid, names) {
                    Ok((list, asked)) => return Received::List(list, asked),
                    Err(why) => why,
                },
                Err(error) => match SocketErrorKind::of(&error) {
                    SocketErrorKind::Retry => continue,
                    // The datagram is still there.
                    SocketErrorKind::ResourceShortage => {
                        violetward_net::sleep(RECEIVE_RETRY_PAUSE).await;
                        continue;
                    }
                    // The error of an earlier datagram; the open queries may still be answered.
                    _ => error.to_string(),
                },
            };
            tracing::debug!(why, datagrams = open.datagrams, "answer ignored");
            self.last_error = why;
            let open = &mut self.sockets[index];
            open.datagrams += 1;
            if open.datagrams >= DATAGRAMS_MAX {
                self.last_error = "too many invalid answers to one query".into();
                self.sockets.remove(index);
            }
            return Received::Invalid;
        }
    }

    /// Waits for a socket that is readable, and returns its index.
    async fn readable(&self) -> usize {
        future::poll_fn(|context| {
            let is_ready = |open: &QuerySocket| open.socket.poll_readable(context).is_ready();
            self.sockets.iter().position(is_ready).map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }
}

/// Connects a socket to another address, and drops the datagrams from the old one that it still holds.
fn redirect(socket: Async<UdpSocket>, address: SocketAddr) -> std::io::Result<Async<UdpSocket>> {
    socket.get_ref().connect(address)?;
    (0..DATAGRAMS_MAX).take_while(|_| socket.get_ref().recv(&mut [0]).is_ok()).for_each(drop);
    Ok(socket)
}

/// Opens a socket that receives datagrams from the given address only.
fn open(address: SocketAddr) -> std::io::Result<Async<UdpSocket>> {
    let any: SocketAddr = if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = Async::<UdpSocket>::bind(any)?;
    socket.get_ref().connect(address)?;
    Ok(socket)
}
