//! A whole fleet on a virtual clock: the real module once for each gateway, engines as queues, no sockets.
//!
//! Gateways get clients, lists and answers by events; nothing passes between them. What each engine was sent is
//! recorded, so that a test can compare the sum of all gateways with what a cold engine bears.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use violetward::*;

pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

/// How long a connection attempt to an engine that is down takes to fail.
const CONNECT_FAILS_AFTER: Micros = MILLISECOND;
/// How long an answer or probe is on its way.
const WIRE: Micros = 500;
/// Running and waiting queries for each core beyond which an engine answers "full".
const QUEUE_PER_CORE: usize = 8;
/// The clock at the start: engines listed with `came_up` 0 have run for long then.
const FIRST_MOMENT: Micros = 1_000 * SECOND;

/// What is known of a class's traffic and the gateways are not told.
#[derive(Clone)]
pub struct Traffic {
    pub share: f64,
    pub mean_work: f64,
    /// Standard deviation of the logarithm of the work.
    pub spread: f64,
    /// How far estimates of the class are off on average.
    pub estimate_bias: f64,
}

/// What happens at a time of the run, counted from its start.
#[derive(Clone)]
pub enum Happening {
    /// Engines end and are back cold under the same id after a span.
    Restart { engines: std::ops::Range<u64>, down: Micros },
    /// Engines are replaced by new ones, which start at once.
    Replace { engines: std::ops::Range<u64> },
    /// Gateways are killed and start anew after a span; they keep their numbers and know nothing.
    Kill { gateways: std::ops::Range<usize>, down: Micros },
    /// The traffic changes to this many times the fleet's warm capacity.
    Load(f64),
    /// A whole list that lacks these engines reaches every gateway, and a right one after a span.
    Forgets { engines: std::ops::Range<u64>, back: Micros },
}

/// A run: the settings that all gateways share and what happens.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub settings: Settings,
    pub traffic: Vec<Traffic>,
    pub engines: u64,
    pub load: f64,
    pub length: Micros,
    /// The bounds of the time that a list takes to a gateway.
    pub list_delay: (Micros, Micros),
    pub happenings: Vec<(Micros, Happening)>,
}

/// One dispatch that reached an engine after its last start.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Micros,
    pub gateway: usize,
    /// The true work, in requests of mean work.
    pub work: f64,
    /// The mean work of its class, in requests of mean work over all classes.
    pub usual: f64,
}

/// What an engine was sent from a cold start on.
pub struct ColdRun {
    pub started: Micros,
    pub ended: Micros,
    pub arrivals: Vec<Arrival>,
    /// When each gateway was first told of this start.
    pub told: BTreeMap<usize, Micros>,
}

enum Occurrence {
    Client(usize),
    Timer {
        gateway: usize,
        incarnation: u32,
        handle: u64,
    },
    Deliver {
        gateway: usize,
        incarnation: u32,
        event: Event,
    },
    List {
        gateway: usize,
        version: u64,
        entries: Vec<EngineEntry>,
    },
    /// The list as it is then is sent to every gateway.
    Publish,
    Boot(usize),
    EngineUp(u64),
    Ended {
        engine: u64,
        boot: u32,
        gateway: usize,
        incarnation: u32,
        id: RequestId,
        attempt: u32,
    },
    Happens(usize),
}

struct Node {
    gateway: Option<Gateway>,
    incarnation: u32,
    weight: f64,
    /// The number of the last list.
    version: u64,
    /// Work, class and sent attempts of requests that are open or whose attempts are out.
    requests: BTreeMap<RequestId, (f64, usize, u32)>,
}

struct Machine {
    entry: EngineEntry,
    up: bool,
    boot: u32,
    started: Micros,
    /// When each core is free.
    cores: Vec<Micros>,
    /// What is out here: gateway, its incarnation, request, attempt.
    out: Vec<(usize, u32, RequestId, u32)>,
    arrivals: Vec<Arrival>,
    /// When each gateway was first told of the last start.
    told: BTreeMap<usize, Micros>,
}

pub struct Fleet {
    plan: Plan,
    now: Micros,
    random: Random,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    nodes: Vec<Node>,
    machines: BTreeMap<u64, Machine>,
    next_request: u64,
    /// Lists so far.
    version: u64,
    load: f64,
    pub served: usize,
    pub asked: usize,
    pub cold_runs: Vec<ColdRun>,
}

/// splitmix64 and what is drawn with it.
pub struct Random(pub u64);

impl Random {
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    fn unit(&mut self) -> f64 {
        ((self.bits() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn between(&mut self, bounds: (Micros, Micros)) -> Micros {
        bounds.0 + ((bounds.1 - bounds.0) as f64 * self.unit()) as Micros
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.unit().ln()
    }

    /// Log-normal with this mean.
    fn spread(&mut self, mean: f64, sigma: f64) -> f64 {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

impl Plan {
    pub fn mean_work(&self) -> f64 {
        self.traffic.iter().map(|t| t.share * t.mean_work).sum()
    }

    /// The capacity of a cold engine of this age, against a warm one, by the settings.
    pub fn warmth(&self, age: Micros) -> f64 {
        let part = (age as f64 / self.settings.cold_span as f64).min(1.0);
        self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * part
    }

    fn cores(&self) -> f64 {
        self.settings.kinds[0].cores
    }

    /// Requests of mean work that a cold engine of this age is allowed in one span.
    pub fn allowed(&self, age: Micros) -> f64 {
        let span = self.settings.overload_span as f64;
        self.settings.overload_multiple * self.cores() * self.warmth(age) * span / self.mean_work()
    }
}

impl Fleet {
    /// Plays a plan to its end.
    pub fn play(plan: Plan) -> Fleet {
        let mut fleet = Fleet::new(plan);
        let end = FIRST_MOMENT + fleet.plan.length;
        while let Some(Reverse((at, order))) = fleet.queue.pop() {
            if at > end {
                break;
            }
            fleet.now = at;
            let occurrence = fleet.occurrences.remove(&order).expect("queued with its occurrence");
            fleet.occur(occurrence);
        }
        for engine in fleet.machines.keys().copied().collect::<Vec<_>>() {
            fleet.close_run(engine);
        }
        fleet
    }

    fn new(plan: Plan) -> Fleet {
        let gateways = plan.settings.gateways as usize;
        let mut random = Random(plan.seed);
        let mut weights: Vec<f64> = (0..gateways).map(|g| (g as f64 + 1.0).powf(-0.7)).collect();
        for i in (1..gateways).rev() {
            weights.swap(i, random.between((0, i as u64 + 1)) as usize);
        }
        let sum: f64 = weights.iter().sum();
        let node = |weight: f64| Node {
            gateway: None,
            incarnation: 0,
            weight: weight / sum,
            version: 0,
            requests: BTreeMap::new(),
        };
        let load = plan.load;
        let mut fleet = Fleet {
            now: FIRST_MOMENT,
            random,
            order: 0,
            queue: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            nodes: weights.into_iter().map(node).collect(),
            machines: BTreeMap::new(),
            next_request: 0,
            version: 0,
            load,
            served: 0,
            asked: 0,
            cold_runs: Vec::new(),
            plan,
        };
        for engine in 1..=fleet.plan.engines {
            fleet.add_machine(engine, 0);
        }
        for gateway in 0..gateways {
            fleet.boot(gateway);
            fleet.next_client(gateway);
        }
        for place in 0..fleet.plan.happenings.len() {
            let after = fleet.plan.happenings[place].0;
            fleet.later(after, Occurrence::Happens(place));
        }
        fleet
    }

    fn later(&mut self, after: Micros, occurrence: Occurrence) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after, self.order)));
        self.occurrences.insert(self.order, occurrence);
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Client(gateway) => {
                self.client(gateway);
                self.next_client(gateway);
            }
            Occurrence::Timer { gateway, incarnation, handle } => {
                self.feed(gateway, incarnation, Event::Elapsed(handle));
            }
            Occurrence::Deliver { gateway, incarnation, event } => self.feed(gateway, incarnation, event),
            Occurrence::List { gateway, version, entries } => {
                // As a host does, which numbers lists: what is older than the last one is dropped.
                if version > self.nodes[gateway].version {
                    self.nodes[gateway].version = version;
                    self.list(gateway, ListKind::Whole, entries);
                }
            }
            Occurrence::Publish => self.publish(),
            Occurrence::Boot(gateway) => self.boot(gateway),
            Occurrence::EngineUp(engine) => self.engine_up(engine),
            Occurrence::Ended { engine, boot, gateway, incarnation, id, attempt } => {
                self.ended(engine, boot, (gateway, incarnation, id, attempt));
            }
            Occurrence::Happens(place) => self.happen(self.plan.happenings[place].1.clone()),
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Load(load) => self.load = load,
            Happening::Restart { engines, down } => {
                for engine in engines {
                    self.engine_down(engine);
                    self.later(down, Occurrence::EngineUp(engine));
                }
            }
            Happening::Replace { engines } => {
                for engine in engines {
                    self.engine_down(engine);
                    self.machines.remove(&engine);
                    self.add_machine(engine + 1_000, self.now);
                }
                self.later(0, Occurrence::Publish);
            }
            Happening::Kill { gateways, down } => {
                for gateway in gateways {
                    self.nodes[gateway].gateway = None;
                    self.nodes[gateway].requests.clear();
                    self.later(down, Occurrence::Boot(gateway));
                }
            }
            Happening::Forgets { engines, back } => {
                let entries: Vec<_> = self.entries();
                let left = |e: &EngineEntry| !engines.contains(&e.engine.0);
                let entries: Vec<_> = entries.into_iter().filter(left).collect();
                self.version += 1;
                for gateway in 0..self.nodes.len() {
                    let (entries, version) = (entries.clone(), self.version);
                    self.later(0, Occurrence::List { gateway, version, entries });
                }
                self.later(back, Occurrence::Publish);
            }
        }
    }

    fn entries(&self) -> Vec<EngineEntry> {
        self.machines.values().map(|m| m.entry.clone()).collect()
    }

    /// Sends the list as it is now to every gateway, each after a delay of its own.
    fn publish(&mut self) {
        self.version += 1;
        for gateway in 0..self.nodes.len() {
            let (entries, delay) = (self.entries(), self.random.between(self.plan.list_delay));
            let version = self.version;
            self.later(delay, Occurrence::List { gateway, version, entries });
        }
    }

    fn list(&mut self, gateway: usize, kind: ListKind, entries: Vec<EngineEntry>) {
        for entry in &entries {
            let machine = self.machines.get_mut(&entry.engine.0);
            if let Some(machine) = machine.filter(|m| m.started == entry.came_up) {
                machine.told.entry(gateway).or_insert(self.now);
            }
        }
        let incarnation = self.nodes[gateway].incarnation;
        self.feed(gateway, incarnation, Event::Engines { kind, entries });
    }

    fn boot(&mut self, gateway: usize) {
        let settings = Settings { own_id: PeerId(gateway as u64), ..self.plan.settings.clone() };
        let seed = self.random.bits();
        self.nodes[gateway].gateway = Some(Gateway::new(settings, seed));
        self.nodes[gateway].incarnation += 1;
        self.list(gateway, ListKind::WarmCopy, self.entries());
    }

    fn next_client(&mut self, gateway: usize) {
        let fleet_rate = self.load * self.plan.cores() * self.plan.engines as f64 / self.plan.mean_work();
        let alive: f64 = self.nodes.iter().filter(|n| n.gateway.is_some()).map(|n| n.weight).sum();
        // Who lives gets the traffic of who does not.
        let rate = fleet_rate * self.nodes[gateway].weight / alive.max(0.1);
        let after = self.random.exponential(1.0 / rate).max(1.0);
        self.later(after as Micros, Occurrence::Client(gateway));
    }

    fn client(&mut self, gateway: usize) {
        if self.nodes[gateway].gateway.is_none() {
            return;
        }
        let mut pick = self.random.unit();
        let mut class = 0;
        while class + 1 < self.plan.traffic.len() && pick > self.plan.traffic[class].share {
            pick -= self.plan.traffic[class].share;
            class += 1;
        }
        let traffic = self.plan.traffic[class].clone();
        let work = self.random.spread(traffic.mean_work, traffic.spread);
        let estimate = self.random.spread(work * traffic.estimate_bias, 0.5);
        self.next_request += 1;
        self.asked += 1;
        let id = RequestId(self.next_request);
        self.nodes[gateway].requests.insert(id, (work, class, 0));
        let request = Request {
            id,
            class: ClassId(class),
            tenant: TenantId(0),
            cost: estimate as Micros + 1,
            memory_mb: 32.0,
            group: GroupId(self.random.bits() % 24),
            key: None,
            is_retry: false,
            has_dedup_key: true,
            pin: None,
            deadline: self.now + self.plan.settings.classes[class].client_timeout,
        };
        self.feed(gateway, self.nodes[gateway].incarnation, Event::Request(request));
    }

    fn feed(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let node = &mut self.nodes[gateway];
        let Some(module) = node.gateway.as_mut().filter(|_| node.incarnation == incarnation) else { return };
        let mut actions = Vec::new();
        module.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(gateway, incarnation, action);
        }
    }

    fn carry_out(&mut self, gateway: usize, incarnation: u32, action: Action) {
        match action {
            Action::Arm { handle, span } => {
                self.later(span, Occurrence::Timer { gateway, incarnation, handle });
            }
            Action::Dispatch { id, engine, .. } => self.dispatch(gateway, id, engine.0),
            Action::Cancel { id, attempt } => {
                let owed = |m: &Machine| m.out.contains(&(gateway, incarnation, id, attempt));
                if let Some(machine) = self.machines.values_mut().find(|m| owed(m)) {
                    machine.out.retain(|o| *o != (gateway, incarnation, id, attempt));
                    self.tell(gateway, incarnation, answer(id, attempt, Outcome::Cancelled), 0);
                }
            }
            Action::Probe(engine) => {
                let ok = self.machines.get(&engine.0).is_some_and(|m| m.up);
                let load = self.load_of(engine.0);
                let event = Event::Probed { engine, ok, load };
                self.later(WIRE, Occurrence::Deliver { gateway, incarnation, event });
            }
            _ => {}
        }
    }

    fn tell(&mut self, gateway: usize, incarnation: u32, answer: Answer, after: Micros) {
        self.later(after, Occurrence::Deliver { gateway, incarnation, event: Event::Answer(answer) });
    }

    fn load_of(&self, engine: u64) -> Load {
        let Some(machine) = self.machines.get(&engine) else { return Load::default() };
        let busy = machine.cores.iter().filter(|&&until| until > self.now).count();
        Load { cores: Some(busy as f64 / machine.cores.len() as f64), ..Load::default() }
    }

    fn dispatch(&mut self, gateway: usize, id: RequestId, engine: u64) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some((work, class, attempts)) = self.nodes[gateway].requests.get_mut(&id) else { return };
        let (work, class, attempt) = (*work, *class, *attempts);
        *attempts += 1;
        let Some(machine) = self.machines.get_mut(&engine).filter(|m| m.up) else {
            return self.tell(
                gateway,
                incarnation,
                answer(id, attempt, Outcome::ConnectFailed),
                CONNECT_FAILS_AFTER,
            );
        };
        let mean = self.plan.mean_work();
        let usual = self.plan.traffic[class].mean_work / mean;
        machine.arrivals.push(Arrival { at: self.now, gateway, work: work / mean, usual });
        if machine.out.len() >= machine.cores.len() * QUEUE_PER_CORE {
            return self.tell(gateway, incarnation, answer(id, attempt, Outcome::Full), WIRE);
        }
        machine.out.push((gateway, incarnation, id, attempt));
        let age = self.now - machine.started;
        let speed = if machine.started == 0 { 1.0 } else { self.plan.warmth(age) };
        let core = machine.cores.iter_mut().min().expect("an engine has cores");
        *core = (*core).max(self.now) + (work / speed) as Micros;
        let (after, boot) = (*core - self.now + WIRE, machine.boot);
        self.later(after, Occurrence::Ended { engine, boot, gateway, incarnation, id, attempt });
    }

    fn ended(&mut self, engine: u64, boot: u32, out: (usize, u32, RequestId, u32)) {
        let load = self.load_of(engine);
        let Some(machine) = self.machines.get_mut(&engine).filter(|m| m.up && m.boot == boot) else { return };
        let before = machine.out.len();
        machine.out.retain(|o| *o != out);
        if machine.out.len() == before {
            return;
        }
        let (gateway, incarnation, id, attempt) = out;
        if self.nodes[gateway].incarnation != incarnation {
            return;
        }
        let Some((work, _, _)) = self.nodes[gateway].requests.remove(&id) else { return };
        let mut answer = answer(id, attempt, Outcome::Ok);
        (answer.work, answer.memory_mb, answer.load) = (Some(work as Micros + 1), Some(32.0), load);
        answer.took = work as Micros + 1;
        (answer.complete, self.served) = (true, self.served + 1);
        self.feed(gateway, incarnation, Event::Answer(answer));
    }

    fn add_machine(&mut self, engine: u64, started: Micros) {
        let entry = EngineEntry {
            engine: EngineId(engine),
            came_up: started,
            weight: 1.0,
            kind: KindId(0),
            zone: ZoneId(0),
            cell: CellId(0),
            listed: Listed::Up,
        };
        let cores = vec![0; self.plan.cores() as usize];
        let (out, arrivals) = (Vec::new(), Vec::new());
        let told = BTreeMap::new();
        let machine = Machine { entry, up: true, boot: 0, started, cores, out, arrivals, told };
        self.machines.insert(engine, machine);
    }

    fn engine_down(&mut self, engine: u64) {
        self.close_run(engine);
        let Some(machine) = self.machines.get_mut(&engine) else { return };
        machine.up = false;
        machine.boot += 1;
        for (gateway, incarnation, id, attempt) in std::mem::take(&mut machine.out) {
            self.tell(gateway, incarnation, answer(id, attempt, Outcome::Reset), WIRE);
        }
    }

    fn engine_up(&mut self, engine: u64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&engine) else { return };
        (machine.up, machine.started, machine.entry.came_up) = (true, now, now);
        machine.cores.fill(now);
        machine.arrivals.clear();
        machine.told.clear();
        self.later(0, Occurrence::Publish);
    }

    /// Keeps what a cold engine was sent.
    fn close_run(&mut self, engine: u64) {
        let Some(machine) = self.machines.get_mut(&engine).filter(|m| m.up && m.started > 0) else { return };
        let ended = self.now.min(machine.started + self.plan.settings.cold_span);
        let arrivals = machine.arrivals.iter().copied().filter(|a| a.at < ended).collect();
        let told = machine.told.clone();
        self.cold_runs.push(ColdRun { started: machine.started, ended, arrivals, told });
    }
}

fn answer(id: RequestId, attempt: u32, outcome: Outcome) -> Answer {
    Answer {
        id,
        attempt,
        outcome,
        took: WIRE,
        complete: false,
        work: None,
        memory_mb: None,
        load: Load::default(),
    }
}
