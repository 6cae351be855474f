//! Whole gateways' parts under a virtual clock: datagrams that get lost, late, twice and out of order, clocks that drift,
//! gateways that stand still, are killed and come back with what they kept. Checked at each step ([`Fleet::check`]): whoever acts
//! has each version that another one acts on in full within its range, and no number has two versions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub use violetward_transport::sim::splitmix64;
use violetward_transport::sim::{EventQueue, LinkConditions, SeededRng};

use crate::wire;
use crate::{DurableState, Effect, Member, MemberTerms, Micros, Outcome, ProposeError, Version};

const MS: Micros = 1_000;

/// What comes to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A datagram, from whom.
    Datagram(String, Vec<u8>),
    /// It asked to be woken.
    Timer,
}

/// What finds contents fit at a gateway, as things are there: see [`crate::Fitness`].
pub type FitnessAt = Box<dyn Fn(usize, &[u8], Option<&Version>) -> Result<bool, String>>;

/// A gateway.
pub struct Node {
    /// Its part, while its process runs.
    pub member: Option<Member>,
    /// What it kept.
    pub disk: Vec<u8>,
    /// Parts of a million by which its clock runs too fast.
    pub rate: i64,
    /// It stands still until then; what comes waits.
    pub paused_until: Micros,
    /// How its proposals ended.
    pub outcomes: Vec<Outcome>,
    woken: Micros,
}

/// A fleet.
pub struct Fleet {
    /// True time.
    pub now: Micros,
    /// Its gateways; the first ones vote.
    pub nodes: Vec<Node>,
    /// Datagrams of a thousand that get lost.
    pub loss_per_mille: u64,
    /// Whether nothing passes from one to the other.
    pub blocked: Vec<Vec<bool>>,
    /// All versions that were ever committed.
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// Datagrams and octets sent.
    pub sent: (u64, u64),
    /// What gateways find fit.
    pub fitness: Rc<RefCell<FitnessAt>>,
    voters: usize,
    lease: Micros,
    drift_ppm: u64,
    events: EventQueue<(usize, Event)>,
    rng: SeededRng,
}

fn name(n: usize) -> String {
    format!("g{n}")
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a gateway's name")
}

impl Fleet {
    /// Gateways that have just started for the first time; clocks run fast and slow by all that is allowed, in turn.
    pub fn new(count: usize, voters: usize, lease: Micros, drift_ppm: u64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000_000_000,
            nodes: Vec::new(),
            loss_per_mille: 0,
            blocked: vec![vec![false; count]; count],
            committed: BTreeMap::new(),
            sent: (0, 0),
            fitness: Rc::new(RefCell::new(Box::new(|_, _, _| Ok(false)))),
            voters,
            lease,
            drift_ppm,
            events: EventQueue::new(1_000_000_000),
            rng: SeededRng(seed),
        };
        for n in 0..count {
            let rate = if n % 2 == 0 { drift_ppm as i64 } else { -(drift_ppm as i64) };
            let disk = wire::encode_vote_file(&DurableState::default(), 7, 0);
            fleet.nodes.push(Node {
                member: None,
                disk,
                rate,
                paused_until: 0,
                outcomes: vec![],
                woken: Micros::MAX,
            });
            fleet.start(n);
        }
        fleet
    }

    /// What a gateway's clock shows.
    pub fn clock(&self, n: usize) -> u64 {
        // Clocks have nothing in common but their rates: hours lie between them.
        let hours = 3_600_000_000 * (n as u64 * 7 % 5);
        hours + (self.now as i128 * (1_000_000 + self.nodes[n].rate as i128) / 1_000_000) as u64
    }

    /// Its process starts, with what it kept.
    pub fn start(&mut self, n: usize) {
        let kept = wire::decode_vote_file(&self.nodes[n].disk, 7);
        let terms = MemberTerms {
            name: name(n),
            voters: (0..self.voters).map(name).collect(),
            votes: kept.is_ok(),
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            lease_check_margin: 0,
            fingerprint: 7,
        };
        let check = |content: &[u8]| if content == b"unfit" { Err("unfit".to_owned()) } else { Ok(()) };
        let life = self.rng.next_u64();
        let now = self.clock(n);
        let fitness = self.fitness.clone();
        let member = Member::new(terms, kept.unwrap_or_default(), life, now, Box::new(check));
        let fitness =
            Box::new(move |content: &[u8], before: Option<&Version>| fitness.borrow()(n, content, before));
        self.nodes[n].member = Some(member.with_fitness(fitness));
        self.carry_out(n);
    }

    /// Its disk is lost, and it comes back with a new one as an operator would make it: if a quorum of the other voters runs.
    /// Gives whether it did.
    pub fn replace(&mut self, n: usize) -> bool {
        let others = (0..self.voters).filter(|&o| o != n && self.nodes[o].paused_until <= self.now);
        let newest: Vec<u64> = others
            .filter_map(|o| self.nodes[o].member.as_ref().map(|m| m.voter().history().newest().0))
            .collect();
        if newest.len() <= self.voters / 2 {
            return false;
        }
        let kept =
            DurableState { abstain_through: crate::abstain_through(&newest), ..DurableState::default() };
        self.nodes[n].member = None;
        // More writes than its earlier file can have had.
        self.nodes[n].disk = wire::encode_vote_file(&kept, 7, self.now);
        self.start(n);
        true
    }

    /// Something comes to a gateway at a time.
    pub fn at(&mut self, when: u64, n: usize, what: Event) {
        self.events.push(when, (n, what));
    }

    fn carry_out(&mut self, n: usize) {
        loop {
            let now = self.clock(n);
            let Some(effect) = self.nodes[n].member.as_mut().and_then(|m| m.next_effect(now)) else { break };
            match effect {
                Effect::Persist(bytes) => self.nodes[n].disk = bytes,
                Effect::Send(to, bytes) => self.send(n, number(&to), bytes),
                Effect::Broadcast(bytes) => {
                    (0..self.nodes.len()).filter(|&o| o != n).for_each(|o| self.send(n, o, bytes.clone()))
                }
                Effect::Committed(v) => {
                    let before = self.committed.insert(v.number, v.content.clone());
                    assert!(before.is_none_or(|b| b == v.content), "two versions {}", v.number);
                }
                Effect::ProposalEnded(outcome) => self.nodes[n].outcomes.push(outcome),
                Effect::TermsMismatch(_) | Effect::StaleVoteFile => {}
            }
        }
        let due = self.nodes[n].member.as_ref().map_or(Micros::MAX, Member::next_wake);
        if due < Micros::MAX {
            // By the true clock, and a little late rather than early.
            let span = due.saturating_sub(self.clock(n));
            let at = self.now + span + span / 8 * self.drift_ppm / 100_000 + MS;
            if at < self.nodes[n].woken {
                self.nodes[n].woken = at;
                self.at(at, n, Event::Timer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_000);
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        if self.blocked[from][to] {
            return;
        }
        let copies = if self.loss_per_mille > 0 { 0.05 } else { 0.0 };
        let weather = LinkConditions {
            loss: self.loss_per_mille as f64 / 1e3,
            delay: (MS, 21 * MS),
            duplicates: copies,
            corrupted: 0.0,
        };
        for (late, bytes) in weather.transmit(&mut self.rng, bytes) {
            self.at(self.now + late, to, Event::Datagram(name(from), bytes));
        }
    }

    fn step(&mut self, n: usize, what: Event) {
        if self.nodes[n].paused_until > self.events.now {
            return self.at(self.nodes[n].paused_until, n, what);
        }
        self.now = self.events.now;
        if what == Event::Timer {
            self.nodes[n].woken = Micros::MAX;
        }
        let now = self.clock(n);
        let Some(member) = &mut self.nodes[n].member else { return };
        match what {
            Event::Datagram(from, bytes) => member.receive(now, &from, &bytes),
            Event::Timer if member.next_wake() <= now => member.wake(now),
            Event::Timer => {}
        }
        self.carry_out(n);
        self.check();
    }

    /// What each acts on.
    pub fn usable_ranges(&self) -> Vec<Option<(u64, u64)>> {
        (0..self.nodes.len())
            .map(|n| self.nodes[n].member.as_ref().and_then(|m| m.usable_range(self.clock(n))))
            .collect()
    }

    /// Panics where the promise is broken.
    ///
    /// # Panics
    /// Then.
    pub fn check(&self) {
        let acts = self.usable_ranges();
        let full: Vec<u64> = acts.iter().flatten().filter(|(low, top)| low == top).map(|a| a.0).collect();
        let (least, most) = (full.iter().min().copied(), full.iter().max().copied());
        for (n, (low, top)) in acts.iter().enumerate().filter_map(|(n, a)| a.map(|a| (n, a))) {
            let within = |v: Option<u64>| v.is_none_or(|v| (low..=top).contains(&v));
            assert!(within(least) && within(most), "g{n} acts on {low} to {top} at {}: {acts:?}", self.now);
        }
    }

    /// Lets a span pass.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some((n, what)) = self.events.pop(until) {
            self.step(n, what);
        }
        (self.now, self.events.now) = (until, until);
        self.check();
    }

    /// Proposes a content at a gateway that runs.
    ///
    /// # Errors
    /// Why it is not begun.
    ///
    /// # Panics
    /// If it does not run.
    pub fn propose(&mut self, n: usize, content: &[u8]) -> Result<(), ProposeError> {
        let now = self.clock(n);
        let member = self.nodes[n].member.as_mut().expect("it runs");
        let done = member.propose(now, content, None);
        self.carry_out(n);
        done
    }

    /// Whether all act on one version in full.
    pub fn all_use(&self, version: u64) -> bool {
        self.usable_ranges().iter().all(|a| *a == Some((version, version)))
    }
}
