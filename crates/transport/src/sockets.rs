//! Messages and streams over UDP and TCP, with async-io on one thread. This module only moves bytes; their
//! formats are defined by [`crate::session`], [`crate::seal`] and the protocols on top.

mod call;
mod stream;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use violetward_net::Clock;

pub use call::{serve, CallError, CallFailure, Caller};
pub use stream::{accept, dial, Stream};

use crate::seal::{self, MAX_OVERHEAD_BYTES};
use crate::session::{Identity, Timeouts};
use crate::{Keys, Messages, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_MESSAGES};

/// Most gateways whose addresses a [`Mailbox`] holds.
const MAX_ADDRESSES: usize = 4_096;
/// Pause after an error in receiving.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// Further ports to try until one is free for both UDP and TCP.
const MAX_BIND_RETRIES: usize = 16;

/// The state that all sockets of one gateway share: its identity, keys and timeouts, and the executor of its
/// tasks.
pub struct Endpoint {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    identity: Identity,
    keys: RefCell<Keys>,
    timeouts: Timeouts,
    /// All streams, so that a change of keys reaches them.
    streams: RefCell<Vec<Weak<stream::Connection>>>,
}

impl Endpoint {
    /// Creates an endpoint, whose tasks run on `executor`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        identity: Identity,
        keys: Keys,
        timeouts: Timeouts,
    ) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            executor,
            clock,
            identity,
            keys: RefCell::new(keys),
            timeouts,
            streams: RefCell::default(),
        })
    }

    /// Replaces the accepted keys. Streams whose other end used a key that is no longer accepted are closed.
    pub fn set_keys(&self, keys: Keys) {
        *self.keys.borrow_mut() = keys.clone();
        let connections: Vec<_> = self.streams.borrow().iter().filter_map(Weak::upgrade).collect();
        connections.iter().for_each(|connection| connection.update(|session, _| session.set_keys(&keys)));
    }

    /// The name and incarnation of this gateway.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Binds a UDP and a TCP socket to the same address and port; port 0 picks a free one.
///
/// # Errors
/// If the port is not available for both.
pub fn bind(listen: SocketAddr) -> io::Result<(Datagrams, Async<TcpListener>)> {
    let mut retries = 0;
    loop {
        let datagrams = Datagrams::bind(listen)?;
        match Async::<TcpListener>::bind(datagrams.address()?) {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(e) if listen.port() != 0 || retries == MAX_BIND_RETRIES => return Err(e),
            Err(_) => retries += 1,
        }
    }
}

/// Plain datagrams by address, for protocols that authenticate their own, such as membership.
pub struct Datagrams {
    socket: Async<UdpSocket>,
}

impl Datagrams {
    /// Binds a UDP socket.
    ///
    /// # Errors
    /// If the address is not available.
    pub fn bind(listen: SocketAddr) -> io::Result<Datagrams> {
        Ok(Datagrams { socket: Async::<UdpSocket>::bind(listen)? })
    }

    /// The local address.
    ///
    /// # Errors
    /// If the socket does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Sends a datagram. It is lost if the send buffer is full or nobody listens on the port.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        self.socket.get_ref().send_to(bytes, to).ok();
    }

    /// Receives the next datagram: its unverified source address and its content, truncated to the length of
    /// `bytes`. Yields to other tasks first.
    pub async fn next<'a>(&self, bytes: &'a mut [u8]) -> (SocketAddr, &'a [u8]) {
        // Otherwise a flood of datagrams would starve the other tasks of the thread.
        future::yield_now().await;
        loop {
            match self.socket.recv_from(bytes).await {
                Ok((size, from)) => return (from, &bytes[..size]),
                // Some systems report here that an earlier datagram was undeliverable. The pause keeps a
                // persistent error from busy-looping.
                Err(_) => violetward_net::sleep(RECEIVE_ERROR_PAUSE).await,
            }
        }
    }
}

/// Received messages with the names of their senders.
type Inbox = RefCell<VecDeque<(String, Vec<u8>)>>;

/// Sends and receives messages by gateway name, as datagrams.
pub struct Mailbox {
    endpoint: Rc<Endpoint>,
    datagrams: Rc<Datagrams>,
    addresses: BTreeMap<String, SocketAddr>,
    inbox: Rc<Inbox>,
}

impl Mailbox {
    /// Receives messages until it is dropped.
    pub fn start(endpoint: &Rc<Endpoint>, datagrams: Datagrams) -> Mailbox {
        let (datagrams, inbox) = (Rc::new(datagrams), Rc::<Inbox>::default());
        endpoint.spawn(receive(Rc::downgrade(endpoint), datagrams.clone(), Rc::downgrade(&inbox)));
        Mailbox { endpoint: endpoint.clone(), datagrams, addresses: BTreeMap::new(), inbox }
    }

    /// Sets the address of a gateway.
    ///
    /// # Errors
    /// [`SendError::QueueFull`] if too many addresses are held already.
    pub fn set_address(&mut self, name: &str, address: SocketAddr) -> Result<(), SendError> {
        if self.addresses.len() >= MAX_ADDRESSES && !self.addresses.contains_key(name) {
            return Err(SendError::QueueFull);
        }
        self.addresses.insert(name.to_owned(), address);
        Ok(())
    }

    /// Removes the address of a gateway.
    pub fn remove_address(&mut self, name: &str) {
        self.addresses.remove(name);
    }
}

async fn receive(endpoint: Weak<Endpoint>, datagrams: Rc<Datagrams>, inbox: Weak<Inbox>) {
    // One byte more than the longest valid message, so that a longer one is not truncated to a valid length.
    let mut bytes = vec![0; MAX_MESSAGE_BYTES + MAX_OVERHEAD_BYTES + 1];
    loop {
        let (_, bytes) = datagrams.next(&mut bytes).await;
        let (Some(endpoint), Some(inbox)) = (endpoint.upgrade(), inbox.upgrade()) else { return };
        let Some(message) = seal::open(&endpoint.keys.borrow(), &endpoint.identity.name, bytes) else {
            continue;
        };
        let mut inbox = inbox.borrow_mut();
        if inbox.len() >= MAX_QUEUED_MESSAGES {
            inbox.pop_front();
        }
        inbox.push_back(message);
    }
}

impl Messages for Mailbox {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        let keys = self.endpoint.keys.borrow();
        let sealed = seal::seal(&keys, &self.endpoint.identity.name, to, bytes).ok_or(SendError::TooLong)?;
        self.datagrams.send(*self.addresses.get(to).ok_or(SendError::UnknownGateway)?, &sealed);
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        self.inbox.borrow_mut().pop_front()
    }
}
