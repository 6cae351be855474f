//! Messages and streams within one process, for gateways that share it: queues behind one lock, which may be used by several
//! threads. What is sent has come at once. Nobody stands in between, so nothing is signed: names are given by the [`Hub`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use crate::{
    Messages, Records, SendError, MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES,
};

type Come = Mutex<VecDeque<(String, Vec<u8>)>>;

/// Where the gateways of a process find each other. Copies are handles of the same one.
#[derive(Debug, Clone, Default)]
pub struct Hub(Arc<Mutex<BTreeMap<String, Weak<Come>>>>);

/// Nothing that is done under a lock here can panic half way.
fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hub {
    /// A gateway's messages, until this is dropped. One of the same name takes the place of an earlier one.
    pub fn mailbox(&self, name: &str) -> Mailbox {
        let come = Arc::<Come>::default();
        let mut known = lock(&self.0);
        known.retain(|_, come| come.strong_count() > 0);
        known.insert(name.to_owned(), Arc::downgrade(&come));
        Mailbox { hub: self.clone(), name: name.to_owned(), come }
    }

    fn find(&self, name: &str) -> Result<Arc<Come>, SendError> {
        lock(&self.0).get(name).and_then(Weak::upgrade).ok_or(SendError::UnknownGateway)
    }

    /// A stream between two gateways: the calling end and the other one.
    ///
    /// # Errors
    /// If one of them is not there.
    pub fn connect(&self, from: &str, to: &str) -> Result<(Stream, Stream), SendError> {
        self.find(from).and(self.find(to))?;
        let pipe = Arc::new(Mutex::new(Pipe::default()));
        let stream = |end, peer: &str| Stream { pipe: pipe.clone(), end, peer: peer.to_owned() };
        Ok((stream(0, to), stream(1, from)))
    }
}

/// A gateway's messages on a [`Hub`].
#[derive(Debug)]
pub struct Mailbox {
    hub: Hub,
    name: String,
    come: Arc<Come>,
}

impl Messages for Mailbox {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(SendError::TooLong);
        }
        let come = self.hub.find(to)?;
        let mut come = lock(&come);
        if come.len() >= MAX_QUEUED_MESSAGES {
            come.pop_front();
        }
        come.push_back((self.name.clone(), bytes.to_vec()));
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        lock(&self.come).pop_front()
    }
}

/// Records on their way to each end, and their octets.
#[derive(Debug, Default)]
struct Pipe {
    come: [(VecDeque<Vec<u8>>, usize); 2],
    is_closed: bool,
}

/// One end of a stream within a process. It ends when it is dropped; what has come can still be taken at the other end.
#[derive(Debug)]
pub struct Stream {
    pipe: Arc<Mutex<Pipe>>,
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
        let (come, octets) = &mut pipe.come[1 - self.end];
        if *octets + record.len() > MAX_QUEUED_BYTES || come.len() >= MAX_QUEUED_MESSAGES {
            return Err(SendError::QueueFull);
        }
        *octets += record.len();
        come.push_back(record.to_vec());
        Ok(())
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        let mut pipe = lock(&self.pipe);
        let (come, octets) = &mut pipe.come[self.end];
        let record = come.pop_front()?;
        *octets -= record.len();
        Some(record)
    }

    fn peer(&self) -> &str {
        &self.peer
    }

    fn is_closed(&self) -> bool {
        lock(&self.pipe).is_closed
    }
}
