//! The program `violetward platform` as a process, with stand-ins for its engine and its resolver.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use violetward_standin::platform::{Listed, PlatformEngine, PlatformResolver};

/// A configuration with one engine, `e-0`, and these settings.
pub fn config(resolver: &PlatformResolver, engine: &PlatformEngine, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "dns":"{}","known":{{"no":1,"items":[{{"no":1,"roster":{{"full":true,"servers":[{{"id":"e-0","addr":"{}",
        "zone":"east","kind":"std","cell":0,"state":"ready","weight":1,"started_ms":0}}]}}}}]}},"settings":{settings}}}"#,
        resolver.address, engine.address
    )
}

/// A resolver that lists one engine, `e-0`.
pub fn resolver(engine: &PlatformEngine) -> PlatformResolver {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver
        .tell(1, vec![Listed { id: "e-0".into(), address: engine.address, draining: false, started_ms: 0 }]);
    resolver
}

/// A path for the configuration of a test.
pub fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("violetward-{}-{name}.json", std::process::id()))
}

/// How long anything may take that has to happen.
pub const SOON: Duration = Duration::from_secs(20);

/// The program, and the port that it listens on.
pub fn start(file: &PathBuf) -> (Child, u16) {
    let (child, port, _) = start_with_log(file);
    (child, port)
}

/// The program, the port that it listens on, and the lines of its log from then on.
pub fn start_with_log(file: &PathBuf) -> (Child, u16, Receiver<String>) {
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
pub fn logged(log: &Receiver<String>, what: &str) {
    while !log.recv_timeout(SOON).unwrap_or_else(|e| panic!("{what:?} is not logged: {e}")).contains(what) {}
}

/// Sends the program a signal.
pub fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}
