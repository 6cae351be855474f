//! Whole gateways' parts under a virtual clock: datagrams that get lost, late, twice and out of order, clocks that drift,
//! gateways that stand still, are killed and come back with what they kept. Checked at each step ([`Fleet::check`]): whoever acts
//! has each version that another one acts on in full within its range, and no number has two versions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub use violetward_transport::sim::splitmix64;
use violetward_transport::sim::{EventQueue, LinkConditions, SeededRng};

use crate::wire;
use crate::{Declined, Effect, Kept, Member, MemberTerms, Micros, Outcome, Version};

const MS: Micros = 1_000;

/// What comes to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// A datagram, from whom.
    Comes(String, Vec<u8>),
    /// It asked to be woken.
    Wake,
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
    pub still: Micros,
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
    pub loss: u64,
    /// Whether nothing passes from one to the other.
    pub cut: Vec<Vec<bool>>,
    /// All versions that were ever committed.
    pub contents: BTreeMap<u64, Vec<u8>>,
    /// Datagrams and octets sent.
    pub sent: (u64, u64),
    /// What gateways find fit.
    pub fitness: Rc<RefCell<FitnessAt>>,
    voters: usize,
    lease: Micros,
    drift: u64,
    events: EventQueue<(usize, What)>,
    dice: SeededRng,
}

fn name(n: usize) -> String {
    format!("g{n}")
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a gateway's name")
}

impl Fleet {
    /// Gateways that have just started for the first time; clocks run fast and slow by all that is allowed, in turn.
    pub fn new(count: usize, voters: usize, lease: Micros, drift: u64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000_000_000,
            nodes: Vec::new(),
            loss: 0,
            cut: vec![vec![false; count]; count],
            contents: BTreeMap::new(),
            sent: (0, 0),
            fitness: Rc::new(RefCell::new(Box::new(|_, _, _| Ok(false)))),
            voters,
            lease,
            drift,
            events: EventQueue::new(1_000_000_000),
            dice: SeededRng(seed),
        };
        for n in 0..count {
            let rate = if n % 2 == 0 { drift as i64 } else { -(drift as i64) };
            let disk = wire::keep(&Kept::default(), 7, 0);
            fleet.nodes.push(Node {
                member: None,
                disk,
                rate,
                still: 0,
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
        let kept = wire::kept(&self.nodes[n].disk, 7);
        let terms = MemberTerms {
            name: name(n),
            voters: (0..self.voters).map(name).collect(),
            votes: kept.is_ok(),
            lease: self.lease,
            drift: self.drift,
            check: 0,
            mark: 7,
        };
        let check = |content: &[u8]| if content == b"unfit" { Err("unfit".to_owned()) } else { Ok(()) };
        let life = self.dice.next_u64();
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
        let others = (0..self.voters).filter(|&o| o != n && self.nodes[o].still <= self.now);
        let newest: Vec<u64> = others
            .filter_map(|o| self.nodes[o].member.as_ref().map(|m| m.voter().history().newest().0))
            .collect();
        if newest.len() <= self.voters / 2 {
            return false;
        }
        let kept = Kept { abstain: crate::abstain_through(&newest), ..Kept::default() };
        self.nodes[n].member = None;
        // More writes than its earlier file can have had.
        self.nodes[n].disk = wire::keep(&kept, 7, self.now);
        self.start(n);
        true
    }

    /// Something comes to a gateway at a time.
    pub fn at(&mut self, when: u64, n: usize, what: What) {
        self.events.push(when, (n, what));
    }

    fn carry_out(&mut self, n: usize) {
        loop {
            let now = self.clock(n);
            let Some(effect) = self.nodes[n].member.as_mut().and_then(|m| m.effect(now)) else { break };
            match effect {
                Effect::Keep(bytes) => self.nodes[n].disk = bytes,
                Effect::Say(to, bytes) => self.send(n, number(&to), bytes),
                Effect::SayAll(bytes) => {
                    (0..self.nodes.len()).filter(|&o| o != n).for_each(|o| self.send(n, o, bytes.clone()))
                }
                Effect::Learned(v) => {
                    let before = self.contents.insert(v.number, v.content.clone());
                    assert!(before.is_none_or(|b| b == v.content), "two versions {}", v.number);
                }
                Effect::Proposed(outcome) => self.nodes[n].outcomes.push(outcome),
                Effect::OtherTerms(_) | Effect::OldFile => {}
            }
        }
        let due = self.nodes[n].member.as_ref().map_or(Micros::MAX, Member::next_wake);
        if due < Micros::MAX {
            // By the true clock, and a little late rather than early.
            let span = due.saturating_sub(self.clock(n));
            let at = self.now + span + span / 8 * self.drift / 100_000 + MS;
            if at < self.nodes[n].woken {
                self.nodes[n].woken = at;
                self.at(at, n, What::Wake);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_000);
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        if self.cut[from][to] {
            return;
        }
        let copies = if self.loss > 0 { 0.05 } else { 0.0 };
        let weather = LinkConditions {
            loss: self.loss as f64 / 1e3,
            delay: (MS, 21 * MS),
            duplicates: copies,
            corrupted: 0.0,
        };
        for (late, bytes) in weather.transmit(&mut self.dice, bytes) {
            self.at(self.now + late, to, What::Comes(name(from), bytes));
        }
    }

    fn step(&mut self, n: usize, what: What) {
        if self.nodes[n].still > self.events.now {
            return self.at(self.nodes[n].still, n, what);
        }
        self.now = self.events.now;
        if what == What::Wake {
            self.nodes[n].woken = Micros::MAX;
        }
        let now = self.clock(n);
        let Some(member) = &mut self.nodes[n].member else { return };
        match what {
            What::Comes(from, bytes) => member.heard(now, &from, &bytes),
            What::Wake if member.next_wake() <= now => member.wake(now),
            What::Wake => {}
        }
        self.carry_out(n);
        self.check();
    }

    /// What each acts on.
    pub fn acts(&self) -> Vec<Option<(u64, u64)>> {
        (0..self.nodes.len())
            .map(|n| self.nodes[n].member.as_ref().and_then(|m| m.acts_on(self.clock(n))))
            .collect()
    }

    /// Panics where the promise is broken.
    ///
    /// # Panics
    /// Then.
    pub fn check(&self) {
        let acts = self.acts();
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
    pub fn propose(&mut self, n: usize, content: &[u8]) -> Result<(), Declined> {
        let now = self.clock(n);
        let member = self.nodes[n].member.as_mut().expect("it runs");
        let done = member.propose(now, content, None);
        self.carry_out(n);
        done
    }

    /// Whether all act on one version in full.
    pub fn all_on(&self, version: u64) -> bool {
        self.acts().iter().all(|a| *a == Some((version, version)))
    }
}
