//! A gateway in this process, a client of it, and engines and a resolver whose every byte the test writes.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future;
use violetward_platform::config;
use violetward_platform::host::Host;
use violetward_platform::resolver::Resolver;
use violetward_platform::service;
use violetward_platform::shutdown;
use violetward_resp::{write_array, Limits, Reader};
use violetward_standin::platform::{hold_listener, page, release_listener, reset, Listed, PlatformResolver};
use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};

/// How long anything may take that has to happen; nothing that goes right waits for it.
pub const SOON: Duration = Duration::from_secs(20);

/// How long nothing has to happen for it to count as over.
pub const QUIET: Duration = Duration::from_millis(300);

/// The fields of a good end with one page.
pub const GOOD: &str = "batches=1,cpu=20.5,used=64.0,l=util:0.25";

/// How often a connection's reader looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(2);

/// What a connection's reader is to do.
const READS: u8 = 0;
const STOPPED: u8 = 1;
const RESETS: u8 = 2;

/// What happens at an engine, with the number of the connection, counted from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// It was taken.
    Opened(usize),
    /// A whole command came.
    Command(usize, Vec<String>),
    /// It has ended from the gateway's side.
    Closed(usize),
}

/// An engine that says what the test tells it to say.
pub struct ScriptedEngine {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Receiver<Seen>,
    connections: Arc<Mutex<HashMap<usize, Arc<Connection>>>>,
    open: Arc<AtomicUsize>,
    held: Mutex<Option<Held>>,
}

/// What an engine needs that accepts nothing yet.
struct Held {
    listener: TcpListener,
    /// Connections that fill the listener's queue.
    fill: Vec<TcpStream>,
    tell: Sender<Seen>,
}

struct Connection {
    socket: TcpStream,
    reader: AtomicU8,
}

impl ScriptedEngine {
    pub fn start() -> ScriptedEngine {
        let engine = ScriptedEngine::new(|_| Vec::new());
        engine.release();
        engine
    }

    /// One to which no connection comes up until it is released.
    pub fn held() -> ScriptedEngine {
        ScriptedEngine::new(|listener| hold_listener(listener).unwrap())
    }

    fn new(hold: impl FnOnce(&TcpListener) -> Vec<TcpStream>) -> ScriptedEngine {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let fill = hold(&listener);
        let (tell, seen) = channel();
        ScriptedEngine {
            address,
            seen,
            connections: Arc::default(),
            open: Arc::default(),
            held: Mutex::new(Some(Held { listener, fill, tell })),
        }
    }

    /// Connections come up from now on.
    pub fn release(&self) {
        let Held { listener, fill, tell } = self.held.lock().unwrap().take().expect("a held engine");
        // Those that filled the queue are not counted.
        fill.iter().for_each(|_| drop(listener.accept().unwrap()));
        release_listener(&listener).unwrap();
        let (taken, counted) = (self.connections.clone(), self.open.clone());
        std::thread::spawn(move || {
            for (number, socket) in listener.incoming().flatten().enumerate() {
                socket.set_read_timeout(Some(LOOK)).unwrap();
                let connection = Arc::new(Connection { socket, reader: AtomicU8::new(READS) });
                taken.lock().unwrap().insert(number, connection.clone());
                let (tell, counted) = (tell.clone(), counted.clone());
                counted.fetch_add(1, Ordering::Relaxed);
                tell.send(Seen::Opened(number)).ok();
                std::thread::spawn(move || {
                    read_commands(number, &connection, &tell);
                    counted.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }

    /// What happens next.
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(SOON).expect("something that happens at the engine")
    }

    /// The next command with that word, its connection and its words; what comes before is passed over.
    pub fn command(&self, word: &str) -> (usize, Vec<String>) {
        loop {
            match self.next() {
                Seen::Command(number, words) if words[0] == word => return (number, words),
                _ => {}
            }
        }
    }

    /// The ids of the requests that have been sent up to now and were not looked at yet.
    pub fn fetches(&self) -> Vec<String> {
        // What the gateway wrote before its client was answered may still be on its way to the reader.
        let seen = std::iter::from_fn(|| self.seen.recv_timeout(QUIET).ok());
        let fetch = |seen| match seen {
            Seen::Command(_, words) if words[0] == "fetch" => Some(words[1].clone()),
            _ => None,
        };
        seen.filter_map(fetch).collect()
    }

    /// Waits until the gateway has ended a connection.
    pub fn closed(&self, number: usize) {
        while self.next() != Seen::Closed(number) {}
    }

    /// Writes bytes on a connection.
    pub fn write(&self, number: usize, bytes: &[u8]) {
        let connection = self.connections.lock().unwrap()[&number].clone();
        (&connection.socket).write_all(bytes).unwrap();
    }

    /// Writes an answer on a connection.
    pub fn say(&self, number: usize, words: [&str; 4]) {
        self.write(number, &answer(words));
    }

    /// Writes a whole result of one page.
    pub fn serve(&self, number: usize, id: &str) {
        self.say(number, [id, "ok", GOOD, &page(id, 0)]);
    }

    /// Connections that neither side has ended, as far as its readers have seen.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Resets a connection; the reset is on its way when this returns.
    pub fn reset(&self, number: usize) {
        let mut connection = self.connections.lock().unwrap().remove(&number).unwrap();
        connection.reader.store(RESETS, Ordering::Relaxed);
        // The reader holds the same socket: what it lets go of last is closed.
        let connection = loop {
            match Arc::try_unwrap(connection) {
                Ok(connection) => break connection,
                Err(shared) => connection = shared,
            }
            std::thread::sleep(LOOK);
        };
        reset(connection.socket);
    }

    /// Reads nothing more of a connection, or goes on.
    pub fn reads(&self, number: usize, reads: bool) {
        let connections = self.connections.lock().unwrap();
        connections[&number].reader.store(if reads { READS } else { STOPPED }, Ordering::Relaxed);
    }
}

/// An answer's bytes.
pub fn answer(words: [&str; 4]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_array(&mut bytes, &words.map(str::as_bytes));
    bytes
}

fn read_commands(number: usize, connection: &Connection, tell: &Sender<Seen>) {
    let mut reader =
        Reader::new(Limits { max_string_bytes: 1 << 20, max_total_bytes: 1 << 21, max_strings: 16 });
    let mut bytes = [0; 16 << 10];
    loop {
        match connection.reader.load(Ordering::Relaxed) {
            READS => {}
            STOPPED => {
                std::thread::sleep(LOOK);
                continue;
            }
            _ => return,
        }
        match (&connection.socket).read(&mut bytes) {
            Ok(read) if read > 0 => reader.feed(&bytes[..read]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            _ => break,
        }
        while let Some(command) = reader.next_array().unwrap() {
            let words = command.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
            tell.send(Seen::Command(number, words)).ok();
        }
    }
    tell.send(Seen::Closed(number)).ok();
}

/// A gateway on a thread of its own; it ends with the process.
pub struct Gateway {
    /// Where clients connect.
    pub address: SocketAddr,
    moves: async_channel::Sender<SocketAddr>,
    orders: async_channel::Sender<Order>,
    moved: Receiver<()>,
}

/// Something that is done on a gateway's own thread, between two turns of its tasks.
type Order = Box<dyn FnOnce(&Rc<Host>) + Send>;

impl Gateway {
    /// Starts a gateway that knows these engines as `e-0`, `e-1` and so on, with changes made to its configuration.
    pub fn start(resolver: SocketAddr, engines: &[SocketAddr], changes: &[(&str, &str)]) -> Gateway {
        let names: Vec<String> = (0..engines.len()).map(|n| format!("e-{n}")).collect();
        let known: Vec<_> = names.iter().zip(engines).map(|(n, a)| (n.as_str(), a.to_string())).collect();
        let mut text = super::config(&resolver.to_string(), &known);
        for (from, to) in changes {
            assert!(text.contains(from), "{from} is not in the configuration");
            text = text.replace(from, to);
        }
        let (tell, told) = channel();
        let (moves, moving) = async_channel::unbounded();
        let (tell_moved, moved) = channel();
        let (orders, ordered) = async_channel::unbounded::<Order>();
        std::thread::spawn(move || {
            let config = config::parse(&text).unwrap();
            let executor = Rc::new(LocalExecutor::new());
            let follow = Resolver::new(config.resolver);
            let (host, address) = service::start(config, &executor, &follow).unwrap();
            tell.send(address).unwrap();
            let carry_out = async {
                while let Ok(order) = ordered.recv().await {
                    order(&host);
                }
            };
            let follow_moves = async {
                while let Ok(address) = moving.recv().await {
                    follow.set_address(address);
                    tell_moved.send(()).ok();
                }
            };
            async_io::block_on(executor.run(future::zip(carry_out, follow_moves)));
        });
        Gateway { address: told.recv().unwrap(), moves, moved, orders }
    }

    /// Does something on the gateway's thread: none of its tasks gets a turn meanwhile.
    pub fn on_its_thread<T: Send + 'static>(&self, act: impl FnOnce(&Rc<Host>) -> T + Send + 'static) -> T {
        let (tell, told) = channel();
        let order: Order = Box::new(move |host| tell.send(act(host)).unwrap());
        self.orders.try_send(order).unwrap();
        told.recv_timeout(SOON).unwrap()
    }

    /// Tells it to end, as SIGTERM does; what is received tells that it has.
    pub fn stop(&self) -> Receiver<()> {
        let (tell, told) = channel();
        self.on_its_thread(move |host| {
            let stopped = host.clone();
            host.spawn(async move {
                shutdown::stop(&stopped).await;
                tell.send(()).ok();
            });
        });
        told
    }

    /// The resolver is elsewhere from now on; the gateway knows it when this returns.
    pub fn resolver_moved(&self, address: SocketAddr) {
        self.moves.try_send(address).unwrap();
        self.moved.recv_timeout(SOON).unwrap();
    }
}

/// A resolver that answers what the test tells it to answer.
pub struct ScriptedResolver {
    /// Where it is asked.
    pub address: SocketAddr,
    socket: UdpSocket,
    /// Words the answers; nobody asks it.
    writer: PlatformResolver,
}

/// A question for the list.
pub struct Question {
    bytes: Vec<u8>,
    from: SocketAddr,
}

impl ScriptedResolver {
    pub fn start() -> ScriptedResolver {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        socket.set_read_timeout(Some(SOON)).unwrap();
        let address = socket.local_addr().unwrap();
        ScriptedResolver { address, socket, writer: PlatformResolver::start("east", "std").unwrap() }
    }

    /// The next question.
    pub fn question(&self) -> Question {
        let mut bytes = vec![0; 1 << 10];
        let (size, from) = self.socket.recv_from(&mut bytes).expect("a question for the list");
        bytes.truncate(size);
        Question { bytes, from }
    }

    /// The answer to a question: engines with their address and whether they drain, as `e-0`, `e-1` and so on.
    pub fn list(&self, question: &Question, serial: u32, engines: &[(SocketAddr, bool)]) -> Vec<u8> {
        let names: Vec<String> = (0..engines.len()).map(|n| format!("e-{n}")).collect();
        let named: Vec<_> = names.iter().zip(engines).map(|(n, &(a, d))| (n.as_str(), a, d)).collect();
        self.list_named(question, serial, &named)
    }

    /// The same with names of the engines' own.
    pub fn list_named(
        &self,
        question: &Question,
        serial: u32,
        engines: &[(&str, SocketAddr, bool)],
    ) -> Vec<u8> {
        let listed = engines.iter().map(|&(id, address, draining)| {
            let SocketAddr::V4(address) = address else { panic!("{address} is not IPv4") };
            Listed { id: id.to_owned(), address, draining, started_ms: 0 }
        });
        self.answer(question, serial, listed.collect())
    }

    /// The answer to a question with a list.
    pub fn answer(&self, question: &Question, serial: u32, engines: Vec<Listed>) -> Vec<u8> {
        self.writer.tell(serial, engines);
        self.writer.answer_to(&question.bytes, "east", "std").unwrap()
    }

    /// Has a list taken by the gateway.
    pub fn publish(&self, serial: u32, engines: &[(SocketAddr, bool)]) {
        self.publish_as(|question| self.list(question, serial, engines));
    }

    /// Has an answer taken by the gateway. One that it took is followed by a question from the same socket; one that came
    /// too late, by a question from a new one.
    pub fn publish_as(&self, answer: impl Fn(&Question) -> Vec<u8>) {
        let mut asked = self.question();
        loop {
            self.send(&asked, &answer(&asked));
            let next = self.question();
            if next.from == asked.from {
                return;
            }
            asked = next;
        }
    }

    /// Sends bytes to who asked.
    pub fn send(&self, question: &Question, bytes: &[u8]) {
        self.socket.send_to(bytes, question.from).unwrap();
    }
}

/// How a request ended for its client.
#[derive(Debug, PartialEq, Eq)]
pub enum Got {
    Served(String),
    Refused,
    Failed,
    Exception,
    Closed,
}

/// A client of a gateway.
pub struct Client {
    socket: TcpStream,
    frames: FrameDecoder,
    seqid: i32,
}

impl Client {
    pub fn connect(gateway: &Gateway) -> Client {
        Client::over(TcpStream::connect(gateway.address).unwrap())
    }

    /// A client on a connection that is there.
    pub fn over(socket: TcpStream) -> Client {
        socket.set_read_timeout(Some(SOON)).unwrap();
        Client { socket, frames: FrameDecoder::new(1 << 20), seqid: 0 }
    }

    /// Sends a request and does not wait; its number.
    pub fn send(&mut self, id: &str, class: &str, wait: u32) -> i32 {
        let bytes = self.request(id, class, wait);
        self.socket.write_all(&bytes).unwrap();
        self.seqid
    }

    /// Sends requests in one write and does not wait.
    pub fn send_burst(&mut self, ids: impl Iterator<Item = String>, class: &str, wait: u32) {
        let bytes: Vec<u8> = ids.flat_map(|id| self.request(&id, class, wait)).collect();
        self.socket.write_all(&bytes).unwrap();
    }

    /// The bytes of the next request; they are not sent.
    pub fn request(&mut self, id: &str, class: &str, wait: u32) -> Vec<u8> {
        self.seqid += 1;
        let wait = wait.to_string();
        let fields = [("id", id), ("class", class), ("wait", &wait), ("cost", "20.0"), ("heap_mb", "64")];
        let mut writer = Writer::message("dispatch", MessageType::Call, self.seqid);
        writer.string_map(1, fields.into_iter());
        writer.binary(2, b"pages 1");
        writer.end_struct();
        writer.into_frame()
    }

    /// A call of a method that does not exist; it is answered by an exception.
    pub fn unknown_method(&mut self) -> Vec<u8> {
        self.seqid += 1;
        let mut writer = Writer::message("drop", MessageType::Call, self.seqid);
        writer.end_struct();
        writer.into_frame()
    }

    /// Its socket, for bytes that a client would not send.
    pub fn socket(&self) -> TcpStream {
        self.socket.try_clone().unwrap()
    }

    /// What the connection ends with, all else read away: nothing, or a reset.
    pub fn end(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; 8 << 10];
        while self.socket.read(&mut bytes)? > 0 {}
        Ok(())
    }

    /// Takes a request back.
    pub fn cancel(&mut self, seqid: i32) {
        let mut writer = Writer::message("cancelRequest", MessageType::Oneway, 0);
        writer.i32(1, seqid);
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
    }

    /// Returns once the gateway has taken the connection and looked at all that was sent on it.
    pub fn settle(&mut self) {
        self.send(&id(9_999), "nothing", 2_500);
        assert_eq!(self.read().1, Got::Exception);
    }

    /// Whether nothing comes for a while.
    pub fn is_silent(&mut self) -> bool {
        self.socket.set_read_timeout(Some(QUIET)).unwrap();
        let silent = self.socket.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        self.socket.set_read_timeout(Some(SOON)).unwrap();
        silent
    }

    /// The next answer and its number.
    pub fn read(&mut self) -> (i32, Got) {
        let mut bytes = [0; 8 << 10];
        let frame = loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                break frame;
            }
            match self.socket.read(&mut bytes) {
                Ok(0) => return (0, Got::Closed),
                Ok(n) => self.frames.feed(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (0, Got::Closed),
                Err(e) => panic!("no answer: {e}"),
            }
        };
        let mut cursor = Cursor::new(&frame);
        let head = cursor.message_header().unwrap();
        if head.message_type == MessageType::Exception {
            return (head.seqid, Got::Exception);
        }
        let got = match cursor.field_header().unwrap() {
            Some((Cursor::STRUCT, 0)) => {
                assert_eq!(cursor.field_header().unwrap(), Some((Cursor::STRING, 1)));
                Got::Served(cursor.string().unwrap().to_owned())
            }
            Some((Cursor::STRUCT, 1)) => Got::Refused,
            Some((Cursor::STRUCT, 2)) => Got::Failed,
            other => panic!("{other:?} is no answer"),
        };
        (head.seqid, got)
    }
}

/// The id of a request, different for each number.
pub fn id(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The result of a request with one page.
pub fn served(id: &str) -> Got {
    Got::Served(page(id, 0))
}

/// Waits until something holds.
pub fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < SOON, "{what}: not within {SOON:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
