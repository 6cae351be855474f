//! The resolver of a soak: silent, late or elsewhere on order.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use violetward_standin::platform::{Listed, PlatformResolver};

use super::record::{Event, Records};

/// How long after a move, counted from SIGHUP, the list counts as told.
const MOVE_TIME: Duration = Duration::from_millis(4_000);

struct State {
    /// Words the answers.
    writer: PlatformResolver,
    serial: u32,
    listed: Vec<Listed>,
    address: SocketAddr,
    silent_until: Instant,
    slow_until: Instant,
    delay: Duration,
}

/// The resolver.
#[derive(Clone)]
pub struct Resolver {
    state: Arc<Mutex<State>>,
    records: Records,
}

impl Resolver {
    /// Starts it with a list.
    pub fn start(listed: Vec<Listed>, records: &Records) -> std::io::Result<Resolver> {
        let now = Instant::now();
        let writer = PlatformResolver::start("east", "std")?;
        writer.tell(1, listed.clone());
        let address = writer.address.into();
        let state = State {
            writer,
            serial: 1,
            listed,
            address,
            silent_until: now,
            slow_until: now,
            delay: Duration::ZERO,
        };
        let resolver = Resolver { state: Arc::new(Mutex::new(state)), records: records.clone() };
        resolver.listen()?;
        Ok(resolver)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it is now.
    pub fn address(&self) -> SocketAddr {
        self.lock().address
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
        state.listed = listed;
    }

    /// Says nothing for a span.
    pub fn silent(&self, span: Duration) {
        self.records.note(Event::ListTroubled { span });
        self.lock().silent_until = Instant::now() + span;
    }

    /// Answers late for a span.
    pub fn slow(&self, span: Duration, delay: Duration) {
        self.records.note(Event::ListTroubled { span: span + delay });
        let mut state = self.lock();
        (state.slow_until, state.delay) = (Instant::now() + span, delay);
    }

    /// Is elsewhere from now on; the old address answers nobody.
    pub fn move_away(&self) -> std::io::Result<()> {
        self.records.note(Event::ListTroubled { span: MOVE_TIME });
        self.listen()
    }

    fn listen(&self) -> std::io::Result<()> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = socket.local_addr()?;
        self.lock().address = address;
        let resolver = self.clone();
        std::thread::spawn(move || resolver.answer(&socket, address));
        Ok(())
    }

    fn answer(&self, socket: &UdpSocket, address: SocketAddr) {
        let mut bytes = [0; 1 << 10];
        while let Ok((size, from)) = socket.recv_from(&mut bytes) {
            let (now, state) = (Instant::now(), self.lock());
            if state.address != address {
                return;
            }
            if now < state.silent_until {
                continue;
            }
            let Some(answer) = state.writer.answer_to(&bytes[..size], "east", "std") else { continue };
            let delay = if now < state.slow_until { state.delay } else { Duration::ZERO };
            drop(state);
            if delay.is_zero() {
                socket.send_to(&answer, from).ok();
            } else if let Ok(socket) = socket.try_clone() {
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    socket.send_to(&answer, from).ok();
                });
            }
        }
    }
}
