//! Simulation of agreement among several gateways under a virtual clock: datagrams that are lost, delayed,
//! duplicated and reordered, clocks that drift, gateways that pause, crash and restart with their vote files.
//! Each step checks the safety property ([`Fleet::check`]): the range of each gateway contains every version
//! that another one applies in full, and no number has two versions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub use violetward_transport::sim::splitmix64;
use violetward_transport::sim::{EventQueue, LinkConditions, SeededRng};

use crate::wire;
use crate::{DurableState, Effect, Member, MemberTerms, Micros, Outcome, ProposeError, Version};

/// Fingerprint of the terms, which are the same at all simulated gateways.
const FINGERPRINT: u64 = 7;
const MILLISECOND_MICROS: Micros = 1_000;

/// An event at a gateway.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A datagram: sender and bytes.
    Datagram(String, Vec<u8>),
    /// The time of [`Member::next_wake`] has come.
    Timer,
}

/// The check of [`crate::Fitness`] at the gateway with the index given first.
pub type NodeFitness = Box<dyn Fn(usize, &[u8], Option<&Version>) -> Result<bool, String>>;

/// A simulated gateway.
pub struct Node {
    /// Agreement at this gateway; `None` while its process does not run.
    pub member: Option<Member>,
    /// The contents of its vote file.
    pub disk: Vec<u8>,
    /// Error of the rate of its clock in parts per million; positive if the clock is fast.
    pub clock_rate_ppm: i64,
    /// The gateway is paused until this time; its events wait.
    pub paused_until: Micros,
    /// Outcomes of its proposals.
    pub outcomes: Vec<Outcome>,
    /// Time of the next timer event; `Micros::MAX` if there is none.
    timer_at: Micros,
}

/// A simulated fleet of gateways.
pub struct Fleet {
    /// True time.
    pub now: Micros,
    /// The gateways; the first ones are the voters.
    pub nodes: Vec<Node>,
    /// Number of lost datagrams per thousand.
    pub loss_per_mille: u64,
    /// Whether all datagrams from one gateway to another are lost, by sender and recipient.
    pub blocked: Vec<Vec<bool>>,
    /// The contents of all committed versions, by number.
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// Number of datagrams and bytes sent.
    pub sent: (u64, u64),
    /// The fitness check of all gateways.
    pub fitness: Rc<RefCell<NodeFitness>>,
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
    /// Gateways that have just started for the first time. Their clocks are alternately fast and slow by the
    /// allowed drift.
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
            let disk = wire::encode_vote_file(&DurableState::default(), FINGERPRINT, 0);
            fleet.nodes.push(Node {
                member: None,
                disk,
                clock_rate_ppm: rate,
                paused_until: 0,
                outcomes: vec![],
                timer_at: Micros::MAX,
            });
            fleet.start(n);
        }
        fleet
    }

    /// The time of a gateway's clock.
    pub fn clock(&self, n: usize) -> u64 {
        // Only the rates of the clocks are alike; their readings differ by hours.
        let hours = 3_600_000_000 * (n as u64 * 7 % 5);
        hours + (self.now as i128 * (1_000_000 + self.nodes[n].clock_rate_ppm as i128) / 1_000_000) as u64
    }

    /// Starts the process of a gateway with its vote file.
    pub fn start(&mut self, n: usize) {
        let stored = wire::decode_vote_file(&self.nodes[n].disk, FINGERPRINT);
        let terms = MemberTerms {
            name: name(n),
            voters: (0..self.voters).map(name).collect(),
            votes: stored.is_ok(),
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            lease_check_margin: 0,
            fingerprint: FINGERPRINT,
        };
        let check = |content: &[u8]| if content == b"unfit" { Err("unfit".to_owned()) } else { Ok(()) };
        let incarnation = self.rng.next_u64();
        let now = self.clock(n);
        let fitness = self.fitness.clone();
        let member = Member::new(terms, stored.unwrap_or_default(), incarnation, now, Box::new(check));
        let fitness =
            Box::new(move |content: &[u8], before: Option<&Version>| fitness.borrow()(n, content, before));
        self.nodes[n].member = Some(member.with_fitness(fitness));
        self.carry_out(n);
    }

    /// Replaces the lost vote file of a voter as an operator would, and restarts it. This requires that a
    /// quorum of the other voters runs. Returns whether it was done.
    pub fn replace(&mut self, n: usize) -> bool {
        let others = (0..self.voters).filter(|&o| o != n && self.nodes[o].paused_until <= self.now);
        let newest: Vec<u64> = others
            .filter_map(|o| self.nodes[o].member.as_ref().map(|m| m.voter().history().newest().0))
            .collect();
        if newest.len() <= self.voters / 2 {
            return false;
        }
        let state =
            DurableState { abstain_through: crate::abstain_through(&newest), ..DurableState::default() };
        self.nodes[n].member = None;
        // A number of writes that the lost file cannot have reached.
        self.nodes[n].disk = wire::encode_vote_file(&state, FINGERPRINT, self.now);
        self.start(n);
        true
    }

    /// Schedules an event at a gateway.
    pub fn schedule(&mut self, at: u64, n: usize, event: Event) {
        self.events.push(at, (n, event));
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
                    assert!(
                        before.is_none_or(|b| b == v.content),
                        "two versions with the number {}",
                        v.number
                    );
                }
                Effect::ProposalEnded(outcome) => self.nodes[n].outcomes.push(outcome),
                Effect::TermsMismatch(_) | Effect::StaleVoteFile => {}
            }
        }
        let due = self.nodes[n].member.as_ref().map_or(Micros::MAX, Member::next_wake);
        if due < Micros::MAX {
            // In true time, and rather late than early.
            let delay = due.saturating_sub(self.clock(n));
            let at = self.now + delay + delay / 8 * self.drift_ppm / 100_000 + MILLISECOND_MICROS;
            if at < self.nodes[n].timer_at {
                self.nodes[n].timer_at = at;
                self.schedule(at, n, Event::Timer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_000);
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        if self.blocked[from][to] {
            return;
        }
        let duplicates = if self.loss_per_mille > 0 { 0.05 } else { 0.0 };
        let conditions = LinkConditions {
            loss: self.loss_per_mille as f64 / 1e3,
            delay: (MILLISECOND_MICROS, 21 * MILLISECOND_MICROS),
            duplicates,
            corrupted: 0.0,
        };
        for (delay, bytes) in conditions.transmit(&mut self.rng, bytes) {
            self.schedule(self.now + delay, to, Event::Datagram(name(from), bytes));
        }
    }

    fn step(&mut self, n: usize, event: Event) {
        if self.nodes[n].paused_until > self.events.now {
            return self.schedule(self.nodes[n].paused_until, n, event);
        }
        self.now = self.events.now;
        if event == Event::Timer {
            self.nodes[n].timer_at = Micros::MAX;
        }
        let now = self.clock(n);
        let Some(member) = &mut self.nodes[n].member else { return };
        match event {
            Event::Datagram(from, bytes) => member.receive(now, &from, &bytes),
            Event::Timer if member.next_wake() <= now => member.wake(now),
            Event::Timer => {}
        }
        self.carry_out(n);
        self.check();
    }

    /// The range of versions that each gateway may act on.
    pub fn usable_ranges(&self) -> Vec<Option<(u64, u64)>> {
        (0..self.nodes.len())
            .map(|n| self.nodes[n].member.as_ref().and_then(|m| m.usable_range(self.clock(n))))
            .collect()
    }

    /// Checks the safety property.
    ///
    /// # Panics
    /// If the range of a gateway lacks a version that another one applies in full.
    pub fn check(&self) {
        let ranges = self.usable_ranges();
        let full: Vec<u64> = ranges.iter().flatten().filter(|(low, top)| low == top).map(|a| a.0).collect();
        let (lowest, highest) = (full.iter().min().copied(), full.iter().max().copied());
        for (n, (low, top)) in ranges.iter().enumerate().filter_map(|(n, a)| a.map(|a| (n, a))) {
            let within = |v: Option<u64>| v.is_none_or(|v| (low..=top).contains(&v));
            assert!(
                within(lowest) && within(highest),
                "the range of g{n} is {low} to {top} at {}: {ranges:?}",
                self.now
            );
        }
    }

    /// Runs the simulation for `duration` microseconds.
    pub fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        while let Some((n, event)) = self.events.pop(until) {
            self.step(n, event);
        }
        (self.now, self.events.now) = (until, until);
        self.check();
    }

    /// Proposes a content at a gateway.
    ///
    /// # Errors
    /// The reason why the proposal is not started.
    ///
    /// # Panics
    /// If the gateway does not run.
    pub fn propose(&mut self, n: usize, content: &[u8]) -> Result<(), ProposeError> {
        let now = self.clock(n);
        let member = self.nodes[n].member.as_mut().expect("the gateway runs");
        let result = member.propose(now, content, None);
        self.carry_out(n);
        result
    }

    /// Whether all gateways apply this version in full.
    pub fn all_use(&self, version: u64) -> bool {
        self.usable_ranges().iter().all(|a| *a == Some((version, version)))
    }
}
