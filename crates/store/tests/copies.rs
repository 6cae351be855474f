//! Coordinators and replicas over a simulated network that loses, delays, duplicates and reorders requests
//! and responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use violetward_store::copies::{
    ClaimState, Config, Coordinator, Effect, Micros, Outcome, Replica, Request, Response,
};
use violetward_store::memory::MemoryStore;
use violetward_store::{Store, StoreError, StoredValue};

const MS: Micros = 1_000;
const LEASE: Micros = 2_000 * MS;
const REPLICAS: usize = 3;

/// A store that survives the replica that uses it.
#[derive(Clone, Default)]
struct SharedStore(Rc<RefCell<MemoryStore>>);

impl Store for SharedStore {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        self.0.borrow_mut().get(name)
    }
    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        self.0.borrow_mut().put(name, bytes)
    }
}

/// A request or response in flight, with the indices of its coordinator and replica.
enum Event {
    Request(usize, usize, Request),
    Response(usize, usize, u64, Response),
}

/// A read or write that succeeded.
#[derive(Debug)]
struct Completed {
    started_at: Micros,
    ended_at: Micros,
    is_write: bool,
    /// The count of writes of the value.
    writes: u64,
    value: Option<Vec<u8>>,
}

/// A read or write in progress.
struct Started {
    at: Micros,
    /// `None` for a read.
    new_value: Option<Vec<u8>>,
}

struct Simulation {
    now: Micros,
    seed: u64,
    events: BTreeMap<(Micros, u64), Event>,
    /// Counts events, so that each has its own place in the order.
    sent: u64,
    coordinators: Vec<Coordinator>,
    /// When each coordinator resumes after a pause.
    paused_until: Vec<Micros>,
    started: Vec<BTreeMap<u64, Started>>,
    replicas: Vec<(SharedStore, Replica<SharedStore>)>,
    completed: Vec<Completed>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let replica = |_| {
            let store = SharedStore::default();
            (store.clone(), Replica::new(store, LEASE, 0))
        };
        Simulation {
            now: 0,
            seed,
            events: BTreeMap::new(),
            sent: 0,
            coordinators: vec![],
            paused_until: vec![],
            started: vec![],
            replicas: (0..REPLICAS).map(replica).collect(),
            completed: vec![],
        }
    }

    /// A pseudo-random number below a bound.
    fn random(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    /// Starts a further process that claims the name.
    fn start(&mut self) {
        let config = Config {
            owner: "g1".into(),
            replicas: REPLICAS,
            lease: LEASE,
            retry_interval: 100 * MS,
            timeout: 3_000 * MS,
            max_pending: 8,
        };
        self.coordinators
            .push(Coordinator::new(config, self.coordinators.len() as u64 + 1, self.now).unwrap());
        self.paused_until.push(0);
        self.started.push(BTreeMap::new());
    }

    /// Sends an event, which may be lost, duplicated or delayed.
    fn send(&mut self, event: impl Fn() -> Event) {
        for _ in 0..match self.random(20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        } {
            let max_delay_ms = if self.random(20) == 0 { 1_500 } else { 30 };
            let at = self.now + (1 + self.random(max_delay_ms)) * MS;
            self.sent += 1;
            self.events.insert((at, self.sent), event());
        }
    }

    /// Carries out the effects of coordinator `k`.
    fn apply_effects(&mut self, k: usize) {
        while let Some(effect) = self.coordinators[k].next_effect() {
            match effect {
                Effect::Send(replica, request) => self.send(|| Event::Request(k, replica, request.clone())),
                Effect::Completed(ticket, outcome) => {
                    let started = self.started[k].remove(&ticket).unwrap();
                    let (is_write, writes, value) = match outcome {
                        Ok(Outcome::Put(writes)) => (true, writes, started.new_value),
                        Ok(Outcome::Got(stored)) => {
                            let writes = stored.as_ref().map_or(0, |stored| stored.writes);
                            (false, writes, stored.map(|stored| stored.bytes))
                        }
                        Err(_) => continue,
                    };
                    let (started_at, ended_at) = (started.at, self.now);
                    self.completed.push(Completed { started_at, ended_at, is_write, writes, value });
                }
                Effect::StaleReplica(replica) => {
                    panic!("replica {replica} is reported as stale but has lost nothing")
                }
            }
        }
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += MS;
            for k in
                (0..self.coordinators.len()).filter(|&k| self.paused_until[k] <= self.now).collect::<Vec<_>>()
            {
                if self.coordinators[k].next_wake().is_some_and(|at| at <= self.now) {
                    self.coordinators[k].on_timer(self.now);
                }
                if self.coordinators[k].state() == ClaimState::Holding && self.random(20) == 0 {
                    let new_value =
                        (self.random(2) == 0).then(|| format!("{k} at {}", self.now).into_bytes());
                    let ticket = match &new_value {
                        Some(bytes) => self.coordinators[k].put(self.now, "x", bytes),
                        None => self.coordinators[k].get(self.now, "x"),
                    };
                    if let Ok(ticket) = ticket {
                        self.started[k].insert(ticket, Started { at: self.now, new_value });
                    }
                }
                self.apply_effects(k);
            }
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                match entry.remove() {
                    Event::Request(k, replica, request) => {
                        let response = self.replicas[replica].1.handle(self.now, &request);
                        self.send(|| Event::Response(k, replica, request.number, response.clone()));
                    }
                    Event::Response(k, replica, number, response) if self.paused_until[k] <= self.now => {
                        self.coordinators[k].on_response(self.now, replica, number, response);
                        self.apply_effects(k);
                    }
                    // A paused coordinator receives the response when it resumes.
                    Event::Response(k, replica, number, response) => {
                        self.sent += 1;
                        self.events.insert(
                            (self.paused_until[k], self.sent),
                            Event::Response(k, replica, number, response),
                        );
                    }
                }
            }
        }
    }

    /// Checks the order of the completed operations: one that started after another had ended has a greater
    /// count of writes if it is a write, and no smaller one if it is a read, and equal counts mean equal
    /// values.
    fn check(&self) {
        for a in &self.completed {
            for b in &self.completed {
                if b.started_at > a.ended_at {
                    let is_in_order = b.writes > a.writes || (!b.is_write && b.writes == a.writes);
                    assert!(is_in_order, "{b:?} after {a:?}");
                }
                assert!(a.writes != b.writes || a.value == b.value, "{a:?} and {b:?}");
            }
        }
    }
}

#[test]
fn operations_stay_in_order_when_holders_pause_and_replicas_restart() {
    let (mut completed, mut lost) = (0, 0);
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed);
        simulation.start();
        simulation.run(3 * LEASE);
        for round in 0..4 {
            let replica = simulation.random(REPLICAS as u64) as usize;
            simulation.replicas[replica].1 =
                Replica::new(simulation.replicas[replica].0.clone(), LEASE, simulation.now);
            simulation.start();
            simulation.run(simulation.now + LEASE);
            // The holder pauses for longer than its lease and then resumes.
            let resume_at = simulation.now + LEASE + simulation.random(3_000) * MS;
            let holders = (0..simulation.coordinators.len())
                .filter(|&k| simulation.coordinators[k].state() == ClaimState::Holding);
            let holders: Vec<usize> = holders.collect();
            assert!(holders.len() <= 2, "{seed}.{round}: {holders:?}");
            holders.into_iter().for_each(|k| simulation.paused_until[k] = resume_at);
            simulation.run(simulation.now + 4 * LEASE);
        }
        simulation.check();
        completed += simulation.completed.len();
        lost += simulation
            .coordinators
            .iter()
            .filter(|coordinator| coordinator.state() == ClaimState::Lost)
            .count();
    }
    println!("{completed} operations completed, {lost} holders displaced");
    assert!(completed > 2_000 && lost > 20, "{completed} operations completed, {lost} holders displaced");
}

#[test]
fn a_process_that_reaches_no_quorum_does_not_displace_the_holder() {
    let mut simulation = Simulation::new(7);
    simulation.start();
    simulation.run(LEASE);
    simulation.start();
    // The first replica has not heard from the holder for a lease, and the second process reaches only that
    // replica. Its claim must not raise the epoch there, or the holder would be displaced when it reaches the
    // replica again.
    let exchange = |simulation: &mut Simulation, k: usize, reachable: &[usize]| {
        while let Some(effect) = simulation.coordinators[k].next_effect() {
            let Effect::Send(replica, request) = effect else { continue };
            if reachable.contains(&replica) {
                let response = simulation.replicas[replica].1.handle(simulation.now, &request);
                simulation.coordinators[k].on_response(simulation.now, replica, request.number, response);
            }
        }
    };
    for _ in 0..100 {
        simulation.now += 100 * MS;
        for (k, reachable) in [(0, &[1, 2][..]), (1, &[0])] {
            simulation.coordinators[k].on_timer(simulation.now);
            exchange(&mut simulation, k, reachable);
        }
    }
    simulation.coordinators[0].on_timer(simulation.now + LEASE);
    exchange(&mut simulation, 0, &[0, 1, 2]);
    assert_eq!(
        [0, 1].map(|k| simulation.coordinators[k].state()),
        [ClaimState::Holding, ClaimState::Claiming]
    );
}
