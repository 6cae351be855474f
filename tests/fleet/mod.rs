//! Simulates a whole fleet on a virtual clock, without sockets: each gateway runs the decision module, each
//! engine is a queue of queries.
//!
//! Gateways do not communicate with each other; they get requests, engine lists and answers as events. All
//! dispatches to each engine are recorded, so that a test can compare the load from all gateways with the
//! limit of a cold engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use violetward::*;

pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

/// Time until a connection attempt to an engine that is down fails.
const CONNECT_FAILURE_DELAY: Micros = MILLISECOND;
/// Time that an answer or a probe takes on the network.
const NETWORK_DELAY: Micros = 500;
/// Running and queued queries per core from which on an engine answers that it is full.
const QUERIES_PER_CORE_MAX: usize = 8;
/// The clock at the start. It is far from 0, since `came_up` 0 stands for an engine that started long ago.
const START_TIME: Micros = 1_000 * SECOND;
/// Offset of the ids of engines that replace others.
pub const REPLACEMENT_ID_OFFSET: u64 = 1_000;

/// Traffic of one class, which the gateways do not know.
#[derive(Clone)]
pub struct Traffic {
    /// Fraction of all requests.
    pub share: f64,
    /// In microseconds of one core.
    pub mean_work: f64,
    /// Standard deviation of the logarithm of the work.
    pub log_std_dev: f64,
    /// Mean ratio of the estimated work to the true work.
    pub estimate_bias: f64,
}

/// A change in the fleet or its traffic.
#[derive(Clone)]
pub enum ScenarioEvent {
    /// Engines stop and restart cold under the same id after `downtime`.
    RestartEngines { engines: Range<u64>, downtime: Micros },
    /// Engines are replaced by new ones, which start at once.
    ReplaceEngines { engines: Range<u64> },
    /// Gateways are killed and start again after `downtime`, with the same numbers and without their state.
    RestartGateways { gateways: Range<usize>, downtime: Micros },
    /// The traffic changes to this multiple of the capacity that the fleet has when warm.
    SetLoad(f64),
    /// Every gateway gets a whole list that lacks these engines, and a complete one after `restored_after`.
    OmitFromList { engines: Range<u64>, restored_after: Micros },
}

/// The settings of a run, which all gateways share, and its events.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub settings: Settings,
    pub traffic: Vec<Traffic>,
    pub engine_count: u64,
    /// The traffic at the start, as a multiple of the capacity that the fleet has when warm.
    pub load: f64,
    pub duration: Micros,
    /// Bounds of the time that a list takes to reach a gateway.
    pub list_delay: (Micros, Micros),
    /// Events, each with its time since the start of the run.
    pub events: Vec<(Micros, ScenarioEvent)>,
}

/// A dispatch that reached an engine.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Micros,
    pub gateway: usize,
    /// The true work, as a multiple of the mean work of all requests.
    pub work: f64,
    /// The mean work of its class, as a multiple of the mean work of all requests.
    pub class_work: f64,
}

/// What one engine was sent while it was cold.
pub struct ColdRun {
    pub started: Micros,
    pub ended: Micros,
    pub arrivals: Vec<Arrival>,
    /// When each gateway first got a list that reports this start.
    pub notified: BTreeMap<usize, Micros>,
}

/// An attempt at an engine and the gateway that sent it.
#[derive(Clone, Copy, PartialEq)]
struct Attempt {
    gateway: usize,
    /// The start of the gateway that sent it; a later one does not know the attempt.
    incarnation: u32,
    id: RequestId,
    number: u32,
}

/// An event of the simulation.
enum SimEvent {
    /// The next client of a gateway sends its request.
    NextRequest {
        gateway: usize,
    },
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
    /// The list of engines as of then is sent to every gateway.
    Publish,
    GatewayStart {
        gateway: usize,
    },
    EngineStart {
        engine: u64,
    },
    /// A query ends, unless its engine has stopped in between.
    QueryEnd {
        engine: u64,
        stops: u32,
        attempt: Attempt,
    },
    /// The event of the scenario with this index.
    Scenario {
        index: usize,
    },
}

/// A request of a gateway that is open or has an attempt in flight.
struct OpenRequest {
    work: f64,
    class: usize,
    attempts: u32,
}

struct GatewayNode {
    /// `None` while the gateway is down.
    gateway: Option<Gateway>,
    /// How often the gateway has started.
    incarnation: u32,
    /// Fraction of all requests that its clients send while all gateways are up.
    weight: f64,
    /// Number of the last list that it got.
    list_version: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
}

struct Engine {
    entry: EngineEntry,
    up: bool,
    /// How often the engine has stopped.
    stops: u32,
    /// The last start; 0 for an engine that runs since before the simulation.
    started: Micros,
    /// When each core becomes free.
    cores: Vec<Micros>,
    in_flight: Vec<Attempt>,
    /// Dispatches since the last start.
    arrivals: Vec<Arrival>,
    /// When each gateway first got a list that reports the last start.
    notified: BTreeMap<usize, Micros>,
}

pub struct Fleet {
    scenario: Scenario,
    now: Micros,
    rng: Rng,
    /// Number of events scheduled so far; it orders events of the same time.
    event_count: u64,
    /// Time and number of the scheduled events.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The scheduled events by number.
    pending: BTreeMap<u64, SimEvent>,
    nodes: Vec<GatewayNode>,
    engines: BTreeMap<u64, Engine>,
    /// Number of the last list sent.
    list_version: u64,
    load: f64,
    pub served: usize,
    /// Number of requests so far; also the id of the last one.
    pub requested: usize,
    pub cold_runs: Vec<ColdRun>,
}

/// The generator SplitMix64, with samples of the distributions that the simulation needs.
pub struct Rng(pub u64);

impl Rng {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A sample greater than 0 and at most 1.
    fn next_unit(&mut self) -> f64 {
        ((self.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn uniform(&mut self, bounds: (Micros, Micros)) -> Micros {
        bounds.0 + ((bounds.1 - bounds.0) as f64 * self.next_unit()) as Micros
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.next_unit().ln()
    }

    /// A sample of the log-normal distribution with this mean; `sigma` is the standard deviation of the
    /// logarithm.
    fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let normal = (-2.0 * self.next_unit().ln()).sqrt() * (std::f64::consts::TAU * self.next_unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

impl Scenario {
    /// Mean work of all requests, in microseconds of one core.
    pub fn mean_work(&self) -> f64 {
        self.traffic.iter().map(|t| t.share * t.mean_work).sum()
    }

    /// Capacity of a cold engine as a fraction of that of a warm one, `age` after its start, by the settings.
    pub fn warmth(&self, age: Micros) -> f64 {
        let progress = (age as f64 / self.settings.cold_span as f64).min(1.0);
        self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * progress
    }

    fn cores(&self) -> f64 {
        self.settings.kinds[0].cores
    }

    /// Number of requests of mean work that a cold engine may get within one overload span, `age` after its
    /// start.
    pub fn cold_limit(&self, age: Micros) -> f64 {
        let span = self.settings.overload_span as f64;
        self.settings.overload_multiple * self.cores() * self.warmth(age) * span / self.mean_work()
    }
}

impl Fleet {
    /// Runs a scenario to its end.
    pub fn run(scenario: Scenario) -> Fleet {
        let mut fleet = Fleet::new(scenario);
        let end = START_TIME + fleet.scenario.duration;
        while let Some(Reverse((at, number))) = fleet.queue.pop() {
            if at > end {
                break;
            }
            fleet.now = at;
            let event = fleet.pending.remove(&number).expect("every queued number has an event");
            fleet.process(event);
        }
        for engine_id in fleet.engines.keys().copied().collect::<Vec<_>>() {
            fleet.finish_cold_run(engine_id);
        }
        fleet
    }

    fn new(scenario: Scenario) -> Fleet {
        let gateways = scenario.settings.gateways as usize;
        let mut rng = Rng(scenario.seed);
        // Clients are spread over the gateways by a power law, in random order.
        let mut weights: Vec<f64> = (0..gateways).map(|g| (g as f64 + 1.0).powf(-0.7)).collect();
        for i in (1..gateways).rev() {
            weights.swap(i, rng.uniform((0, i as u64 + 1)) as usize);
        }
        let sum: f64 = weights.iter().sum();
        let node = |weight: f64| GatewayNode {
            gateway: None,
            incarnation: 0,
            weight: weight / sum,
            list_version: 0,
            requests: BTreeMap::new(),
        };
        let load = scenario.load;
        let mut fleet = Fleet {
            now: START_TIME,
            rng,
            event_count: 0,
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            nodes: weights.into_iter().map(node).collect(),
            engines: BTreeMap::new(),
            list_version: 0,
            load,
            served: 0,
            requested: 0,
            cold_runs: Vec::new(),
            scenario,
        };
        for engine in 1..=fleet.scenario.engine_count {
            fleet.add_engine(engine, 0);
        }
        for gateway in 0..gateways {
            fleet.start_gateway(gateway);
            fleet.schedule_next_request(gateway);
        }
        for index in 0..fleet.scenario.events.len() {
            let after = fleet.scenario.events[index].0;
            fleet.schedule(after, SimEvent::Scenario { index });
        }
        fleet
    }

    fn schedule(&mut self, after: Micros, event: SimEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count)));
        self.pending.insert(self.event_count, event);
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::NextRequest { gateway } => {
                self.send_request(gateway);
                self.schedule_next_request(gateway);
            }
            SimEvent::Timer { gateway, incarnation, handle } => {
                self.handle(gateway, incarnation, Event::Elapsed(handle));
            }
            SimEvent::Deliver { gateway, incarnation, event } => self.handle(gateway, incarnation, event),
            SimEvent::List { gateway, version, entries } => {
                // As a host does, the simulation drops lists that are older than the last one.
                if version > self.nodes[gateway].list_version {
                    self.nodes[gateway].list_version = version;
                    self.deliver_list(gateway, ListKind::Whole, entries);
                }
            }
            SimEvent::Publish => self.publish(),
            SimEvent::GatewayStart { gateway } => self.start_gateway(gateway),
            SimEvent::EngineStart { engine } => self.start_engine(engine),
            SimEvent::QueryEnd { engine, stops, attempt } => self.finish_query(engine, stops, attempt),
            SimEvent::Scenario { index } => self.apply(self.scenario.events[index].1.clone()),
        }
    }

    fn apply(&mut self, event: ScenarioEvent) {
        match event {
            ScenarioEvent::SetLoad(load) => self.load = load,
            ScenarioEvent::RestartEngines { engines, downtime } => {
                for engine in engines {
                    self.stop_engine(engine);
                    self.schedule(downtime, SimEvent::EngineStart { engine });
                }
            }
            ScenarioEvent::ReplaceEngines { engines } => {
                for engine in engines {
                    self.stop_engine(engine);
                    self.engines.remove(&engine);
                    self.add_engine(engine + REPLACEMENT_ID_OFFSET, self.now);
                }
                self.schedule(0, SimEvent::Publish);
            }
            ScenarioEvent::RestartGateways { gateways, downtime } => {
                for gateway in gateways {
                    self.nodes[gateway].gateway = None;
                    self.nodes[gateway].requests.clear();
                    self.schedule(downtime, SimEvent::GatewayStart { gateway });
                }
            }
            ScenarioEvent::OmitFromList { engines, restored_after } => {
                let is_listed = |entry: &EngineEntry| !engines.contains(&entry.engine.0);
                let entries: Vec<_> = self.entries().into_iter().filter(is_listed).collect();
                self.list_version += 1;
                for gateway in 0..self.nodes.len() {
                    let (entries, version) = (entries.clone(), self.list_version);
                    self.schedule(0, SimEvent::List { gateway, version, entries });
                }
                self.schedule(restored_after, SimEvent::Publish);
            }
        }
    }

    fn entries(&self) -> Vec<EngineEntry> {
        self.engines.values().map(|engine| engine.entry.clone()).collect()
    }

    /// Sends the present list to every gateway, each after a random delay.
    fn publish(&mut self) {
        self.list_version += 1;
        for gateway in 0..self.nodes.len() {
            let (entries, delay) = (self.entries(), self.rng.uniform(self.scenario.list_delay));
            let version = self.list_version;
            self.schedule(delay, SimEvent::List { gateway, version, entries });
        }
    }

    fn deliver_list(&mut self, gateway: usize, kind: ListKind, entries: Vec<EngineEntry>) {
        for entry in &entries {
            let engine = self.engines.get_mut(&entry.engine.0);
            if let Some(engine) = engine.filter(|engine| engine.started == entry.came_up) {
                engine.notified.entry(gateway).or_insert(self.now);
            }
        }
        let incarnation = self.nodes[gateway].incarnation;
        self.handle(gateway, incarnation, Event::Engines { kind, entries });
    }

    fn start_gateway(&mut self, gateway: usize) {
        let settings = Settings { own_id: PeerId(gateway as u64), ..self.scenario.settings.clone() };
        let seed = self.rng.next_u64();
        self.nodes[gateway].gateway = Some(Gateway::new(settings, seed));
        self.nodes[gateway].incarnation += 1;
        self.deliver_list(gateway, ListKind::WarmCopy, self.entries());
    }

    fn schedule_next_request(&mut self, gateway: usize) {
        let fleet_rate =
            self.load * self.scenario.cores() * self.scenario.engine_count as f64 / self.scenario.mean_work();
        // The live gateways share the traffic of those that are down.
        let live_weight: f64 = self.nodes.iter().filter(|n| n.gateway.is_some()).map(|n| n.weight).sum();
        let rate = fleet_rate * self.nodes[gateway].weight / live_weight.max(0.1);
        let after = self.rng.exponential(1.0 / rate).max(1.0);
        self.schedule(after as Micros, SimEvent::NextRequest { gateway });
    }

    fn send_request(&mut self, gateway: usize) {
        if self.nodes[gateway].gateway.is_none() {
            return;
        }
        let mut remainder = self.rng.next_unit();
        let mut class = 0;
        while class + 1 < self.scenario.traffic.len() && remainder > self.scenario.traffic[class].share {
            remainder -= self.scenario.traffic[class].share;
            class += 1;
        }
        let traffic = self.scenario.traffic[class].clone();
        let work = self.rng.log_normal(traffic.mean_work, traffic.log_std_dev);
        let estimate = self.rng.log_normal(work * traffic.estimate_bias, 0.5);
        self.requested += 1;
        let id = RequestId(self.requested as u64);
        self.nodes[gateway].requests.insert(id, OpenRequest { work, class, attempts: 0 });
        let request = Request {
            id,
            class: ClassId(class),
            tenant: TenantId(0),
            cost: estimate as Micros + 1,
            memory_mb: 32.0,
            group: GroupId(self.rng.next_u64() % 24),
            key: None,
            is_retry: false,
            has_dedup_key: true,
            pin: None,
            deadline: self.now + self.scenario.settings.classes[class].client_timeout,
        };
        self.handle(gateway, self.nodes[gateway].incarnation, Event::Request(request));
    }

    /// Passes an event to a gateway, unless the gateway has restarted since `incarnation`, and performs its
    /// actions.
    fn handle(&mut self, gateway: usize, incarnation: u32, event: Event) {
        let node = &mut self.nodes[gateway];
        let Some(module) = node.gateway.as_mut().filter(|_| node.incarnation == incarnation) else { return };
        let mut actions = Vec::new();
        module.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(gateway, incarnation, action);
        }
    }

    fn perform(&mut self, gateway: usize, incarnation: u32, action: Action) {
        match action {
            Action::Arm { handle, span } => {
                self.schedule(span, SimEvent::Timer { gateway, incarnation, handle });
            }
            Action::Dispatch { id, engine, .. } => self.dispatch(gateway, id, engine.0),
            Action::Cancel { id, attempt: number } => {
                let attempt = Attempt { gateway, incarnation, id, number };
                let has_attempt = |engine: &&mut Engine| engine.in_flight.contains(&attempt);
                if let Some(engine) = self.engines.values_mut().find(has_attempt) {
                    engine.in_flight.retain(|other| *other != attempt);
                    self.schedule_answer(attempt, Outcome::Cancelled, 0);
                }
            }
            Action::Probe(engine) => {
                let ok = self.engines.get(&engine.0).is_some_and(|state| state.up);
                let load = self.reported_load(engine.0);
                let event = Event::Probed { engine, ok, load };
                self.schedule(NETWORK_DELAY, SimEvent::Deliver { gateway, incarnation, event });
            }
            _ => {}
        }
    }

    /// Schedules the answer that ends an attempt without a result.
    fn schedule_answer(&mut self, attempt: Attempt, outcome: Outcome, after: Micros) {
        let Attempt { gateway, incarnation, .. } = attempt;
        let event = Event::Answer(answer(attempt, outcome));
        self.schedule(after, SimEvent::Deliver { gateway, incarnation, event });
    }

    fn reported_load(&self, engine_id: u64) -> Load {
        let Some(engine) = self.engines.get(&engine_id) else { return Load::default() };
        let busy = engine.cores.iter().filter(|&&free_at| free_at > self.now).count();
        Load { cores: Some(busy as f64 / engine.cores.len() as f64), ..Load::default() }
    }

    fn dispatch(&mut self, gateway: usize, id: RequestId, engine_id: u64) {
        let incarnation = self.nodes[gateway].incarnation;
        let Some(request) = self.nodes[gateway].requests.get_mut(&id) else { return };
        let (work, class) = (request.work, request.class);
        let attempt = Attempt { gateway, incarnation, id, number: request.attempts };
        request.attempts += 1;
        let Some(engine) = self.engines.get_mut(&engine_id).filter(|engine| engine.up) else {
            return self.schedule_answer(attempt, Outcome::ConnectFailed, CONNECT_FAILURE_DELAY);
        };
        let mean_work = self.scenario.mean_work();
        let class_work = self.scenario.traffic[class].mean_work / mean_work;
        engine.arrivals.push(Arrival { at: self.now, gateway, work: work / mean_work, class_work });
        if engine.in_flight.len() >= engine.cores.len() * QUERIES_PER_CORE_MAX {
            return self.schedule_answer(attempt, Outcome::Full, NETWORK_DELAY);
        }
        engine.in_flight.push(attempt);
        let age = self.now - engine.started;
        let speed = if engine.started == 0 { 1.0 } else { self.scenario.warmth(age) };
        let core = engine.cores.iter_mut().min().expect("an engine has cores");
        *core = (*core).max(self.now) + (work / speed) as Micros;
        let (after, stops) = (*core - self.now + NETWORK_DELAY, engine.stops);
        self.schedule(after, SimEvent::QueryEnd { engine: engine_id, stops, attempt });
    }

    fn finish_query(&mut self, engine_id: u64, stops: u32, attempt: Attempt) {
        let load = self.reported_load(engine_id);
        let same_run = |engine: &&mut Engine| engine.up && engine.stops == stops;
        let Some(engine) = self.engines.get_mut(&engine_id).filter(same_run) else { return };
        let before = engine.in_flight.len();
        engine.in_flight.retain(|other| *other != attempt);
        if engine.in_flight.len() == before {
            return;
        }
        let node = &mut self.nodes[attempt.gateway];
        if node.incarnation != attempt.incarnation {
            return;
        }
        let Some(OpenRequest { work, .. }) = node.requests.remove(&attempt.id) else { return };
        let mut answer = answer(attempt, Outcome::Ok);
        (answer.work, answer.memory_mb, answer.load) = (Some(work as Micros + 1), Some(32.0), load);
        answer.took = work as Micros + 1;
        (answer.complete, self.served) = (true, self.served + 1);
        self.handle(attempt.gateway, attempt.incarnation, Event::Answer(answer));
    }

    fn add_engine(&mut self, engine_id: u64, started: Micros) {
        let entry = EngineEntry {
            engine: EngineId(engine_id),
            came_up: started,
            weight: 1.0,
            kind: KindId(0),
            zone: ZoneId(0),
            cell: CellId(0),
            listed: Listed::Up,
        };
        let engine = Engine {
            entry,
            up: true,
            stops: 0,
            started,
            cores: vec![0; self.scenario.cores() as usize],
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            notified: BTreeMap::new(),
        };
        self.engines.insert(engine_id, engine);
    }

    fn stop_engine(&mut self, engine_id: u64) {
        self.finish_cold_run(engine_id);
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        engine.up = false;
        engine.stops += 1;
        for attempt in std::mem::take(&mut engine.in_flight) {
            self.schedule_answer(attempt, Outcome::Reset, NETWORK_DELAY);
        }
    }

    fn start_engine(&mut self, engine_id: u64) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&engine_id) else { return };
        (engine.up, engine.started, engine.entry.came_up) = (true, now, now);
        engine.cores.fill(now);
        engine.arrivals.clear();
        engine.notified.clear();
        self.schedule(0, SimEvent::Publish);
    }

    /// Records what an engine was sent while it was cold, if it has started during the simulation.
    fn finish_cold_run(&mut self, engine_id: u64) {
        let has_started = |engine: &&mut Engine| engine.up && engine.started > 0;
        let Some(engine) = self.engines.get_mut(&engine_id).filter(has_started) else { return };
        let ended = self.now.min(engine.started + self.scenario.settings.cold_span);
        let arrivals = engine.arrivals.iter().copied().filter(|arrival| arrival.at < ended).collect();
        let notified = engine.notified.clone();
        self.cold_runs.push(ColdRun { started: engine.started, ended, arrivals, notified });
    }
}

/// An answer without a result.
fn answer(attempt: Attempt, outcome: Outcome) -> Answer {
    Answer {
        id: attempt.id,
        attempt: attempt.number,
        outcome,
        took: NETWORK_DELAY,
        complete: false,
        work: None,
        memory_mb: None,
        load: Load::default(),
    }
}
