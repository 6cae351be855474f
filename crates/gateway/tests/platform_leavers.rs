//! Tests what the program `violetward platform` does with the requests of clients that have left.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Child;
use std::time::{Duration, Instant};

use program::{config_path, send_signal, start_gateway, start_resolver, EVENT_TIMEOUT};
use rustix::process::Signal;
use violetward_standin::platform::{reset, Fault, PlatformEngine};
use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"look","AimUs":600000,"HardLimitUs":3000000,"Worth":1.0,"Effect":"repeatable"},
 {"Name":"pay","AimUs":600000,"HardLimitUs":3000000,"Worth":1.0,"Effect":"once"}],
 "Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8,8]},"Report":{"How":"answers"},
 "Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

/// Requests that a client sends before it leaves; together several times what the gateway reads at once.
const REQUESTS: u64 = 20;
const STATEMENT_BYTES: usize = 10_000;

struct Gateway {
    child: Child,
    port: u16,
    engine: PlatformEngine,
}

impl Gateway {
    fn start(name: &str) -> Gateway {
        let engine = PlatformEngine::start().unwrap();
        let path = config_path(name);
        std::fs::write(&path, program::gateway_config(&start_resolver(&engine), &engine, SETTINGS)).unwrap();
        let (child, port) = start_gateway(&path);
        std::fs::remove_file(path).ok();
        Gateway { child, port, engine }
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(("127.0.0.1", self.port)).unwrap();
        socket.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        socket
    }

    /// The ids of the requests that the engine got, in order.
    fn fetched(&self) -> Vec<String> {
        let journal = self.engine.journal();
        journal.iter().filter(|words| words[0] == "fetch").map(|words| words[1].clone()).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

fn request(seqid: i32, id: u64, class: &str, statement: &[u8]) -> Vec<u8> {
    let id = id_text(id);
    let fields = [("id", id.as_str()), ("class", class), ("wait", "2900"), ("cost", "20"), ("heap_mb", "64")];
    let mut writer = Writer::message("dispatch", MessageType::Call, seqid);
    writer.string_map(1, fields.into_iter());
    writer.binary(2, statement);
    writer.end_struct();
    writer.into_frame()
}

/// The type of the next message, and the field of its struct that is set: 0 for a result.
fn read_reply(socket: &mut TcpStream) -> (MessageType, i16) {
    let (mut frames, mut bytes) = (FrameDecoder::new(1 << 20), [0; 4096]);
    loop {
        if let Some(frame) = frames.next_frame().unwrap() {
            let mut cursor = Cursor::new(&frame);
            let header = cursor.message_header().unwrap();
            return (header.message_type, cursor.field_header().unwrap().unwrap().1);
        }
        let read = socket.read(&mut bytes).unwrap();
        assert!(read > 0, "the connection was closed before the answer");
        frames.feed(&bytes[..read]);
    }
}

/// A client sends much while the gateway stands still, and leaves before the gateway reads it.
fn check_leaver(name: &str, leave: impl FnOnce(TcpStream)) {
    let gateway = Gateway::start(name);
    let mut leaver = gateway.connect();
    leaver.write_all(&request(1, 1, "look", b"select 1 from a_1.b")).unwrap();
    assert_eq!(read_reply(&mut leaver), (MessageType::Reply, 0));
    send_signal(&gateway.child, Signal::STOP);
    for id in 2..2 + REQUESTS {
        leaver.write_all(&request(id as i32, id, "look", &[b'x'; STATEMENT_BYTES])).unwrap();
    }
    leave(leaver);
    send_signal(&gateway.child, Signal::CONT);
    let mut other = gateway.connect();
    other.write_all(&request(1, 1_000, "look", b"select 1 from a_1.b")).unwrap();
    assert_eq!(read_reply(&mut other), (MessageType::Reply, 0));
    assert_eq!(gateway.fetched(), [id_text(1), id_text(1_000)]);
}

/// Guards against requests that are sent on after their client has closed its connection: the end of the
/// connection was found only behind all that the client had sent.
#[test]
fn requests_of_a_client_that_closed_with_much_unread_are_not_begun() {
    check_leaver("closes", drop);
}

/// The same with a connection that was reset.
#[test]
fn requests_of_a_client_that_reset_with_much_unread_are_not_begun() {
    check_leaver("resets", reset);
}

/// Guards against an id that runs twice: its client leaves, and the next client that comes with it is served by
/// a second run.
#[test]
fn an_id_whose_client_has_left_is_not_run_again() {
    let gateway = Gateway::start("again");
    gateway.engine.order(Fault::Hang);
    let mut first = gateway.connect();
    first.write_all(&request(1, 7, "pay", b"insert into a_1.b values (1)")).unwrap();
    wait_until("the request runs", || gateway.engine.ordered() == 0);
    drop(first);
    let given_up = |words: &Vec<String>| words[0] == "abort";
    wait_until("the request is given up", || gateway.engine.journal().iter().any(given_up));
    let mut second = gateway.connect();
    second.write_all(&request(1, 7, "pay", b"insert into a_1.b values (1)")).unwrap();
    assert_eq!(read_reply(&mut second).0, MessageType::Exception);
    second.write_all(&request(2, 8, "pay", b"insert into a_1.b values (2)")).unwrap();
    assert_eq!(read_reply(&mut second), (MessageType::Reply, 0));
    assert_eq!(gateway.fetched(), [id_text(7), id_text(8)]);
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let since = Instant::now();
    while !is_so() {
        assert!(since.elapsed() < EVENT_TIMEOUT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
