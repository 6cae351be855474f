//! Whole fleets of members on a virtual network and a virtual clock, all drawn from a seed: the same code as in service.
//!
//! A history is a list of [`Action`]s at their times; what holds at each step is checked as it runs. The same seed and acts
//! give the same history, so that a failing one replays, and [`shrink`] drops acts that it does not need.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

pub use violetward_transport::sim::Weather;
use violetward_transport::sim::{Dice, Queue};

use crate::machine::{Change, Config, Effect, Membership, Micros, Standing};
use crate::wire::{Key, Keys, State};

/// Something that happens to a fleet. Members are told by number.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A process ends without a word.
    Kill(usize),
    /// It starts anew, under its name.
    Start(usize),
    /// It says good-bye and ends.
    Leave(usize),
    /// It stands still.
    Stop(usize),
    /// It goes on.
    Continue(usize),
    /// Nothing passes from one to the other.
    Cut(usize, usize),
    /// It passes again.
    Mend(usize, usize),
    /// Nothing passes between groups any more.
    Part(Vec<usize>),
    /// All links are whole again.
    Heal,
    /// The network is like this from now on.
    Weather(Weather),
}

struct Node {
    member: Option<Membership>,
    stopped: bool,
    /// What came while it stood still: a socket's buffer.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    killed: Option<Micros>,
    planned: Micros,
}

/// What a history has shown.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Spans from a death to each living member's knowing of it.
    pub detection_times: Vec<Micros>,
    /// Spans from a death to the last member's knowing.
    pub agreement_times: Vec<Micros>,
    /// Times that a member was declared dead that ran, was not stopped and not cut off.
    pub false_death_count: usize,
    /// Datagrams and octets sent by all.
    pub sent: (u64, u64),
    /// Wake-ups of all.
    pub wake_count: u64,
    /// The largest sum of shares over all running processes.
    pub max_total_share: f64,
    /// The first thing that did not hold, and when.
    pub first_violation: Option<(Micros, String)>,
}

/// A fleet.
pub struct Fleet {
    nodes: Vec<Node>,
    terms: Box<dyn Fn(usize) -> Config>,
    dice: Dice,
    /// The virtual time.
    pub now: Micros,
    weather: Weather,
    cuts: HashSet<(usize, usize)>,
    groups: Vec<usize>,
    queue: Queue<Event>,
    addresses: HashMap<SocketAddr, usize>,
    known_dead: BTreeMap<usize, HashSet<usize>>,
    /// What has been seen.
    pub report: Report,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, Micros),
    Arrive(usize, SocketAddr, Vec<u8>),
}

/// Config of member `n` of a fleet of `count`, with a period.
pub fn test_config(n: usize, count: usize, probe_interval: Micros, plain_swim: bool) -> Config {
    let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000));
    let key = Key { name: "ring".into(), secret: b"not a secret at all".to_vec() };
    Config {
        name: format!("g{n}"),
        site: format!("s{}", n % 3),
        address: address(n),
        seeds: (0..count.min(8)).map(address).collect(),
        address_overrides: BTreeMap::new(),
        keys: Keys::new(vec![key]).expect("a ring"),
        probe_interval,
        max_members: 4 * count.max(8),
        configured_gateways: count as u32,
        max_total_share: 2.0,
        share_growth_per_s: 0.1,
        plain_swim,
    }
}

impl Fleet {
    /// Members `0..count`, started one after the other within a second.
    pub fn new(count: usize, seed: u64, terms: impl Fn(usize) -> Config + 'static) -> Fleet {
        let addresses = (0..count).map(|n| (terms(n).address, n)).collect();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            terms: Box::new(terms),
            dice: Dice(seed),
            now: 1_000_000,
            weather: Weather::default(),
            cuts: HashSet::new(),
            groups: vec![0; count],
            queue: Queue::new(1_000_000),
            addresses,
            known_dead: BTreeMap::new(),
            report: Report::default(),
        };
        for _ in 0..count {
            fleet.nodes.push(Node {
                member: None,
                stopped: false,
                waiting: Vec::new(),
                killed: None,
                planned: 0,
            });
        }
        for n in 0..count {
            fleet.start(n);
        }
        fleet
    }

    /// A running member.
    pub fn member(&self, n: usize) -> Option<&Membership> {
        self.nodes[n].member.as_ref()
    }

    /// The same, to be told something.
    pub fn member_mut(&mut self, n: usize) -> Option<&mut Membership> {
        self.nodes[n].member.as_mut()
    }

    /// Members that run and do not stand still.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| !n.stopped)
            .filter_map(|(i, n)| Some((i, n.member.as_ref()?)))
    }

    /// The sum of all running members' shares.
    pub fn shares(&self) -> f64 {
        self.running().map(|(_, m)| m.share()).sum()
    }

    /// Whether all that run believe of each of them that it lives, and of nobody else.
    pub fn agree(&self) -> bool {
        let names: HashSet<String> = self.running().map(|(_, m)| m.own_record().name.clone()).collect();
        self.running().all(|(_, m)| {
            let living = m.members().filter(|s| s.record.state == State::Alive).map(|s| s.record.name);
            living.filter(|name| names.contains(name)).count() + 1 == names.len()
                && m.members().all(|s| names.contains(&s.record.name) || s.record.state > State::Suspect)
        })
    }

    fn start(&mut self, n: usize) {
        let seed = self.dice.draw();
        let member = Membership::new((self.terms)(n), seed, self.now);
        self.nodes[n].member = Some(member);
        (self.nodes[n].killed, self.nodes[n].stopped) = (None, false);
        self.known_dead.remove(&n);
        self.plan(n, true);
    }

    /// Lets something happen.
    pub fn act(&mut self, act: &Action) {
        match act {
            Action::Kill(n) => {
                self.nodes[*n].member = None;
                self.nodes[*n].waiting.clear();
                self.nodes[*n].killed = Some(self.now);
                self.known_dead.insert(*n, HashSet::new());
            }
            Action::Start(n) => self.start(*n),
            Action::Leave(n) => {
                let now = self.now;
                if let Some(member) = &mut self.nodes[*n].member {
                    member.leave(now);
                }
                self.carry_out(*n);
                self.nodes[*n].member = None;
            }
            Action::Stop(n) => self.nodes[*n].stopped = true,
            Action::Continue(n) => {
                self.nodes[*n].stopped = false;
                // What was due fires first, then the socket's buffer is read.
                self.plan(*n, true);
                for (from, bytes) in std::mem::take(&mut self.nodes[*n].waiting) {
                    self.queue.push(self.now, Event::Arrive(*n, from, bytes));
                }
            }
            Action::Cut(a, b) => {
                self.cuts.insert((*a, *b));
            }
            Action::Mend(a, b) => {
                self.cuts.remove(&(*a, *b));
            }
            Action::Part(groups) => self.groups = groups.clone(),
            Action::Heal => {
                self.cuts.clear();
                self.groups.iter_mut().for_each(|g| *g = 0);
            }
            Action::Weather(weather) => self.weather = *weather,
        }
    }

    fn plan(&mut self, n: usize, now: bool) {
        let Some(member) = &self.nodes[n].member else { return };
        let at = if now { self.now } else { member.next_wake().max(self.now) };
        if at < u64::MAX && (now || at != self.nodes[n].planned) {
            self.nodes[n].planned = at;
            self.queue.push(at, Event::Wake(n, at));
        }
    }

    /// Whether a datagram can come from one to the other.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        self.groups[from] == self.groups[to] && !self.cuts.contains(&(from, to))
    }

    /// Neither stopped nor cut off from anybody: it has a right to be believed alive.
    fn is_sound(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        let cut = self.cuts.iter().any(|&(a, b)| a == n || b == n)
            || self.groups.iter().any(|&g| g != self.groups[n]);
        node.member.is_some() && !node.stopped && !cut
    }

    fn carry_out(&mut self, n: usize) {
        while let Some(effect) = self.nodes[n].member.as_mut().and_then(Membership::next_effect) {
            match effect {
                Effect::Send(to, bytes) => {
                    self.report.sent.0 += 1;
                    self.report.sent.1 += bytes.len() as u64;
                    let Some(&target) = self.addresses.get(&to) else { continue };
                    if bytes.len() > crate::wire::MAX_DATAGRAM_BYTES {
                        self.broke(format!("g{n} sent {} octets", bytes.len()));
                    }
                    if !self.passes(n, target) {
                        continue;
                    }
                    let from = (self.terms)(n).address;
                    for (delay, bytes) in self.weather.carry(&mut self.dice, bytes) {
                        self.queue.push(self.now + delay, Event::Arrive(target, from, bytes));
                    }
                }
                Effect::Changed(Change::Member { name, state: State::Dead, previous: Some(_), .. }) => {
                    let Some(of) = name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok()) else {
                        continue;
                    };
                    match self.nodes[of].killed {
                        Some(at) => {
                            self.report.detection_times.push(self.now - at);
                            let running = self.running().count();
                            let known = self.known_dead.entry(of).or_default();
                            if known.insert(n) && known.len() == running {
                                self.report.agreement_times.push(self.now - at);
                            }
                        }
                        None if self.is_sound(of) && self.is_sound(n) => self.report.false_death_count += 1,
                        None => {}
                    }
                }
                Effect::Changed(_) | Effect::Received(..) => {}
                Effect::Share(_) => {
                    // The invariant: whatever each believes, all together take a bounded part of the fleet.
                    let terms = (self.terms)(n);
                    let processes = self.nodes.iter().filter(|n| n.member.is_some()).count();
                    let bound = terms.max_total_share
                        * (processes as f64 / f64::from(terms.configured_gateways)).max(1.0);
                    let sum: f64 =
                        self.nodes.iter().filter_map(|n| n.member.as_ref()).map(Membership::share).sum();
                    self.report.max_total_share = self.report.max_total_share.max(sum);
                    if sum > bound + 1e-9 {
                        self.broke(format!("shares add up to {sum:.3} of {bound:.3}"));
                    }
                }
            }
        }
    }

    fn broke(&mut self, what: String) {
        self.report.first_violation.get_or_insert((self.now, what));
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(event) = self.queue.pop(until) {
            let at = self.queue.now;
            self.now = at;
            let n = match event {
                Event::Wake(n, planned) => {
                    let node = &mut self.nodes[n];
                    if node.stopped || node.planned != planned {
                        continue;
                    }
                    let Some(member) = &mut node.member else { continue };
                    self.report.wake_count += 1;
                    member.handle_wake(at);
                    n
                }
                Event::Arrive(n, from, bytes) => {
                    let node = &mut self.nodes[n];
                    if node.stopped {
                        // A socket's buffer is bounded too.
                        if node.waiting.len() < 200 {
                            node.waiting.push((from, bytes));
                        }
                        continue;
                    }
                    let Some(member) = &mut node.member else { continue };
                    member.handle_datagram(at, from, &bytes);
                    n
                }
            };
            self.carry_out(n);
            self.plan(n, false);
        }
        self.now = until;
    }

    /// Runs until something holds, at most for a span; gives how long that took.
    pub fn until(&mut self, most: Micros, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + most {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(20_000);
        }
        holds(self).then_some(most)
    }

    /// Members that count themselves whole.
    pub fn whole(&self) -> usize {
        self.running().filter(|(_, m)| m.standing() == Standing::Whole).count()
    }
}

/// Plays a history: acts at their times, in order, then `rest` to settle.
pub fn play(
    count: usize,
    seed: u64,
    acts: &[(Micros, Action)],
    rest: Micros,
    terms: impl Fn(usize) -> Config + 'static,
) -> Fleet {
    let mut fleet = Fleet::new(count, seed, terms);
    let start = fleet.now;
    for (at, act) in acts {
        let span = (start + at).saturating_sub(fleet.now);
        fleet.run(span);
        fleet.act(act);
    }
    fleet.run(rest);
    fleet
}

/// Drops acts one after the other as long as the rest still fails.
pub fn shrink(
    acts: &[(Micros, Action)],
    fails: impl Fn(&[(Micros, Action)]) -> bool,
) -> Vec<(Micros, Action)> {
    let mut kept = acts.to_vec();
    let mut at = 0;
    while at < kept.len() {
        let mut fewer = kept.clone();
        fewer.remove(at);
        if fails(&fewer) {
            kept = fewer;
        } else {
            at += 1;
        }
    }
    kept
}
