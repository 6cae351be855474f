//! Tests the program `violetward platform`: its start, SIGHUP, SIGTERM while requests arrive, and an invalid
//! configuration.

mod program;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use program::{
    config_path, send_signal, start_gateway, start_gateway_with_log, start_resolver, wait_for_log,
    EVENT_TIMEOUT,
};
use rustix::process::Signal;
use violetward_standin::platform::{Fault, ListFault, Listed, PlatformEngine, PlatformResolver};
use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"look","AimUs":600000,"HardLimitUs":3000000,"Worth":1.0,"Effect":"repeatable"}],
 "Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8]},"Report":{"How":"answers"},
 "Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

fn gateway_config(resolver: &PlatformResolver, engine: &PlatformEngine) -> String {
    program::gateway_config(resolver, engine, SETTINGS)
}

fn send_request(socket: &mut TcpStream, seqid: i32) {
    let id = format!("{seqid:016x}");
    let mut writer = Writer::message("dispatch", MessageType::Call, seqid);
    let fields =
        [("id", id.as_str()), ("class", "look"), ("wait", "2500"), ("cost", "20"), ("heap_mb", "64")];
    writer.string_map(1, fields.into_iter());
    writer.binary(2, b"select 1 from a_1.b");
    writer.end_struct();
    socket.write_all(&writer.into_frame()).unwrap();
}

/// Sends a request and returns whether its answer is a success.
fn is_served(socket: &mut TcpStream, seqid: i32) -> bool {
    send_request(socket, seqid);
    let (mut frames, mut bytes) = (FrameDecoder::new(1 << 20), [0; 4096]);
    loop {
        if let Some(frame) = frames.next_frame().unwrap() {
            let mut cursor = Cursor::new(&frame);
            assert_eq!(cursor.message_header().unwrap().seqid, seqid);
            return cursor.field_header().unwrap() == Some((Cursor::STRUCT, 0));
        }
        let read = socket.read(&mut bytes).unwrap();
        assert!(read > 0, "the connection was closed before the answer");
        frames.feed(&bytes[..read]);
    }
}

#[test]
fn reload_and_shutdown_lose_no_request() {
    let engine = PlatformEngine::start().unwrap();
    let (first, second) = (start_resolver(&engine), start_resolver(&engine));
    let path = config_path("service");
    std::fs::write(&path, gateway_config(&first, &engine)).unwrap();
    let (mut child, port) = start_gateway(&path);
    let mut socket = TcpStream::connect(("127.0.0.1", port)).unwrap();
    assert!(is_served(&mut socket, 1));
    std::fs::write(&path, gateway_config(&second, &engine)).unwrap();
    send_signal(&child, Signal::HUP);
    let since = Instant::now();
    while second.asked() == 0 {
        assert!(since.elapsed() < Duration::from_secs(20), "the new resolver gets no query");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(is_served(&mut socket, 2));
    send_signal(&child, Signal::TERM);
    // Requests still arrive, on the open connection and on a new one.
    std::thread::sleep(Duration::from_millis(150));
    assert!(is_served(&mut socket, 3));
    assert!(is_served(&mut TcpStream::connect(("127.0.0.1", port)).unwrap(), 4));
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

#[test]
fn further_signals_during_shutdown_change_nothing() {
    let engine = PlatformEngine::start().unwrap();
    let resolver = start_resolver(&engine);
    let path = config_path("signals");
    std::fs::write(&path, gateway_config(&resolver, &engine)).unwrap();
    let (mut child, port, log) = start_gateway_with_log(&path);
    // This client stays connected until the gateway closes the connection.
    let mut idle_client = TcpStream::connect(("127.0.0.1", port)).unwrap();
    idle_client.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    assert!(is_served(&mut idle_client, 1));
    send_signal(&child, Signal::TERM);
    wait_for_log(&log, "stopping");
    send_signal(&child, Signal::TERM);
    send_signal(&child, Signal::HUP);
    send_signal(&child, Signal::INT);
    assert!(is_served(&mut idle_client, 2));
    assert_eq!(idle_client.read(&mut [0; 16]).expect("the end of the stream, not a reset"), 0);
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

/// Guards against a gateway that handles no signal after SIGTERM and drops a reload in progress. Requests
/// stay open there for up to the longest deadline, and the old address of the engine list does not answer
/// after a move, so engines that had begun to drain got requests after their grace period.
#[test]
fn an_engine_list_that_moves_during_shutdown_is_followed() {
    let engine = PlatformEngine::start().unwrap();
    engine.order(Fault::Hang);
    let (first, second) = (start_resolver(&engine), start_resolver(&engine));
    second.tell(2, vec![Listed { id: "e-0".into(), address: engine.address, draining: true, started_ms: 0 }]);
    let path = config_path("moved");
    std::fs::write(&path, gateway_config(&first, &engine)).unwrap();
    let (mut child, port, log) = start_gateway_with_log(&path);
    // An open request keeps the gateway from exiting.
    let mut socket = TcpStream::connect(("127.0.0.1", port)).unwrap();
    send_request(&mut socket, 1);
    while engine.ordered() > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    std::fs::write(&path, gateway_config(&second, &engine)).unwrap();
    send_signal(&child, Signal::TERM);
    wait_for_log(&log, "stopping");
    send_signal(&child, Signal::HUP);
    while second.asked() < 2 {
        assert_eq!(child.try_wait().unwrap(), None, "the gateway exited without a query to the new resolver");
        std::thread::sleep(Duration::from_millis(5));
    }
    send_request(&mut socket, 2);
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    let fetched = engine.journal().iter().filter(|words| words[0] == "fetch").count();
    assert_eq!(fetched, 1, "a request went to a draining engine");
    std::fs::remove_file(path).ok();
}

/// Guards against a gateway that misses its SIGHUP, never reads its engine list again and sends requests to
/// draining engines.
#[test]
fn a_list_that_moves_without_a_signal_is_found_when_the_old_address_stops_answering() {
    let engine = PlatformEngine::start().unwrap();
    let (first, second) = (start_resolver(&engine), start_resolver(&engine));
    let path = config_path("silent");
    std::fs::write(&path, gateway_config(&first, &engine)).unwrap();
    let (mut child, _) = start_gateway(&path);
    (0..500).for_each(|_| first.order(ListFault::Lost));
    std::fs::write(&path, gateway_config(&second, &engine)).unwrap();
    let since = Instant::now();
    while second.asked() == 0 {
        assert!(since.elapsed() < EVENT_TIMEOUT, "the new resolver gets no query");
        std::thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).ok();
}

#[test]
fn a_shutdown_during_a_reload_does_not_wait_for_it() {
    let engine = PlatformEngine::start().unwrap();
    let resolver = start_resolver(&engine);
    let path = config_path("reload");
    std::fs::write(&path, gateway_config(&resolver, &engine)).unwrap();
    let (mut child, _, log) = start_gateway_with_log(&path);
    std::fs::write(&path, "{\"name\":").unwrap();
    send_signal(&child, Signal::HUP);
    wait_for_log(&log, "configuration is invalid; keeping the old one and retrying");
    send_signal(&child, Signal::TERM);
    // The reload alone would retry for ten seconds.
    let since = Instant::now();
    wait_for_log(&log, "stopped");
    assert!(since.elapsed() < Duration::from_secs(8), "after {:?}", since.elapsed());
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

#[test]
fn an_invalid_configuration_gives_one_line_of_error_and_exit_code_2() {
    let path = config_path("invalid");
    std::fs::write(&path, "{\"name\":\"n0\",").unwrap();
    for invalid in [path.clone(), config_path("missing")] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_violetward"));
        let output = command.arg("platform").env("PROXY_CONFIG", &invalid).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(&*invalid.to_string_lossy()), "{stderr}");
    }
    std::fs::remove_file(path).ok();
}
