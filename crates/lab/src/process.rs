//! The processes of a day: engines and gateways, each of its own, started from this program's file.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use violetward_net::{timeout, Connection};
use violetward_standin::fault::Fault;
use violetward_statement::http::{Headers, Limits};

/// A process that ends with its owner.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts this program with arguments; what it logs goes to `log`.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(arguments: &[String], log: &Path) -> std::io::Result<Process> {
        Process::program(&std::env::current_exe()?, arguments, log)
    }

    /// Starts another program of the project, which stands beside this one, so that it ends with this process.
    ///
    /// # Errors
    /// If it is not there or cannot be started.
    pub fn beside(program: &str, arguments: &[String], log: &Path) -> std::io::Result<Process> {
        let program = std::env::current_exe()?.with_file_name(program);
        if !program.exists() {
            let why = format!("{} is not there: build it first", program.display());
            return Err(std::io::Error::new(std::io::ErrorKind::NotFound, why));
        }
        let arguments: Vec<String> =
            std::iter::once("--with-parent".into()).chain(arguments.iter().cloned()).collect();
        Process::program(&program, &arguments, log)
    }

    fn program(program: &Path, arguments: &[String], log: &Path) -> std::io::Result<Process> {
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, signal).ok();
        }
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits for a file that a process writes once it listens.
///
/// # Errors
/// If it does not come within ten seconds.
pub fn address_from(file: &Path) -> std::io::Result<SocketAddr> {
    let start = Instant::now();
    loop {
        if let Some(address) = std::fs::read_to_string(file).ok().and_then(|t| t.trim().parse().ok()) {
            return Ok(address);
        }
        if start.elapsed() > Duration::from_secs(10) {
            return Err(std::io::Error::other(format!("{} did not come", file.display())));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Makes something go wrong at an engine.
pub async fn fault(control: SocketAddr, fault: &Fault) -> bool {
    let body = serde_json::to_vec(fault).unwrap_or_default();
    let work = async {
        let mut connection = Connection::connect(control, Limits::default()).await.ok()?;
        let mut headers = Headers::default();
        headers.push("Host", control.to_string());
        let message = connection.call("POST", "/fault", &headers, &body).await.ok()?;
        Some(message.status() == 200)
    };
    timeout(Duration::from_secs(2), work).await.flatten().unwrap_or(false)
}
