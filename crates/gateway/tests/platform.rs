//! The program itself on a platform: its start, SIGHUP, SIGTERM with requests still coming, and a wrong configuration.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use violetward_standin::platform::{Listed, PlatformEngine, PlatformResolver};
use violetward_thrift::{Cursor, Frames, Kind, Writer};

const SETTINGS: &str = r#"{"NInstances":1,"MachineTypes":["std"],"Zones":["east"],"QuantumUs":5000,
 "Classes":[{"Name":"look","AimUs":600000,"HardLimitUs":3000000,"Worth":1.0,"Effect":"repeatable"}],
 "Contract":{"ColdFrom":0.31,"ColdUs":5000000},"FamilyInfo":{"SizeCores":[8]},"Report":{"How":"answers"},
 "Limits":{"AttemptsCap":3,"MayCancel":true,"Probes":true,"StreamsPerConn":32}}"#;

fn config(resolver: &PlatformResolver, engine: &PlatformEngine) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "dns":"{}","known":{{"no":1,"items":[{{"no":1,"roster":{{"full":true,"servers":[{{"id":"e-0","addr":"{}",
        "zone":"east","kind":"std","cell":0,"state":"ready","weight":1,"started_ms":0}}]}}}}]}},"settings":{SETTINGS}}}"#,
        resolver.address, engine.address
    )
}

fn resolver(engine: &PlatformEngine) -> PlatformResolver {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver.tell(1, vec![Listed { id: "e-0".into(), address: engine.address, draining: false }]);
    resolver
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("violetward-{}-{name}.json", std::process::id()))
}

/// How long anything may take that has to happen.
const SOON: Duration = Duration::from_secs(20);

/// The program, and the port that it listens on.
fn start(file: &PathBuf) -> (Child, u16) {
    let (child, port, _) = start_with_log(file);
    (child, port)
}

/// The program, the port that it listens on, and the lines of its log from then on.
fn start_with_log(file: &PathBuf) -> (Child, u16, Receiver<String>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_violetward"));
    command.arg("platform").env("PROXY_CONFIG", file).env_remove("PROXY_LISTEN").stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.by_ref().map_while(Result::ok).find(|l| l.contains("taking requests")).unwrap();
    // The rest of the log is read away, or the program would wait for it.
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            tell.send(line).ok();
        }
    });
    let port = line.rsplit("127.0.0.1:").next().and_then(|p| p.trim().parse().ok()).unwrap();
    (child, port, told)
}

/// Waits for a line of the log.
fn logged(log: &Receiver<String>, what: &str) {
    while !log.recv_timeout(SOON).unwrap_or_else(|e| panic!("{what:?} is not logged: {e}")).contains(what) {}
}

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

fn ask(socket: &mut TcpStream, n: i32) -> bool {
    let id = format!("{n:016x}");
    let mut writer = Writer::message("dispatch", Kind::Call, n);
    let fields =
        [("id", id.as_str()), ("class", "look"), ("wait", "2500"), ("cost", "20"), ("heap_mb", "64")];
    writer.texts(1, fields.into_iter());
    writer.bytes(2, b"select 1 from a_1.b");
    writer.stop();
    socket.write_all(&writer.frame()).unwrap();
    let (mut frames, mut bytes) = (Frames::new(1 << 20), [0; 4096]);
    loop {
        if let Some(frame) = frames.next().unwrap() {
            let mut cursor = Cursor::new(&frame);
            assert_eq!(cursor.message().unwrap().seqid, n);
            return cursor.field().unwrap() == Some((Cursor::STRUCT, 0));
        }
        let read = socket.read(&mut bytes).unwrap();
        assert!(read > 0, "closed under a request");
        frames.feed(&bytes[..read]);
    }
}

#[test]
fn it_reloads_and_stops_without_losing_a_request() {
    let engine = PlatformEngine::start().unwrap();
    let (first, second) = (resolver(&engine), resolver(&engine));
    let path = file("service");
    std::fs::write(&path, config(&first, &engine)).unwrap();
    let (mut child, port) = start(&path);
    let mut socket = TcpStream::connect(("127.0.0.1", port)).unwrap();
    assert!(ask(&mut socket, 1));
    std::fs::write(&path, config(&second, &engine)).unwrap();
    signal(&child, Signal::HUP);
    let since = Instant::now();
    while second.asked() == 0 {
        assert!(since.elapsed() < Duration::from_secs(20), "the new resolver is not asked");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(ask(&mut socket, 2));
    signal(&child, Signal::TERM);
    // Requests go on coming, on the open connection and on a new one.
    std::thread::sleep(Duration::from_millis(150));
    assert!(ask(&mut socket, 3));
    assert!(ask(&mut TcpStream::connect(("127.0.0.1", port)).unwrap(), 4));
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

#[test]
fn further_signals_during_shutdown_change_nothing() {
    let engine = PlatformEngine::start().unwrap();
    let resolver = resolver(&engine);
    let path = file("signals");
    std::fs::write(&path, config(&resolver, &engine)).unwrap();
    let (mut child, port, log) = start_with_log(&path);
    // This client rests until the gateway ends the connection.
    let mut resting = TcpStream::connect(("127.0.0.1", port)).unwrap();
    resting.set_read_timeout(Some(SOON)).unwrap();
    assert!(ask(&mut resting, 1));
    signal(&child, Signal::TERM);
    logged(&log, "stopping");
    signal(&child, Signal::TERM);
    signal(&child, Signal::HUP);
    signal(&child, Signal::INT);
    assert!(ask(&mut resting, 2));
    assert_eq!(resting.read(&mut [0; 16]).expect("the end of the stream, not a reset"), 0);
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

#[test]
fn a_shutdown_during_a_reload_does_not_wait_for_it() {
    let engine = PlatformEngine::start().unwrap();
    let resolver = resolver(&engine);
    let path = file("reload");
    std::fs::write(&path, config(&resolver, &engine)).unwrap();
    let (mut child, _, log) = start_with_log(&path);
    std::fs::write(&path, "{\"name\":").unwrap();
    signal(&child, Signal::HUP);
    logged(&log, "the old configuration stands; looking again");
    signal(&child, Signal::TERM);
    // The reload would go on for ten seconds.
    let since = Instant::now();
    logged(&log, "stopped");
    assert!(since.elapsed() < Duration::from_secs(8), "after {:?}", since.elapsed());
    let ended = child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    std::fs::remove_file(path).ok();
}

#[test]
fn a_wrong_configuration_is_one_line_and_exit_2() {
    let path = file("wrong");
    std::fs::write(&path, "{\"name\":\"n0\",").unwrap();
    for wrong in [path.clone(), file("missing")] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_violetward"));
        let output = command.arg("platform").env("PROXY_CONFIG", &wrong).output().unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{told}");
        assert!(told.lines().count() == 1 && told.contains(&*wrong.to_string_lossy()), "{told}");
    }
    std::fs::remove_file(path).ok();
}
