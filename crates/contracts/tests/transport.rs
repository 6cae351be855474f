//! Every transport under the contracts, and broken ones that each contract must find.

mod broken;

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use broken::{Fault, Plain};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use violetward_contracts::transport::{
    forged_messages, forged_records, messages, messages_to_a_slow_reader, records, records_to_a_slow_reader,
    Ground,
};
use violetward_net::{sleep, Clock};
use violetward_transport::session::{Identity, Timeouts};
use violetward_transport::sim::{Interceptor, LinkConditions, Network};
use violetward_transport::sockets::{accept, bind, dial, Datagrams, Endpoint, Mailbox, Stream};
use violetward_transport::{local, sim, Key, Keys, Records, SendError};

fn ring() -> Keys {
    Keys::new(vec![Key { name: "k".into(), secret: b"a secret of the contracts".to_vec() }]).expect("a ring")
}

fn names() -> [String; 3] {
    [0, 1, 2].map(|n| format!("g{n}"))
}

struct Local(local::Hub, Vec<local::Mailbox>);

fn local(_: u64) -> Local {
    let hub = local::Hub::default();
    let posts = names().iter().map(|name| hub.mailbox(name)).collect();
    Local(hub, posts)
}

impl Ground for Local {
    type Post = local::Mailbox;
    type Stream = local::Stream;

    fn post(&mut self, n: usize) -> &mut local::Mailbox {
        &mut self.1[n]
    }

    fn connect(&mut self, from: usize, to: usize) -> Result<(local::Stream, local::Stream), SendError> {
        self.0.connect(&format!("g{from}"), &format!("g{to}"))
    }

    fn pass(&mut self) {}
}

struct Sim(Network, Vec<sim::Mailbox>, LinkConditions);

fn under(weather: LinkConditions) -> impl Fn(u64) -> Sim {
    move |seed| {
        let net = Network::new(seed, weather);
        let posts = names().iter().map(|name| net.mailbox(name, &ring())).collect();
        Sim(net, posts, weather)
    }
}

/// Late, twice and out of order, but never lost.
const CALM: LinkConditions =
    LinkConditions { loss: 0.0, delay: (100, 30_000), duplicates: 0.2, corrupted: 0.0 };
const ROUGH: LinkConditions =
    LinkConditions { loss: 0.2, delay: (100, 30_000), duplicates: 0.2, corrupted: 0.2 };

impl Ground for Sim {
    type Post = sim::Mailbox;
    type Stream = sim::Stream;

    fn post(&mut self, n: usize) -> &mut sim::Mailbox {
        &mut self.1[n]
    }

    fn connect(&mut self, from: usize, to: usize) -> Result<(sim::Stream, sim::Stream), SendError> {
        let (near, far) = self.0.connect(&format!("g{from}"), &format!("g{to}"), Timeouts::default())?;
        for _ in 0..100 {
            self.0.run(50_000);
            if near.is_open() && far.is_open() {
                return Ok((near, far));
            }
        }
        Err(SendError::Closed)
    }

    fn pass(&mut self) {
        self.0.run(50_000);
    }

    fn meddle(&mut self, meddler: Option<Interceptor>) -> bool {
        self.0.set_interceptor(meddler);
        true
    }

    fn inject(&mut self, to: usize, bytes: Vec<u8>) -> bool {
        self.0.inject(&format!("g{to}"), bytes);
        true
    }

    fn loses(&self) -> bool {
        self.2.loss > 0.0
    }
}

type Shared = Rc<RefCell<Option<Interceptor>>>;

fn meddle(meddler: &Shared, from: &str, to: &str, bytes: &mut Vec<u8>) {
    if let Some(meddle) = &mut *meddler.borrow_mut() {
        meddle(from, to, bytes);
    }
}

/// Sockets on loopback, behind relays in which somebody may stand.
struct Sockets {
    executor: Rc<LocalExecutor<'static>>,
    gateways: Vec<(Rc<Endpoint>, Mailbox, SocketAddr)>,
    meddler: Shared,
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn sockets(_: u64) -> Sockets {
    let executor = Rc::new(LocalExecutor::new());
    let meddler = Shared::default();
    let patience = Timeouts { handshake: 200_000, keepalive: 100_000, idle: 2_000_000 };
    let (mut gateways, mut relays) = (Vec::new(), Vec::new());
    for name in names() {
        let me = Identity { name: name.clone(), incarnation: 1 };
        let station = Endpoint::new(executor.clone(), Clock::new(), me, ring(), patience);
        let (datagrams, _) = bind(loopback()).expect("two sockets");
        let to = datagrams.address().expect("its address");
        let (relay, _) = bind(loopback()).expect("two sockets");
        relays.push((name.clone(), relay.address().expect("its address")));
        executor.spawn(relay_messages(relay, to, name, meddler.clone())).detach();
        gateways.push((station.clone(), Mailbox::start(&station, datagrams), to));
    }
    for (name, relay) in &relays {
        gateways.iter_mut().for_each(|gateway| gateway.1.set_address(name, *relay).expect("room"));
    }
    Sockets { executor, gateways, meddler }
}

async fn relay_messages(relay: Datagrams, to: SocketAddr, name: String, meddler: Shared) {
    let mut bytes = vec![0; 2_000];
    loop {
        let mut bytes = relay.next(&mut bytes).await.1.to_vec();
        meddle(&meddler, "", &name, &mut bytes);
        relay.send(to, &bytes);
    }
}

async fn relay_stream(relay: Async<TcpListener>, to: SocketAddr, names: [String; 2], meddler: Shared) {
    let copy = |from: Rc<Async<TcpStream>>, to: Rc<Async<TcpStream>>, names: [String; 2]| {
        let meddler = meddler.clone();
        async move {
            let mut piece = vec![0; 64 << 10];
            while let Ok(size @ 1..) = (&*from).read(&mut piece).await {
                let mut bytes = piece[..size].to_vec();
                meddle(&meddler, &names[0], &names[1], &mut bytes);
                if (&*to).write_all(&bytes).await.is_err() {
                    break;
                }
            }
        }
    };
    let Ok((near, _)) = relay.accept().await else { return };
    let Ok(far) = Async::<TcpStream>::connect(to).await else { return };
    let (near, far, [from, to]) = (Rc::new(near), Rc::new(far), names);
    let back = copy(far.clone(), near.clone(), [to.clone(), from.clone()]);
    future::or(copy(near, far, [from, to]), back).await;
}

impl Sockets {
    fn run<T>(&self, work: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(work))
    }
}

impl Ground for Sockets {
    type Post = Mailbox;
    type Stream = Stream;

    fn post(&mut self, n: usize) -> &mut Mailbox {
        &mut self.gateways[n].1
    }

    fn connect(&mut self, from: usize, to: usize) -> Result<(Stream, Stream), SendError> {
        let listen = || Async::<TcpListener>::bind(loopback()).expect("a port");
        let (relay, listener) = (listen(), listen());
        let address = |of: &Async<TcpListener>| of.get_ref().local_addr().expect("its address");
        let (by, at) = (address(&relay), address(&listener));
        let names = [from, to].map(|n| format!("g{n}"));
        self.executor.spawn(relay_stream(relay, at, names, self.meddler.clone())).detach();
        let accepted = async {
            let (socket, _) = listener.accept().await.expect("a connection");
            accept(&self.gateways[to].0, socket).await
        };
        match self.run(future::zip(dial(&self.gateways[from].0, by), accepted)) {
            (Ok(near), Ok(far)) => Ok((near, far)),
            _ => Err(SendError::Closed),
        }
    }

    fn pass(&mut self) {
        self.run(sleep(Duration::from_millis(2)));
    }

    fn meddle(&mut self, meddler: Option<Interceptor>) -> bool {
        *self.meddler.borrow_mut() = meddler;
        true
    }

    fn inject(&mut self, to: usize, bytes: Vec<u8>) -> bool {
        let outside = UdpSocket::bind(loopback()).expect("a port");
        outside.send_to(&bytes, self.gateways[to].2).is_ok()
    }
}

#[test]
fn messages_within_a_process() {
    messages(200, local).unwrap();
    messages_to_a_slow_reader(local).unwrap();
}

#[test]
fn messages_on_a_simulated_network() {
    for weather in [CALM, ROUGH] {
        messages(100, under(weather)).unwrap();
        messages_to_a_slow_reader(under(weather)).unwrap();
        forged_messages(100, under(weather)).unwrap();
    }
}

#[test]
fn messages_over_datagrams() {
    messages(12, sockets).unwrap();
    messages_to_a_slow_reader(sockets).unwrap();
    forged_messages(10, sockets).unwrap();
}

#[test]
fn streams_within_a_process() {
    records(60, local).unwrap();
    records_to_a_slow_reader(local).unwrap();
}

#[test]
fn streams_on_a_simulated_network() {
    for weather in [CALM, ROUGH] {
        records(30, under(weather)).unwrap();
        records_to_a_slow_reader(under(weather)).unwrap();
        forged_records(60, under(weather)).unwrap();
    }
}

#[test]
fn streams_over_sockets() {
    records(8, sockets).unwrap();
    records_to_a_slow_reader(sockets).unwrap();
    forged_records(24, sockets).unwrap();
}

/// What a contract says of a broken implementation.
fn found(broken: Result<(), String>, fault: Fault) {
    let why = broken.expect_err(&format!("{fault:?} is not found"));
    println!("{fault:?}: {why}");
}

#[test]
fn contracts_find_what_is_broken_of_messages() {
    let plain = |fault| move |_| Plain::new(fault);
    messages(100, plain(Fault::None)).unwrap();
    messages_to_a_slow_reader(plain(Fault::None)).unwrap();
    for fault in [Fault::Alters, Fault::WrongSender, Fault::TakesTooLong, Fault::Loses, Fault::Misleads] {
        found(messages(100, plain(fault)), fault);
    }
    for fault in [Fault::Unbounded, Fault::Blocks, Fault::LetsGoNewest] {
        found(messages_to_a_slow_reader(plain(fault)), fault);
    }
    // It signs nothing.
    found(forged_messages(100, plain(Fault::None)), Fault::None);
}

#[test]
fn contracts_find_what_is_broken_of_streams() {
    let plain = |fault| move |_| Plain::new(fault);
    records(30, plain(Fault::None)).unwrap();
    records_to_a_slow_reader(plain(Fault::None)).unwrap();
    for fault in [
        Fault::Alters,
        Fault::WrongSender,
        Fault::TakesTooLong,
        Fault::Loses,
        Fault::Doubles,
        Fault::Reorders,
        Fault::EndUntold,
    ] {
        found(records(30, plain(fault)), fault);
    }
    for fault in [Fault::Unbounded, Fault::Blocks] {
        found(records_to_a_slow_reader(plain(fault)), fault);
    }
    found(forged_records(60, plain(Fault::None)), Fault::None);
}

#[test]
fn a_stream_is_told_by_the_name_that_its_end_has_proved() {
    let (near, far) = sockets(0).connect(2, 0).expect("a stream");
    assert_eq!((near.peer().name.as_str(), Records::peer(&far)), ("g0", "g2"));
}
