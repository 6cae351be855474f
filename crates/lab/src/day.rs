//! A day from start to end: engines and gateways as processes of their own, clients in this one, troubles in between.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use rustix::process::Signal;
use violetward_net::{sleep, Pool};
use violetward_standin::journal;
use violetward_standin::server::clock;
use violetward_statement::http::Limits;

use crate::checker::{self, Evidence, GatewayLife, ListChange, Terms};
use crate::client::{self, Record};
use crate::fleet::{self, GatewayPlan, Listed};
use crate::load::{Draw, Shape};
use crate::process::{self, Process};
use crate::report::Report;
use crate::trouble;

/// Who decides in the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Policy {
    /// The module, as in service.
    Module,
    /// Random choice.
    Random,
    /// Least in flight.
    LeastInFlight,
}

impl Policy {
    /// Its name on the command line.
    pub fn word(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Random => "random",
            Policy::LeastInFlight => "least-in-flight",
        }
    }
}

/// What a day is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// For the report.
    pub name: String,
    /// Everything drawn is drawn from it.
    pub seed: u64,
    /// How long clients come.
    pub span: Duration,
    /// Engines at the start.
    pub engines: usize,
    /// Gateways.
    pub gateways: usize,
    /// Work asked for, against all cores.
    pub load: f64,
    /// How late the list tells what has happened.
    pub list_lag: Duration,
    /// What goes wrong, and when.
    pub troubles: Vec<(Duration, String)>,
    /// Who decides.
    pub policy: Policy,
    /// What scheduling may cost in the checker's comparisons of times.
    pub slack: Duration,
    /// Where the day's files are left; a temporary folder, removed in the end, without it.
    pub keep: Option<PathBuf>,
    /// Gateways are notebook kernels too.
    pub kernels: bool,
    /// Share of look-ups and reports that run in a transaction each.
    pub pinned: f64,
}

impl Plan {
    /// A day with one trouble in its middle.
    pub fn replay(trouble: &str, seed: u64, policy: Policy) -> Plan {
        Plan {
            name: trouble.to_owned(),
            seed,
            span: Duration::from_secs(12),
            engines: 6,
            gateways: 3,
            load: 0.8,
            list_lag: Duration::from_millis(1500),
            troubles: vec![(Duration::from_secs(3), trouble.to_owned())],
            policy,
            slack: Duration::from_millis(250),
            keep: None,
            kernels: false,
            pinned: 0.0,
        }
    }

    /// The scripted bad day: one trouble after the other, some at once.
    pub fn bad_day(seed: u64, policy: Policy) -> Plan {
        let at = |s: f64, name: &str| (Duration::from_secs_f64(s), name.to_owned());
        Plan {
            name: "badday".into(),
            span: Duration::from_secs(30),
            engines: 8,
            troubles: vec![
                at(3.0, "crash"),
                at(6.0, "slow"),
                at(9.0, "answer_lost"),
                at(10.0, "balancer_crash"),
                at(13.0, "hang"),
                at(16.0, "burst"),
                at(18.0, "vanish"),
                at(21.0, "fast_errors"),
                at(23.0, "hot_key"),
                at(25.0, "flush"),
            ],
            ..Plan::replay("", seed, policy)
        }
    }
}

/// An engine of the day.
pub struct EngineSlot {
    /// As the list has it.
    pub listed: Listed,
    /// Where it takes faults.
    pub control: SocketAddr,
    process: Process,
}

/// A gateway of the day.
pub struct GatewaySlot {
    /// Where it listens.
    pub address: SocketAddr,
    process: Process,
}

/// The day while it runs.
pub struct World {
    /// The plan.
    pub plan: Plan,
    /// Its files.
    pub folder: PathBuf,
    /// Runs its tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Its engines; one that is gone for good is taken out.
    pub engines: RefCell<Vec<EngineSlot>>,
    /// Its gateways.
    pub gateways: RefCell<Vec<GatewaySlot>>,
    /// What clients do differently now.
    pub shape: Cell<Shape>,
    /// The list lags by this now.
    pub lag: Cell<Duration>,
    list: RefCell<Vec<Listed>>,
    changes: RefCell<Vec<ListChange>>,
    lives: RefCell<Vec<GatewayLife>>,
    next_engine: Cell<usize>,
    pools: RefCell<std::collections::HashMap<SocketAddr, Rc<Pool>>>,
}

impl World {
    fn spawn_engine(&self, cold: bool) -> std::io::Result<EngineSlot> {
        let n = self.next_engine.get() + 1;
        self.next_engine.set(n);
        let name = format!("e{n}");
        let kind = if n % 3 == 0 { "m4" } else { "m8" };
        let file = self.folder.join(format!("{name}.address"));
        let path = |p: PathBuf| p.display().to_string();
        let mut arguments: Vec<String> = vec!["engine".into(), "--name".into(), name.clone()];
        arguments.extend(["--kind".into(), kind.into(), "--seed".into(), "1".into()]);
        arguments.extend(["--journal".into(), path(self.folder.join(format!("{name}.jsonl")))]);
        arguments.extend(["--storage".into(), path(self.folder.join("storage"))]);
        arguments.extend(["--address-file".into(), path(file.clone())]);
        if cold {
            arguments.push("--cold".into());
        }
        let process = Process::start(&arguments, &self.folder.join(format!("{name}.log")))?;
        let control = process::address_from(&file.with_extension("control"))?;
        let address = process::address_from(&file)?;
        let came_up = if cold { clock() } else { 0 };
        let listed = Listed { name, address, kind: kind.into(), came_up, state: "up" };
        Ok(EngineSlot { listed, control, process })
    }

    fn spawn_gateway(&self, number: usize, address: Option<SocketAddr>) -> std::io::Result<GatewaySlot> {
        let listen = address.map_or("127.0.0.1:0".into(), |a| a.to_string());
        let rate = self.rate();
        let quota = rate / 3.0 * 1.5;
        let tenants =
            ["north", "south", "east"].map(|t| format!("(tenant {t} (per-second {quota:.1}))")).join(" ");
        let kernel = match self.plan.kernels {
            true => {
                format!("(kernel (connection-file {:?}))\n", self.kernel_file(number).display().to_string())
            }
            false => String::new(),
        };
        let plan = GatewayPlan {
            number,
            of: self.plan.gateways,
            listen,
            engines: self.folder.join("engines.lisp"),
            more: format!(
                "(tenants {tenants})\n(limits (abandon-after \"15s\") (keep-ended \"10s\"))\n{kernel}"
            ),
        };
        let file = self.folder.join(format!("g{number}.lisp"));
        std::fs::write(&file, fleet::configuration(&plan))?;
        let ready = self.folder.join(format!("g{number}.address"));
        std::fs::remove_file(&ready).ok();
        let arguments: Vec<String> = vec![
            "gateway".into(),
            file.display().to_string(),
            "--address-file".into(),
            ready.display().to_string(),
            "--policy".into(),
            self.plan.policy.word().into(),
        ];
        let process = Process::start(&arguments, &self.folder.join(format!("g{number}.log")))?;
        let address = process::address_from(&ready)?;
        self.lives.borrow_mut().push(GatewayLife {
            gateway: number,
            from: clock(),
            to: u64::MAX,
            stalls: Vec::new(),
        });
        Ok(GatewaySlot { address, process })
    }

    /// A gateway's connection file.
    pub fn kernel_file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("kernel{number}.json"))
    }

    /// Statements a second at the usual rate.
    pub fn rate(&self) -> f64 {
        let cores: f64 = (1..=self.plan.engines).map(|n| if n % 3 == 0 { 4.0 } else { 8.0 }).sum();
        self.plan.load * cores / Draw::mean_work()
    }

    /// Writes the list and notes what it now says.
    fn publish(&self) {
        let list = self.list.borrow();
        fleet::write_list(&self.folder.join("engines.lisp"), &list).ok();
        let at = clock();
        let mut changes = self.changes.borrow_mut();
        let mut known: std::collections::BTreeMap<String, &'static str> = Default::default();
        for change in changes.iter() {
            known.insert(change.engine.clone(), change.state);
        }
        for engine in list.iter() {
            if known.remove(&engine.name) != Some(engine.state) {
                changes.push(ListChange { at, engine: engine.name.clone(), state: engine.state });
            }
        }
        for (engine, state) in known {
            if state != "removed" {
                changes.push(ListChange { at, engine, state: "removed" });
            }
        }
    }

    /// The list will say so, as late as it does now.
    pub fn tell(self: &Rc<Self>, change: impl FnOnce(&mut Vec<Listed>) + 'static) {
        let world = self.clone();
        let lag = self.lag.get();
        self.executor
            .spawn(async move {
                sleep(lag).await;
                change(&mut world.list.borrow_mut());
                world.publish();
            })
            .detach();
    }

    /// An engine's process is gone, and is back after a span: the list tells both, late.
    pub fn tell_restart(self: &Rc<Self>, name: String, away: Duration) {
        let (world, gone) = (self.clone(), name.clone());
        let kept = self.list.borrow().iter().find(|e| e.name == name).cloned();
        self.tell(move |list| list.retain(|e| e.name != gone));
        self.executor
            .spawn(async move {
                sleep(away).await;
                let came_up = clock();
                world.tell(move |list| {
                    list.retain(|e| e.name != name);
                    list.extend(kept.map(|k| Listed { came_up, state: "up", ..k }));
                });
            })
            .detach();
    }

    /// Starts a further engine, cold, and tells of it.
    pub async fn add_engine(self: &Rc<Self>) {
        if let Ok(slot) = self.spawn_engine(true) {
            let listed = slot.listed.clone();
            self.engines.borrow_mut().push(slot);
            self.tell(move |list| list.push(listed));
        }
    }

    /// Ends an engine's process for good.
    pub fn end_engine(&self, name: &str) {
        let mut engines = self.engines.borrow_mut();
        if let Some(at) = engines.iter().position(|e| e.listed.name == name) {
            engines[at].process.kill();
            engines.remove(at);
        }
    }

    /// Names and control addresses of a share of the engines, from the first on; at least one.
    pub fn victims(&self, share: f64) -> Vec<(String, SocketAddr)> {
        let engines = self.engines.borrow();
        let n = ((engines.len() as f64 * share).round() as usize).max(1);
        engines.iter().take(n).map(|e| (e.listed.name.clone(), e.control)).collect()
    }

    /// Kills a gateway outright and starts it again after a span.
    pub async fn crash_gateway(self: &Rc<Self>, number: usize, away: Duration) {
        let address = {
            let mut gateways = self.gateways.borrow_mut();
            gateways[number].process.kill();
            gateways[number].address
        };
        self.end_life(number);
        sleep(away).await;
        self.start_gateway(number, address).await;
    }

    async fn start_gateway(self: &Rc<Self>, number: usize, address: SocketAddr) {
        for _ in 0..20 {
            match self.spawn_gateway(number, Some(address)) {
                Ok(slot) => {
                    self.gateways.borrow_mut()[number] = slot;
                    return;
                }
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Lets a gateway end in order and starts it again.
    pub async fn roll_gateway(self: &Rc<Self>, number: usize) {
        let address = {
            let gateways = self.gateways.borrow();
            gateways[number].process.signal(Signal::TERM);
            gateways[number].address
        };
        let start = Instant::now();
        while !self.gateways.borrow_mut()[number].process.has_ended()
            && start.elapsed() < Duration::from_secs(20)
        {
            sleep(Duration::from_millis(20)).await;
        }
        self.gateways.borrow_mut()[number].process.kill();
        self.end_life(number);
        self.start_gateway(number, address).await;
    }

    fn end_life(&self, number: usize) {
        let mut lives = self.lives.borrow_mut();
        if let Some(life) = lives.iter_mut().rev().find(|l| l.gateway == number) {
            life.to = clock();
        }
    }

    /// Stops a gateway's process for a span, and lets it go on.
    pub async fn stall_gateway(&self, number: usize, span: Duration) {
        let from = clock();
        self.gateways.borrow()[number].process.signal(Signal::STOP);
        sleep(span).await;
        self.gateways.borrow()[number].process.signal(Signal::CONT);
        let mut lives = self.lives.borrow_mut();
        if let Some(life) = lives.iter_mut().rev().find(|l| l.gateway == number) {
            life.stalls.push((from, clock()));
        }
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        self.pools
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Rc::new(Pool::new(address, limits, 256)))
            .clone()
    }

    /// One client: a front sends it to a gateway, and to another while none has taken the statement.
    async fn ask(self: Rc<Self>, mut ask: client::Ask) -> Record {
        let addresses = || self.gateways.borrow().iter().map(|g| g.address).collect::<Vec<_>>();
        client::run_somewhere(addresses, |address| self.pool(address), &mut ask, false).await
    }
}

/// Starts a day's engines and gateways.
///
/// # Errors
/// If a process does not start or a file cannot be written.
pub fn start(plan: &Plan) -> std::io::Result<Rc<World>> {
    let folder = match &plan.keep {
        Some(folder) => folder.clone(),
        None => {
            // Several days may run at once in one process.
            static DAYS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
            let n = DAYS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            std::env::temp_dir().join(format!("violetward-day-{}-{n}-{}", std::process::id(), clock()))
        }
    };
    std::fs::create_dir_all(folder.join("storage"))?;
    let world = Rc::new(World {
        plan: plan.clone(),
        folder,
        executor: Rc::new(LocalExecutor::new()),
        engines: RefCell::default(),
        gateways: RefCell::default(),
        shape: Cell::new(Shape::default()),
        lag: Cell::new(plan.list_lag),
        list: RefCell::default(),
        changes: RefCell::default(),
        lives: RefCell::default(),
        next_engine: Cell::new(0),
        pools: RefCell::default(),
    });
    for _ in 0..plan.engines {
        let slot = world.spawn_engine(false)?;
        world.list.borrow_mut().push(slot.listed.clone());
        world.engines.borrow_mut().push(slot);
    }
    world.publish();
    for number in 0..plan.gateways {
        let slot = world.spawn_gateway(number, None)?;
        world.gateways.borrow_mut().push(slot);
    }
    Ok(world)
}

impl World {
    /// Ends all processes, and removes the files unless they are to be kept. Tasks that still run hold the day, so that
    /// this is done by hand.
    pub fn end(&self) {
        self.engines.borrow_mut().clear();
        self.gateways.borrow_mut().clear();
        if self.plan.keep.is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }

    /// What all engines wrote down, by time.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub fn lines(&self) -> std::io::Result<Vec<journal::Line>> {
        let mut lines = Vec::new();
        for n in 1..=self.next_engine.get() {
            lines.extend(journal::read(&self.folder.join(format!("e{n}.jsonl")))?);
        }
        lines.sort_by_key(|l| l.at);
        Ok(lines)
    }
}

/// Runs a day and checks it.
///
/// # Errors
/// If a process does not start or a file cannot be written.
pub fn run(plan: &Plan) -> std::io::Result<Report> {
    let world = start(plan)?;
    let records = async_io::block_on(world.executor.run(live(world.clone())));
    // Engines write down what still ends after the last client has its answer.
    std::thread::sleep(Duration::from_millis(200));
    let report = check(&world, plan, records);
    if let Ok(report) = &report {
        std::fs::write(world.folder.join("report.txt"), report.to_string()).ok();
    }
    world.end();
    report
}

async fn live(world: Rc<World>) -> Vec<Record> {
    // Gateways have read the list by now; engines have told their load once.
    sleep(Duration::from_millis(400)).await;
    for (at, name) in world.plan.troubles.clone() {
        let task = world.clone();
        world
            .executor
            .spawn(async move {
                sleep(at).await;
                trouble::play(task, &name).await;
            })
            .detach();
    }
    let mut draw =
        Draw::new(world.plan.seed, world.rate(), world.plan.gateways, &format!("d{}", world.plan.seed));
    draw.pinned = world.plan.pinned;
    let mut clients = Vec::new();
    let start = Instant::now();
    let mut next = Duration::ZERO;
    while next < world.plan.span {
        let shape = world.shape.get();
        next += draw.pause(&shape);
        let now = start.elapsed();
        if next > now {
            sleep(next - now).await;
        }
        let ask = draw.next(&shape);
        clients.push(world.executor.spawn(world.clone().ask(ask)));
    }
    let mut records = Vec::new();
    for client in clients {
        records.push(client.await);
    }
    records
}

fn check(world: &World, plan: &Plan, records: Vec<Record>) -> std::io::Result<Report> {
    let lines = world.lines()?;
    let evidence = Evidence {
        records,
        lines,
        changes: world.changes.borrow().clone(),
        lives: world.lives.borrow().clone(),
    };
    if plan.keep.is_some() {
        save(&world.folder, &evidence).ok();
    }
    let broken =
        checker::check(&evidence, &Terms { slack: plan.slack.as_micros() as u64, ..Terms::default() });
    Ok(Report::new(&plan.name, plan.policy.word(), &evidence, broken))
}

fn save(folder: &Path, evidence: &Evidence) -> std::io::Result<()> {
    let lines: Vec<String> =
        evidence.records.iter().map(|r| serde_json::to_string(r).unwrap_or_default()).collect();
    std::fs::write(folder.join("clients.jsonl"), lines.join("\n"))
}
