//! Polls the list of engines by DNS over UDP.
//!
//! Queries stay open while later ones are sent, so that the answer of a slow resolver to any of them is used.

use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use violetward_dns::serial::is_newer;
use violetward_net::SocketErrorKind;
use violetward_settings::Names;

use crate::host::Host;
use crate::list;

/// The interval of queries. By the rules of the platform, a gateway knows of a change once an answer contains
/// it, and at the latest 1.5 s after it happened. Several queries within that time allow for lost answers.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer is awaited before the next query is sent, less [`BACKOFF_STEP`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// By how much the wait for an answer grows with each consecutive query without one. The wait never exceeds
/// [`QUERY_INTERVAL`]: changes during an outage count as known soon after the resolver is back.
const BACKOFF_STEP: Duration = Duration::from_millis(30);
/// The number of consecutive queries without an answer after which the failure is logged.
const FAILURES_LOGGED: u32 = 8;
/// How long a query stays open. A change counts as known after 1.5 s, so that an older answer is of no use.
const QUERY_LIFETIME: Duration = Duration::from_millis(1_500);
/// Maximum number of open queries. Each has a socket of its own.
const OPEN_QUERIES_MAX: usize = 8;
/// Maximum number of datagrams that are examined for one query: a flood of them must not block the only
/// thread.
const DATAGRAMS_MAX: u32 = 32;
/// Maximum size of an answer. The buffer has one byte more, to detect longer ones.
const ANSWER_MAX_BYTES: usize = 8_000;

/// The resolver that the list of engines comes from.
pub struct Resolver {
    address: Cell<SocketAddr>,
    /// Notified when the address changes.
    address_changed: Event,
    /// Notified after every [`FAILURES_LOGGED`] consecutive queries without an answer.
    silent: Event,
}

impl Resolver {
    /// Creates a resolver with the given address.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Resolver { address: Cell::new(address), address_changed: Event::new(), silent: Event::new() })
    }

    /// Changes the address.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
        self.address_changed.notify(usize::MAX);
    }

    /// The present address.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Waits until the resolver has not answered for a while.
    pub(crate) async fn wait_for_silence(&self) {
        self.silent.listen().await;
    }

    /// Polls the list and passes on newer ones than that with the given number. Never returns.
    pub async fn follow(self: Rc<Self>, host: Rc<Host>, mut list_number: u32) {
        let mut queries = Queries::to(self.address.get());
        let mut failures = 0u32;
        loop {
            let address_changed = self.address_changed.listen();
            if queries.address != self.address.get() {
                // Answers from the old address are no longer valid.
                queries.set_address(self.address.get());
                failures = 0;
            }
            let polling = async {
                let failed = queries.poll_once(&host, failures, &mut list_number).await;
                failures = if failed { failures.saturating_add(1) } else { 0 };
            };
            future::or(address_changed, polling).await;
            if failures > 0 && failures % FAILURES_LOGGED == 0 {
                self.silent.notify(usize::MAX);
            }
            if failures == FAILURES_LOGGED {
                let (address, why) = (queries.address, &queries.last_error);
                tracing::warn!(%address, why, "no good answer of the resolver: the old list stands");
            }
        }
    }
}

/// A query without a valid answer.
struct Query {
    socket: Async<UdpSocket>,
    id: u16,
    sent: Instant,
    /// How many datagrams were examined for it.
    datagrams: u32,
}

/// The queries to the present address.
struct Queries {
    address: SocketAddr,
    /// Queries that may still be answered, oldest first.
    open: Vec<Query>,
    /// The socket of the last answered query, to be reused for the next one.
    proven_socket: Option<Async<UdpSocket>>,
    /// A socket from the previous address, kept in case no new one can be opened.
    spare_socket: Option<Async<UdpSocket>>,
    /// Why the last query failed.
    last_error: String,
}

impl Queries {
    fn to(address: SocketAddr) -> Self {
        Queries {
            address,
            open: Vec::new(),
            proven_socket: None,
            spare_socket: None,
            last_error: "no answer".into(),
        }
    }

    /// Drops all open queries and sends the next ones to another address.
    fn set_address(&mut self, address: SocketAddr) {
        let last = self.open.drain(..).next_back().map(|query| query.socket);
        self.spare_socket = self.proven_socket.take().or(last).or(self.spare_socket.take());
        self.address = address;
    }

    /// Sends one query and handles answers until the next one is due; true if no valid answer came.
    /// `list_number` is the number of the newest list so far.
    async fn poll_once(&mut self, host: &Rc<Host>, failures: u32, list_number: &mut u32) -> bool {
        let sent = self.send(Instant::now());
        if let Err(error) = sent {
            tracing::debug!(address = %self.address, %error, "query not sent");
            self.last_error = error.to_string();
        }
        // After the first failures the next query is sent earlier: a lost answer must not delay the news of a
        // change much.
        let timeout = ANSWER_TIMEOUT + BACKOFF_STEP * failures.saturating_add(1).min(FAILURES_LOGGED);
        let mut next_query = Instant::now() + timeout.min(QUERY_INTERVAL);
        let mut failed = true;
        while let Some(list) = self.receive_until(next_query, &host.config.names).await {
            if failures >= FAILURES_LOGGED && failed {
                tracing::info!(address = %self.address, failures, "resolver answers again");
            }
            (failed, next_query) = (false, Instant::now() + QUERY_INTERVAL);
            if is_newer(list.number, *list_number) {
                *list_number = list.number;
                host.update_list(list, false);
            } else {
                host.note_unchanged_list();
            }
        }
        failed
    }

    /// Sends a query with a new random id.
    fn send(&mut self, now: Instant) -> std::io::Result<()> {
        self.open.retain(|query| {
            let is_alive = now.duration_since(query.sent) < QUERY_LIFETIME;
            if !is_alive {
                tracing::debug!(id = query.id, datagrams = query.datagrams, "query given up");
            }
            is_alive
        });
        if self.open.len() >= OPEN_QUERIES_MAX {
            self.open.remove(0);
        }
        let query = Query { socket: self.next_socket()?, id: rand::random(), sent: now, datagrams: 0 };
        let bytes = list::query(query.id);
        while let Err(error) = query.socket.get_ref().send(&bytes) {
            if error.kind() != std::io::ErrorKind::Interrupted {
                return Err(error);
            }
        }
        tracing::debug!(address = %self.address, id = query.id, open = self.open.len(), "query sent");
        self.open.push(query);
        Ok(())
    }

    /// The socket for the next query: that of the last valid answer, else a new one, whose port is unknown to
    /// anybody who might forge answers. If no file descriptor is free, the socket of the previous address or
    /// of the oldest query is reused, so that the list can still be polled.
    fn next_socket(&mut self) -> std::io::Result<Async<UdpSocket>> {
        if let Some(socket) = self.proven_socket.take() {
            return Ok(socket);
        }
        match (open(self.address), self.spare_socket.take()) {
            (Ok(socket), _) => Ok(socket),
            (Err(_), Some(spare)) => redirect(spare, self.address),
            (Err(error), None) if self.open.is_empty() => Err(error),
            (Err(_), None) => Ok(self.open.remove(0).socket),
        }
    }

    /// The next valid answer to any open query; `None` if none comes in time.
    async fn receive_until(&mut self, deadline: Instant, names: &Names) -> Option<list::List> {
        let received = async { Some(self.receive(names).await) };
        let timed_out = async {
            violetward_net::sleep_until(deadline).await;
            None
        };
        future::or(received, timed_out).await
    }

    /// The next valid answer to any open query. Never returns if there is none.
    async fn receive(&mut self, names: &Names) -> list::List {
        let mut bytes = vec![0; ANSWER_MAX_BYTES + 1];
        loop {
            let index = self.readable().await;
            let query = &mut self.open[index];
            match query.socket.get_ref().recv(&mut bytes) {
                Ok(size) => match list::parse_answer(&bytes[..size], query.id, names) {
                    Ok(list) => {
                        tracing::debug!(id = query.id, age = ?query.sent.elapsed(), number = list.number,
                            "list received");
                        self.note_answered(index);
                        return list;
                    }
                    Err(why) => {
                        tracing::debug!(id = query.id, age = ?query.sent.elapsed(), size, why, "answer ignored");
                        query.datagrams += 1;
                        self.last_error = why;
                    }
                },
                Err(error) if SocketErrorKind::of(&error) == SocketErrorKind::Retry => {}
                Err(error) => {
                    tracing::debug!(id = query.id, age = ?query.sent.elapsed(), %error, "receive failed");
                    self.last_error = error.to_string();
                    self.open.remove(index);
                    continue;
                }
            }
            if self.open[index].datagrams >= DATAGRAMS_MAX {
                self.last_error = "too many invalid answers to one query".into();
                self.open.remove(index);
            }
        }
    }

    /// Waits for an open query whose socket is readable, and returns its index.
    async fn readable(&self) -> usize {
        future::poll_fn(|context| {
            let is_ready = |query: &Query| query.socket.poll_readable(context).is_ready();
            self.open.iter().position(is_ready).map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Closes an answered query and all older ones, and keeps its socket.
    fn note_answered(&mut self, index: usize) {
        let answered = self.open.drain(..=index).next_back();
        self.proven_socket = answered.map(|query| query.socket);
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
