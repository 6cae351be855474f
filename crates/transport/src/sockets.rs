//! Datagrams and streams over UDP and TCP, on async-io and one thread. Moves octets; what they mean is decided by
//! [`crate::session`], [`crate::seal`] and whoever stands on them.

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

use crate::seal::{self, AROUND};
use crate::session::{Identity, Timeouts};
use crate::{Keys, Messages, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_MESSAGES};

/// Names whose addresses a [`Mailbox`] knows at most.
const PLACES: usize = 4_096;
/// Ports tried until one is free for datagrams and streams alike.
const TRIES: usize = 16;

/// What all sockets of one gateway share.
pub struct Endpoint {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    identity: Identity,
    keys: RefCell<Keys>,
    timeouts: Timeouts,
    streams: RefCell<Vec<Weak<stream::Line>>>,
}

impl Endpoint {
    /// A endpoint. Its tasks run as long as the executor does.
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

    /// The ring of keys is this now. Streams to ends whose key is not in it any more are let go.
    pub fn set_keys(&self, keys: Keys) {
        *self.keys.borrow_mut() = keys.clone();
        let lines: Vec<_> = self.streams.borrow().iter().filter_map(Weak::upgrade).collect();
        lines.iter().for_each(|line| line.touch(|session, _| session.set_keys(&keys)));
    }

    /// Who this is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Opens a socket for datagrams and one for streams on the same address and port; port 0 takes a free one.
///
/// # Errors
/// If it cannot listen on both.
pub fn bind(listen: SocketAddr) -> io::Result<(Datagrams, Async<TcpListener>)> {
    let mut tries = 0;
    loop {
        let datagrams = Datagrams::bind(listen)?;
        match Async::<TcpListener>::bind(datagrams.address()?) {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(e) if listen.port() != 0 || tries == TRIES => return Err(e),
            Err(_) => tries += 1,
        }
    }
}

/// Datagrams by address, as they are: for what signs its own, as membership does.
pub struct Datagrams {
    socket: Async<UdpSocket>,
}

impl Datagrams {
    /// Opens a socket.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn bind(listen: SocketAddr) -> io::Result<Datagrams> {
        Ok(Datagrams { socket: Async::<UdpSocket>::bind(listen)? })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The socket's.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Sends one. A full buffer, or a port that nobody listens on, is a datagram lost.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        self.socket.get_ref().send_to(bytes, to).ok();
    }

    /// The next one: its octets, as many as fit, and where it says that it comes from. Others get their turn before it.
    pub async fn next<'a>(&self, bytes: &'a mut [u8]) -> (SocketAddr, &'a [u8]) {
        // A flood must not keep the thread's other tasks waiting.
        future::yield_now().await;
        loop {
            match self.socket.recv_from(bytes).await {
                Ok((size, from)) => return (from, &bytes[..size]),
                // An earlier datagram found nobody: told here by some systems.
                Err(_) => violetward_net::sleep(Duration::from_millis(1)).await,
            }
        }
    }
}

type Come = RefCell<VecDeque<(String, Vec<u8>)>>;

/// Messages by name over datagrams.
pub struct Mailbox {
    endpoint: Rc<Endpoint>,
    datagrams: Rc<Datagrams>,
    places: BTreeMap<String, SocketAddr>,
    come: Rc<Come>,
}

impl Mailbox {
    /// Takes messages from now on, until it is dropped.
    pub fn start(endpoint: &Rc<Endpoint>, datagrams: Datagrams) -> Mailbox {
        let (datagrams, come) = (Rc::new(datagrams), Rc::<Come>::default());
        endpoint.spawn(read(Rc::downgrade(endpoint), datagrams.clone(), Rc::downgrade(&come)));
        Mailbox { endpoint: endpoint.clone(), datagrams, places: BTreeMap::new(), come }
    }

    /// Where a gateway is reached from now on.
    ///
    /// # Errors
    /// [`SendError::QueueFull`] if as many are known already as may.
    pub fn set_address(&mut self, name: &str, address: SocketAddr) -> Result<(), SendError> {
        if self.places.len() >= PLACES && !self.places.contains_key(name) {
            return Err(SendError::QueueFull);
        }
        self.places.insert(name.to_owned(), address);
        Ok(())
    }

    /// A gateway is not known any more.
    pub fn remove_address(&mut self, name: &str) {
        self.places.remove(name);
    }
}

async fn read(endpoint: Weak<Endpoint>, datagrams: Rc<Datagrams>, come: Weak<Come>) {
    // One octet more than any good one tells a longer one.
    let mut bytes = vec![0; MAX_MESSAGE_BYTES + AROUND + 1];
    loop {
        let (_, bytes) = datagrams.next(&mut bytes).await;
        let (Some(endpoint), Some(come)) = (endpoint.upgrade(), come.upgrade()) else { return };
        let Some(message) = seal::open(&endpoint.keys.borrow(), &endpoint.identity.name, bytes) else {
            continue;
        };
        let mut come = come.borrow_mut();
        if come.len() >= MAX_QUEUED_MESSAGES {
            come.pop_front();
        }
        come.push_back(message);
    }
}

impl Messages for Mailbox {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        let keys = self.endpoint.keys.borrow();
        let sealed = seal::seal(&keys, &self.endpoint.identity.name, to, bytes).ok_or(SendError::TooLong)?;
        self.datagrams.send(*self.places.get(to).ok_or(SendError::UnknownGateway)?, &sealed);
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        self.come.borrow_mut().pop_front()
    }
}
