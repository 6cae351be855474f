//! A simulated network with a virtual clock and seeded randomness: messages are lost, delayed, duplicated,
//! reordered and corrupted; streams are delayed and blocked; links are cut in one direction at a time; and an
//! interceptor may change what passes. The same seed and calls give the same history.
//!
//! [`SeededRng`], [`EventQueue`] and [`LinkConditions`] also serve other simulations. [`Network`] implements
//! the two traits with the same [`Session`] and message seals as the sockets.

use std::cell::{OnceCell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use crate::session::{CloseReason, Identity, Session, Timeouts};
use crate::{seal, Keys, Messages, Micros, Records, SendError, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES};

/// Most bytes of a stream that are in flight or unread, in one direction.
const WINDOW_BYTES: usize = 256 << 10;
/// Most bytes in one segment of a stream.
const SEGMENT_BYTES: usize = 16 << 10;
/// After this time a lost segment of a stream is sent again.
const RETRANSMIT_US: Micros = 200_000;

/// The next number of a pseudo-random sequence (SplitMix64).
pub fn splitmix64(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A pseudo-random generator whose sequence depends on its seed alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeededRng(pub u64);

impl SeededRng {
    /// The next number, uniform over all values.
    pub fn next_u64(&mut self) -> u64 {
        splitmix64(&mut self.0)
    }

    /// The next number, uniform in the half-open interval from 0 to 1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Pending events of a simulation by time; events of the same time come in the order in which they were
/// added.
#[derive(Debug, Clone)]
pub struct EventQueue<E> {
    /// The virtual time.
    pub now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, E)>>,
}

impl<E: Ord> EventQueue<E> {
    /// An empty queue.
    pub fn new(now: Micros) -> Self {
        EventQueue { now, order: 0, events: BinaryHeap::new() }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: E) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// Takes the next event that is due by `until` and advances the virtual time to its time.
    pub fn pop(&mut self, until: Micros) -> Option<E> {
        if self.events.peek()?.0 .0 > until {
            return None;
        }
        let Reverse((at, _, event)) = self.events.pop()?;
        self.now = self.now.max(at);
        Some(event)
    }
}

/// What the network does to single messages. Shares are between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkConditions {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Minimum and maximum delay.
    pub delay: (Micros, Micros),
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages with one bit flipped.
    pub corrupted: f64,
}

impl Default for LinkConditions {
    fn default() -> Self {
        LinkConditions { loss: 0.0, delay: (500, 3_000), duplicates: 0.0, corrupted: 0.0 }
    }
}

impl LinkConditions {
    /// Transmits a message: returns the copies that arrive, each with its delay.
    pub fn transmit(&self, rng: &mut SeededRng, mut bytes: Vec<u8>) -> Vec<(Micros, Vec<u8>)> {
        if rng.next_f64() < self.loss {
            return Vec::new();
        }
        if self.corrupted > 0.0 && rng.next_f64() < self.corrupted && !bytes.is_empty() {
            let at = rng.next_u64() as usize % bytes.len();
            bytes[at] ^= 1 << (rng.next_u64() % 8);
        }
        let count = 1 + usize::from(self.duplicates > 0.0 && rng.next_f64() < self.duplicates);
        (0..count).map(|_| (self.delay(rng), bytes.clone())).collect()
    }

    fn delay(&self, rng: &mut SeededRng) -> Micros {
        let (min, max) = self.delay;
        min + (rng.next_f64() * (max - min) as f64) as Micros
    }
}

/// Called with sender, receiver and bytes of each message or stream segment; may change the bytes.
pub type Interceptor = Box<dyn FnMut(&str, &str, &mut Vec<u8>)>;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Message(String, Vec<u8>),
    /// The next segment arrives at an end of a stream.
    Segment {
        stream: u64,
        to: usize,
    },
    /// A session's timer; ignored if another time was planned since.
    Timer {
        stream: u64,
        end: usize,
        at: Micros,
    },
}

struct Gateway {
    keys: Keys,
    /// Received messages with the names of their senders.
    inbox: VecDeque<(String, Vec<u8>)>,
}

/// One end of a stream, with the bytes on their way from there.
struct End {
    name: String,
    session: Session,
    /// Output of the session that is not in flight yet.
    sending: VecDeque<u8>,
    /// Segments in flight; `None` marks the end of the stream.
    in_flight: VecDeque<Option<Vec<u8>>>,
    /// When the last segment in flight arrives; later ones must not overtake it.
    last_arrival: Micros,
    /// Bytes that have arrived here and were not given to the session yet.
    unread: VecDeque<u8>,
    /// The other end's end mark has arrived.
    peer_closed: bool,
    /// This end's end mark was sent.
    close_sent: bool,
    timer_at: Micros,
    dropped: bool,
}

struct Inner {
    queue: EventQueue<Event>,
    rng: SeededRng,
    conditions: LinkConditions,
    cut_links: BTreeSet<(String, String)>,
    interceptor: Option<Interceptor>,
    gateways: BTreeMap<String, Gateway>,
    streams: BTreeMap<u64, [End; 2]>,
    next_stream: u64,
}

/// A simulated network. Clones share the same one.
#[derive(Clone)]
pub struct Network(Rc<RefCell<Inner>>);

impl Network {
    /// A network without gateways.
    pub fn new(seed: u64, conditions: LinkConditions) -> Network {
        Network(Rc::new(RefCell::new(Inner {
            queue: EventQueue::new(1_000_000),
            rng: SeededRng(seed),
            conditions,
            cut_links: BTreeSet::new(),
            interceptor: None,
            gateways: BTreeMap::new(),
            streams: BTreeMap::new(),
            next_stream: 0,
        })))
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.0.borrow().queue.now
    }

    /// Changes the conditions from now on.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.0.borrow_mut().conditions = conditions;
    }

    /// Cuts or restores the link from one gateway to another, in this direction only. While it is cut,
    /// messages are lost and streams are delayed.
    pub fn cut(&self, from: &str, to: &str, is_cut: bool) {
        let link = (from.to_owned(), to.to_owned());
        let cut_links = &mut self.0.borrow_mut().cut_links;
        if is_cut {
            cut_links.insert(link);
        } else {
            cut_links.remove(&link);
        }
    }

    /// Sets or removes the interceptor.
    pub fn set_interceptor(&self, interceptor: Option<Interceptor>) {
        self.0.borrow_mut().interceptor = interceptor;
    }

    /// Delivers bytes to a gateway that no gateway has sent.
    pub fn inject(&self, to: &str, bytes: Vec<u8>) {
        let inner = &mut *self.0.borrow_mut();
        inner.queue.push(inner.queue.now, Event::Message(to.to_owned(), bytes));
    }

    /// Adds a gateway. It replaces an earlier one of the same name.
    pub fn mailbox(&self, name: &str, keys: &Keys) -> Mailbox {
        let gateway = Gateway { keys: keys.clone(), inbox: VecDeque::new() };
        self.0.borrow_mut().gateways.insert(name.to_owned(), gateway);
        Mailbox { net: self.clone(), name: name.to_owned() }
    }

    /// Opens a stream between two gateways and returns the connecting end and the accepting one. They
    /// authenticate each other as virtual time passes.
    ///
    /// # Errors
    /// If one of them does not exist.
    pub fn connect(&self, from: &str, to: &str, timeouts: Timeouts) -> Result<(Stream, Stream), SendError> {
        let inner = &mut *self.0.borrow_mut();
        let (now, id) = (inner.queue.now, inner.next_stream);
        let mut end = |name: &str, make: fn(Identity, Keys, Timeouts, [u8; 32], Micros) -> Session| {
            let keys = inner.gateways.get(name).ok_or(SendError::UnknownGateway)?.keys.clone();
            let mut nonce = [0; 32];
            nonce.chunks_mut(8).for_each(|part| part.copy_from_slice(&inner.rng.next_u64().to_be_bytes()));
            let identity = Identity { name: name.to_owned(), incarnation: inner.rng.next_u64() };
            Ok(End {
                name: name.to_owned(),
                session: make(identity, keys, timeouts, nonce, now),
                sending: VecDeque::new(),
                in_flight: VecDeque::new(),
                last_arrival: now,
                unread: VecDeque::new(),
                peer_closed: false,
                close_sent: false,
                timer_at: 0,
                dropped: false,
            })
        };
        let ends = [end(from, Session::connect)?, end(to, Session::accept)?];
        inner.streams.insert(id, ends);
        inner.next_stream += 1;
        inner.advance(id);
        let stream = |end| Stream { net: self.clone(), id, end, peer: OnceCell::new() };
        Ok((stream(0), stream(1)))
    }

    /// Advances the virtual time by `span` and handles the events that are due.
    pub fn run(&self, span: Micros) {
        let until = self.now() + span;
        loop {
            let inner = &mut *self.0.borrow_mut();
            let Some(event) = inner.queue.pop(until) else { break };
            inner.handle(event);
        }
        self.0.borrow_mut().queue.now = until;
    }
}

impl Inner {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Message(to, bytes) => {
                let Some(gateway) = self.gateways.get_mut(&to) else { return };
                if let Some(message) = seal::open(&gateway.keys, &to, &bytes) {
                    if gateway.inbox.len() >= MAX_QUEUED_MESSAGES {
                        gateway.inbox.pop_front();
                    }
                    gateway.inbox.push_back(message);
                }
            }
            Event::Segment { stream: id, to } => {
                let now = self.queue.now;
                let Some(ends) = self.streams.get_mut(&id) else { return };
                let link = (ends[1 - to].name.clone(), ends[to].name.clone());
                if self.cut_links.contains(&link) || self.rng.next_f64() < self.conditions.loss {
                    return self.queue.push(now + RETRANSMIT_US, Event::Segment { stream: id, to });
                }
                match ends[1 - to].in_flight.pop_front() {
                    Some(Some(segment)) => ends[to].unread.extend(segment),
                    _ => ends[to].peer_closed = true,
                }
                self.advance(id);
            }
            Event::Timer { stream: id, end, at } => {
                let now = self.queue.now;
                let Some(ends) = self.streams.get_mut(&id) else { return };
                if ends[end].timer_at == at {
                    ends[end].session.on_timer(now);
                    self.advance(id);
                }
            }
        }
    }

    /// Moves bytes between the sessions of a stream and the network, as far as windows and queues allow.
    fn advance(&mut self, id: u64) {
        let now = self.queue.now;
        let Some(ends) = self.streams.get_mut(&id) else { return };
        for at in [0, 1, 0] {
            let (left, right) = ends.split_at_mut(1);
            let (end, other) = if at == 0 { (&mut left[0], &right[0]) } else { (&mut right[0], &left[0]) };
            while !end.unread.is_empty() && !end.session.is_full() {
                let segment: Vec<u8> = end.unread.drain(..end.unread.len().min(SEGMENT_BYTES)).collect();
                end.session.receive(&segment, now);
            }
            if end.peer_closed && end.unread.is_empty() {
                end.session.close(CloseReason::Disconnected);
            }
            end.sending.extend(end.session.take_output(now));
            let bytes_in_flight = |end: &End| end.in_flight.iter().flatten().map(Vec::len).sum::<usize>();
            while !end.sending.is_empty() && bytes_in_flight(end) + other.unread.len() < WINDOW_BYTES {
                let mut segment: Vec<u8> =
                    end.sending.drain(..end.sending.len().min(SEGMENT_BYTES)).collect();
                end.session.written(segment.len(), now);
                if let Some(intercept) = &mut self.interceptor {
                    intercept(&end.name, &other.name, &mut segment);
                }
                end.in_flight.push_back(Some(segment));
                end.last_arrival = end.last_arrival.max(now + self.conditions.delay(&mut self.rng));
                self.queue.push(end.last_arrival, Event::Segment { stream: id, to: 1 - at });
            }
            if end.session.close_reason().is_some() && !end.close_sent {
                end.close_sent = true;
                end.sending.clear();
                end.in_flight.push_back(None);
                end.last_arrival = end.last_arrival.max(now + self.conditions.delay(&mut self.rng));
                self.queue.push(end.last_arrival, Event::Segment { stream: id, to: 1 - at });
            }
            let wake = end.session.next_wake();
            if wake < Micros::MAX && wake != end.timer_at {
                end.timer_at = wake;
                self.queue.push(wake, Event::Timer { stream: id, end: at, at: wake });
            }
        }
        if ends.iter().all(|end| end.dropped) {
            self.streams.remove(&id);
        }
    }
}

/// Sends and receives the messages of one gateway on a [`Network`].
pub struct Mailbox {
    net: Network,
    name: String,
}

impl Messages for Mailbox {
    fn send(&mut self, to: &str, bytes: &[u8]) -> Result<(), SendError> {
        let inner = &mut *self.net.0.borrow_mut();
        let keys = &inner.gateways.get(&self.name).ok_or(SendError::Closed)?.keys;
        let mut sealed = seal::seal(keys, &self.name, to, bytes).ok_or(SendError::TooLong)?;
        if !inner.gateways.contains_key(to) {
            return Err(SendError::UnknownGateway);
        }
        if !inner.cut_links.contains(&(self.name.clone(), to.to_owned())) {
            if let Some(intercept) = &mut inner.interceptor {
                intercept(&self.name, to, &mut sealed);
            }
            for (delay, bytes) in inner.conditions.transmit(&mut inner.rng, sealed) {
                inner.queue.push(inner.queue.now + delay, Event::Message(to.to_owned(), bytes));
            }
        }
        Ok(())
    }

    fn next(&mut self) -> Option<(String, Vec<u8>)> {
        self.net.0.borrow_mut().gateways.get_mut(&self.name)?.inbox.pop_front()
    }
}

/// One end of a stream on a [`Network`]. Dropping it closes the stream.
pub struct Stream {
    net: Network,
    id: u64,
    end: usize,
    peer: OnceCell<String>,
}

impl Stream {
    fn with_session<T>(&self, act: impl FnOnce(&mut Session) -> T) -> Option<T> {
        let inner = &mut *self.net.0.borrow_mut();
        let result = act(&mut inner.streams.get_mut(&self.id)?[self.end].session);
        inner.advance(self.id);
        Some(result)
    }

    /// Whether this end has authenticated the other one and the stream has not ended.
    pub fn is_open(&self) -> bool {
        self.with_session(|session| session.is_open()).unwrap_or_default()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // This fails only while the network itself is being dropped.
        if let Ok(mut inner) = self.net.0.try_borrow_mut() {
            if let Some(ends) = inner.streams.get_mut(&self.id) {
                ends[self.end].dropped = true;
                ends[self.end].session.close(CloseReason::Closed);
                inner.advance(self.id);
            }
        }
    }
}

impl Records for Stream {
    fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(SendError::TooLong);
        }
        self.with_session(|session| session.send(record)).unwrap_or(Err(SendError::Closed))
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        self.with_session(Session::next_record).flatten()
    }

    /// Empty until the other end is authenticated.
    fn peer(&self) -> &str {
        let authenticated =
            || self.with_session(|session| session.peer().map(|peer| peer.name.clone())).flatten();
        self.peer.get().map(String::as_str).unwrap_or_else(|| match authenticated() {
            Some(name) => self.peer.get_or_init(|| name),
            None => "",
        })
    }

    fn is_closed(&self) -> bool {
        self.with_session(|session| session.close_reason().is_some()).unwrap_or(true)
    }
}
