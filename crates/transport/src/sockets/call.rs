//! Calls and answers: records of streams, `tag 1 | number 4 | what is said`.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use event_listener::Event;
use futures_lite::future;

use super::stream::{accepted, dial};
use super::{Endpoint, Stream};
use crate::session::CloseReason;
use crate::{SendError, MAX_QUEUED_BYTES, MAX_RECORD_BYTES};

/// Calls that are out on one stream at once, on either side.
const AT_ONCE: usize = 256;
/// Streams to one address; a further one is opened once so many octets wait on those there are.
const STREAMS: usize = 2;
const BUSY: usize = 64 << 10;
/// Addresses to which there are streams.
const ADDRESSES: usize = 1_024;
/// After how long without a call a stream is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Streams taken of one gateway, of all, and of ends that have not proved themselves; the oldest give way.
const OF_ONE: usize = 4;
const OF_ALL: usize = 2_048;
const UNPROVED: usize = 256;
/// After a connection could not be taken.
const REST: Duration = Duration::from_millis(20);

const CALL: u8 = 1;
const ANSWER: u8 = 2;
const REFUSED: u8 = 3;
const TOO_LONG: u8 = 4;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum CallFailure {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    TooLong,
    /// As much is out already as may be.
    QueueFull,
    /// There is no stream to that address, and none could be opened.
    Unreachable(CloseReason),
    /// Another gateway is there, of this name.
    WrongGateway(String),
    /// The other end has as much in hand as it takes.
    Overloaded,
    /// The time is over.
    TimedOut,
    /// The stream ended while the call was out.
    StreamClosed(CloseReason),
    /// The answer was too long to be sent.
    AnswerTooLong,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::TooLong => f.write_str("the record is too long"),
            CallFailure::QueueFull => f.write_str("too much is out already"),
            CallFailure::Unreachable(why) => write!(f, "no stream could be opened: {why}"),
            CallFailure::WrongGateway(name) => write!(f, "it is {name} that is reached there"),
            CallFailure::Overloaded => f.write_str("the other end has too much in hand"),
            CallFailure::TimedOut => f.write_str("the time is over"),
            CallFailure::StreamClosed(why) => write!(f, "the stream ended: {why}"),
            CallFailure::AnswerTooLong => f.write_str("the answer was too long"),
        }
    }
}

/// A call that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The record was surely not given to the other end's handler, and never will be.
    NotDelivered(CallFailure),
    /// It may have been, or may be yet.
    MayBeDelivered(CallFailure),
}

impl CallError {
    /// The record was surely not given to the other end's handler, and never will be.
    pub fn is_undelivered(&self) -> bool {
        matches!(self, CallError::NotDelivered(_))
    }

    /// Why.
    pub fn why(&self) -> &CallFailure {
        let (CallError::NotDelivered(why) | CallError::MayBeDelivered(why)) = self;
        why
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotDelivered(why) => write!(f, "not delivered: {why}"),
            CallError::MayBeDelivered(why) => write!(f, "it may have been delivered: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

type Answer = Result<Vec<u8>, CallError>;

/// A stream with the calls that are out on it.
struct Line {
    stream: Stream,
    out: RefCell<HashMap<u32, async_channel::Sender<Answer>>>,
    next: Cell<u32>,
}

/// A call that is out: its number is free again when this goes.
struct Out<'a>(&'a Line, u32);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.out.borrow_mut().remove(&self.1);
    }
}

impl Line {
    fn is_free(&self) -> bool {
        self.stream.close_reason().is_none() && self.out.borrow().len() < AT_ONCE
    }

    async fn call(&self, record: &[u8], sent: &Cell<bool>) -> Answer {
        let number = self.next.replace(self.next.get().wrapping_add(1));
        let (sender, receiver) = async_channel::bounded(1);
        self.out.borrow_mut().insert(number, sender);
        let _out = Out(self, number);
        self.stream.send(&said(CALL, number, record)).map_err(|unsent| {
            CallError::NotDelivered(match unsent {
                SendError::TooLong => CallFailure::TooLong,
                SendError::QueueFull => CallFailure::QueueFull,
                _ => {
                    CallFailure::Unreachable(self.stream.close_reason().unwrap_or(CloseReason::Disconnected))
                }
            })
        })?;
        sent.set(true);
        let lost = || {
            CallError::MayBeDelivered(CallFailure::StreamClosed(
                self.stream.close_reason().unwrap_or(CloseReason::Disconnected),
            ))
        };
        receiver.recv().await.unwrap_or_else(|_| Err(lost()))
    }

    /// Gives answers to their calls until the stream is over or nobody needs it.
    async fn read(&self) {
        loop {
            match violetward_net::timeout(IDLE, self.stream.recv()).await {
                Some(Some(record)) => {
                    let Some((tag, number, says)) = heard(&record) else { break };
                    let answer = match tag {
                        ANSWER => Ok(says.to_vec()),
                        REFUSED => Err(CallError::NotDelivered(CallFailure::Overloaded)),
                        TOO_LONG => Err(CallError::MayBeDelivered(CallFailure::AnswerTooLong)),
                        _ => break,
                    };
                    // One that nobody waits for any more is let go.
                    if let Some(sender) = self.out.borrow_mut().remove(&number) {
                        sender.try_send(answer).ok();
                    }
                }
                Some(None) => break,
                None if self.out.borrow().is_empty() => break,
                None => {}
            }
        }
        self.stream.close();
        // Whoever still waits learns it by the end of his channel.
        self.out.borrow_mut().clear();
    }
}

/// Streams to one address.
#[derive(Default)]
struct Place {
    lines: RefCell<Vec<Rc<Line>>>,
    dialing: Cell<bool>,
    /// How often no stream could be opened, and why at last.
    failed: Cell<(u64, Option<CloseReason>)>,
    changed: Event,
}

impl Place {
    /// The stream with the least to do.
    fn free(&self) -> Option<Rc<Line>> {
        let lines = self.lines.borrow();
        lines.iter().filter(|line| line.is_free()).min_by_key(|line| line.stream.queued_bytes()).cloned()
    }
}

/// Calls other gateways, over a few streams to each that are kept while they are used.
pub struct Caller {
    endpoint: Rc<Endpoint>,
    places: RefCell<HashMap<SocketAddr, Rc<Place>>>,
}

impl Caller {
    /// A caller.
    pub fn new(endpoint: &Rc<Endpoint>) -> Self {
        Caller { endpoint: endpoint.clone(), places: RefCell::default() }
    }

    /// Sends a record to whichever gateway is there and waits for its answer.
    ///
    /// # Errors
    /// Why there is none in that time, and whether the record may have been delivered.
    pub async fn call(&self, to: SocketAddr, record: &[u8], within: Duration) -> Answer {
        self.within(None, to, record, within).await
    }

    /// The same, if the gateway there has this name.
    ///
    /// # Errors
    /// See [`Caller::call`]; [`CallFailure::WrongGateway`] if it has another one.
    pub async fn call_named(&self, name: &str, to: SocketAddr, record: &[u8], within: Duration) -> Answer {
        self.within(Some(name), to, record, within).await
    }

    async fn within(&self, name: Option<&str>, to: SocketAddr, record: &[u8], within: Duration) -> Answer {
        if record.len() > MAX_RECORD_BYTES {
            return Err(CallError::NotDelivered(CallFailure::TooLong));
        }
        let sent = Cell::new(false);
        let work = async {
            let line = self.line(to).await.map_err(CallError::NotDelivered)?;
            let other = &line.stream.peer().name;
            if name.is_some_and(|name| name != other) {
                return Err(CallError::NotDelivered(CallFailure::WrongGateway(other.clone())));
            }
            line.call(record, &sent).await
        };
        let late = || if sent.get() { CallError::MayBeDelivered } else { CallError::NotDelivered };
        violetward_net::timeout(within, work).await.unwrap_or_else(|| Err(late()(CallFailure::TimedOut)))
    }

    /// A stream to an address, opened if there is none.
    async fn line(&self, to: SocketAddr) -> Result<Rc<Line>, CallFailure> {
        let place = self.place(to)?;
        let failed = place.failed.get().0;
        loop {
            let changed = place.changed.listen();
            let line = place.free();
            let there = place.lines.borrow().len();
            let wanted = line.as_ref().is_none_or(|line| line.stream.queued_bytes() > BUSY);
            if wanted && there < STREAMS && !place.dialing.replace(true) {
                self.endpoint.spawn(open(self.endpoint.clone(), place.clone(), to));
            }
            match (line, place.failed.get()) {
                (Some(line), _) => return Ok(line),
                (None, (count, Some(why))) if count > failed => return Err(CallFailure::Unreachable(why)),
                (None, _) if there == STREAMS => return Err(CallFailure::QueueFull),
                _ => changed.await,
            }
        }
    }

    fn place(&self, to: SocketAddr) -> Result<Rc<Place>, CallFailure> {
        let mut places = self.places.borrow_mut();
        if places.len() >= ADDRESSES && !places.contains_key(&to) {
            places.retain(|_, place| Rc::strong_count(place) > 1 || !place.lines.borrow().is_empty());
            if places.len() >= ADDRESSES {
                return Err(CallFailure::QueueFull);
            }
        }
        Ok(places.entry(to).or_default().clone())
    }
}

/// Opens a stream, and keeps it among those of its address until it is over.
async fn open(endpoint: Rc<Endpoint>, place: Rc<Place>, to: SocketAddr) {
    let dialed = dial(&endpoint, to).await;
    place.dialing.set(false);
    match dialed {
        Ok(stream) => {
            let line = Rc::new(Line { stream, out: RefCell::default(), next: Cell::new(0) });
            place.lines.borrow_mut().push(line.clone());
            place.changed.notify(usize::MAX);
            line.read().await;
            place.lines.borrow_mut().retain(|kept| !Rc::ptr_eq(kept, &line));
        }
        Err(why) => place.failed.set((place.failed.get().0 + 1, Some(why))),
    }
    place.changed.notify(usize::MAX);
}

fn said(tag: u8, number: u32, says: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(5 + says.len());
    out.push(tag);
    out.extend_from_slice(&number.to_be_bytes());
    out.extend_from_slice(says);
    out
}

fn heard(record: &[u8]) -> Option<(u8, u32, &[u8])> {
    let (&tag, rest) = record.split_first()?;
    let (number, says) = rest.split_first_chunk::<4>()?;
    Some((tag, u32::from_be_bytes(*number), says))
}

/// What ends a stream, and of whom it is.
type Held = RefCell<VecDeque<(String, u64, Box<dyn Fn()>)>>;

/// Streams that were taken.
#[derive(Default)]
struct Taken {
    next: Cell<u64>,
    unproved: Held,
    proved: Held,
}

impl Taken {
    /// Holds a stream; ends the oldest one past `most`, of those that `like` says.
    fn hold(held: &Held, entry: (String, u64, Box<dyn Fn()>), most: usize, like: impl Fn(&str) -> bool) {
        let mut held = held.borrow_mut();
        held.push_back(entry);
        if held.iter().filter(|entry| like(&entry.0)).count() > most {
            let oldest = held.iter().position(|entry| like(&entry.0)).and_then(|at| held.remove(at));
            drop(held);
            if let Some((_, _, end)) = oldest {
                end();
            }
        }
    }

    fn drop(held: &Held, id: u64) {
        held.borrow_mut().retain(|entry| entry.1 != id);
    }
}

/// Takes calls until it is dropped: each goes to `handler` with the name of the gateway that it comes from, and what that
/// returns is the answer. Calls are handled at once and answered as they are done, at most 256 of a stream and 8 MiB; what is past
/// that is refused. What was begun is done even if its caller is gone.
pub async fn serve<H, F>(endpoint: Rc<Endpoint>, listener: Async<TcpListener>, handler: H)
where
    H: Fn(String, Vec<u8>) -> F + 'static,
    F: Future<Output = Vec<u8>> + 'static,
{
    let (handler, taken) = (Rc::new(handler), Rc::new(Taken::default()));
    loop {
        // A flood must not keep the thread's other tasks waiting.
        future::yield_now().await;
        let Ok((socket, _)) = listener.accept().await else {
            // No socket is free, or the caller is gone already.
            violetward_net::sleep(REST).await;
            continue;
        };
        let stream = accepted(&endpoint, socket);
        let id = taken.next.replace(taken.next.get() + 1);
        // Guards against ends that connect and prove nothing: the oldest of them give way to new ones.
        Taken::hold(&taken.unproved, (String::new(), id, Box::new(stream.end())), UNPROVED, |_| true);
        let (endpoint, handler, taken) = (endpoint.clone(), handler.clone(), taken.clone());
        let spawner = endpoint.clone();
        spawner.spawn(async move {
            let end = Box::new(stream.end());
            let opened = stream.opened().await;
            Taken::drop(&taken.unproved, id);
            let Ok(stream) = opened else { return };
            let name = stream.peer().name.clone();
            let entry = (name.clone(), id, end as Box<dyn Fn()>);
            Taken::hold(&taken.proved, entry, OF_ONE, |other| other == name);
            if taken.proved.borrow().len() > OF_ALL {
                let oldest = taken.proved.borrow_mut().pop_front();
                oldest.iter().for_each(|(_, _, end)| end());
            }
            answer(&endpoint, stream, &*handler).await;
            Taken::drop(&taken.proved, id);
        });
    }
}

/// What of a stream is in hand: calls and their octets.
struct InHand(Rc<Cell<(usize, usize)>>, usize);

impl Drop for InHand {
    fn drop(&mut self) {
        let (calls, octets) = self.0.get();
        self.0.set((calls - 1, octets - self.1));
    }
}

async fn answer<H, F>(endpoint: &Endpoint, stream: Stream, handler: &H)
where
    H: Fn(String, Vec<u8>) -> F,
    F: Future<Output = Vec<u8>> + 'static,
{
    let stream = Rc::new(stream);
    let in_hand = Rc::new(Cell::new((0, 0)));
    while let Some(record) = stream.recv().await {
        let Some((CALL, number, says)) = heard(&record) else { break };
        let (calls, octets) = in_hand.get();
        if calls >= AT_ONCE || octets + says.len() > MAX_QUEUED_BYTES {
            reply(&stream, REFUSED, number, &[]).await;
            continue;
        }
        in_hand.set((calls + 1, octets + says.len()));
        let held = InHand(in_hand.clone(), says.len());
        let work = handler(stream.peer().name.clone(), says.to_vec());
        let stream = stream.clone();
        endpoint.spawn(async move {
            let answer = work.await;
            if answer.len() > MAX_RECORD_BYTES {
                reply(&stream, TOO_LONG, number, &[]).await;
            } else {
                reply(&stream, ANSWER, number, &answer).await;
            }
            drop(held);
        });
    }
    stream.close();
}

/// Sends an answer once there is room for it; gives up with the stream.
async fn reply(stream: &Stream, tag: u8, number: u32, says: &[u8]) {
    while stream.send(&said(tag, number, says)) == Err(SendError::QueueFull) {
        stream.wait_for_space().await;
    }
}
