//! Bounds the memory of requests that clients have not sent completely, over all fronts of the process.
//!
//! Each connection registers and notes what its reader has allocated. When all of them together exceed the limit,
//! connections end by [`shed_order`] until the rest is within it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use violetward_net::InputMeter;
use violetward_overload::{shed_order, Charge, Holding, MemoryLedger, PeerState, ShedOrder};

/// What is known of a connection.
struct Entry {
    charge: Charge,
    has_sent_request: Cell<bool>,
    /// Since when a request has been incomplete.
    since: Cell<Option<Instant>>,
    /// It has to end, to make room.
    is_shed: Cell<bool>,
    shed: Event,
}

impl Entry {
    fn shed_order(&self, now: Instant) -> ShedOrder {
        let unfinished_for = self.since.get().map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
        shed_order(&PeerState {
            has_sent_request: self.has_sent_request.get(),
            open_requests: 0,
            unfinished_bytes: self.charge.bytes(),
            unfinished_for,
        })
    }
}

/// The connections of all fronts.
pub struct UnfinishedRequests {
    memory: Rc<MemoryLedger>,
    entries: RefCell<BTreeMap<u64, Rc<Entry>>>,
    next_number: Cell<u64>,
    /// The memory of connections that have to end and have not yet.
    bytes_to_be_freed: Cell<usize>,
    /// Connections that had to end so far.
    shed_count: Cell<u64>,
}

impl UnfinishedRequests {
    /// No connections; `limit` bounds the memory of their incomplete requests, in bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(UnfinishedRequests {
            memory: MemoryLedger::new(limit),
            entries: RefCell::default(),
            next_number: Cell::new(0),
            bytes_to_be_freed: Cell::new(0),
            shed_count: Cell::new(0),
        })
    }

    /// Registers a connection until the returned value is dropped.
    pub fn register(self: &Rc<Self>) -> UnfinishedRequest {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let entry = Rc::new(Entry {
            charge: self.memory.charge(Holding::Input),
            has_sent_request: Cell::new(false),
            since: Cell::new(None),
            is_shed: Cell::new(false),
            shed: Event::new(),
        });
        self.entries.borrow_mut().insert(number, entry.clone());
        UnfinishedRequest { all: self.clone(), number, entry }
    }

    /// Memory of all incomplete requests, in bytes.
    pub fn bytes(&self) -> usize {
        self.memory.used()
    }

    /// Connections that had to end so far.
    pub fn shed_count(&self) -> u64 {
        self.shed_count.get()
    }

    /// Ends connections until the rest is within the limit. The memory is free once their tasks have run.
    fn make_room(&self) {
        while self.memory.excess() > self.bytes_to_be_freed.get() {
            let now = Instant::now();
            let first = {
                let entries = self.entries.borrow();
                let holders =
                    entries.values().filter(|entry| entry.charge.bytes() > 0 && !entry.is_shed.get());
                holders.min_by_key(|entry| entry.shed_order(now)).cloned()
            };
            let Some(entry) = first else { return };
            self.shed_count.set(self.shed_count.get() + 1);
            self.bytes_to_be_freed.set(self.bytes_to_be_freed.get() + entry.charge.bytes());
            entry.is_shed.set(true);
            entry.shed.notify(usize::MAX);
        }
    }
}

/// The place of one connection.
pub struct UnfinishedRequest {
    all: Rc<UnfinishedRequests>,
    number: u64,
    entry: Rc<Entry>,
}

impl InputMeter for UnfinishedRequest {
    /// Others, or this connection, may have to end.
    fn note(&self, bytes: usize) {
        if self.entry.is_shed.get() {
            return;
        }
        let since = self.entry.since.get().unwrap_or_else(Instant::now);
        self.entry.since.set((bytes > 0).then_some(since));
        self.entry.charge.set(bytes);
        self.all.make_room();
    }

    /// While memory is over the limit, connections that have to end still hold some.
    fn has_room(&self) -> bool {
        self.all.memory.excess() == 0
    }
}

impl UnfinishedRequest {
    /// Notes that a complete request was read.
    pub fn note_request(&self) {
        self.entry.has_sent_request.set(true);
        self.entry.since.set(None);
    }

    /// Waits until the connection has to end.
    pub async fn shed(&self) {
        let shed = self.entry.shed.listen();
        if !self.entry.is_shed.get() {
            shed.await;
        }
    }

    /// Notes that the memory of a connection that has to end is free.
    pub fn note_freed(&self) {
        if self.entry.is_shed.get() {
            let to_be_freed = &self.all.bytes_to_be_freed;
            to_be_freed.set(to_be_freed.get() - self.entry.charge.bytes());
            self.entry.charge.set(0);
        }
    }
}

impl Drop for UnfinishedRequest {
    fn drop(&mut self) {
        self.note_freed();
        self.all.entries.borrow_mut().remove(&self.number);
    }
}
