//! Tests the memory of the program `violetward serve`, and what its calm clients get, while crowds of other clients
//! send large requests slowly or in part, to the statement API and to the notebook's kernel.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use program::{peak_memory_mb, EVENT_TIMEOUT};
use violetward_kernel::zmtp::{self, Socket};
use violetward_standin::platform::limit_descriptors;

/// The memory in the configuration.
const MEMORY_MB: f64 = 64.0;
const CONFIGURATION: &str = r#"(gateway (number 0) (of 1) (listen "127.0.0.1:0") (engines "engines.lisp"))
 (kernel (connection-file "kernel.json")) (limits (memory "64MB")) (kinds (kind m8 (cores 8)))
 (classes (class light (aim "1s") (give-up "5s") (worth 1) (effect repeatable))) (select light)"#;
const CROWD: usize = 1_000;
/// The descriptors that the test needs itself.
const OWN_DESCRIPTORS: u64 = 4_096;
/// What each connection of a crowd announces, and what it sends of it.
const ANNOUNCED_BYTES: usize = 900_000;
const SENT_BYTES: usize = 200_000;
/// How long a crowd stays after it has sent what it sends.
const STAY: Duration = Duration::from_millis(500);
const CALM_PAUSE: Duration = Duration::from_millis(10);

struct Gateway {
    child: Child,
    address: String,
    folder: PathBuf,
}

impl Gateway {
    fn start(name: &str) -> Gateway {
        limit_descriptors(OWN_DESCRIPTORS).unwrap();
        let folder = std::env::temp_dir().join(format!("violetward-crowds-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("gateway.lisp"), CONFIGURATION).unwrap();
        let engine = "(engine e1 (address \"127.0.0.1:9\") (kind m8))\n";
        std::fs::write(folder.join("engines.lisp"), engine).unwrap();
        let address_file = folder.join("address");
        let mut command = Command::new(env!("CARGO_BIN_EXE_violetward"));
        command.arg("serve").arg(folder.join("gateway.lisp")).arg("--address-file").arg(&address_file);
        let child = command.stderr(Stdio::null()).spawn().unwrap();
        let mut gateway = Gateway { child, address: String::new(), folder };
        let since = Instant::now();
        while gateway.address.is_empty() {
            assert!(since.elapsed() < EVENT_TIMEOUT, "the gateway does not start");
            std::thread::sleep(Duration::from_millis(10));
            gateway.address = std::fs::read_to_string(&address_file).unwrap_or_default();
        }
        gateway
    }

    /// The address of the kernel's socket for cells.
    fn shell_address(&self) -> String {
        let file = std::fs::read_to_string(self.folder.join("kernel.json")).unwrap();
        let (_, rest) = file.split_once("\"shell_port\":").unwrap();
        let port: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
        format!("127.0.0.1:{port}")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Connects a crowd that sends the parts one after the other, with a pause between them, and stays for a while.
fn send_crowd(address: &str, parts: &[&[u8]], pause: Duration) {
    let mut sockets: Vec<TcpStream> = (0..CROWD).filter_map(|_| TcpStream::connect(address).ok()).collect();
    for socket in &sockets {
        socket.set_nonblocking(true).unwrap();
    }
    for part in parts {
        // The gateway may have closed some of them, or read no further.
        sockets.iter_mut().for_each(|socket| drop(socket.write(part)));
        std::thread::sleep(pause);
    }
    std::thread::sleep(STAY);
}

/// Asks the gateway on a new connection; true if the whole answer comes.
fn is_answered(address: &str) -> bool {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    socket.write_all(b"GET /v1/info HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).is_ok() && answer.starts_with(b"HTTP/1.1 200")
}

/// Plays crowds beside a calm client. Checks the peak memory of the process, and that the client gets its answers.
fn check_crowd(name: &str, parts: &[&[u8]], pause: Duration, to_kernel: bool) {
    let mut gateway = Gateway::start(name);
    let target = if to_kernel { gateway.shell_address() } else { gateway.address.clone() };
    let stop = AtomicBool::new(false);
    let (answered, unanswered) = std::thread::scope(|scope| {
        let calm = scope.spawn(|| {
            let mut counts = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                *if is_answered(&gateway.address) { &mut counts.0 } else { &mut counts.1 } += 1;
                std::thread::sleep(CALM_PAUSE);
            }
            counts
        });
        (0..2).for_each(|_| send_crowd(&target, parts, pause));
        stop.store(true, Ordering::Relaxed);
        calm.join().unwrap()
    });
    assert_eq!(gateway.child.try_wait().unwrap(), None, "the process has ended");
    let peak = peak_memory_mb(&gateway.child);
    println!("{name}: peak {peak:.1} MB; calm requests: {answered} answered, {unanswered} not");
    assert!(peak < MEMORY_MB, "peak of {peak:.1} MB");
    assert!(answered > 0 && unanswered == 0, "calm requests: {answered} answered, {unanswered} not");
}

fn half_statement() -> Vec<u8> {
    let head = format!("POST /v1/statement HTTP/1.1\r\nHost: g\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; SENT_BYTES]].concat()
}

/// Guards against memory for unfinished statements that grows with the number of connections.
#[test]
fn a_crowd_that_stops_within_large_statements_stays_within_the_memory() {
    check_crowd("stops", &[&half_statement()], Duration::ZERO, false);
}

/// Guards against the same memory, filled slowly: no connection is without progress.
#[test]
fn a_crowd_that_sends_large_statements_slowly_stays_within_the_memory() {
    let statement = half_statement();
    let parts: Vec<&[u8]> = statement.chunks(10_000).collect();
    check_crowd("slow", &parts, Duration::from_millis(50), false);
}

/// Guards against memory for unfinished messages of notebooks, which has no time limit either.
#[test]
fn a_crowd_that_stops_within_large_messages_to_the_kernel_stays_within_the_memory() {
    const LONG_FRAME: u8 = 2;
    let hello = [zmtp::greeting(), zmtp::ready(Socket::Dealer)].concat();
    let frame = [&[LONG_FRAME][..], &(ANNOUNCED_BYTES as u64).to_be_bytes(), &vec![0; SENT_BYTES]].concat();
    check_crowd("kernel", &[&hello, &frame], Duration::from_millis(300), true);
}
