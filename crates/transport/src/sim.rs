//! A network under a virtual clock, all drawn from a seed: messages get lost, late, twice, out of order and spoilt, streams get
//! late and stuck, ways are cut one way at a time, and somebody in between may change what passes. The same seed and calls give
//! the same history.
//!
//! [`SeededRng`], [`EventQueue`] and [`LinkConditions`] are for simulated fleets of their own too. [`Network`] carries the two traits, with the same
//! [`Session`] and the same seals as on sockets.

use std::cell::{OnceCell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;

use crate::session::{CloseReason, Identity, Session, Timeouts};
use crate::{seal, Keys, Messages, Micros, Records, SendError, MAX_QUEUED_MESSAGES, MAX_RECORD_BYTES};

/// Octets of a stream that are under way or unread at once, and in one piece.
const WINDOW: usize = 256 << 10;
const PIECE: usize = 16 << 10;
/// After how long what did not pass is sent again on a stream.
const AGAIN: Micros = 200_000;

/// The next number of a sequence (SplitMix64).
pub fn splitmix64(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A sequence of numbers drawn from a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeededRng(pub u64);

impl SeededRng {
    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        splitmix64(&mut self.0)
    }

    /// The next number from 0 to 1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What is yet to come, by its time; what comes at one time comes in the order in which it was put.
#[derive(Debug, Clone)]
pub struct EventQueue<E> {
    /// The virtual time.
    pub now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, E)>>,
}

impl<E: Ord> EventQueue<E> {
    /// Nothing is to come.
    pub fn new(now: Micros) -> Self {
        EventQueue { now, order: 0, events: BinaryHeap::new() }
    }

    /// Something is to come.
    pub fn push(&mut self, at: Micros, event: E) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// What comes next, at `until` at the latest; the time is its time then.
    pub fn pop(&mut self, until: Micros) -> Option<E> {
        if self.events.peek()?.0 .0 > until {
            return None;
        }
        let Reverse((at, _, event)) = self.events.pop()?;
        self.now = self.now.max(at);
        Some(event)
    }
}

/// What the network does to single messages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkConditions {
    /// Share that gets lost.
    pub loss: f64,
    /// Least and most delay.
    pub delay: (Micros, Micros),
    /// Share that comes twice, and share with an octet spoilt.
    pub duplicates: f64,
    /// See `copies`.
    pub corrupted: f64,
}

impl Default for LinkConditions {
    fn default() -> Self {
        LinkConditions { loss: 0.0, delay: (500, 3_000), duplicates: 0.0, corrupted: 0.0 }
    }
}

impl LinkConditions {
    /// Carries a message: gives its copies that come, each with its delay.
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
        let (least, most) = self.delay;
        least + (rng.next_f64() * (most - least) as f64) as Micros
    }
}

/// Changes what passes from one gateway to another: a message, or a piece of a stream.
pub type Interceptor = Box<dyn FnMut(&str, &str, &mut Vec<u8>)>;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Message(String, Vec<u8>),
    /// The next piece for that end of a stream is there.
    Piece(u64, usize),
    Wake(u64, usize, Micros),
}

struct Gateway {
    keys: Keys,
    come: VecDeque<(String, Vec<u8>)>,
}

/// One end of a stream, and what is on its way from there.
struct End {
    name: String,
    session: Session,
    /// Taken from the session, not under way yet; under way: `None` is the end of all.
    sending: VecDeque<u8>,
    flying: VecDeque<Option<Vec<u8>>>,
    last: Micros,
    /// Come here and not read yet, and whether the other end's last word has come.
    unread: VecDeque<u8>,
    gone: bool,
    said_gone: bool,
    planned: Micros,
    dropped: bool,
}

struct Inner {
    queue: EventQueue<Event>,
    rng: SeededRng,
    conditions: LinkConditions,
    cuts: BTreeSet<(String, String)>,
    interceptor: Option<Interceptor>,
    gateways: BTreeMap<String, Gateway>,
    streams: BTreeMap<u64, [End; 2]>,
    next: u64,
}

/// A network. Copies are handles of the same one.
#[derive(Clone)]
pub struct Network(Rc<RefCell<Inner>>);

impl Network {
    /// A network without gateways.
    pub fn new(seed: u64, conditions: LinkConditions) -> Network {
        Network(Rc::new(RefCell::new(Inner {
            queue: EventQueue::new(1_000_000),
            rng: SeededRng(seed),
            conditions,
            cuts: BTreeSet::new(),
            interceptor: None,
            gateways: BTreeMap::new(),
            streams: BTreeMap::new(),
            next: 0,
        })))
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.0.borrow().queue.now
    }

    /// The network is like this from now on.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.0.borrow_mut().conditions = conditions;
    }

    /// Nothing passes from one to the other from now on, or it does again. Messages are lost, streams are late.
    pub fn cut(&self, from: &str, to: &str, is_cut: bool) {
        let way = (from.to_owned(), to.to_owned());
        let cuts = &mut self.0.borrow_mut().cuts;
        if is_cut {
            cuts.insert(way);
        } else {
            cuts.remove(&way);
        }
    }

    /// Somebody stands in between from now on.
    pub fn set_interceptor(&self, interceptor: Option<Interceptor>) {
        self.0.borrow_mut().interceptor = interceptor;
    }

    /// Something comes to a gateway that nobody of ours has sent.
    pub fn inject(&self, to: &str, bytes: Vec<u8>) {
        let inner = &mut *self.0.borrow_mut();
        inner.queue.push(inner.queue.now, Event::Message(to.to_owned(), bytes));
    }

    /// A gateway's messages. One of the same name takes the place of an earlier one.
    pub fn mailbox(&self, name: &str, keys: &Keys) -> Mailbox {
        let gateway = Gateway { keys: keys.clone(), come: VecDeque::new() };
        self.0.borrow_mut().gateways.insert(name.to_owned(), gateway);
        Mailbox { net: self.clone(), name: name.to_owned() }
    }

    /// A stream between two gateways: the calling end and the other one. They prove themselves as time passes.
    ///
    /// # Errors
    /// If one of them is not there.
    pub fn connect(&self, from: &str, to: &str, timeouts: Timeouts) -> Result<(Stream, Stream), SendError> {
        let inner = &mut *self.0.borrow_mut();
        let (now, id) = (inner.queue.now, inner.next);
        let mut end = |name: &str, make: fn(Identity, Keys, Timeouts, [u8; 32], Micros) -> Session| {
            let keys = inner.gateways.get(name).ok_or(SendError::UnknownGateway)?.keys.clone();
            let mut nonce = [0; 32];
            nonce.chunks_mut(8).for_each(|part| part.copy_from_slice(&inner.rng.next_u64().to_be_bytes()));
            let identity = Identity { name: name.to_owned(), incarnation: inner.rng.next_u64() };
            Ok(End {
                name: name.to_owned(),
                session: make(identity, keys, timeouts, nonce, now),
                sending: VecDeque::new(),
                flying: VecDeque::new(),
                last: now,
                unread: VecDeque::new(),
                gone: false,
                said_gone: false,
                planned: 0,
                dropped: false,
            })
        };
        let ends = [end(from, Session::connect)?, end(to, Session::accept)?];
        inner.streams.insert(id, ends);
        inner.next += 1;
        inner.settle(id);
        let stream = |end| Stream { net: self.clone(), id, end, peer: OnceCell::new() };
        Ok((stream(0), stream(1)))
    }

    /// Lets virtual time pass.
    pub fn run(&self, span: Micros) {
        let until = self.now() + span;
        loop {
            let inner = &mut *self.0.borrow_mut();
            let Some(event) = inner.queue.pop(until) else { break };
            inner.happen(event);
        }
        self.0.borrow_mut().queue.now = until;
    }
}

impl Inner {
    fn happen(&mut self, event: Event) {
        match event {
            Event::Message(to, bytes) => {
                let Some(gateway) = self.gateways.get_mut(&to) else { return };
                if let Some(message) = seal::open(&gateway.keys, &to, &bytes) {
                    if gateway.come.len() >= MAX_QUEUED_MESSAGES {
                        gateway.come.pop_front();
                    }
                    gateway.come.push_back(message);
                }
            }
            Event::Piece(id, to) => {
                let now = self.queue.now;
                let Some(ends) = self.streams.get_mut(&id) else { return };
                let way = (ends[1 - to].name.clone(), ends[to].name.clone());
                if self.cuts.contains(&way) || self.rng.next_f64() < self.conditions.loss {
                    return self.queue.push(now + AGAIN, Event::Piece(id, to));
                }
                match ends[1 - to].flying.pop_front() {
                    Some(Some(piece)) => ends[to].unread.extend(piece),
                    _ => ends[to].gone = true,
                }
                self.settle(id);
            }
            Event::Wake(id, end, planned) => {
                let now = self.queue.now;
                let Some(ends) = self.streams.get_mut(&id) else { return };
                if ends[end].planned == planned {
                    ends[end].session.on_timer(now);
                    self.settle(id);
                }
            }
        }
    }

    /// Moves what can move on a stream.
    fn settle(&mut self, id: u64) {
        let now = self.queue.now;
        let Some(ends) = self.streams.get_mut(&id) else { return };
        for at in [0, 1, 0] {
            let (left, right) = ends.split_at_mut(1);
            let (end, other) = if at == 0 { (&mut left[0], &right[0]) } else { (&mut right[0], &left[0]) };
            while !end.unread.is_empty() && !end.session.is_full() {
                let piece: Vec<u8> = end.unread.drain(..end.unread.len().min(PIECE)).collect();
                end.session.receive(&piece, now);
            }
            if end.gone && end.unread.is_empty() {
                end.session.close(CloseReason::Disconnected);
            }
            end.sending.extend(end.session.take_output(now));
            let under_way = |end: &End| end.flying.iter().flatten().map(Vec::len).sum::<usize>();
            while !end.sending.is_empty() && under_way(end) + other.unread.len() < WINDOW {
                let mut piece: Vec<u8> = end.sending.drain(..end.sending.len().min(PIECE)).collect();
                end.session.written(piece.len(), now);
                if let Some(intercept) = &mut self.interceptor {
                    intercept(&end.name, &other.name, &mut piece);
                }
                end.flying.push_back(Some(piece));
                end.last = end.last.max(now + self.conditions.delay(&mut self.rng));
                self.queue.push(end.last, Event::Piece(id, 1 - at));
            }
            if end.session.close_reason().is_some() && !end.said_gone {
                end.said_gone = true;
                end.sending.clear();
                end.flying.push_back(None);
                end.last = end.last.max(now + self.conditions.delay(&mut self.rng));
                self.queue.push(end.last, Event::Piece(id, 1 - at));
            }
            let wake = end.session.next_wake();
            if wake < Micros::MAX && wake != end.planned {
                end.planned = wake;
                self.queue.push(wake, Event::Wake(id, at, wake));
            }
        }
        if ends.iter().all(|end| end.dropped) {
            self.streams.remove(&id);
        }
    }
}

/// A gateway's messages on a [`Network`].
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
        if !inner.cuts.contains(&(self.name.clone(), to.to_owned())) {
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
        self.net.0.borrow_mut().gateways.get_mut(&self.name)?.come.pop_front()
    }
}

/// One end of a stream on a [`Network`]. It ends when it is dropped.
pub struct Stream {
    net: Network,
    id: u64,
    end: usize,
    peer: OnceCell<String>,
}

impl Stream {
    fn with<T>(&self, act: impl FnOnce(&mut Session) -> T) -> Option<T> {
        let inner = &mut *self.net.0.borrow_mut();
        let result = act(&mut inner.streams.get_mut(&self.id)?[self.end].session);
        inner.settle(self.id);
        Some(result)
    }

    /// Both ends are proved, and it has not ended.
    pub fn is_open(&self) -> bool {
        self.with(|session| session.is_open()).unwrap_or_default()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The network itself is being let go if this does not succeed.
        if let Ok(mut inner) = self.net.0.try_borrow_mut() {
            if let Some(ends) = inner.streams.get_mut(&self.id) {
                ends[self.end].dropped = true;
                ends[self.end].session.close(CloseReason::Closed);
                inner.settle(self.id);
            }
        }
    }
}

impl Records for Stream {
    fn send(&mut self, record: &[u8]) -> Result<(), SendError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(SendError::TooLong);
        }
        self.with(|session| session.send(record)).unwrap_or(Err(SendError::Closed))
    }

    fn next(&mut self) -> Option<Vec<u8>> {
        self.with(Session::next_record).flatten()
    }

    /// Empty until it is proved.
    fn peer(&self) -> &str {
        let proved = || self.with(|session| session.peer().map(|peer| peer.name.clone())).flatten();
        self.peer.get().map(String::as_str).unwrap_or_else(|| match proved() {
            Some(name) => self.peer.get_or_init(|| name),
            None => "",
        })
    }

    fn is_closed(&self) -> bool {
        self.with(|session| session.close_reason().is_some()).unwrap_or(true)
    }
}
