//! Follows the list of engines by DNS over UDP.
//!
//! A question stays open while the next ones are asked: the answer of a slow resolver counts, whichever it answers.

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

/// How often the list is asked for. A change counts as told once an answer holds it, and 1.5 s after it happened at the
/// latest: asking several times within that leaves room for answers that get lost.
const EVERY: Duration = Duration::from_millis(250);
/// How long an answer is waited for before the next question is asked, less [`PAUSE_STEP`].
const WITHIN: Duration = Duration::from_millis(150);
/// By how much that grows with each question in a row that found no answer. Questions never get rarer than [`EVERY`]: what
/// changed while nothing was heard counts as told soon after the resolver is back.
const PAUSE_STEP: Duration = Duration::from_millis(30);
/// After so many questions in a row without an answer the log tells.
const FAILURES_TOLD: u32 = 8;
/// How long a question stays open. What happened counts as told after 1.5 s: an answer that is older helps nobody.
const OPEN_TIME: Duration = Duration::from_millis(1_500);
/// Questions that are open at a time, each with a socket of its own.
const OPEN_MOST: usize = 8;
/// Datagrams that are looked at for one question. Guards the thread that everything runs on against a flood of them.
const DATAGRAMS_MOST: u32 = 32;
/// Bytes of an answer; one octet more tells one that is longer.
const ANSWER: usize = 8_000;

/// Where the resolver is.
pub struct Resolver {
    address: Cell<SocketAddr>,
    moved: Event,
    /// Told when it has been silent for long, and again after each further such span.
    silent: Event,
}

impl Resolver {
    /// A resolver at an address.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Resolver { address: Cell::new(address), moved: Event::new(), silent: Event::new() })
    }

    /// It is elsewhere from now on.
    pub fn moved_to(&self, address: SocketAddr) {
        self.address.set(address);
        self.moved.notify(usize::MAX);
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Waits until it has been silent for long.
    pub(crate) async fn silence(&self) {
        self.silent.listen().await;
    }

    /// Follows the list, from the event with that number on. Never ends.
    pub async fn follow(self: Rc<Self>, host: Rc<Host>, mut have: u32) {
        let mut questions = Questions::to(self.address.get());
        let mut failures = 0u32;
        loop {
            let moved = self.moved.listen();
            if questions.address != self.address.get() {
                // Nothing that the old address says counts any more.
                questions.move_to(self.address.get());
                failures = 0;
            }
            let asking = async {
                let failed = questions.ask_and_listen(&host, failures, &mut have).await;
                failures = if failed { failures.saturating_add(1) } else { 0 };
            };
            future::or(moved, asking).await;
            if failures > 0 && failures % FAILURES_TOLD == 0 {
                self.silent.notify(usize::MAX);
            }
            if failures == FAILURES_TOLD {
                let (address, why) = (questions.address, &questions.fault);
                tracing::warn!(%address, why, "no good answer of the resolver: the old list stands");
            }
        }
    }
}

/// A question that may still be answered.
struct Question {
    socket: Async<UdpSocket>,
    id: u16,
    asked: Instant,
    /// Datagrams that were looked at for it.
    datagrams: u32,
}

/// The questions to one address.
struct Questions {
    address: SocketAddr,
    /// Those that may still be answered, oldest first.
    open: Vec<Question>,
    /// The socket of the last one that was answered, for the next one.
    proven: Option<Async<UdpSocket>>,
    /// A socket of an earlier address, kept until there is one for this.
    spare: Option<Async<UdpSocket>>,
    /// Why there was no good answer of late.
    fault: String,
}

impl Questions {
    fn to(address: SocketAddr) -> Self {
        Questions { address, open: Vec::new(), proven: None, spare: None, fault: "no answer".into() }
    }

    /// Ends all questions; the next ones go elsewhere.
    fn move_to(&mut self, address: SocketAddr) {
        let last = self.open.drain(..).next_back().map(|question| question.socket);
        self.spare = self.proven.take().or(last).or(self.spare.take());
        self.address = address;
    }

    /// Asks once and takes what comes until the next question is due; true if no good answer came. `have` is the number of
    /// the newest list that was taken.
    async fn ask_and_listen(&mut self, host: &Rc<Host>, failures: u32, have: &mut u32) -> bool {
        let asked = self.ask(Instant::now());
        if let Err(why) = asked {
            self.fault = why.to_string();
        }
        // After the first failures it is asked anew at once: one answer lost must not cost a change its time.
        let patience = WITHIN + PAUSE_STEP * failures.saturating_add(1).min(FAILURES_TOLD);
        let mut next = Instant::now() + patience.min(EVERY);
        let mut failed = true;
        while let Some(list) = self.receive_until(next, &host.config.names).await {
            if failures >= FAILURES_TOLD && failed {
                tracing::info!(address = %self.address, failures, "the resolver answers again");
            }
            (failed, next) = (false, Instant::now() + EVERY);
            if is_newer(list.number, *have) {
                *have = list.number;
                host.listed(list, false);
            } else {
                host.list_stands();
            }
        }
        failed
    }

    /// Asks, under a fresh random id.
    fn ask(&mut self, now: Instant) -> std::io::Result<()> {
        self.open.retain(|question| now.duration_since(question.asked) < OPEN_TIME);
        if self.open.len() >= OPEN_MOST {
            self.open.remove(0);
        }
        let question = Question { socket: self.socket()?, id: rand::random(), asked: now, datagrams: 0 };
        let bytes = list::question(question.id);
        while let Err(error) = question.socket.get_ref().send(&bytes) {
            if error.kind() != std::io::ErrorKind::Interrupted {
                return Err(error);
            }
        }
        self.open.push(question);
        Ok(())
    }

    /// The socket for the next question: that of the last good answer, else a fresh one, so that what somebody else sends
    /// to a port seen does not reach it. Where no descriptor is free that of the earlier address or of the oldest question
    /// serves on: the list must not be lost for want of one.
    fn socket(&mut self) -> std::io::Result<Async<UdpSocket>> {
        if let Some(socket) = self.proven.take() {
            return Ok(socket);
        }
        match (open(self.address), self.spare.take()) {
            (Ok(socket), _) => Ok(socket),
            (Err(_), Some(spare)) => redirect(spare, self.address),
            (Err(error), None) if self.open.is_empty() => Err(error),
            (Err(_), None) => Ok(self.open.remove(0).socket),
        }
    }

    /// The next good answer to any open question, if one comes by then.
    async fn receive_until(&mut self, until: Instant, names: &Names) -> Option<list::List> {
        let received = async { Some(self.receive(names).await) };
        let over = async {
            violetward_net::sleep_until(until).await;
            None
        };
        future::or(received, over).await
    }

    /// The next good answer to any open question. Waits for ever where there is none.
    async fn receive(&mut self, names: &Names) -> list::List {
        let mut bytes = vec![0; ANSWER + 1];
        loop {
            let place = self.readable().await;
            let question = &mut self.open[place];
            match question.socket.get_ref().recv(&mut bytes) {
                Ok(size) => match list::answer(&bytes[..size], question.id, names) {
                    Ok(list) => {
                        self.settle(place);
                        return list;
                    }
                    Err(why) => {
                        question.datagrams += 1;
                        self.fault = why;
                    }
                },
                Err(error) if SocketErrorKind::of(&error) == SocketErrorKind::Retry => {}
                Err(error) => {
                    self.fault = error.to_string();
                    self.open.remove(place);
                    continue;
                }
            }
            if self.open[place].datagrams >= DATAGRAMS_MOST {
                self.fault = "a flood of answers that don't fit".into();
                self.open.remove(place);
            }
        }
    }

    /// The place of an open question whose socket has something to read.
    async fn readable(&self) -> usize {
        future::poll_fn(|context| {
            let is_ready = |question: &Question| question.socket.poll_readable(context).is_ready();
            self.open.iter().position(is_ready).map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// A question has been answered; what was asked before it is of no more use.
    fn settle(&mut self, place: usize) {
        let answered = self.open.drain(..=place).next_back();
        self.proven = answered.map(|question| question.socket);
    }
}

/// Has a socket take datagrams from another address. What the old one has sent may still be in it, and is dropped.
fn redirect(socket: Async<UdpSocket>, address: SocketAddr) -> std::io::Result<Async<UdpSocket>> {
    socket.get_ref().connect(address)?;
    (0..DATAGRAMS_MOST).take_while(|_| socket.get_ref().recv(&mut [0]).is_ok()).for_each(drop);
    Ok(socket)
}

/// A socket that takes datagrams from that address alone.
fn open(address: SocketAddr) -> std::io::Result<Async<UdpSocket>> {
    let any: SocketAddr = if address.is_ipv4() { ([0; 4], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = Async::<UdpSocket>::bind(any)?;
    socket.get_ref().connect(address)?;
    Ok(socket)
}
