//! Keepers and copies over a network that loses, delays, doubles and reorders, under a virtual clock.

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
const COPIES: usize = 3;

/// A store that outlasts the copy on it.
#[derive(Clone, Default)]
struct Lasting(Rc<RefCell<MemoryStore>>);

impl Store for Lasting {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        self.0.borrow_mut().get(name)
    }
    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        self.0.borrow_mut().put(name, bytes)
    }
}

enum Event {
    Asked(usize, usize, Request),
    Answered(usize, usize, u64, Response),
}

/// What ended well: from, to, whether it was put, its count, and what it was.
type Ended = (Micros, Micros, bool, u64, Option<Vec<u8>>);

/// What was begun: when, and what is put.
type Begun = (Micros, Option<Vec<u8>>);

struct World {
    now: Micros,
    seed: u64,
    events: BTreeMap<(Micros, u64), Event>,
    sent: u64,
    keepers: Vec<Coordinator>,
    /// Until when one stands still.
    still: Vec<Micros>,
    begun: Vec<BTreeMap<u64, Begun>>,
    copies: Vec<(Lasting, Replica<Lasting>)>,
    ended: Vec<Ended>,
}

impl World {
    fn new(seed: u64) -> World {
        let copy = |_| {
            let store = Lasting::default();
            (store.clone(), Replica::new(store, LEASE, 0))
        };
        World {
            now: 0,
            seed,
            events: BTreeMap::new(),
            sent: 0,
            keepers: vec![],
            still: vec![],
            begun: vec![],
            copies: (0..COPIES).map(copy).collect(),
            ended: vec![],
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    fn start(&mut self) {
        let terms = Config {
            owner: "g1".into(),
            replicas: COPIES,
            lease: LEASE,
            retry_interval: 100 * MS,
            timeout: 3_000 * MS,
            max_pending: 8,
        };
        self.keepers.push(Coordinator::new(terms, self.keepers.len() as u64 + 1, self.now).unwrap());
        self.still.push(0);
        self.begun.push(BTreeMap::new());
    }

    fn send(&mut self, event: impl Fn() -> Event) {
        for _ in 0..match self.draw(20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        } {
            let late = if self.draw(20) == 0 { 1_500 } else { 30 };
            let at = self.now + (1 + self.draw(late)) * MS;
            self.sent += 1;
            self.events.insert((at, self.sent), event());
        }
    }

    fn effects(&mut self, k: usize) {
        while let Some(effect) = self.keepers[k].next_effect() {
            match effect {
                Effect::Send(copy, request) => self.send(|| Event::Asked(k, copy, request.clone())),
                Effect::Completed(ticket, done) => {
                    let (from, put) = self.begun[k].remove(&ticket).unwrap();
                    match done {
                        Ok(Outcome::Put(writes)) => self.ended.push((from, self.now, true, writes, put)),
                        Ok(Outcome::Got(kept)) => {
                            let writes = kept.as_ref().map_or(0, |kept| kept.writes);
                            self.ended.push((from, self.now, false, writes, kept.map(|kept| kept.bytes)));
                        }
                        Err(_) => {}
                    }
                }
                Effect::StaleReplica(copy) => panic!("copy {copy} has forgotten nothing"),
            }
        }
    }

    fn run(&mut self, until: Micros) {
        while self.now < until {
            self.now += MS;
            for k in (0..self.keepers.len()).filter(|&k| self.still[k] <= self.now).collect::<Vec<_>>() {
                if self.keepers[k].next_wake().is_some_and(|at| at <= self.now) {
                    self.keepers[k].on_timer(self.now);
                }
                if self.keepers[k].state() == ClaimState::Holding && self.draw(20) == 0 {
                    let put = (self.draw(2) == 0).then(|| format!("{k} at {}", self.now).into_bytes());
                    let ticket = match &put {
                        Some(bytes) => self.keepers[k].put(self.now, "x", bytes),
                        None => self.keepers[k].get(self.now, "x"),
                    };
                    if let Ok(ticket) = ticket {
                        self.begun[k].insert(ticket, (self.now, put));
                    }
                }
                self.effects(k);
            }
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                match entry.remove() {
                    Event::Asked(k, copy, request) => {
                        let answer = self.copies[copy].1.handle(self.now, &request);
                        self.send(|| Event::Answered(k, copy, request.number, answer.clone()));
                    }
                    Event::Answered(k, copy, number, answer) if self.still[k] <= self.now => {
                        self.keepers[k].on_response(self.now, copy, number, answer);
                        self.effects(k);
                    }
                    // It hears of it when it goes on.
                    Event::Answered(k, copy, number, answer) => {
                        self.sent += 1;
                        self.events
                            .insert((self.still[k], self.sent), Event::Answered(k, copy, number, answer));
                    }
                }
            }
        }
    }

    /// What began after another one had ended has a greater count if it was put, and none smaller if it was got; one count
    /// stands for one value.
    fn check(&self) {
        for a in &self.ended {
            for b in &self.ended {
                if b.0 > a.1 {
                    assert!(b.3 > a.3 || (!b.2 && b.3 == a.3), "{b:?} after {a:?}");
                }
                assert!(a.3 != b.3 || a.4 == b.4, "{a:?} and {b:?}");
            }
        }
    }
}

#[test]
fn what_is_told_is_in_order_though_the_holder_stands_still_and_copies_start_again() {
    let (mut ended, mut lost) = (0, 0);
    for seed in 0..30 {
        let mut world = World::new(seed);
        world.start();
        world.run(3 * LEASE);
        for round in 0..4 {
            let copy = world.draw(COPIES as u64) as usize;
            world.copies[copy].1 = Replica::new(world.copies[copy].0.clone(), LEASE, world.now);
            world.start();
            world.run(world.now + LEASE);
            // Whoever has the name stands still for longer than its lease, and then goes on.
            let pause = world.now + LEASE + world.draw(3_000) * MS;
            let holds = (0..world.keepers.len()).filter(|&k| world.keepers[k].state() == ClaimState::Holding);
            let holds: Vec<usize> = holds.collect();
            assert!(holds.len() <= 2, "{seed}.{round}: {holds:?}");
            holds.into_iter().for_each(|k| world.still[k] = pause);
            world.run(world.now + 4 * LEASE);
        }
        world.check();
        ended += world.ended.len();
        lost += world.keepers.iter().filter(|k| k.state() == ClaimState::Lost).count();
    }
    println!("{ended} ended well, {lost} holders outdone");
    assert!(ended > 2_000 && lost > 20, "{ended} ended, {lost} lost");
}

#[test]
fn one_that_reaches_too_few_copies_does_not_end_the_holder() {
    let mut world = World::new(7);
    world.start();
    world.run(LEASE);
    world.start();
    // The first copy has not heard of the holder for a lease, and the second process reaches that copy alone.
    let ask = |world: &mut World, k: usize, reach: &[usize]| {
        while let Some(effect) = world.keepers[k].next_effect() {
            let Effect::Send(copy, request) = effect else { continue };
            if reach.contains(&copy) {
                let answer = world.copies[copy].1.handle(world.now, &request);
                world.keepers[k].on_response(world.now, copy, request.number, answer);
            }
        }
    };
    for _ in 0..100 {
        world.now += 100 * MS;
        for (k, reach) in [(0, &[1, 2][..]), (1, &[0])] {
            world.keepers[k].on_timer(world.now);
            ask(&mut world, k, reach);
        }
    }
    world.keepers[0].on_timer(world.now + LEASE);
    ask(&mut world, 0, &[0, 1, 2]);
    assert_eq!([0, 1].map(|k| world.keepers[k].state()), [ClaimState::Holding, ClaimState::Claiming]);
}
