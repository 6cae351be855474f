//! The gateways of a soak: processes that are restarted, killed, stopped and told to look elsewhere for their list.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use super::record::Event;
use super::resolver::Resolver;
use super::schedule::{ClockStep, Day};
use super::settings::settings;
use super::{Setup, World};

/// After SIGTERM new connections are still made for this long.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// SIGKILL comes this long after the longest deadline, which counts as [`DEADLINE_MOST`] at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_millis(3_000);
/// How long a process may take until it listens.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// SIGHUP comes no sooner than this after a process listens.
const RELOADS_AFTER: Duration = Duration::from_millis(1_000);
/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// The descriptors that a gateway is told it may have.
pub const DESCRIPTORS: u64 = 1_024;
/// The memory that a gateway is told it may have, the least of the platform.
const MEMORY_MB: u64 = 32;

/// Starts processes from one thread that lasts: the system ends a process that was started `--with-parent` with the thread
/// that started it.
struct Spawner {
    orders: Sender<(Command, Sender<std::io::Result<Child>>)>,
}

impl Spawner {
    fn start() -> Spawner {
        let (orders, ordered) = channel::<(Command, Sender<std::io::Result<Child>>)>();
        std::thread::spawn(move || {
            for (mut command, tell) in ordered {
                tell.send(command.spawn()).ok();
            }
            // The processes of a run outlive its orders by a moment.
            std::thread::park();
        });
        Spawner { orders }
    }

    fn spawn(&self, command: Command) -> std::io::Result<Child> {
        let (tell, told) = channel();
        self.orders.send((command, tell)).map_err(std::io::Error::other)?;
        told.recv().map_err(std::io::Error::other)?
    }
}

/// The processes of a run.
pub struct Gateways {
    spawner: Spawner,
    all: Vec<Gateway>,
    one_in: u64,
    folder: PathBuf,
    seed: u64,
    settings: serde_json::Value,
    longest: Duration,
}

struct Gateway {
    number: usize,
    address: SocketAddr,
    clock: ClockStep,
    child: Mutex<Option<Child>>,
    /// New connections are made to it.
    in_front: AtomicBool,
    /// A fault that needs it alone is at work.
    busy: AtomicBool,
    /// Since when its process listens.
    ready: Mutex<Option<Instant>>,
    /// The highest resident memory of its processes that have ended, in kilobytes.
    peak_memory_kb: AtomicU64,
}

impl Gateway {
    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child().as_ref().map(Pid::from_child) {
            kill_process(pid, signal).ok();
        }
    }

    /// Notes the highest resident memory of its process.
    fn note_peak_memory(&self, child: &Child) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
        let peak = peak.and_then(|number| number.trim().parse().ok()).unwrap_or(0);
        self.peak_memory_kb.fetch_max(peak, Ordering::AcqRel);
    }

    /// Whether it has ended by itself, and how.
    fn ended(&self) -> Option<std::process::ExitStatus> {
        self.child().as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Whether it may be sent SIGHUP: its process has listened for a while.
    fn takes_reloads(&self) -> bool {
        let ready = *self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready.is_some_and(|since| since.elapsed() >= RELOADS_AFTER)
    }

    fn set_ready(&self, ready: Option<Instant>) {
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
    }

    /// Keeps others away while a fault is at work; false if one is already.
    fn take(&self) -> bool {
        !self.busy.swap(true, Ordering::AcqRel)
    }
}

impl Gateways {
    /// Starts all processes and waits until they listen.
    pub fn start(setup: &Setup, day: &Day, resolver: &Resolver) -> std::io::Result<Gateways> {
        let mut all = Vec::new();
        for number in 0..day.gateways {
            // An address of its own: no connection that leaves this machine's usual one can take its port meanwhile.
            let address =
                TcpListener::bind(SocketAddr::from(([127, 77, 0, number as u8 + 1], 0)))?.local_addr()?;
            let clock = day.clocks.get(number).copied().unwrap_or_default();
            all.push(Gateway {
                number,
                address,
                clock,
                child: Mutex::new(None),
                in_front: AtomicBool::new(true),
                busy: AtomicBool::new(false),
                ready: Mutex::new(None),
                peak_memory_kb: AtomicU64::new(0),
            });
        }
        let gateways = Gateways {
            spawner: Spawner::start(),
            all,
            one_in: setup.calls_one_in,
            folder: setup.folder.clone(),
            seed: day.seed,
            settings: settings(day),
            longest: day.waits.into_iter().max().unwrap_or_default().min(DEADLINE_MOST),
        };
        for gateway in &gateways.all {
            // Of an earlier run.
            std::fs::remove_file(gateways.counts_path(gateway)).ok();
            gateways.write_config(gateway, resolver)?;
            gateways.spawn(gateway)?;
        }
        Ok(gateways)
    }

    /// The address of a gateway that takes new connections, by a number that is drawn.
    pub fn in_front(&self, drawn: usize) -> Option<(usize, SocketAddr)> {
        let front: Vec<&Gateway> = self.all.iter().filter(|g| g.in_front.load(Ordering::Acquire)).collect();
        let gateway = front.get(drawn.checked_rem(front.len())?)?;
        Some((gateway.number, gateway.address))
    }

    /// Where a gateway listens.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.all[number].address
    }

    fn config_path(&self, gateway: &Gateway) -> PathBuf {
        self.folder.join(format!("n{}.json", gateway.number))
    }

    fn write_config(&self, gateway: &Gateway, resolver: &Resolver) -> std::io::Result<()> {
        let (number, listed) = resolver.list();
        let servers: Vec<_> = listed
            .iter()
            .map(|engine| {
                json!({"id": engine.id, "addr": engine.address.to_string(), "zone": "east", "kind": "std", "cell": 0,
                    "state": if engine.draining { "draining" } else { "ready" }, "weight": 1,
                    "started_ms": engine.started_ms})
            })
            .collect();
        let config = json!({
            "name": format!("n{}", gateway.number), "listen": gateway.address.to_string(),
            "seed": format!("{:x}", self.seed ^ gateway.number as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}, "dns": resolver.address(gateway.number).to_string(),
            "known": {"no": number, "items": [{"no": number, "roster": {"version": 1, "full": true, "servers": servers}}]},
            "settings": self.settings
        });
        let (path, fresh) = (self.config_path(gateway), self.config_path(gateway).with_extension("new"));
        std::fs::write(&fresh, config.to_string())?;
        std::fs::rename(fresh, path)
    }

    /// Starts a process and waits until it listens.
    fn spawn(&self, gateway: &Gateway) -> std::io::Result<()> {
        let own = std::env::current_exe()?;
        let log = self.folder.join(format!("n{}.log", gateway.number));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(own.with_file_name("violetward"));
        command.args(["--with-parent", "--log-level", "debug", "platform"]);
        command.env("PROXY_CONFIG", self.config_path(gateway)).env_remove("PROXY_LISTEN");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        if self.one_in > 0 || gateway.clock.seconds != 0 {
            command.env("LD_PRELOAD", own.with_file_name("libvioletward_callfaults.so"));
            command.env("CALLFAULTS_ONE_IN", self.one_in.to_string());
            command.env("CALLFAULTS_SEED", (self.seed * 1_000 + gateway.number as u64).to_string());
            command.env("CALLFAULTS_CLOCK_STEP_S", gateway.clock.seconds.to_string());
            command.env("CALLFAULTS_CLOCK_STEP_AT_MS", gateway.clock.after.as_millis().to_string());
            command.env("CALLFAULTS_COUNTS", self.counts_path(gateway));
        }
        *gateway.child() = Some(self.spawner.spawn(command)?);
        let since = Instant::now();
        while TcpStream::connect(gateway.address).is_err() {
            if since.elapsed() > READY_WITHIN || gateway.ended().is_some() {
                let why = format!("n{} does not listen", gateway.number);
                return Err(std::io::Error::new(std::io::ErrorKind::TimedOut, why));
            }
            std::thread::sleep(LOOK);
        }
        gateway.set_ready(Some(Instant::now()));
        gateway.in_front.store(true, Ordering::Release);
        Ok(())
    }

    fn kill(&self, gateway: &Gateway) {
        gateway.set_ready(None);
        if let Some(mut child) = gateway.child().take() {
            gateway.note_peak_memory(&child);
            child.kill().ok();
            child.wait().ok();
        }
    }

    fn start_again(&self, world: &World, gateway: &Gateway) {
        let told = world.resolver.address(gateway.number);
        let started = self.write_config(gateway, &world.resolver).and_then(|()| self.spawn(gateway));
        if let Err(error) = started {
            eprintln!("n{}: {error}", gateway.number);
        }
        // A reload that came while it started was not for it.
        std::thread::sleep(RELOADS_AFTER);
        if told != world.resolver.address(gateway.number) {
            self.write_config(gateway, &world.resolver).ok();
            gateway.signal(Signal::HUP);
        }
    }

    /// SIGTERM; SIGKILL at its earliest if it has not ended by then; a new start.
    pub fn restart(&self, world: &World, number: usize, series: bool) {
        let gateway = &self.all[number];
        if !gateway.take() {
            return;
        }
        world.records.note(Event::Terminated { gateway: number });
        let told = Instant::now();
        gateway.signal(Signal::TERM);
        if series {
            [Signal::HUP, Signal::TERM, Signal::INT].into_iter().for_each(|signal| gateway.signal(signal));
        }
        std::thread::sleep(FRONT_NOTICES);
        gateway.in_front.store(false, Ordering::Release);
        while told.elapsed() < self.longest + KILL_AFTER && gateway.ended().is_none() {
            std::thread::sleep(LOOK);
        }
        if gateway.ended().is_none() {
            world.records.note(Event::Killed { gateway: number, after_sigterm: true });
        }
        self.kill(gateway);
        self.start_again(world, gateway);
        gateway.busy.store(false, Ordering::Release);
    }

    /// SIGKILL and a new start.
    pub fn kill_and_start(&self, world: &World, number: usize) {
        let gateway = &self.all[number];
        if !gateway.take() {
            return;
        }
        world.records.note(Event::Killed { gateway: number, after_sigterm: false });
        gateway.in_front.store(false, Ordering::Release);
        self.kill(gateway);
        self.start_again(world, gateway);
        gateway.busy.store(false, Ordering::Release);
    }

    /// SIGSTOP, and SIGCONT after a span.
    pub fn stop_for(&self, world: &World, number: usize, span: Duration) {
        let gateway = &self.all[number];
        if !gateway.take() {
            return;
        }
        world.records.note(Event::Stopped { gateway: number, span });
        gateway.signal(Signal::STOP);
        std::thread::sleep(span);
        gateway.signal(Signal::CONT);
        gateway.busy.store(false, Ordering::Release);
    }

    /// Every configuration is written anew, and SIGHUP comes twice.
    pub fn reload(&self, world: &World) {
        for gateway in self.all.iter().filter(|gateway| gateway.takes_reloads()) {
            self.write_config(gateway, &world.resolver).ok();
            gateway.signal(Signal::HUP);
            gateway.signal(Signal::HUP);
        }
    }

    /// Ends all processes; tells of those that had ended by themselves.
    pub fn stop(&self) -> Vec<String> {
        let died = |gateway: &Gateway| {
            let ended = gateway.ended().map(|status| format!("n{} has ended: {status}", gateway.number));
            self.kill(gateway);
            ended
        };
        self.all.iter().filter_map(died).collect()
    }

    /// The highest resident memory of each gateway's processes, in kilobytes, and whether it is over the limit.
    pub fn peak_memory_kb(&self) -> Vec<(u64, bool)> {
        let peaks = self.all.iter().map(|gateway| gateway.peak_memory_kb.load(Ordering::Acquire));
        peaks.map(|peak| (peak, peak > MEMORY_MB << 10)).collect()
    }

    /// How often each kind of call went wrong, over all gateways. A process counts from nothing: the last ones' counts.
    pub fn calls(&self) -> [u64; 4] {
        let mut sum = [0; 4];
        for gateway in &self.all {
            let bytes = std::fs::read(self.counts_path(gateway)).unwrap_or_default();
            for (count, place) in sum.iter_mut().zip(bytes.chunks(8)) {
                *count += place.try_into().map(u64::from_le_bytes).unwrap_or(0);
            }
        }
        sum
    }

    fn counts_path(&self, gateway: &Gateway) -> PathBuf {
        Path::new(&self.folder).join(format!("n{}.calls", gateway.number))
    }
}
