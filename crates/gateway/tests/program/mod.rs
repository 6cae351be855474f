//! Runs `violetward platform` as a child process, with stand-ins for its engine and its resolver.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use violetward_standin::platform::{Listed, PlatformEngine, PlatformResolver};

/// A configuration with the engine `e-0` and the given settings.
pub fn gateway_config(resolver: &PlatformResolver, engine: &PlatformEngine, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"cores":1.0,"memory_mb":48,"sockets":256}},
        "dns":"{}","known":{{"no":1,"items":[{{"no":1,"roster":{{"full":true,"servers":[{{"id":"e-0","addr":"{}",
        "zone":"east","kind":"std","cell":0,"state":"ready","weight":1,"started_ms":0}}]}}}}]}},"settings":{settings}}}"#,
        resolver.address, engine.address
    )
}

/// Starts a resolver that lists the engine `e-0`.
pub fn start_resolver(engine: &PlatformEngine) -> PlatformResolver {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver
        .tell(1, vec![Listed { id: "e-0".into(), address: engine.address, draining: false, started_ms: 0 }]);
    resolver
}

/// A path in the temporary folder for a test's configuration file, unique to this process.
pub fn config_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("violetward-{}-{name}.json", std::process::id()))
}

/// The longest time that a test waits for an expected event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the gateway and returns its process and the port that it listens on.
pub fn start_gateway(config_path: &PathBuf) -> (Child, u16) {
    let (child, port, _) = start_gateway_with_log(config_path);
    (child, port)
}

/// Starts the gateway and returns its process, the port that it listens on, and the log lines that follow
/// the one that names the port.
pub fn start_gateway_with_log(config_path: &PathBuf) -> (Child, u16, Receiver<String>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_violetward"));
    command
        .arg("platform")
        .env("PROXY_CONFIG", config_path)
        .env_remove("PROXY_LISTEN")
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.by_ref().map_while(Result::ok).find(|l| l.contains("taking requests")).unwrap();
    // The log is read to its end: the gateway would block on a full pipe.
    let (log_sender, log) = channel();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            log_sender.send(line).ok();
        }
    });
    let port = line.rsplit("127.0.0.1:").next().and_then(|p| p.trim().parse().ok()).unwrap();
    (child, port, log)
}

/// Waits for a log line that contains `text`.
pub fn wait_for_log(log: &Receiver<String>, text: &str) {
    while !log
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap_or_else(|e| panic!("{text:?} is not logged: {e}"))
        .contains(text)
    {}
}

pub fn send_signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

/// The highest resident memory that a process has had so far, in megabytes.
pub fn peak_memory_mb(child: &Child) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let kilobytes = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    kilobytes.and_then(|number| number.trim().parse::<f64>().ok()).expect("a peak") / 1024.0
}
