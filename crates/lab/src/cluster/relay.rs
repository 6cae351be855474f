//! Relays on loopback: a door for each directed pair of gateways, and one between each gateway and each engine. They lose,
//! delay, copy, spoil and cut, one way or both, from a seed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::costs::Traffic;
use super::plan::{Weather, CALM};

/// Datagrams that a door remembers, to send them again on order.
const REMEMBERED: usize = 16;

/// Doors among gateways, for datagrams and for streams on the same port. Gateway `a` sends to its door for `b`; what passes leaves `b`'s door for `a`, so that an answer to
/// where a datagram came from takes the way back.
pub struct Doors {
    sockets: Vec<Vec<Option<Async<UdpSocket>>>>,
    streams: Vec<Vec<Option<Async<TcpListener>>>>,
    targets: RefCell<Vec<Option<SocketAddr>>>,
    cut: RefCell<Vec<Vec<bool>>>,
    weather: Cell<Weather>,
    dice: RefCell<StdRng>,
    seen: RefCell<VecDeque<Vec<u8>>>,
    /// Datagrams passed, lost by order, copied and spoilt.
    pub counts: Cell<[u64; 4]>,
    /// What has passed in all.
    pub traffic: Cell<Traffic>,
}

type Door = (Async<UdpSocket>, Async<TcpListener>);

fn bind() -> std::io::Result<Door> {
    let mut tries = 0;
    loop {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        tries += 1;
        match Async::<TcpListener>::bind(socket.get_ref().local_addr()?) {
            Ok(listener) => return Ok((socket, listener)),
            // The port is taken for streams.
            Err(_) if tries < 20 => {}
            Err(e) => return Err(e),
        }
    }
}

impl Doors {
    /// Doors among `count` gateways.
    ///
    /// # Errors
    /// If there are no sockets left.
    pub fn open(
        count: usize,
        seed: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<Rc<Doors>> {
        let (mut sockets, mut streams) = (Vec::new(), Vec::new());
        for a in 0..count {
            let row: std::io::Result<Vec<_>> = (0..count).map(|b| (a != b).then(bind).transpose()).collect();
            let (row, listeners) = row?.into_iter().map(Option::unzip).unzip();
            sockets.push(row);
            streams.push(listeners);
        }
        let doors = Rc::new(Doors {
            sockets,
            streams,
            targets: RefCell::new(vec![None; count]),
            cut: RefCell::new(vec![vec![false; count]; count]),
            weather: Cell::new(CALM),
            dice: RefCell::new(StdRng::seed_from_u64(seed)),
            seen: RefCell::default(),
            counts: Cell::default(),
            traffic: Cell::default(),
        });
        for a in 0..count {
            for b in (0..count).filter(|&b| b != a) {
                executor.spawn(doors.clone().pass(a, b, executor.clone())).detach();
                executor.spawn(doors.clone().accept(a, b, executor.clone())).detach();
            }
        }
        Ok(doors)
    }

    /// The address of `a`'s door for `b`.
    ///
    /// # Errors
    /// The socket's.
    pub fn address(&self, a: usize, b: usize) -> std::io::Result<SocketAddr> {
        let door = self.sockets[a][b].as_ref().ok_or_else(|| std::io::Error::other("no door to itself"))?;
        door.get_ref().local_addr()
    }

    /// Where a gateway takes datagrams now.
    pub fn lead_to(&self, gateway: usize, address: Option<SocketAddr>) {
        self.targets.borrow_mut()[gateway] = address;
    }

    /// Cuts or mends one direction.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.cut.borrow_mut()[from][to] = cut;
    }

    /// Mends all.
    pub fn heal(&self) {
        self.cut.borrow_mut().iter_mut().flatten().for_each(|cut| *cut = false);
    }

    /// Whether anything passes from one to the other.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        !self.cut.borrow()[from][to]
    }

    /// All links are like this.
    pub fn set_weather(&self, weather: Weather) {
        self.weather.set(weather);
    }

    /// Some datagrams that have passed.
    pub fn remembered(&self) -> Vec<Vec<u8>> {
        self.seen.borrow().iter().cloned().collect()
    }

    fn count(&self, which: usize) {
        let mut counts = self.counts.get();
        counts[which] += 1;
        self.counts.set(counts);
    }

    fn tally(&self, add: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        add(&mut traffic);
        self.traffic.set(traffic);
    }

    async fn pass(self: Rc<Self>, a: usize, b: usize, executor: Rc<LocalExecutor<'static>>) {
        let Some(door) = &self.sockets[a][b] else { return };
        let mut bytes = vec![0; 2048];
        loop {
            let Ok((size, _)) = door.recv_from(&mut bytes).await else { continue };
            let weather = self.weather.get();
            let (lost, copied, spoilt, at, wait) = {
                let mut dice = self.dice.borrow_mut();
                let mut hit = |share: f64| share > 0.0 && dice.random_bool(share.clamp(0.0, 1.0));
                let (lost, copied, spoilt) = (hit(weather.loss), hit(weather.copies), hit(weather.spoilt));
                (lost, copied, spoilt, dice.random_range(0..size.max(1)), dice.random_range(0.0..1.0))
            };
            if lost || !self.passes(a, b) {
                self.count(1);
                continue;
            }
            let mut datagram = bytes[..size].to_vec();
            {
                let mut seen = self.seen.borrow_mut();
                if seen.len() >= REMEMBERED {
                    seen.pop_front();
                }
                seen.push_back(datagram.clone());
            }
            if spoilt {
                datagram[at] ^= 1;
                self.count(3);
            }
            self.count(0);
            self.tally(|t| {
                (t.datagrams, t.datagram_octets) = (t.datagrams + 1, t.datagram_octets + size as u64)
            });
            if copied {
                self.count(2);
                self.deliver(a, b, &datagram);
            }
            if weather.delay.is_zero() {
                self.deliver(a, b, &datagram);
            } else {
                let doors = self.clone();
                let span = weather.delay.mul_f64(wait);
                executor
                    .spawn(async move {
                        violetward_net::sleep(span).await;
                        doors.deliver(a, b, &datagram);
                    })
                    .detach();
            }
        }
    }

    /// Streams of `a` to `b`: while a direction is cut, nothing passes that way and nothing is said.
    async fn accept(self: Rc<Self>, a: usize, b: usize, executor: Rc<LocalExecutor<'static>>) {
        let Some(door) = &self.streams[a][b] else { return };
        loop {
            let Ok((near, _)) = door.accept().await else { continue };
            let doors = self.clone();
            executor
                .spawn(async move {
                    let ways = || doors.passes(a, b) && doors.passes(b, a);
                    wait_for(ways).await;
                    let target = doors.targets.borrow()[b];
                    let Some(target) = target else { return };
                    let Ok(far) = Async::<TcpStream>::connect(target).await else { return };
                    near.get_ref().set_nodelay(true).ok();
                    far.get_ref().set_nodelay(true).ok();
                    doors.tally(|t| t.streams += 1);
                    let passed = |octets| doors.tally(|t| t.stream_octets += octets as u64);
                    let there = copy(&near, &far, || doors.passes(a, b), || false, passed);
                    future::zip(there, copy(&far, &near, || doors.passes(b, a), || false, passed)).await;
                })
                .detach();
        }
    }

    fn deliver(&self, a: usize, b: usize, datagram: &[u8]) {
        let target = self.targets.borrow()[b];
        if let (Some(target), Some(back)) = (target, &self.sockets[b][a]) {
            // Nobody there, or a full buffer: lost, as on any network.
            back.get_ref().send_to(datagram, target).ok();
        }
    }
}

/// A way between a gateway and an engine, or between clients and a gateway. While it is cut nothing passes and nothing is said: what is open stays open and
/// silent.
pub struct Way {
    /// Where the gateway connects to.
    pub address: SocketAddr,
    target: Cell<SocketAddr>,
    cut: Cell<bool>,
    /// What was opened before a later one has ended.
    state: Cell<u64>,
}

impl Way {
    /// Opens a way to an engine.
    ///
    /// # Errors
    /// If there are no sockets left.
    pub fn open(target: SocketAddr, executor: &Rc<LocalExecutor<'static>>) -> std::io::Result<Rc<Way>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let way =
            Rc::new(Way { address, target: Cell::new(target), cut: Cell::new(false), state: Cell::new(0) });
        executor.spawn(way.clone().accept(listener, executor.clone())).detach();
        Ok(way)
    }

    /// The engine is there now.
    pub fn lead_to(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Cuts or mends it.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Mends it as a path whose state is lost: what was open over the cut has ended, and passes nothing on.
    pub fn renew(&self) {
        self.state.set(self.state.get() + 1);
        self.cut.set(false);
    }

    async fn accept(self: Rc<Self>, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let Ok((near, _)) = listener.accept().await else { continue };
            let way = self.clone();
            executor
                .spawn(async move {
                    let state = way.state.get();
                    let open = || !way.cut.get();
                    let over = || way.state.get() != state;
                    wait_for(open).await;
                    if over() {
                        return;
                    }
                    // An engine that refuses is passed on as a connection that ends at once.
                    let Ok(far) = Async::<TcpStream>::connect(way.target.get()).await else { return };
                    near.get_ref().set_nodelay(true).ok();
                    far.get_ref().set_nodelay(true).ok();
                    let there = copy(&near, &far, open, over, |_| {});
                    future::zip(there, copy(&far, &near, open, over, |_| {})).await;
                })
                .detach();
        }
    }
}

async fn wait_for(open: impl Fn() -> bool) {
    while !open() {
        violetward_net::sleep(Duration::from_millis(10)).await;
    }
}

async fn copy(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    open: impl Fn() -> bool,
    over: impl Fn() -> bool,
    passed: impl Fn(usize),
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut bytes).await.unwrap_or(0);
        wait_for(&open).await;
        if read == 0 || over() || to.write_all(&bytes[..read]).await.is_err() {
            // Either end's close is both ends'.
            to.get_ref().shutdown(std::net::Shutdown::Both).ok();
            from.get_ref().shutdown(std::net::Shutdown::Both).ok();
            return;
        }
        passed(read);
    }
}
