//! Messages and streams between gateways within one process: queues behind locks, usable from several
//! threads. Delivery is immediate. Nothing is signed, because no untrusted party can interfere; the [`Hub`]
//! assigns the names.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use crate::{
    Messages, Records, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

/// Received messages with the names of their senders.
type Inbox = Mutex<VecDeque<(String, Vec<u8>)>>;

/// The registry through which the gateways of a process find each other. Clones share the same registry.
#[derive(Debug, Clone, Default)]
pub struct Hub(Arc<Mutex<BTreeMap<String, Weak<Inbox>>>>);

/// Locks `shared`, ignoring poisoning: no code that holds one of these locks can panic halfway through a
/// change.
fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hub {
    /// Registers a gateway for messages until the mailbox is dropped. It replaces an earlier one of the same
    /// name.
    pub fn mailbox(&self, name: &str) -> Mailbox {
        let inbox = Arc::<Inbox>::default();
        let mut known = lock(&self.0);
        known.retain(|_, inbox| inbox.strong_count() > 0);
        known.insert(name.to_owned(), Arc::downgrade(&inbox));
        Mailbox { hub: self.clone(), name: name.to_owned(), inbox }
    }

    fn find(&self, name: &str) -> Result<Arc<Inbox>, SendError> {
        lock(&self.0).get(name).and_then(Weak::upgrade).ok_or(SendError::UnknownGateway)
    }

    /// Opens a stream between two gateways and returns the connecting end and the accepting one.
    ///
    /// # Errors
    /// If one of them is not registered.
    pub fn connect(&self, from: &str, to: &str) -> Result<(Stream, Stream), SendError> {
        self.find(from).and(self.find(to))?;
        let pipe = Arc::new(Mutex::new(Pipe::default()));
        let stream = |end, peer: &str| Stream { pipe: pipe.clone(), end, peer: peer.to_owned() };
        Ok((stream(0, to), stream(1, from)))
    }
}

/// Sends and receives the messages of one gateway on a [`Hub`].
#[derive(Debug)]
pub struct Mailbox {
    hub: Hub,
    name: String,
    inbox: Arc<Inbox>,
}

impl Messages for Mailbox {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(SendError::TooLong);
        }
        let inbox = self.hub.find(to)?;
        let mut inbox = lock(&inbox);
        if inbox.len() >= MAX_QUEUED_MESSAGES {
            inbox.pop_front();
        }
        inbox.push_back((self.name.clone(), bytes.to_vec()));
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        lock(&self.inbox).pop_front()
    }
}

/// Records that one end has not yet taken.
#[derive(Debug, Default)]
struct ReceiveQueue {
    records: VecDeque<Vec<u8>>,
    bytes: usize,
}

/// The state that both ends of a stream share, with the receive queue of each end.
#[derive(Debug, Default)]
struct Pipe {
    queues: [ReceiveQueue; 2],
    is_closed: bool,
}

/// One end of a stream within a process. Dropping it closes the stream; the other end can still take the
/// records that it has received.
#[derive(Debug)]
pub struct Stream {
    pipe: Arc<Mutex<Pipe>>,
    /// Index of this end's receive queue.
    end: usize,
    peer: String,
}

impl Drop for Stream {
    fn drop(&mut self) {
        lock(&self.pipe).is_closed = true;
    }
}

impl Records for Stream {
    fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        let mut pipe = lock(&self.pipe);
        if record.len() > MAX_RECORD_BYTES {
            return Err(SendError::TooLong);
        }
        if pipe.is_closed {
            return Err(SendError::Closed);
        }
        let queue = &mut pipe.queues[1 - self.end];
        if queue.bytes + record.len() > MAX_QUEUED_BYTES || queue.records.len() >= MAX_QUEUED_MESSAGES {
            return Err(SendError::QueueFull);
        }
        queue.bytes += record.len();
        queue.records.push_back(record.to_vec());
        Ok(())
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        let mut pipe = lock(&self.pipe);
        let queue = &mut pipe.queues[self.end];
        let record = queue.records.pop_front()?;
        queue.bytes -= record.len();
        Some(record)
    }

    fn peer(&self) -> &str {
        &self.peer
    }

    fn is_closed(&self) -> bool {
        lock(&self.pipe).is_closed
    }
}
