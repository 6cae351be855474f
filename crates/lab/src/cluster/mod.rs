//! Several gateways and engines as processes of their own, with relays and faults between them: `violetward-lab cluster`.
//!
//! Each gateway is a process of `violetward`, each engine one of `violetward-standin`; clients, relays and the samples of
//! what gateways believe are here. What has to hold is checked from what clients and engines wrote down, and from the
//! samples.

pub mod check;
pub mod costs;
pub mod custody;
pub mod forged;
pub mod plan;
pub mod plans;
pub mod relay;
pub mod settings;
pub mod site;
pub mod timeline;
pub mod windows;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io::{IsTerminal, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use rustix::process::Signal;
use violetward_gateway::{agreement, config, custody as held, outage, peers, windows as gateway_windows};
use violetward_membership::wire::{Datagram, Kind};
use violetward_membership::{Key, Keys};
use violetward_net::{sleep, Pool};
use violetward_standin::journal;
use violetward_standin::server::clock;
use violetward_statement::http::Limits;

use crate::checker::{Evidence, GatewayLife, ListChange};
use crate::client::{self, Record};
use crate::fleet::{self, GatewayPlan, Listed};
use crate::load::{Draw, Shape};
use crate::process::{self, Process};
use check::{Sample, Verdict};
use plan::{Act, Plan};
use relay::{Doors, Way};
use settings::Proposed;

/// Between two samples of what a gateway believes.
const SAMPLE: Duration = Duration::from_millis(200);
/// How long after the last client the run goes on at the least.
const SETTLE: Duration = Duration::from_secs(1);
/// How long a fleet that nobody asks is looked at.
const REST: Duration = Duration::from_secs(4);
/// The rig's keys: not secrets.
const OLD_KEY: &str = "(key old \"the rig's first key\")\n";
const NEW_KEY: &str = "(key new \"the rig's second key\")\n";

const OPERATOR: (&str, &str) = ("rig", "the rig's operator's key");
/// A lease's look and what is sent on it lie no further apart.
const LOOK: Duration = Duration::from_millis(100);

/// How a plan is to be run.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Everything drawn is drawn from it.
    pub seed: u64,
    /// Where what came of it is written.
    pub json: Option<PathBuf>,
    /// Where the files are left.
    pub keep: Option<PathBuf>,
    /// Without membership.
    pub even: bool,
    /// Without custody, where the plan has it.
    pub bare: bool,
    /// Sites are watched and nothing is done about a loss, where the plan has that.
    pub watch: bool,
}

struct Gateway {
    process: Option<Process>,
    address: SocketAddr,
    /// A second process of the same name.
    twin: Option<Process>,
}

struct EngineSlot {
    process: Option<Process>,
    listed: Listed,
}

/// A cluster while it runs.
pub struct Cluster {
    plan: Plan,
    options: Options,
    folder: PathBuf,
    executor: Rc<LocalExecutor<'static>>,
    gateways: RefCell<Vec<Gateway>>,
    engines: RefCell<Vec<EngineSlot>>,
    doors: Rc<Doors>,
    ways: RefCell<Vec<Vec<Rc<Way>>>>,
    lives: RefCell<Vec<GatewayLife>>,
    changes: RefCell<Vec<ListChange>>,
    samples: RefCell<Vec<Sample>>,
    acts: RefCell<Vec<(u64, Act)>>,
    proposed: RefCell<Vec<Proposed>>,
    /// Contents by number, as any gateway told them.
    versions: RefCell<BTreeMap<u64, String>>,
    flips: Cell<u64>,
    /// When gateways were killed, and how long others took to end after SIGTERM.
    kills: RefCell<Vec<u64>>,
    terms: RefCell<Vec<Duration>>,
    /// How late the list comes to a gateway.
    lags: RefCell<HashMap<usize, Duration>>,
    /// When engines did not run.
    out: RefCell<Vec<windows::Out>>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Ways between clients and gateways, where a plan cuts some.
    fronts: RefCell<Vec<Rc<Way>>>,
    forged: RefCell<forged::Findings>,
    marks: RefCell<Vec<costs::Mark>>,
    over: Cell<bool>,
}

/// Runs `list`, a built-in plan or a file; says what came of it. False if something did not hold.
///
/// # Errors
/// If the plan can't be read, or a process does not start.
pub fn command(name: &str, options: &Options) -> std::io::Result<bool> {
    if name == "list" {
        plans::all().for_each(|(name, what, _)| println!("{name:<18} {what}"));
        return Ok(true);
    }
    let plan = plan::find(name).map_err(std::io::Error::other)?;
    let verdict = run(&plan, options)?;
    if let Some(file) = &options.json {
        std::fs::write(file, serde_json::to_string_pretty(&verdict.json)?)?;
    }
    println!("{verdict}");
    Ok(verdict.failed.is_none())
}

/// Runs a plan and checks it.
///
/// # Errors
/// If a process does not start or a file cannot be written.
pub fn run(plan: &Plan, options: &Options) -> std::io::Result<Verdict> {
    let folder = match &options.keep {
        // Gateways read their files' names from where those files are.
        Some(folder) => std::path::absolute(folder)?,
        None => crate::demo::scratch(&format!("cluster-{}", clock()))?,
    };
    if std::fs::read_dir(&folder).is_ok_and(|mut entries| entries.next().is_some()) {
        // What an earlier run wrote down would be read as this one's.
        return Err(std::io::Error::other(format!("{} is not empty", folder.display())));
    }
    std::fs::create_dir_all(folder.join("storage"))?;
    let executor = Rc::new(LocalExecutor::new());
    let doors = Doors::open(plan.gateways, options.seed, &executor)?;
    let cluster = Rc::new(Cluster {
        plan: plan.clone(),
        options: options.clone(),
        folder: folder.clone(),
        executor: executor.clone(),
        gateways: RefCell::default(),
        engines: RefCell::default(),
        doors,
        ways: RefCell::default(),
        lives: RefCell::default(),
        changes: RefCell::default(),
        samples: RefCell::default(),
        acts: RefCell::default(),
        proposed: RefCell::default(),
        versions: RefCell::default(),
        flips: Cell::default(),
        kills: RefCell::default(),
        terms: RefCell::default(),
        lags: RefCell::default(),
        out: RefCell::default(),
        pools: RefCell::default(),
        fronts: RefCell::default(),
        forged: RefCell::default(),
        marks: RefCell::default(),
        over: Cell::new(false),
    });
    let records = async_io::block_on(executor.run(cluster.clone().live()));
    let verdict = match records {
        Ok(records) => {
            std::thread::sleep(Duration::from_millis(200));
            let evidence = cluster.evidence(records)?;
            let verdict = check::check(
                plan,
                options,
                &evidence,
                (&cluster.samples.borrow(), &cluster.acts.borrow()),
                (cluster.doors.counts.get(), &cluster.forged.borrow(), &cluster.marks.borrow()),
                (&cluster.versions.borrow(), &cluster.proposed.borrow()),
                (&cluster.kills.borrow(), &cluster.terms.borrow(), &cluster.out.borrow()),
            );
            if options.keep.is_some() {
                let svg = timeline::draw(plan, &evidence, &cluster.samples.borrow(), &cluster.acts.borrow());
                std::fs::write(folder.join("timeline.svg"), svg)?;
            }
            Ok(verdict)
        }
        Err(e) => Err(e),
    };
    // Tasks that still run hold the cluster: its processes are ended by hand.
    cluster.gateways.borrow_mut().clear();
    cluster.engines.borrow_mut().clear();
    if options.keep.is_none() {
        std::fs::remove_dir_all(&folder).ok();
    }
    verdict
}

impl Cluster {
    async fn live(self: Rc<Self>) -> std::io::Result<Vec<Record>> {
        for n in 0..self.plan.engines {
            let slot = self.start_engine(n, false)?;
            self.engines.borrow_mut().push(slot);
        }
        for number in 0..self.plan.gateways {
            let row: std::io::Result<Vec<_>> =
                self.engines.borrow().iter().map(|e| Way::open(e.listed.address, &self.executor)).collect();
            self.ways.borrow_mut().push(row?);
            std::fs::write(self.folder.join(format!("keys{number}.lisp")), OLD_KEY)?;
        }
        std::fs::write(
            self.folder.join("operators.lisp"),
            format!("(key {} {:?})\n", OPERATOR.0, OPERATOR.1),
        )?;
        self.publish()?;
        for number in 0..self.plan.gateways {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let (process, address) = self.start_gateway(number, any)?;
            self.gateways.borrow_mut().push(Gateway { process: Some(process), address, twin: None });
        }
        for number in 0..self.plan.gateways {
            self.lead_to(number).await;
            self.executor.spawn(self.clone().sample(number)).detach();
        }
        if self.plan.acts.iter().any(|a| matches!(a.1, Act::CutClients(_))) {
            for gateway in self.gateways.borrow().iter() {
                self.fronts.borrow_mut().push(Way::open(gateway.address, &self.executor)?);
            }
        }
        sleep(Duration::from_millis(400)).await;
        self.mark();
        let start = Instant::now();
        for (at, act) in self.plan.acts.clone() {
            let cluster = self.clone();
            self.executor
                .spawn(async move {
                    sleep(at).await;
                    cluster.acts.borrow_mut().push((clock(), act.clone()));
                    cluster.play(act).await;
                })
                .detach();
        }
        let records = self.clone().clients(start).await;
        self.mark();
        if self.plan.keepers > 0 && self.plan.acts.is_empty() {
            // What a gateway costs while nobody asks.
            sleep(SETTLE).await;
            self.mark();
            sleep(REST).await;
            self.mark();
        }
        // What is expected within a span of the last act needs that long.
        let last = self.plan.acts.iter().map(|a| a.0 + a.1.lasts()).max().unwrap_or_default();
        let expect = &self.plan.expect;
        let settings = expect.settings.map_or(Duration::ZERO, |s| s.0);
        let until = last + expect.agree.max(expect.shares.unwrap_or_default()).max(settings) + SETTLE;
        while start.elapsed() < until {
            sleep(Duration::from_millis(50)).await;
        }
        self.over.set(true);
        sleep(SAMPLE).await;
        Ok(records)
    }

    async fn clients(self: Rc<Self>, start: Instant) -> Vec<Record> {
        let cores: f64 = (0..self.plan.engines).map(cores).sum();
        let rate = self.plan.load * cores / Draw::mean_work();
        let mut draw =
            Draw::new(self.options.seed, rate, self.plan.gateways, &format!("c{}", self.options.seed));
        let (mut clients, mut next, mut shown) = (Vec::new(), Duration::ZERO, Instant::now());
        let shape = |at: Duration| Shape { rate: self.plan.rate_at(at), ..Shape::default() };
        while next < self.plan.span {
            next += draw.pause(&shape(next));
            let now = start.elapsed();
            if next > now {
                sleep(next - now).await;
            }
            let (cluster, mut ask) = (self.clone(), draw.next(&Shape::default()));
            if self.plan.acts_on_loss {
                ask.context.tags.push(format!("site=s{}", ask.record.gateway % self.plan.sites));
                if let Some((_, times)) = self.plan.liar.filter(|l| l.0 == ask.record.gateway) {
                    ask.context.estimated_cpu = ask.context.estimated_cpu.map(|told| told.mul_f64(times));
                }
            }
            clients.push(self.executor.spawn(async move {
                let addresses = || cluster.addresses();
                let goes_on = cluster.plan.keepers > 0;
                client::run_somewhere(addresses, |address| cluster.pool(address), &mut ask, goes_on).await
            }));
            if shown.elapsed() > Duration::from_millis(200) {
                shown = Instant::now();
                self.progress(start.elapsed());
            }
        }
        let mut records = Vec::new();
        for client in clients {
            records.push(client.await);
        }
        if std::io::stderr().is_terminal() {
            eprintln!();
        }
        records
    }

    /// A bar on a terminal, and nothing elsewhere.
    fn progress(&self, now: Duration) {
        let mut err = std::io::stderr();
        if err.is_terminal() {
            let part = (now.as_secs_f64() / self.plan.span.as_secs_f64()).min(1.0);
            let full = (part * 40.0) as usize;
            let line = format!(
                "\r{} [{}{}] {:3.0}%",
                self.plan.name,
                "#".repeat(full),
                " ".repeat(40 - full),
                part * 100.0
            );
            err.write_all(line.as_bytes()).ok();
        }
    }

    /// Where clients find the gateways.
    fn addresses(&self) -> Vec<SocketAddr> {
        let fronts = self.fronts.borrow();
        if !fronts.is_empty() {
            return fronts.iter().map(|way| way.address).collect();
        }
        self.gateways.borrow().iter().map(|g| g.address).collect()
    }

    /// Writes down what everything has cost up to now.
    fn mark(&self) {
        let running = |g: &Gateway| g.process.as_ref().map(|p| crate::overhead::cpu(p.id()));
        let cpu = self.gateways.borrow().iter().filter_map(running).sum();
        let mark = costs::Mark { at: Instant::now(), traffic: self.doors.traffic.get(), cpu };
        self.marks.borrow_mut().push(mark);
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        let mut pools = self.pools.borrow_mut();
        pools.entry(address).or_insert_with(|| Rc::new(Pool::new(address, limits, 256))).clone()
    }

    // ---- Processes -------------------------------------------------------------------------------------

    fn start_engine(&self, n: usize, cold: bool) -> std::io::Result<EngineSlot> {
        let name = format!("e{n}");
        let file = self.folder.join(format!("{name}.address"));
        std::fs::remove_file(&file).ok();
        let path = |p: PathBuf| p.display().to_string();
        let kind = if cores(n) < 8.0 { "m4" } else { "m8" };
        let mut arguments: Vec<String> = vec!["--name".into(), name.clone(), "--kind".into(), kind.into()];
        arguments.extend([
            "--cores".into(),
            cores(n).to_string(),
            "--memory".into(),
            (cores(n) * 2048.0).to_string(),
        ]);
        arguments.extend(["--listen".into(), "127.0.0.1:0".into(), "--cold-span-ms".into(), "8000".into()]);
        arguments.extend(["--journal".into(), path(self.folder.join(format!("{name}.jsonl")))]);
        arguments.extend(["--storage".into(), path(self.folder.join("storage"))]);
        arguments.extend(["--address-file".into(), path(file.clone())]);
        if cold {
            arguments.push("--cold".into());
        }
        let process =
            Process::beside("violetward-standin", &arguments, &self.folder.join(format!("{name}.log")))?;
        let address = process::address_from(&file)?;
        let came_up = if cold { clock() } else { 0 };
        Ok(EngineSlot {
            process: Some(process),
            listed: Listed { name, address, kind: kind.into(), came_up, state: "up" },
        })
    }

    /// The list as each gateway has it: its own ways to the engines. Those that lag get it later.
    fn publish(&self) -> std::io::Result<()> {
        let engines = self.engines.borrow();
        for (number, ways) in self.ways.borrow().iter().enumerate() {
            let listed: Vec<Listed> = engines
                .iter()
                .zip(ways)
                .filter(|(e, _)| e.process.is_some())
                .map(|(e, way)| Listed { address: way.address, ..e.listed.clone() })
                .collect();
            let file = self.folder.join(format!("engines{number}.lisp"));
            match self.lags.borrow().get(&number).copied() {
                Some(lag) => self
                    .executor
                    .spawn(async move {
                        sleep(lag).await;
                        fleet::write_list(&file, &listed).ok();
                    })
                    .detach(),
                None => fleet::write_list(&file, &listed)?,
            }
        }
        let (at, mut changes) = (clock(), self.changes.borrow_mut());
        for engine in engines.iter() {
            let state = if engine.process.is_some() { engine.listed.state } else { "removed" };
            let name = engine.listed.name.clone();
            if changes.iter().rev().find(|c| c.engine == name).map(|c| c.state) != Some(state) {
                changes.push(ListChange { at, engine: name, state });
            }
        }
        Ok(())
    }

    fn start_gateway(&self, number: usize, listen: SocketAddr) -> std::io::Result<(Process, SocketAddr)> {
        self.start_process(number, listen, &format!("g{number}"))
    }

    fn start_process(
        &self,
        number: usize,
        listen: SocketAddr,
        stem: &str,
    ) -> std::io::Result<(Process, SocketAddr)> {
        let mut more = "(limits (abandon-after \"15s\") (keep-ended \"10s\"))\n".to_owned();
        if !self.options.even {
            let others = || (0..self.plan.gateways).filter(|&n| n != number);
            let mut words = [String::new(), String::new()];
            for other in others() {
                let door = self.doors.address(number, other)?;
                words[0] += &format!(" \"{door}\"");
                words[1] += &format!("\n  (via g{other} \"{door}\")");
            }
            let seeds = if words[0].is_empty() { String::new() } else { format!("(seeds{})", words[0]) };
            more += &format!(
                "(membership (listen \"127.0.0.1:0\") (name g{number}) (site s{}) {seeds}\n  (key-file \"keys{number}.lisp\") (period \"{}ms\") (widen 0.25){})\n",
                number % self.plan.sites,
                self.plan.period.as_millis(),
                words[1]
            );
        }
        if self.plan.voters > 0 {
            let voters: Vec<String> = (0..self.plan.voters).map(|n| format!("g{n}")).collect();
            more += &format!(
                "(agreement (voters {}) (folder \"votes{number}\") (lease \"{}ms\") (check \"{}ms\") (key-file \"operators.lisp\")\n  (floor (classes notice) (engines e0 e1)))\n",
                voters.join(" "),
                self.plan.lease.as_millis(),
                LOOK.as_millis()
            );
            if !self.plan.odd.contains(&number) {
                more += "(tenants (tenant extra (per-second 100000)))\n";
            }
        }
        if let Some(held) = &self.plan.windows {
            more += &windows::section(held, number);
            let folder = self.folder.join(format!("windows{number}"));
            if !folder.exists() {
                windows::learn(&self.plan, held, &folder, clock())?;
            }
        }
        if self.plan.keepers > 0 && !self.options.even && !self.options.bare {
            let keepers: Vec<String> = (0..self.plan.keepers).map(|n| format!("g{n}")).collect();
            more += &format!(
                "(custody (voters {}) (folder \"custody{number}\") (lease \"{}ms\") (check \"{}ms\") (copies {}))\n",
                keepers.join(" "),
                self.plan.lease.as_millis(),
                LOOK.as_millis(),
                self.plan.copies
            );
        }
        if self.plan.acts_on_loss && !self.options.even {
            more += &site::section(&self.plan, !self.options.watch);
        }
        let engines = self.folder.join(format!("engines{number}.lisp"));
        let plan = GatewayPlan { number, of: self.plan.gateways, listen: listen.to_string(), engines, more };
        let file = self.folder.join(format!("{stem}.lisp"));
        std::fs::write(&file, fleet::configuration(&plan))?;
        let known = self.lives.borrow().iter().any(|l| l.gateway == number);
        if number < self.plan.voters && !known {
            let config = config::load(&file).map_err(|m| std::io::Error::other(m.join("\n")))?;
            let terms = config.agreement.ok_or_else(|| std::io::Error::other("no agreement"))?;
            agreement::init_votes(&terms).map_err(std::io::Error::other)?;
        }
        let ready = self.folder.join(format!("{stem}.address"));
        std::fs::remove_file(&ready).ok();
        let arguments: Vec<String> = vec![
            "--log".into(),
            "json".into(),
            "serve".into(),
            file.display().to_string(),
            "--address-file".into(),
            ready.display().to_string(),
        ];
        let process = Process::beside("violetward", &arguments, &self.folder.join(format!("{stem}.log")))?;
        let address = process::address_from(&ready)?;
        if stem == format!("g{number}") {
            self.lives.borrow_mut().push(GatewayLife {
                gateway: number,
                from: clock(),
                to: u64::MAX,
                stalls: vec![],
            });
        }
        Ok((process, address))
    }

    /// Leads the doors to where a gateway takes datagrams.
    async fn lead_to(&self, number: usize) {
        if self.options.even {
            return;
        }
        let address = self.gateways.borrow()[number].address;
        for _ in 0..40 {
            if let Ok(view) = peers::fetch_status(address).await {
                self.doors.lead_to(number, view.address.parse().ok());
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn end_life(&self, number: usize) {
        if let Some(life) =
            self.lives.borrow_mut().iter_mut().rev().find(|l| l.gateway == number && l.to == u64::MAX)
        {
            life.to = clock();
        }
    }

    /// Asks a gateway what it believes, again and again.
    async fn sample(self: Rc<Self>, number: usize) {
        while !self.over.get() {
            let address = {
                let gateways = self.gateways.borrow();
                gateways[number].process.as_ref().map(|_| gateways[number].address)
            };
            if let Some(address) = address.filter(|_| !self.options.even) {
                let at = clock();
                if let Ok(view) = peers::fetch_status(address).await {
                    let mut settings = None;
                    if self.plan.voters > 0 {
                        let known = self.versions.borrow().keys().next_back().copied().unwrap_or(0);
                        settings = agreement::fetch_status_since(address, known).await.ok();
                    }
                    if let Some(standing) = &mut settings {
                        for version in standing.history.drain(..) {
                            self.versions.borrow_mut().insert(version.number, version.content);
                        }
                    }
                    let mut custody = None;
                    if self.plan.keepers > 0 {
                        custody = held::fetch_status(address).await.ok();
                    }
                    let mut windows = None;
                    if self.plan.windows.is_some() {
                        windows = gateway_windows::fetch_status(address).await.ok();
                    }
                    let mut sites = None;
                    if self.plan.acts_on_loss {
                        sites = outage::fetch_status(address).await.ok();
                    }
                    let sample = Sample { at, gateway: number, view, settings, custody, windows, sites };
                    self.samples.borrow_mut().push(sample);
                }
            }
            sleep(SAMPLE).await;
        }
    }

    // ---- Acts ------------------------------------------------------------------------------------------

    async fn play(self: Rc<Self>, act: Act) {
        match act {
            Act::Kill(all) => all.into_iter().for_each(|n| self.kill(n)),
            Act::Start(all) => {
                for n in all {
                    self.start(n).await;
                }
            }
            Act::Term(all) => {
                for n in all {
                    self.term(n).await;
                }
            }
            Act::Kills(every, count, all) => {
                for i in 0..count {
                    let (begun, n) = (Instant::now(), all[i % all.len()]);
                    self.kill(n);
                    sleep(every / 2).await;
                    self.start(n).await;
                    sleep(every.saturating_sub(begun.elapsed())).await;
                }
            }
            Act::Roll(all) => {
                for n in all {
                    self.term(n).await;
                    self.start(n).await;
                    // Known to the others before the next one goes.
                    sleep(Duration::from_secs(1)).await;
                }
            }
            Act::Stop(all, span) => {
                let from = clock();
                let signal = |signal| {
                    let gateways = self.gateways.borrow();
                    all.iter().filter_map(|&n| gateways[n].process.as_ref()).for_each(|p| p.signal(signal));
                };
                signal(Signal::STOP);
                sleep(span).await;
                signal(Signal::CONT);
                let mut lives = self.lives.borrow_mut();
                for life in lives.iter_mut().filter(|l| l.to == u64::MAX && all.contains(&l.gateway)) {
                    life.stalls.push((from, clock()));
                }
            }
            Act::Cut(from, to) => {
                from.iter()
                    .for_each(|&a| to.iter().filter(|&&b| b != a).for_each(|&b| self.doors.cut(a, b, true)));
            }
            Act::Part(groups) => {
                self.doors.heal();
                let group = |n: usize| groups.iter().position(|g| g.contains(&n));
                for a in 0..self.plan.gateways {
                    for b in (0..self.plan.gateways).filter(|&b| group(a) != group(b)) {
                        self.doors.cut(a, b, true);
                    }
                }
            }
            Act::Heal => {
                self.doors.heal();
                let parted = self.plan.acts.iter().any(|a| a.1 == Act::PartSites);
                let mend = |way: &Rc<Way>| if parted { way.renew() } else { way.cut(false) };
                self.ways.borrow().iter().flatten().for_each(mend);
                self.fronts.borrow().iter().for_each(|way| way.cut(false));
            }
            Act::Weather(weather) => self.doors.set_weather(weather),
            Act::Twin(n) => {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                if let Ok((process, _)) = self.start_process(n, any, &format!("twin{n}")) {
                    self.gateways.borrow_mut()[n].twin = Some(process);
                }
            }
            Act::Propose(n, text) => drop(self.propose(n, text).await),
            Act::Flips(every, count, at) => {
                for i in 0..count {
                    let begun = Instant::now();
                    let number = self.flips.replace(self.flips.get() + 1);
                    // Contents differ, so that each can be told from the next but one.
                    let kind = if number % 2 == 0 { "m4" } else { "m8" };
                    self.propose(at[i % at.len()], format!("(class lookup (kinds {kind})) ; {number}")).await;
                    sleep(every.saturating_sub(begun.elapsed())).await;
                }
            }
            Act::Replace(n) => {
                let file = self.folder.join(format!("g{n}.lisp"));
                let gateways: Vec<SocketAddr> = self.gateways.borrow().iter().map(|g| g.address).collect();
                let others: Vec<SocketAddr> =
                    (0..self.plan.voters).filter(|&o| o != n).map(|o| gateways[o]).collect();
                let terms = config::load(&file).ok().and_then(|c| c.agreement);
                let done = match terms {
                    Some(terms) => agreement::replace_votes(&terms, &others).await.map(|_| ()),
                    None => Err("no agreement".into()),
                };
                done.unwrap_or_else(|why| eprintln!("g{n}: {why}"));
            }
            Act::Lag(span, all) => {
                self.lags.borrow_mut().extend(all.into_iter().map(|n| (n, span)));
            }
            Act::DrainEngines(all) => {
                all.into_iter().for_each(|n| self.engines.borrow_mut()[n].listed.state = "draining");
                self.publish().ok();
            }
            Act::Disk(n, what) => {
                if let Err(e) = settings::disk(&self.folder.join(format!("votes{n}")), what) {
                    eprintln!("g{n}: {what:?}: {e}");
                }
            }
            Act::Flood(count) => self.flood(count).await,
            Act::Rekey => {
                let write = |n: usize, text: &str| {
                    let (fresh, file) =
                        (self.folder.join(format!("keys{n}.new")), self.folder.join(format!("keys{n}.lisp")));
                    std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &file)).ok();
                };
                let (both, turned) = (format!("{OLD_KEY}{NEW_KEY}"), format!("{NEW_KEY}{OLD_KEY}"));
                let late = self.plan.gateways - 1;
                // Believed everywhere first; then it signs everywhere but at the last, which goes on with the old one.
                (0..=late).for_each(|n| write(n, &both));
                sleep(Duration::from_secs(1)).await;
                (0..late).for_each(|n| write(n, &turned));
                sleep(Duration::from_secs(2)).await;
                write(late, &turned);
                sleep(Duration::from_secs(1)).await;
                (0..=late).for_each(|n| write(n, NEW_KEY));
            }
            Act::PartSites => {
                let site = |n: usize| n % self.plan.sites;
                for a in 0..self.plan.gateways {
                    for b in (0..self.plan.gateways).filter(|&b| site(a) != site(b)) {
                        self.doors.cut(a, b, true);
                    }
                    let ways = &self.ways.borrow()[a];
                    ways.iter().enumerate().filter(|w| site(w.0) != site(a)).for_each(|w| w.1.cut(true));
                }
            }
            Act::CutEngines(all) => {
                let ways = self.ways.borrow();
                all.iter().for_each(|&n| ways[n].iter().for_each(|way| way.cut(true)));
            }
            Act::CutClients(all) => all.iter().for_each(|&n| self.fronts.borrow()[n].cut(true)),
            Act::KillTakers(count, back) => self.kill_takers(count, back).await,
            Act::Forge => {
                let mut draw =
                    Draw::new(self.options.seed, 1.0, self.plan.gateways, &format!("f{}", self.options.seed));
                // One that runs for a while, and is harmless to repeat, at each gateway.
                let mut asks: Vec<_> = std::iter::repeat_with(|| draw.next(&Shape::default()))
                    .filter(|ask| ask.record.class == "report")
                    .take(self.plan.gateways)
                    .collect();
                asks.iter_mut().enumerate().for_each(|(n, ask)| ask.record.gateway = n);
                let pools = || self.addresses().into_iter().map(|a| self.pool(a)).collect();
                let found = forged::play(pools, asks).await;
                *self.forged.borrow_mut() = found;
            }
            Act::KillEngines(all) => {
                all.into_iter().for_each(|n| self.kill_engine(n, false));
                self.publish().ok();
            }
            Act::StartEngines(all) => {
                all.into_iter().for_each(|n| self.start_engine_again(n));
                self.publish().ok();
            }
            Act::Window(ask) => {
                self.ask_for(&ask).await;
            }
            Act::Maintain(work, all) => {
                for n in all {
                    self.maintain(n, work).await;
                }
            }
            Act::RollEngines(work, all) => {
                for n in all {
                    self.engines.borrow_mut()[n].listed.state = "draining";
                    self.publish().ok();
                    sleep(Duration::from_secs(2)).await;
                    self.kill_engine(n, false);
                    sleep(work).await;
                    self.start_engine_again(n);
                    self.publish().ok();
                }
            }
        }
    }

    /// Kills whoever is seen to take statements over, so many in all, as soon as that is seen; they start again a span later.
    async fn kill_takers(&self, count: usize, back: Duration) {
        let mut before: HashMap<String, u64> = HashMap::new();
        for sample in self.samples.borrow().iter() {
            before.extend(sample.custody.as_ref().map(|c| (c.life.clone(), c.adopted)));
        }
        let (begun, mut killed) = (Instant::now(), Vec::new());
        while killed.len() < count && begun.elapsed() < Duration::from_secs(8) {
            for n in (0..self.plan.gateways).filter(|n| !killed.contains(n)).collect::<Vec<_>>() {
                let running = {
                    let gateways = self.gateways.borrow();
                    gateways[n].process.as_ref().map(|_| gateways[n].address)
                };
                let Some(address) = running else { continue };
                let Ok(standing) = held::fetch_status(address).await else { continue };
                let taken = standing.adopted > before.get(&standing.life).copied().unwrap_or(0);
                if taken && killed.len() < count {
                    self.kill(n);
                    killed.push(n);
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        sleep(back).await;
        for n in killed {
            self.start(n).await;
        }
    }

    fn kill_engine(&self, n: usize, window: bool) {
        if let Some(mut process) = self.engines.borrow_mut()[n].process.take() {
            process.kill();
            self.out.borrow_mut().push(windows::Out { engine: n, from: clock(), until: u64::MAX, window });
        }
    }

    fn start_engine_again(&self, n: usize) {
        if self.engines.borrow()[n].process.is_some() {
            return;
        }
        if let Ok(slot) = self.start_engine(n, true) {
            self.ways.borrow().iter().for_each(|row| row[n].lead_to(slot.listed.address));
            self.engines.borrow_mut()[n] = slot;
            let mut out = self.out.borrow_mut();
            out.iter_mut().filter(|o| o.engine == n && o.until == u64::MAX).for_each(|o| o.until = clock());
        }
    }

    /// Asks a gateway for a window, in a version after the newest that it knows. Whether it is granted.
    async fn ask_for(&self, ask: &plan::Window) -> bool {
        let address = self.gateways.borrow()[ask.gateway].address;
        let now = clock();
        let content = match agreement::fetch_status(address).await {
            Ok(standing) => standing.history.last().map(|v| v.content.clone()).unwrap_or_default(),
            Err(_) => String::new(),
        };
        let from = now + ask.after.as_micros() as u64;
        let content = windows::with_window(&content, &ask.name, &ask.engines, from, ask.span, now);
        self.propose(ask.gateway, content).await
    }

    /// Takes an engine through a window, as an operator does: asks at one gateway and at the next if that does not answer, takes
    /// the engine once the window is open there, and brings it back when the work is done or the gateway says no.
    async fn maintain(&self, n: usize, work: Duration) {
        let Some(held) = &self.plan.windows else { return };
        for attempt in 0..40 {
            if self.over.get() {
                return;
            }
            let (gateway, name) = ((n + attempt) % self.plan.voters.max(1), format!("m{n}x{attempt}"));
            // Time for the version, and for draining.
            let after = held.lead + Duration::from_millis(1500);
            let span = work + Duration::from_secs(2);
            let engines = vec![n];
            if !self.ask_for(&plan::Window { gateway, name: name.clone(), engines, after, span }).await {
                sleep(Duration::from_secs(1)).await;
                continue;
            }
            let asked = Instant::now();
            let says = async |name: &str| {
                let address = self.gateways.borrow()[gateway].address;
                let standing = gateway_windows::fetch_status(address).await.ok()?;
                let open = windows::phase(&standing, name) == Some("open") && standing.lease;
                Some((open, windows::phase(&standing, name).unwrap_or("unknown").to_owned()))
            };
            let mut taken = None;
            while asked.elapsed() < after + span + Duration::from_secs(10) && !self.over.get() {
                let said = says(&name).await;
                match (&said, taken) {
                    (Some((true, _)), None) => {
                        self.kill_engine(n, true);
                        taken = Some(Instant::now());
                    }
                    (_, Some(since)) if since.elapsed() >= work => break,
                    // No answer, or one without a lease, means: bring it back.
                    (Some((false, _)) | None, Some(_)) => break,
                    (Some((_, phase)), None) if phase == "off" || phase == "over" => break,
                    _ => {}
                }
                sleep(Duration::from_millis(100)).await;
            }
            if taken.is_some() {
                self.start_engine_again(n);
                self.publish().ok();
                // The next one would have to wait until this one is warm, and be called off.
                let warm = after + span + windows::WARM + Duration::from_secs(1);
                sleep(warm.saturating_sub(asked.elapsed())).await;
                return;
            }
        }
    }

    fn kill(&self, n: usize) {
        let process = self.gateways.borrow_mut()[n].process.take();
        self.doors.lead_to(n, None);
        if let Some(mut process) = process {
            process.kill();
            self.kills.borrow_mut().push(clock());
            self.end_life(n);
        }
    }

    async fn start(&self, n: usize) {
        // One that still gives its last answers has the address: starting beside it would wait for nothing.
        while self.gateways.borrow()[n].process.is_some() {
            sleep(Duration::from_millis(20)).await;
        }
        let address = self.gateways.borrow()[n].address;
        for _ in 0..40 {
            // The address may still be held for a moment by connections that end.
            if let Ok((process, _)) = self.start_gateway(n, address) {
                self.gateways.borrow_mut()[n].process = Some(process);
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        self.lead_to(n).await;
    }

    async fn term(&self, n: usize) {
        self.gateways.borrow()[n].process.iter().for_each(|p| p.signal(Signal::TERM));
        let ended = || self.gateways.borrow_mut()[n].process.as_mut().is_none_or(Process::has_ended);
        let start = Instant::now();
        while !ended() && start.elapsed() < Duration::from_secs(20) {
            sleep(Duration::from_millis(20)).await;
        }
        self.terms.borrow_mut().push(start.elapsed());
        self.gateways.borrow_mut()[n].process.take();
        self.doors.lead_to(n, None);
        self.end_life(n);
    }

    /// Asks a gateway for a new version, after the newest that it knows.
    async fn propose(&self, gateway: usize, content: String) -> bool {
        let address = self.gateways.borrow()[gateway].address;
        let key = (OPERATOR.0.to_owned(), OPERATOR.1.to_owned());
        let at = clock();
        let asked = async {
            let newest = agreement::fetch_status_since(address, u64::MAX).await?.newest;
            agreement::propose(address, content.as_bytes(), newest, false, &key).await
        };
        let (outcome, number, text) = match asked.await {
            Ok(report) => {
                let number = report.number.filter(|_| report.outcome == "committed");
                (report.outcome, number, report.text)
            }
            Err(why) => (why, None, String::new()),
        };
        let told = clock();
        self.proposed.borrow_mut().push(Proposed { at, told, gateway, content, outcome, number, text });
        number.is_some()
    }

    /// Sends each gateway what it must not take, straight to its socket.
    async fn flood(&self, count: usize) {
        let Ok(socket) = UdpSocket::bind(("127.0.0.1", 0)) else { return };
        let key = |secret: &str| Key { name: "old".into(), secret: secret.into() };
        let Ok(foreign) = Keys::new(vec![key("not the rig's key at all")]) else { return };
        let remembered = self.doors.remembered();
        let mut targets: Vec<SocketAddr> = Vec::new();
        let gateways: Vec<SocketAddr> = self.gateways.borrow().iter().map(|g| g.address).collect();
        for gateway in gateways {
            targets.extend(
                peers::fetch_status(gateway).await.ok().and_then(|v| v.address.parse::<SocketAddr>().ok()),
            );
        }
        let mut forged = Vec::new();
        for n in 0..count {
            let from = format!("invented-{n}");
            Datagram { from, instance_id: n as u64, number: 1, kind: Kind::Ping(1), records: vec![] }
                .seal(&foreign, &mut forged);
            let replayed = remembered.get(n % remembered.len().max(1));
            for target in &targets {
                socket.send_to(&forged, target).ok();
                socket.send_to(&forged[..forged.len() / 2], target).ok();
                socket.send_to(&[7; 1400], target).ok();
                replayed.iter().for_each(|bytes| drop(socket.send_to(bytes, target)));
            }
            if n % 20 == 19 {
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn evidence(&self, mut records: Vec<Record>) -> std::io::Result<Evidence> {
        let mut lines = Vec::new();
        for n in 0..self.plan.engines {
            lines.extend(journal::read(&self.folder.join(format!("e{n}.jsonl")))?);
        }
        lines.sort_by_key(|l| l.at);
        records.extend(self.forged.borrow().records.iter().cloned());
        let (changes, lives) = (self.changes.borrow().clone(), self.lives.borrow().clone());
        Ok(Evidence { records, lines, changes, lives })
    }
}

/// Cores of an engine: every third is a small one.
fn cores(n: usize) -> f64 {
    if n % 3 == 2 {
        4.0
    } else {
        8.0
    }
}
