//! A gateway in this process, a client of it, and scripted peers: engines and a resolver that send only what
//! the test tells them to send.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
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

/// Bound for an event that must happen; a passing test never waits this long.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Without an event for this long, no further one is expected.
pub const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// The fields of a successful `ok` answer whose result has one page.
pub const SUCCESS_FIELDS: &str = "batches=1,cpu=20.5,used=64.0,l=util:0.25";

/// How often the reader of a connection checks its state.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// States of a connection's reader: it reads, it pauses, or it ends so that the connection can be reset.
const READER_RUNNING: u8 = 0;
const READER_PAUSED: u8 = 1;
const READER_RESETTING: u8 = 2;

/// An event at an engine, with the number of its connection, counted from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// The engine accepted the connection.
    Opened(usize),
    /// A complete command arrived.
    Command(usize, Vec<String>),
    /// The gateway closed the connection.
    Closed(usize),
}

/// An engine that sends only what the test tells it to send.
pub struct ScriptedEngine {
    /// The address on which it listens.
    pub address: SocketAddr,
    events: Receiver<ConnectionEvent>,
    connections: Arc<Mutex<HashMap<usize, Arc<Connection>>>>,
    open_count: Arc<AtomicUsize>,
    held: Mutex<Option<HeldListener>>,
}

/// The listener of an engine that does not accept connections yet.
struct HeldListener {
    listener: TcpListener,
    /// Connections that fill the accept queue, so that further ones are not established.
    queue_fillers: Vec<TcpStream>,
    event_sender: Sender<ConnectionEvent>,
}

struct Connection {
    socket: TcpStream,
    reader_state: AtomicU8,
    /// The gateway has reset the connection.
    was_reset: AtomicBool,
}

impl ScriptedEngine {
    pub fn start() -> ScriptedEngine {
        let engine = ScriptedEngine::new(|_| Vec::new());
        engine.release();
        engine
    }

    /// Starts an engine to which no connection is established until [`ScriptedEngine::release`].
    pub fn start_held() -> ScriptedEngine {
        ScriptedEngine::new(|listener| hold_listener(listener).unwrap())
    }

    fn new(hold: impl FnOnce(&TcpListener) -> Vec<TcpStream>) -> ScriptedEngine {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let queue_fillers = hold(&listener);
        let (event_sender, events) = channel();
        ScriptedEngine {
            address,
            events,
            connections: Arc::default(),
            open_count: Arc::default(),
            held: Mutex::new(Some(HeldListener { listener, queue_fillers, event_sender })),
        }
    }

    /// Accepts connections from now on.
    pub fn release(&self) {
        let HeldListener { listener, queue_fillers, event_sender } =
            self.held.lock().unwrap().take().expect("a held engine");
        // The connections that filled the accept queue are not counted.
        queue_fillers.iter().for_each(|_| drop(listener.accept().unwrap()));
        release_listener(&listener).unwrap();
        let (connections, open_count) = (self.connections.clone(), self.open_count.clone());
        std::thread::spawn(move || {
            for (number, socket) in listener.incoming().flatten().enumerate() {
                socket.set_read_timeout(Some(READER_POLL_INTERVAL)).unwrap();
                let reader_state = AtomicU8::new(READER_RUNNING);
                let was_reset = AtomicBool::new(false);
                let connection = Arc::new(Connection { socket, reader_state, was_reset });
                connections.lock().unwrap().insert(number, connection.clone());
                let (event_sender, open_count) = (event_sender.clone(), open_count.clone());
                open_count.fetch_add(1, Ordering::Relaxed);
                event_sender.send(ConnectionEvent::Opened(number)).ok();
                std::thread::spawn(move || {
                    read_commands(number, &connection, &event_sender);
                    open_count.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> ConnectionEvent {
        self.events.recv_timeout(TIMEOUT).expect("an event at the engine")
    }

    /// Waits for the next event, however long that takes: for engines that serve until the process ends.
    pub fn next_event_without_limit(&self) -> ConnectionEvent {
        self.events.recv().expect("an event at the engine")
    }

    /// Waits for the next command whose first word is `word` and returns its connection and words. Earlier
    /// events are discarded.
    pub fn wait_for_command(&self, word: &str) -> (usize, Vec<String>) {
        loop {
            match self.next_event() {
                ConnectionEvent::Command(number, words) if words[0] == word => return (number, words),
                _ => {}
            }
        }
    }

    /// Consumes the pending events, until none comes for [`QUIET_PERIOD`], and returns the request ids of the
    /// `fetch` commands among them.
    pub fn collect_fetches(&self) -> Vec<String> {
        self.collect("fetch")
    }

    /// Like [`ScriptedEngine::collect_fetches`], for the `more` commands.
    pub fn collect_more(&self) -> Vec<String> {
        self.collect("more")
    }

    fn collect(&self, word: &str) -> Vec<String> {
        self.collect_commands(word).into_iter().map(|(_, words)| words[1].clone()).collect()
    }

    /// Consumes the pending events, until none comes for [`QUIET_PERIOD`], and returns the commands among them
    /// whose first word is `word`, each with its connection.
    pub fn collect_commands(&self, word: &str) -> Vec<(usize, Vec<String>)> {
        // Commands that the gateway wrote before it answered its client may not have reached the reader yet.
        let events = std::iter::from_fn(|| self.events.recv_timeout(QUIET_PERIOD).ok());
        let command = |event| match event {
            ConnectionEvent::Command(number, words) if words[0] == word => Some((number, words)),
            _ => None,
        };
        events.filter_map(command).collect()
    }

    /// Waits until the gateway has closed a connection.
    pub fn wait_until_closed(&self, number: usize) {
        while self.next_event() != ConnectionEvent::Closed(number) {}
    }

    /// Whether the gateway has ended a connection by a reset, as far as its reader has noticed.
    pub fn was_reset(&self, number: usize) -> bool {
        self.connections.lock().unwrap()[&number].was_reset.load(Ordering::Relaxed)
    }

    /// Writes bytes on a connection.
    pub fn write(&self, number: usize, bytes: &[u8]) {
        let connection = self.connections.lock().unwrap()[&number].clone();
        (&connection.socket).write_all(bytes).unwrap();
    }

    /// Like [`ScriptedEngine::serve`], on a connection that the gateway may have reset after it has cancelled the
    /// request.
    pub fn serve_if_open(&self, number: usize, id: &str) {
        let connection = self.connections.lock().unwrap()[&number].clone();
        let answer = encode_answer([id, "ok", SUCCESS_FIELDS, &page(id, 0)]);
        (&connection.socket).write_all(&answer).ok();
    }

    /// Writes an answer on a connection.
    pub fn send_answer(&self, number: usize, words: [&str; 4]) {
        self.write(number, &encode_answer(words));
    }

    /// Writes a complete result of one page.
    pub fn serve(&self, number: usize, id: &str) {
        self.send_answer(number, [id, "ok", SUCCESS_FIELDS, &page(id, 0)]);
    }

    /// The number of connections that neither side has closed, as far as their readers have noticed.
    pub fn open_connections(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Resets a connection; the reset has been sent when this returns.
    pub fn reset(&self, number: usize) {
        let mut connection = self.connections.lock().unwrap().remove(&number).unwrap();
        connection.reader_state.store(READER_RESETTING, Ordering::Relaxed);
        // The reader shares the socket, which can be reset only after the reader has dropped its reference.
        let connection = loop {
            match Arc::try_unwrap(connection) {
                Ok(connection) => break connection,
                Err(shared) => connection = shared,
            }
            std::thread::sleep(READER_POLL_INTERVAL);
        };
        reset(connection.socket);
    }

    /// Pauses or resumes reading from a connection.
    pub fn set_reading(&self, number: usize, reading: bool) {
        let state = if reading { READER_RUNNING } else { READER_PAUSED };
        self.connections.lock().unwrap()[&number].reader_state.store(state, Ordering::Relaxed);
    }
}

/// Encodes an engine's answer.
pub fn encode_answer(words: [&str; 4]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_array(&mut bytes, &words.map(str::as_bytes));
    bytes
}

/// Reports the commands of a connection until it is closed or its reader is told to end.
fn read_commands(number: usize, connection: &Connection, event_sender: &Sender<ConnectionEvent>) {
    let mut reader =
        Reader::new(Limits { max_string_bytes: 1 << 20, max_total_bytes: 1 << 21, max_strings: 16 });
    let mut bytes = [0; 16 << 10];
    loop {
        match connection.reader_state.load(Ordering::Relaxed) {
            READER_RUNNING => {}
            READER_PAUSED => {
                std::thread::sleep(READER_POLL_INTERVAL);
                continue;
            }
            _ => return,
        }
        match (&connection.socket).read(&mut bytes) {
            Ok(read) if read > 0 => reader.feed(&bytes[..read]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(e) => {
                let was_reset = e.kind() == std::io::ErrorKind::ConnectionReset;
                connection.was_reset.store(was_reset, Ordering::Relaxed);
                break;
            }
            _ => break,
        }
        while let Some(command) = reader.next_array().unwrap() {
            let words = command.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
            event_sender.send(ConnectionEvent::Command(number, words)).ok();
        }
    }
    event_sender.send(ConnectionEvent::Closed(number)).ok();
}

/// A gateway on a thread of its own, which runs until the process ends.
pub struct Gateway {
    /// The address to which clients connect.
    pub address: SocketAddr,
    resolver_addresses: async_channel::Sender<SocketAddr>,
    thread_actions: async_channel::Sender<ThreadAction>,
    resolver_moved: Receiver<()>,
}

/// An action that runs on a gateway's thread while none of the gateway's tasks runs.
type ThreadAction = Box<dyn FnOnce(&Rc<Host>) + Send>;

impl Gateway {
    /// Starts a gateway whose configuration lists `engines` as `e-0`, `e-1` and so on. Each change replaces a
    /// text of the configuration by another.
    pub fn start(resolver: SocketAddr, engines: &[SocketAddr], changes: &[(&str, &str)]) -> Gateway {
        let names: Vec<String> = (0..engines.len()).map(|n| format!("e-{n}")).collect();
        let listed: Vec<_> = names.iter().zip(engines).map(|(n, a)| (n.as_str(), a.to_string())).collect();
        let mut text = super::config(&resolver.to_string(), &listed);
        for (from, to) in changes {
            assert!(text.contains(from), "{from} is not in the configuration");
            text = text.replace(from, to);
        }
        let (address_sender, address_receiver) = channel();
        let (resolver_addresses, new_resolver_addresses) = async_channel::unbounded();
        let (moved_sender, resolver_moved) = channel();
        let (thread_actions, received_actions) = async_channel::unbounded::<ThreadAction>();
        std::thread::spawn(move || {
            let config = config::parse(&text).unwrap();
            let executor = Rc::new(LocalExecutor::new());
            let resolver = Resolver::new(config.resolver);
            let (host, address) = service::start(config, &executor, &resolver).unwrap();
            address_sender.send(address).unwrap();
            let run_actions = async {
                while let Ok(action) = received_actions.recv().await {
                    action(&host);
                }
            };
            let move_resolver = async {
                while let Ok(address) = new_resolver_addresses.recv().await {
                    resolver.set_address(address);
                    moved_sender.send(()).ok();
                }
            };
            async_io::block_on(executor.run(future::zip(run_actions, move_resolver)));
        });
        Gateway {
            address: address_receiver.recv().unwrap(),
            resolver_addresses,
            resolver_moved,
            thread_actions,
        }
    }

    /// Runs an action on the gateway's thread and returns its result. None of the gateway's tasks runs
    /// meanwhile.
    pub fn run_on_thread<T: Send + 'static>(
        &self,
        action: impl FnOnce(&Rc<Host>) -> T + Send + 'static,
    ) -> T {
        let (result_sender, result_receiver) = channel();
        let action: ThreadAction = Box::new(move |host| result_sender.send(action(host)).unwrap());
        self.thread_actions.try_send(action).unwrap();
        result_receiver.recv_timeout(TIMEOUT).unwrap()
    }

    /// Starts a shutdown, as SIGTERM does. The returned channel receives a message once the gateway has
    /// stopped.
    pub fn stop(&self) -> Receiver<()> {
        let (stopped_sender, stopped) = channel();
        self.run_on_thread(move |host| {
            let stopping_host = host.clone();
            host.spawn(async move {
                shutdown::stop(&stopping_host).await;
                stopped_sender.send(()).ok();
            });
        });
        stopped
    }

    /// Changes the resolver's address; the gateway uses the new one when this returns.
    pub fn move_resolver(&self, address: SocketAddr) {
        self.resolver_addresses.try_send(address).unwrap();
        self.resolver_moved.recv_timeout(TIMEOUT).unwrap();
    }
}

/// A resolver that sends only the answers that the test tells it to send.
pub struct ScriptedResolver {
    /// The address to which queries are sent.
    pub address: SocketAddr,
    socket: UdpSocket,
    /// Encodes the answers; no query is sent to it.
    encoder: PlatformResolver,
}

/// A query for the list of engines.
pub struct Query {
    bytes: Vec<u8>,
    from: SocketAddr,
}

impl ScriptedResolver {
    pub fn start() -> ScriptedResolver {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let address = socket.local_addr().unwrap();
        ScriptedResolver { address, socket, encoder: PlatformResolver::start("east", "std").unwrap() }
    }

    /// Waits for the next query.
    pub fn next_query(&self) -> Query {
        let mut bytes = vec![0; 1 << 10];
        let (size, from) = self.socket.recv_from(&mut bytes).expect("a query for the list");
        bytes.truncate(size);
        Query { bytes, from }
    }

    /// Encodes an answer to a query. Engines are given by their address and whether they drain; they are
    /// named `e-0`, `e-1` and so on.
    pub fn encode_list(&self, query: &Query, serial: u32, engines: &[(SocketAddr, bool)]) -> Vec<u8> {
        let names: Vec<String> = (0..engines.len()).map(|n| format!("e-{n}")).collect();
        let named: Vec<_> = names.iter().zip(engines).map(|(n, &(a, d))| (n.as_str(), a, d)).collect();
        self.encode_named_list(query, serial, &named)
    }

    /// Like [`ScriptedResolver::encode_list`], with the names of the engines given.
    pub fn encode_named_list(
        &self,
        query: &Query,
        serial: u32,
        engines: &[(&str, SocketAddr, bool)],
    ) -> Vec<u8> {
        let listed = engines.iter().map(|&(id, address, draining)| {
            let SocketAddr::V4(address) = address else { panic!("{address} is not IPv4") };
            Listed { id: id.to_owned(), address, draining, started_ms: super::started_ms(id) }
        });
        self.encode_engines(query, serial, listed.collect())
    }

    /// Encodes an answer to a query from entries of the list.
    pub fn encode_engines(&self, query: &Query, serial: u32, engines: Vec<Listed>) -> Vec<u8> {
        self.encoder.tell(serial, engines);
        self.encoder.answer_to(&query.bytes, "east", "std").unwrap()
    }

    /// Sends a list until the gateway has accepted it.
    pub fn publish(&self, serial: u32, engines: &[(SocketAddr, bool)]) {
        self.publish_with(|query| self.encode_list(query, serial, engines));
    }

    /// Sends an answer until the gateway has accepted it. After an accepted answer the gateway queries from
    /// the same socket; after an answer that came too late, from a new one.
    pub fn publish_with(&self, answer: impl Fn(&Query) -> Vec<u8>) {
        let mut query = self.next_query();
        loop {
            self.send(&query, &answer(&query));
            let next = self.next_query();
            if next.from == query.from {
                return;
            }
            query = next;
        }
    }

    /// Sends bytes to the sender of a query.
    pub fn send(&self, query: &Query, bytes: &[u8]) {
        self.socket.send_to(bytes, query.from).unwrap();
    }
}

/// What a client received: a response to a request, or the end of the connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Response {
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
        Client::from_socket(TcpStream::connect(gateway.address).unwrap())
    }

    /// A client on an established connection.
    pub fn from_socket(socket: TcpStream) -> Client {
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client { socket, frames: FrameDecoder::new(1 << 20), seqid: 0 }
    }

    /// Sends a request, does not wait for the response, and returns the request's sequence id.
    pub fn send(&mut self, id: &str, class: &str, wait_ms: u32) -> i32 {
        let bytes = self.encode_request(id, class, wait_ms);
        self.socket.write_all(&bytes).unwrap();
        self.seqid
    }

    /// Sends requests in one write and does not wait for the responses.
    pub fn send_burst(&mut self, ids: impl Iterator<Item = String>, class: &str, wait_ms: u32) {
        let bytes: Vec<u8> = ids.flat_map(|id| self.encode_request(&id, class, wait_ms)).collect();
        self.socket.write_all(&bytes).unwrap();
    }

    /// Encodes the next request without sending it.
    pub fn encode_request(&mut self, id: &str, class: &str, wait_ms: u32) -> Vec<u8> {
        self.seqid += 1;
        let wait = wait_ms.to_string();
        let fields = [("id", id), ("class", class), ("wait", &wait), ("cost", "20.0"), ("heap_mb", "64")];
        let mut writer = Writer::message("dispatch", MessageType::Call, self.seqid);
        writer.string_map(1, fields.into_iter());
        writer.binary(2, b"pages 1");
        writer.end_struct();
        writer.into_frame()
    }

    /// Encodes a call of a method that does not exist, which the gateway answers with an exception.
    pub fn encode_unknown_method(&mut self) -> Vec<u8> {
        self.seqid += 1;
        let mut writer = Writer::message("drop", MessageType::Call, self.seqid);
        writer.end_struct();
        writer.into_frame()
    }

    /// The client's socket, for tests that write raw bytes or write at a chosen moment.
    pub fn socket(&self) -> TcpStream {
        self.socket.try_clone().unwrap()
    }

    /// Discards everything up to the end of the stream; fails if the connection is reset.
    pub fn read_to_end(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; 8 << 10];
        while self.socket.read(&mut bytes)? > 0 {}
        Ok(())
    }

    /// Cancels a request.
    pub fn cancel(&mut self, seqid: i32) {
        let mut writer = Writer::message("cancelRequest", MessageType::Oneway, 0);
        writer.i32(1, seqid);
        writer.end_struct();
        self.socket.write_all(&writer.into_frame()).unwrap();
    }

    /// Returns once the gateway has accepted the connection and processed everything that was sent on it: a
    /// request of an unknown class is answered with an exception.
    pub fn wait_until_processed(&mut self) {
        self.send(&request_id(9_999), "nothing", 2_500);
        assert_eq!(self.read_response().1, Response::Exception);
    }

    /// Whether nothing comes for a while.
    pub fn is_silent(&mut self) -> bool {
        self.socket.set_read_timeout(Some(QUIET_PERIOD)).unwrap();
        let silent = self.socket.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        self.socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        silent
    }

    /// Waits for the next response and returns it with its sequence id, which is 0 if the connection ended.
    pub fn read_response(&mut self) -> (i32, Response) {
        let mut bytes = [0; 8 << 10];
        let frame = loop {
            if let Some(frame) = self.frames.next_frame().unwrap() {
                break frame;
            }
            match self.socket.read(&mut bytes) {
                Ok(0) => return (0, Response::Closed),
                Ok(n) => self.frames.feed(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (0, Response::Closed),
                Err(e) => panic!("no response: {e}"),
            }
        };
        let mut cursor = Cursor::new(&frame);
        let header = cursor.message_header().unwrap();
        if header.message_type == MessageType::Exception {
            return (header.seqid, Response::Exception);
        }
        let response = match cursor.field_header().unwrap() {
            Some((Cursor::STRUCT, 0)) => {
                assert_eq!(cursor.field_header().unwrap(), Some((Cursor::STRING, 1)));
                Response::Served(cursor.string().unwrap().to_owned())
            }
            Some((Cursor::STRUCT, 1)) => Response::Refused,
            Some((Cursor::STRUCT, 2)) => Response::Failed,
            other => panic!("unexpected field in a response: {other:?}"),
        };
        (header.seqid, response)
    }
}

/// A request id that is different for each number.
pub fn request_id(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The response to a request that [`ScriptedEngine::serve`] served.
pub fn served_page(id: &str) -> Response {
    Response::Served(page(id, 0))
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{description}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
