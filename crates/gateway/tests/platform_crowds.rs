//! Tests the memory of the program `violetward platform`, and what its calm clients get, while crowds of other
//! clients send large requests slowly or in part. Memory and descriptors are the least that the platform gives.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use program::{config_path, peak_memory_mb, start_gateway_with_log, start_resolver, EVENT_TIMEOUT};
use violetward_standin::platform::{limit_descriptors, PlatformEngine};
use violetward_thrift::{FrameDecoder, MessageType, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"look","AimUs":600000,"HardLimitUs":3000000,"Worth":1.0,"Effect":"repeatable"}],
 "Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8]},"Report":{"How":"answers"},
 "Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

/// The limits in [`program::gateway_config`], and those of these tests.
const USUAL_LIMITS: &str = r#""memory_mb":48,"sockets":256"#;
const LEAST_LIMITS: &str = r#""memory_mb":32,"sockets":1024"#;
/// The memory that [`LEAST_LIMITS`] gives the process.
const MEMORY_MB: f64 = 32.0;
/// More connections than the gateway has descriptors for.
const CROWD: usize = 700;
/// How often the crowd comes.
const ROUNDS: usize = 3;
/// How long each crowd stays after it has sent what it sends.
const STAY: Duration = Duration::from_millis(700);
/// The descriptors that the test needs itself.
const OWN_DESCRIPTORS: u64 = 4_096;
/// The length of the crowd's frames: about the longest that the gateway accepts.
const FRAME_BYTES: usize = 65_400;
/// In the log of a gateway that has closed a connection over a request that it had read.
const CLOSED_OVER_REQUEST: &str = "connection closed with open requests";
/// How long a calm client pauses between two requests.
const CALM_PAUSE: Duration = Duration::from_millis(10);

fn request(seqid: i32, fields: &[(&str, &str)], statement: &[u8]) -> Vec<u8> {
    let mut writer = Writer::message("dispatch", MessageType::Call, seqid);
    writer.string_map(1, fields.iter().copied());
    writer.binary(2, statement);
    writer.end_struct();
    writer.into_frame()
}

fn sound_request(seqid: i32, id: u64, statement: &[u8]) -> Vec<u8> {
    let id = format!("{id:016x}");
    let fields =
        [("id", id.as_str()), ("class", "look"), ("wait", "2500"), ("cost", "20"), ("heap_mb", "64")];
    request(seqid, &fields, statement)
}

/// A request with a statement of nearly [`FRAME_BYTES`].
fn large_request() -> Vec<u8> {
    let statement = format!("select 1 from a_1.b -- {}", "x".repeat(FRAME_BYTES));
    let mut frame = sound_request(1, 1, &statement.as_bytes()[..FRAME_BYTES - 200]);
    frame.truncate(FRAME_BYTES);
    frame
}

/// A request with as many short fields as fit into [`FRAME_BYTES`].
fn request_of_short_fields() -> Vec<u8> {
    const FIELD_BYTES: usize = 9;
    request(1, &vec![("a", ""); FRAME_BYTES / FIELD_BYTES - 20], b"select 1")
}

/// Waits for the next frame; false if the connection ends before it.
fn receives_frame(socket: &mut TcpStream) -> bool {
    let (mut frames, mut bytes) = (FrameDecoder::new(1 << 20), [0; 4096]);
    socket.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    while frames.next_frame().unwrap().is_none() {
        match socket.read(&mut bytes) {
            Ok(0) | Err(_) => return false,
            Ok(read) => frames.feed(&bytes[..read]),
        }
    }
    true
}

/// Sends a request; true if its answer comes.
fn asks(socket: &mut TcpStream, request: &[u8]) -> bool {
    socket.write_all(request).is_ok() && receives_frame(socket)
}

/// A client that sends one request after the other until it is stopped; on a new connection each, or all on one.
/// Returns how many requests were answered and how many were not.
struct CalmClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<(usize, usize)>,
}

impl CalmClient {
    fn start(port: u16, number: u64, reconnects: bool) -> CalmClient {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let connect = || TcpStream::connect(("127.0.0.1", port)).unwrap();
            let (mut answered, mut unanswered, mut socket) = (0, 0, connect());
            for id in 1.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                if reconnects {
                    socket = connect();
                }
                let request = sound_request(id, number << 32 | id as u64, b"select 1 from a_1.b");
                let mut is_answered = asks(&mut socket, &request);
                if !is_answered {
                    // It may have crossed the close of an idle connection: clients send it again, once.
                    socket = connect();
                    is_answered = asks(&mut socket, &request);
                }
                *if is_answered { &mut answered } else { &mut unanswered } += 1;
                std::thread::sleep(CALM_PAUSE);
            }
            (answered, unanswered)
        });
        CalmClient { stop, thread }
    }

    fn finish(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Connects a crowd that sends the parts one after the other, with a pause between them, and stays for a while.
fn send_crowd(port: u16, parts: &[&[u8]], pause: Duration) {
    let connect = |_| TcpStream::connect(("127.0.0.1", port)).ok();
    let mut sockets: Vec<TcpStream> = (0..CROWD).filter_map(connect).collect();
    for socket in &sockets {
        socket.set_nonblocking(true).unwrap();
    }
    for part in parts {
        // The gateway may have closed some of them.
        sockets.retain_mut(|socket| socket.write(part).is_ok());
        std::thread::sleep(pause);
    }
    std::thread::sleep(STAY);
}

struct Gateway {
    child: Child,
    port: u16,
    log: Receiver<String>,
    _engine: PlatformEngine,
}

impl Gateway {
    fn start(name: &str) -> Gateway {
        limit_descriptors(OWN_DESCRIPTORS).unwrap();
        let engine = PlatformEngine::start().unwrap();
        let path = config_path(name);
        let config = program::gateway_config(&start_resolver(&engine), &engine, SETTINGS);
        std::fs::write(&path, config.replace(USUAL_LIMITS, LEAST_LIMITS)).unwrap();
        let (child, port, log) = start_gateway_with_log(&path);
        std::fs::remove_file(path).ok();
        Gateway { child, port, log, _engine: engine }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Plays crowds beside calm clients. Checks the peak memory of the process, and that calm clients get their answers.
fn check_crowd(name: &str, parts: &[&[u8]], pause: Duration) {
    let mut gateway = Gateway::start(name);
    let calm = [(1, false), (2, true)].map(|(number, new)| CalmClient::start(gateway.port, number, new));
    for _ in 0..ROUNDS {
        send_crowd(gateway.port, parts, pause);
    }
    let [resident, newcomers] = calm.map(CalmClient::finish);
    assert_eq!(gateway.child.try_wait().unwrap(), None, "the process has ended");
    let peak = peak_memory_mb(&gateway.child);
    println!("{name}: peak {peak:.1} MB; resident client {resident:?}, new clients {newcomers:?}");
    assert!(peak < MEMORY_MB, "peak of {peak:.1} MB");
    assert!(!gateway.log.try_iter().any(|line| line.contains(CLOSED_OVER_REQUEST)));
    for (answered, unanswered) in [resident, newcomers] {
        assert!(answered > 0 && unanswered == 0, "calm requests: {answered} answered, {unanswered} not");
    }
}

/// Guards against memory for unfinished requests that grows with the number of connections that hold one.
#[test]
fn a_crowd_that_stops_within_large_requests_stays_within_the_memory() {
    check_crowd("stops", &[&large_request()[..FRAME_BYTES - 500]], Duration::ZERO);
}

/// Guards against the same memory, filled slowly: no connection is without progress.
#[test]
fn a_crowd_that_sends_large_requests_slowly_stays_within_the_memory() {
    let frame = large_request();
    let parts: Vec<&[u8]> = frame[..FRAME_BYTES - 500].chunks(4_000).collect();
    check_crowd("slow", &parts, Duration::from_millis(40));
}

/// Guards against memory for very many short fields, of requests that are whole and of such that are not.
#[test]
fn a_crowd_that_sends_very_many_short_fields_stays_within_the_memory() {
    let frame = request_of_short_fields();
    check_crowd("fields", &[&frame, &frame[..frame.len() - 10]], Duration::from_millis(100));
}

/// Guards against buffers that keep their size after large requests while the rest of a small one is awaited.
#[test]
fn a_crowd_with_a_little_of_a_request_behind_whole_ones_stays_within_the_memory() {
    let mut writer = Writer::message("alive", MessageType::Call, 1);
    writer.bool(1, true);
    writer.end_struct();
    let frame = writer.into_frame();
    let mut bytes = frame.repeat(FRAME_BYTES / frame.len());
    bytes.extend_from_slice(&frame[..10]);
    check_crowd("behind", &[&bytes], Duration::ZERO);
}
