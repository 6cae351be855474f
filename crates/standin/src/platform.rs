//! A platform's engine and resolver, as small as tests need them: RESP over TCP, DNS over UDP, with faults on order.
//! Each runs on threads of its own and ends with the process.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use violetward_dns::message::{Entry, Message, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Data, Soa, Type, IN};
use violetward_resp::{write_array, Limits, Reader};

/// What goes wrong with the next request that an engine is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Bytes that are no answer.
    Noise,
    /// A line for a length that does not end.
    EndlessLine,
    /// A string that is said to have three gigabytes.
    HugeLength,
    /// A count that is negative.
    NegativeCount,
    /// A page that ends within a row.
    HalfRow,
    /// A row of two columns.
    TwoColumns,
    /// A page that is not UTF-8.
    NotText,
    /// A page whose number does not exist.
    WrongPage,
    /// The connection ends under the request.
    Reset,
    /// The connection ends in the middle of the answer.
    Short,
    /// The answer comes twice.
    Twice,
    /// An answer under an unknown id comes ahead.
    StrangerAhead,
    /// Turned away unseen.
    Refused,
    /// An error.
    Error,
    /// The connection ends right after the answer.
    CloseAfter,
    /// The answer takes [`SLOW`].
    Slow,
    /// No answer ever comes; the connection stays open.
    Hang,
}

/// How long a slow answer takes.
pub const SLOW: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct EngineState {
    faults: VecDeque<Fault>,
    journal: Vec<Vec<String>>,
    connections: usize,
    wears: bool,
    /// Connections that fill the queue, so that no other comes up.
    held: Option<Vec<TcpStream>>,
    /// The thread that takes connections has seen that they are held, and takes none.
    stands: bool,
}

/// An engine. A statement `pages N` has a result of that many pages, every other one of one page.
#[derive(Debug, Clone)]
pub struct PlatformEngine {
    /// Where it listens.
    pub address: SocketAddrV4,
    state: Arc<Mutex<EngineState>>,
    listener: Arc<TcpListener>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn loopback(address: SocketAddr) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, address.port())
}

/// A page of the result of a request: rows that name it and the page.
pub fn page(id: &str, number: usize) -> String {
    (0..3).map(|row| format!("{id}\tpage {number}\trow {row}\n")).collect()
}

/// Fills a listener's queue, so that no other connection comes up until [`release_listener`] is called, as if first packets
/// were lost. Nobody may accept meanwhile.
///
/// # Errors
/// The listener's.
pub fn hold_listener(listener: &TcpListener) -> std::io::Result<Vec<TcpStream>> {
    let address = listener.local_addr()?;
    rustix::net::listen(listener, 0)?;
    let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    Ok(std::iter::from_fn(fill).collect())
}

/// New connections come up again.
///
/// # Errors
/// The listener's.
pub fn release_listener(listener: &TcpListener) -> std::io::Result<()> {
    Ok(rustix::net::listen(listener, 128)?)
}

/// Ends a connection with a reset instead of an end. There must be no other handle of it.
pub fn reset(socket: TcpStream) {
    // What is closed without lingering at all is reset.
    rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO)).ok();
}

/// Lets this process have so many descriptors at most from now on.
///
/// # Errors
/// If that is not allowed.
pub fn limit_descriptors(most: u64) -> std::io::Result<()> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let limit = rustix::process::Rlimit { current: Some(most), ..limit };
    Ok(rustix::process::setrlimit(rustix::process::Resource::Nofile, limit)?)
}

impl PlatformEngine {
    /// Starts an engine on a free port of loopback.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start() -> std::io::Result<PlatformEngine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = loopback(listener.local_addr()?);
        let engine = PlatformEngine { address, state: Arc::default(), listener: Arc::new(listener) };
        let mine = engine.clone();
        thread::spawn(move || {
            for socket in mine.listener.incoming().flatten() {
                while mine.is_held() {
                    thread::sleep(Duration::from_millis(1));
                }
                let mine = mine.clone();
                lock(&mine.state).connections += 1;
                thread::spawn(move || mine.serve(socket));
            }
        });
        Ok(engine)
    }

    /// Whether connections are held; noted as seen by the thread that takes them.
    fn is_held(&self) -> bool {
        let mut state = lock(&self.state);
        state.stands = state.held.is_some();
        state.stands
    }

    /// From now on new connections don't come up, as if their first packets were lost; those there are go on.
    ///
    /// # Errors
    /// The listener's.
    pub fn hold(&self) -> std::io::Result<()> {
        lock(&self.state).held = Some(Vec::new());
        rustix::net::listen(&*self.listener, 0)?;
        // One connection is taken yet: were the queue filled before that, a place in it would get free.
        if !lock(&self.state).stands {
            let last = TcpStream::connect(self.address)?;
            lock(&self.state).held.get_or_insert_with(Vec::new).push(last);
            while !lock(&self.state).stands {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let fill = || TcpStream::connect_timeout(&self.address.into(), Duration::from_millis(100));
        while let Ok(socket) = fill() {
            lock(&self.state).held.get_or_insert_with(Vec::new).push(socket);
        }
        Ok(())
    }

    /// New connections come up again.
    ///
    /// # Errors
    /// The listener's.
    pub fn release(&self) -> std::io::Result<()> {
        lock(&self.state).held = None;
        Ok(rustix::net::listen(&*self.listener, 128)?)
    }

    /// Orders a fault.
    pub fn order(&self, fault: Fault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// From now on a connection breaks as soon as a second request comes on it.
    pub fn wear(&self) {
        lock(&self.state).wears = true;
    }

    /// Faults that have not come up yet.
    pub fn ordered(&self) -> usize {
        lock(&self.state).faults.len()
    }

    /// What it was sent so far: the words of each command.
    pub fn journal(&self) -> Vec<Vec<String>> {
        lock(&self.state).journal.clone()
    }

    /// Connections that it has taken.
    pub fn connections(&self) -> usize {
        lock(&self.state).connections
    }

    fn serve(&self, mut socket: TcpStream) {
        let mut reader =
            Reader::new(Limits { max_string_bytes: 1 << 20, max_total_bytes: 1 << 21, max_strings: 16 });
        let mut bytes = [0; 16 << 10];
        let mut fetched = 0;
        loop {
            let read = match socket.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(read) => read,
            };
            reader.feed(&bytes[..read]);
            loop {
                let command = match reader.next_array() {
                    Ok(Some(command)) => command,
                    Ok(None) => break,
                    // It closes on what it can't read.
                    Err(_) => return,
                };
                let words: Vec<String> =
                    command.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
                lock(&self.state).journal.push(words.clone());
                fetched += u32::from(words.first().is_some_and(|w| w == "fetch"));
                if fetched > 1 && lock(&self.state).wears {
                    return;
                }
                let (answer, stays) = self.answer(&words);
                if socket.write_all(&answer).is_err() || !stays {
                    return;
                }
            }
        }
    }

    fn answer(&self, words: &[String]) -> (Vec<u8>, bool) {
        let mut out = Vec::new();
        let mut say = |parts: [&str; 4]| write_array(&mut out, &parts.map(str::as_bytes));
        match &words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["fetch", id, _, body] => {
                let fault = lock(&self.state).faults.pop_front();
                return self.fetched(id, body, fault);
            }
            ["more", id, number] => {
                let body = page(id, number.parse().unwrap_or(0));
                say([id, "batch", &format!("batch={number}"), &body]);
            }
            ["stats" | "alive", tag] => say([tag, "yes", "l=util:0.25", ""]),
            _ => {}
        }
        (out, true)
    }

    fn fetched(&self, id: &str, body: &str, fault: Option<Fault>) -> (Vec<u8>, bool) {
        let pages: usize = body.strip_prefix("pages ").and_then(|n| n.parse().ok()).unwrap_or(1);
        let fields = format!("batches={pages},cpu=20.5,used=64.0,l=util:0.25");
        let good = |body: &[u8]| {
            let mut out = Vec::new();
            write_array(&mut out, &[id.as_bytes(), b"ok", fields.as_bytes(), body]);
            out
        };
        let word = |word: &str, fields: &str| {
            let mut out = Vec::new();
            write_array(&mut out, &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), b""]);
            out
        };
        let whole = good(page(id, 0).as_bytes());
        match fault {
            None => (whole, true),
            Some(Fault::Slow) => {
                thread::sleep(SLOW);
                (whole, true)
            }
            Some(Fault::Noise) => (b"\x00\xffnoise".repeat(40), true),
            Some(Fault::EndlessLine) => ([b"*".as_slice(), &b"1".repeat(4_000)].concat(), true),
            Some(Fault::HugeLength) => (format!("*4\r\n$16\r\n{id}\r\n$3000000000\r\n").into_bytes(), true),
            Some(Fault::NegativeCount) => (b"*-4\r\n".to_vec(), true),
            Some(Fault::HalfRow) => (good(b"a\tb\tc\nd\te"), true),
            Some(Fault::TwoColumns) => (good(b"a\tb\n"), true),
            Some(Fault::NotText) => (good(b"a\tb\t\xff\n"), true),
            Some(Fault::WrongPage) => ([whole, word("batch", "batch=99")].concat(), true),
            Some(Fault::Reset) => (Vec::new(), false),
            Some(Fault::Short) => (whole[..whole.len() / 2].to_vec(), false),
            Some(Fault::Twice) => ([whole.clone(), whole].concat(), true),
            Some(Fault::StrangerAhead) => {
                let mut out = Vec::new();
                write_array(&mut out, &[b"0123456789abcdef", b"ok", fields.as_bytes(), b"x\ty\tz\n"]);
                (([out, whole]).concat(), true)
            }
            Some(Fault::Refused) => (word("refused", "-"), true),
            Some(Fault::Error) => (word("error", "l=util:0.25"), true),
            Some(Fault::CloseAfter) => (whole, false),
            Some(Fault::Hang) => (Vec::new(), true),
        }
    }
}

/// What goes wrong with the resolver's next answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFault {
    /// None comes.
    Lost,
    /// It comes under another id.
    OtherId,
    /// It reports a failure.
    Failure,
    /// It is marked as cut short.
    Truncated,
    /// It ends in the middle.
    Short,
    /// It has no engines.
    Empty,
    /// It has no addresses.
    NoAddresses,
    /// It has an older serial, and engines that are gone.
    Older,
}

/// An engine as the resolver lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// It completes its work.
    pub draining: bool,
    /// When it started late, in Unix milliseconds; else 0.
    pub started_ms: u64,
}

#[derive(Debug, Default)]
struct ResolverState {
    serial: u32,
    engines: Vec<Listed>,
    faults: VecDeque<ListFault>,
    asked: u64,
}

/// A resolver.
#[derive(Debug, Clone)]
pub struct PlatformResolver {
    /// Where it is asked.
    pub address: SocketAddrV4,
    state: Arc<Mutex<ResolverState>>,
}

impl PlatformResolver {
    /// Starts a resolver on a free port of loopback. Engines stand in `zone` and are of `kind`.
    ///
    /// # Errors
    /// If it has no socket.
    pub fn start(zone: &str, kind: &str) -> std::io::Result<PlatformResolver> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let resolver = PlatformResolver { address: loopback(socket.local_addr()?), state: Arc::default() };
        let (mine, zone, kind) = (resolver.clone(), zone.to_owned(), kind.to_owned());
        thread::spawn(move || {
            let mut bytes = [0; 1 << 10];
            while let Ok((size, from)) = socket.recv_from(&mut bytes) {
                let Ok(question) = Message::read(&bytes[..size]) else { continue };
                if let Some(answer) = mine.answer(&question, &zone, &kind) {
                    socket.send_to(&answer, from).ok();
                }
            }
        });
        Ok(resolver)
    }

    /// Tells a list from now on.
    pub fn tell(&self, serial: u32, engines: Vec<Listed>) {
        let mut state = lock(&self.state);
        (state.serial, state.engines) = (serial, engines);
    }

    /// The answer that it would give to a question now, for a test that sends it itself.
    pub fn answer_to(&self, question: &[u8], zone: &str, kind: &str) -> Option<Vec<u8>> {
        self.answer(&Message::read(question).ok()?, zone, kind)
    }

    /// Orders a fault.
    pub fn order(&self, fault: ListFault) {
        lock(&self.state).faults.push_back(fault);
    }

    /// Questions so far.
    pub fn asked(&self) -> u64 {
        lock(&self.state).asked
    }

    fn answer(&self, question: &Message, zone: &str, kind: &str) -> Option<Vec<u8>> {
        let mut state = lock(&self.state);
        state.asked += 1;
        let fault = state.faults.pop_front();
        if fault == Some(ListFault::Lost) {
            return None;
        }
        let name = |text: &str| Name::parse(text, &Name::root()).expect("a good name");
        let record =
            |name: Name, data: Data| Entry { name, kind: data.kind(), class: IN, ttl: 0, data: Some(data) };
        let rcode = if fault == Some(ListFault::Failure) { Rcode::SERVFAIL } else { Rcode::NOERROR };
        let mut message = question.answer(rcode);
        message.id ^= u16::from(fault == Some(ListFault::OtherId));
        message.truncated = fault == Some(ListFault::Truncated);
        let older = fault == Some(ListFault::Older);
        let serial = if older { state.serial.saturating_sub(1) } else { state.serial };
        let soa = Soa {
            server: name("ns.svc.local."),
            mailbox: name("admin.svc.local."),
            serial,
            refresh: 1,
            retry: 1,
            expire: 1,
            minimum: 0,
        };
        message.authorities.push(record(name("svc.local."), Data::Soa(soa)));
        let engines: Vec<Listed> = match fault {
            Some(ListFault::Empty) => Vec::new(),
            Some(ListFault::Older) => vec![Listed {
                id: "e-gone".into(),
                address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
                draining: false,
                started_ms: 0,
            }],
            _ => state.engines.clone(),
        };
        for engine in &engines {
            let host = name(&format!("{}.{zone}.hosts.", engine.id));
            let service = Data::Srv {
                priority: u16::from(engine.draining),
                weight: 10,
                port: engine.address.port(),
                target: host.clone(),
            };
            message.answers.push(record(question.questions.first()?.name.clone(), service));
            if fault != Some(ListFault::NoAddresses) {
                message.additionals.push(record(host.clone(), Data::A(*engine.address.ip())));
            }
            let text = [format!("kind={kind}"), "cell=0".into(), format!("started={}", engine.started_ms)];
            let text = text.map(String::into_bytes).to_vec();
            message.additionals.push(record(host, Data::Txt(text)));
        }
        debug_assert!(question.questions.iter().all(|q| q.kind == Type::SRV));
        let bytes = message.write();
        let size = if fault == Some(ListFault::Short) { bytes.len() / 2 } else { bytes.len() };
        Some(bytes[..size].to_vec())
    }
}
