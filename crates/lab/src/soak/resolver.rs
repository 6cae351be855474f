//! The resolver of a soak: silent, late or elsewhere on order. Each gateway has an address of it for itself, so that
//! the records say what each of them was told.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward_standin::platform::{Listed, PlatformResolver};

use super::record::{Event, Records};

/// How long after a move, counted from SIGHUP, the list counts as told.
const MOVE_TIME: Duration = Duration::from_millis(4_000);

/// The share of bad answers while there are any.
const BAD_SHARE: f64 = 0.35;
/// The place of the error code in a message, and that of a server that failed.
const ERROR_CODE: (usize, u8) = (3, 2);

/// How answers are late.
#[derive(Debug, Clone, Copy)]
enum Delay {
    /// All by the same time. The list is that of the query.
    Fixed(Duration),
    /// Each by a time of its own up to this one, so that they overtake each other. The list is that of the sending.
    Scattered(Duration),
}

struct State {
    /// Words the answers.
    writer: PlatformResolver,
    serial: u32,
    listed: Vec<Listed>,
    /// The list before the present one.
    previous: Vec<Listed>,
    /// Where each gateway is answered.
    addresses: Vec<SocketAddr>,
    /// The number of the newest list that each gateway was sent.
    told: Vec<u32>,
    silent_until: Instant,
    late_until: Instant,
    delay: Delay,
    bad_until: Instant,
    rng: StdRng,
}

/// The resolver.
#[derive(Clone)]
pub struct Resolver {
    state: Arc<Mutex<State>>,
    records: Records,
}

impl Resolver {
    /// Starts it with a list, for a number of gateways.
    pub fn start(
        listed: Vec<Listed>,
        gateways: usize,
        seed: u64,
        records: &Records,
    ) -> std::io::Result<Resolver> {
        let now = Instant::now();
        let writer = PlatformResolver::start("east", "std")?;
        writer.tell(1, listed.clone());
        let state = State {
            addresses: vec![writer.address.into(); gateways],
            told: vec![1; gateways],
            writer,
            serial: 1,
            previous: listed.clone(),
            listed,
            silent_until: now,
            late_until: now,
            delay: Delay::Fixed(Duration::ZERO),
            bad_until: now,
            rng: StdRng::seed_from_u64(seed),
        };
        let resolver = Resolver { state: Arc::new(Mutex::new(state)), records: records.clone() };
        resolver.listen()?;
        Ok(resolver)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it is now for a gateway.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.lock().addresses[gateway]
    }

    /// The list that it tells, and its number.
    pub fn list(&self) -> (u32, Vec<Listed>) {
        let state = self.lock();
        (state.serial, state.listed.clone())
    }

    /// Tells another list from now on.
    pub fn tell(&self, listed: Vec<Listed>) {
        let mut state = self.lock();
        state.serial += 1;
        let serial = state.serial;
        state.writer.tell(serial, listed.clone());
        state.previous = std::mem::replace(&mut state.listed, listed);
    }

    /// Gives bad answers between good ones for a span. What good ones would tell still counts as told in time.
    pub fn bad(&self, span: Duration) {
        self.lock().bad_until = Instant::now() + span;
    }

    /// Says nothing for a span.
    pub fn silent(&self, span: Duration) {
        self.records.note(Event::ListTroubled { span });
        self.lock().silent_until = Instant::now() + span;
    }

    /// Answers late for a span.
    pub fn slow(&self, span: Duration, delay: Duration) {
        self.late(span, delay, Delay::Fixed(delay));
    }

    /// Answers late for a span, each time by another time.
    pub fn scatter(&self, span: Duration, most: Duration) {
        self.late(span, most, Delay::Scattered(most));
    }

    fn late(&self, span: Duration, most: Duration, delay: Delay) {
        self.records.note(Event::ListTroubled { span: span + most });
        let mut state = self.lock();
        (state.late_until, state.delay) = (Instant::now() + span, delay);
    }

    /// Is elsewhere from now on; the old addresses answer nobody.
    pub fn move_away(&self) -> std::io::Result<()> {
        self.records.note(Event::ListTroubled { span: MOVE_TIME });
        self.listen()
    }

    fn listen(&self) -> std::io::Result<()> {
        let gateways = self.lock().addresses.len();
        for gateway in 0..gateways {
            let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?);
            let address = socket.local_addr()?;
            self.lock().addresses[gateway] = address;
            let desk = Desk { resolver: self.clone(), gateway, address, socket };
            std::thread::spawn(move || desk.answer_queries());
        }
        Ok(())
    }
}

/// Where the resolver answers one gateway.
#[derive(Clone)]
struct Desk {
    resolver: Resolver,
    gateway: usize,
    address: SocketAddr,
    socket: Arc<UdpSocket>,
}

impl Desk {
    fn answer_queries(&self) {
        let mut bytes = [0; 1 << 10];
        while let Ok((size, from)) = self.socket.recv_from(&mut bytes) {
            let mut state = self.resolver.lock();
            if state.addresses[self.gateway] != self.address {
                return;
            }
            let now = Instant::now();
            if now < state.silent_until {
                continue;
            }
            let query = bytes[..size].to_vec();
            if now < state.bad_until && state.rng.random_bool(BAD_SHARE) {
                let answer = state.word_badly(&query);
                answer.iter().for_each(|answer| drop(self.socket.send_to(answer, from)));
                continue;
            }
            let delay = if now < state.late_until { state.delay } else { Delay::Fixed(Duration::ZERO) };
            match delay {
                Delay::Fixed(delay) => {
                    let Some(answer) = state.word(&query) else { continue };
                    drop(state);
                    self.after(delay, move |desk| desk.send(&answer, from));
                }
                Delay::Scattered(most) => {
                    let delay = state.rng.random_range(Duration::ZERO..=most);
                    drop(state);
                    self.after(delay, move |desk| {
                        let answer = desk.resolver.lock().word(&query);
                        answer.iter().for_each(|answer| desk.send(answer, from));
                    });
                }
            }
        }
    }

    /// Does something after a delay, at once where there is none.
    fn after(&self, delay: Duration, work: impl FnOnce(&Desk) + Send + 'static) {
        if delay.is_zero() {
            return work(self);
        }
        let desk = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            work(&desk);
        });
    }

    /// Sends an answer, unless the resolver has moved, and notes what is told by it.
    fn send(&self, answer: &Answer, to: SocketAddr) {
        let mut state = self.resolver.lock();
        if state.addresses[self.gateway] != self.address {
            return;
        }
        if state.told[self.gateway] < answer.serial {
            state.told[self.gateway] = answer.serial;
            let ready = answer.ready.clone();
            self.resolver.records.note(Event::ListTold { gateway: self.gateway, ready });
        }
        self.socket.send_to(&answer.bytes, to).ok();
    }
}

/// An answer and what it tells.
struct Answer {
    bytes: Vec<u8>,
    serial: u32,
    /// The engines that are listed as ready.
    ready: Vec<usize>,
}

impl State {
    /// Words the answer to a query by the present list.
    fn word(&self, query: &[u8]) -> Option<Answer> {
        let bytes = self.writer.answer_to(query, "east", "std")?;
        let ready = self.listed.iter().filter(|engine| !engine.draining);
        let numbers = ready.filter_map(|engine| engine.id.strip_prefix("e-")?.parse().ok());
        Some(Answer { bytes, serial: self.serial, ready: numbers.collect() })
    }

    /// A bad answer to a query: none, one of another id, with an error, cut short, or the list before the present one,
    /// under its own number or the next.
    fn word_badly(&mut self, query: &[u8]) -> Option<Vec<u8>> {
        let kind = self.rng.random_range(0..6);
        if kind >= 4 {
            let number = if kind == 4 { self.serial.saturating_sub(1) } else { self.serial + 1 };
            self.writer.tell(number, self.previous.clone());
            let answer = self.writer.answer_to(query, "east", "std");
            self.writer.tell(self.serial, self.listed.clone());
            return answer;
        }
        let mut answer = self.writer.answer_to(query, "east", "std")?;
        match kind {
            0 => return None,
            1 => answer[0] = !answer[0],
            2 => answer[ERROR_CODE.0] |= ERROR_CODE.1,
            _ => answer.truncate(answer.len() / 2),
        }
        Some(answer)
    }
}
