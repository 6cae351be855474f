//! Deterministic simulation of whole fleets of members on a virtual network and clock. It runs the production
//! code.
//!
//! A history is a list of timed [`Action`]s; invariants are checked at each step. The same seed and actions
//! reproduce the same run, and [`minimize`] removes actions that a failure does not need.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

pub use violetward_transport::sim::LinkConditions;
use violetward_transport::sim::{EventQueue, SeededRng};

use crate::machine::{Change, Config, Effect, Membership, Micros, Standing};
use crate::wire::{Key, Keys, State};

/// Number of datagrams that the socket buffer of a paused process holds.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;
/// Interval at which [`Fleet::run_until`] checks its condition.
const CHECK_INTERVAL_US: Micros = 20_000;
/// Virtual time at which a fleet starts.
const START_TIME_US: Micros = 1_000_000;

/// An action on a fleet. Members are identified by number.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ends a process without notice.
    Kill(usize),
    /// Starts a process under the member's name.
    Start(usize),
    /// Makes the member leave the group, and ends its process.
    Leave(usize),
    /// Pauses a process.
    Pause(usize),
    /// Resumes a paused process.
    Resume(usize),
    /// Drops all datagrams from the first member to the second.
    CutLink(usize, usize),
    /// Delivers them again.
    RestoreLink(usize, usize),
    /// Drops all datagrams between members with different group numbers; the vector holds one for each
    /// member.
    Partition(Vec<usize>),
    /// Restores all links and removes partitions.
    Heal,
    /// Sets loss, delay, duplication and corruption of the network.
    Weather(LinkConditions),
}

struct Node {
    member: Option<Membership>,
    paused: bool,
    /// Datagrams received during a pause, as in the buffer of a socket.
    buffered: Vec<(SocketAddr, Vec<u8>)>,
    killed_at: Option<Micros>,
    planned_wake: Micros,
}

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Time from the end of a process until a running member declares it dead, for each such member.
    pub detection_times: Vec<Micros>,
    /// Time from the end of a process until the last running member declares it dead.
    pub agreement_times: Vec<Micros>,
    /// Number of times that a member was declared dead while it was running and neither paused nor cut off.
    pub false_death_count: usize,
    /// Datagrams and bytes sent by all members.
    pub sent: (u64, u64),
    /// Number of wake-ups of all members.
    pub wake_count: u64,
    /// Largest sum of the shares of all processes.
    pub max_total_share: f64,
    /// First violation of an invariant, and its time.
    pub first_violation: Option<(Micros, String)>,
}

/// A simulated fleet.
pub struct Fleet {
    nodes: Vec<Node>,
    config: Box<dyn Fn(usize) -> Config>,
    rng: SeededRng,
    /// Virtual time.
    pub now: Micros,
    weather: LinkConditions,
    cuts: HashSet<(usize, usize)>,
    groups: Vec<usize>,
    queue: EventQueue<Event>,
    addresses: HashMap<SocketAddr, usize>,
    death_observers: BTreeMap<usize, HashSet<usize>>,
    /// Results so far.
    pub report: Report,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize, Micros),
    Arrive(usize, SocketAddr, Vec<u8>),
}

/// Configuration of member `n` of a fleet of `count` members.
pub fn test_config(n: usize, count: usize, probe_interval: Micros, plain_swim: bool) -> Config {
    let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000));
    let key = Key { name: "ring".into(), secret: b"not a secret at all".to_vec() };
    Config {
        name: format!("g{n}"),
        site: format!("s{}", n % 3),
        address: address(n),
        seeds: (0..count.min(8)).map(address).collect(),
        address_overrides: BTreeMap::new(),
        keys: Keys::new(vec![key]).expect("valid keys"),
        probe_interval,
        max_members: 4 * count.max(8),
        configured_gateways: count as u32,
        max_total_share: 2.0,
        share_growth_per_s: 0.1,
        plain_swim,
    }
}

impl Fleet {
    /// Creates members `0..count` and starts them all at the same virtual time.
    pub fn new(count: usize, seed: u64, config: impl Fn(usize) -> Config + 'static) -> Fleet {
        let addresses = (0..count).map(|n| (config(n).address, n)).collect();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            config: Box::new(config),
            rng: SeededRng(seed),
            now: START_TIME_US,
            weather: LinkConditions::default(),
            cuts: HashSet::new(),
            groups: vec![0; count],
            queue: EventQueue::new(START_TIME_US),
            addresses,
            death_observers: BTreeMap::new(),
            report: Report::default(),
        };
        for _ in 0..count {
            fleet.nodes.push(Node {
                member: None,
                paused: false,
                buffered: Vec::new(),
                killed_at: None,
                planned_wake: 0,
            });
        }
        for n in 0..count {
            fleet.start(n);
        }
        fleet
    }

    /// The member of a running or paused process.
    pub fn member(&self, n: usize) -> Option<&Membership> {
        self.nodes[n].member.as_ref()
    }

    /// Mutable access to [`Fleet::member`].
    pub fn member_mut(&mut self, n: usize) -> Option<&mut Membership> {
        self.nodes[n].member.as_mut()
    }

    /// Members whose process runs and is not paused.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| !n.paused)
            .filter_map(|(i, n)| Some((i, n.member.as_ref()?)))
    }

    /// Sum of the shares of all running members.
    pub fn total_share(&self) -> f64 {
        self.running().map(|(_, m)| m.share()).sum()
    }

    /// Whether every running member holds exactly the running members for alive.
    pub fn views_agree(&self) -> bool {
        let names: HashSet<String> = self.running().map(|(_, m)| m.own_record().name.clone()).collect();
        self.running().all(|(_, m)| {
            let living = m.members().filter(|s| s.record.state == State::Alive).map(|s| s.record.name);
            living.filter(|name| names.contains(name)).count() + 1 == names.len()
                && m.members().all(|s| names.contains(&s.record.name) || s.record.state > State::Suspect)
        })
    }

    fn start(&mut self, n: usize) {
        let seed = self.rng.next_u64();
        let member = Membership::new((self.config)(n), seed, self.now);
        self.nodes[n].member = Some(member);
        (self.nodes[n].killed_at, self.nodes[n].paused) = (None, false);
        self.death_observers.remove(&n);
        self.schedule_wake(n, true);
    }

    /// Performs an action now.
    pub fn apply(&mut self, action: &Action) {
        match action {
            Action::Kill(n) => {
                self.nodes[*n].member = None;
                self.nodes[*n].buffered.clear();
                self.nodes[*n].killed_at = Some(self.now);
                self.death_observers.insert(*n, HashSet::new());
            }
            Action::Start(n) => self.start(*n),
            Action::Leave(n) => {
                let now = self.now;
                if let Some(member) = &mut self.nodes[*n].member {
                    member.leave(now);
                }
                self.carry_out_effects(*n);
                self.nodes[*n].member = None;
            }
            Action::Pause(n) => self.nodes[*n].paused = true,
            Action::Resume(n) => {
                self.nodes[*n].paused = false;
                // Timers that are due run first, then the buffered datagrams are read.
                self.schedule_wake(*n, true);
                for (from, bytes) in std::mem::take(&mut self.nodes[*n].buffered) {
                    self.queue.push(self.now, Event::Arrive(*n, from, bytes));
                }
            }
            Action::CutLink(a, b) => {
                self.cuts.insert((*a, *b));
            }
            Action::RestoreLink(a, b) => {
                self.cuts.remove(&(*a, *b));
            }
            Action::Partition(groups) => self.groups = groups.clone(),
            Action::Heal => {
                self.cuts.clear();
                self.groups.iter_mut().for_each(|g| *g = 0);
            }
            Action::Weather(weather) => self.weather = *weather,
        }
    }

    fn schedule_wake(&mut self, n: usize, immediate: bool) {
        let Some(member) = &self.nodes[n].member else { return };
        let at = if immediate { self.now } else { member.next_wake().max(self.now) };
        if at < u64::MAX && (immediate || at != self.nodes[n].planned_wake) {
            self.nodes[n].planned_wake = at;
            self.queue.push(at, Event::Wake(n, at));
        }
    }

    /// Whether the network delivers datagrams from one member to the other.
    pub fn delivers(&self, from: usize, to: usize) -> bool {
        self.groups[from] == self.groups[to] && !self.cuts.contains(&(from, to))
    }

    /// Whether a member runs and is neither paused nor cut off from any other, so that nobody may declare it
    /// dead.
    fn is_reachable(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        let cut = self.cuts.iter().any(|&(a, b)| a == n || b == n)
            || self.groups.iter().any(|&g| g != self.groups[n]);
        node.member.is_some() && !node.paused && !cut
    }

    fn carry_out_effects(&mut self, n: usize) {
        while let Some(effect) = self.nodes[n].member.as_mut().and_then(Membership::next_effect) {
            match effect {
                Effect::Send(to, bytes) => {
                    self.report.sent.0 += 1;
                    self.report.sent.1 += bytes.len() as u64;
                    let Some(&target) = self.addresses.get(&to) else { continue };
                    if bytes.len() > crate::wire::MAX_DATAGRAM_BYTES {
                        self.record_violation(format!("g{n} sent {} bytes", bytes.len()));
                    }
                    if !self.delivers(n, target) {
                        continue;
                    }
                    let from = (self.config)(n).address;
                    for (delay, bytes) in self.weather.transmit(&mut self.rng, bytes) {
                        self.queue.push(self.now + delay, Event::Arrive(target, from, bytes));
                    }
                }
                Effect::Changed(Change::Member { name, state: State::Dead, previous: Some(_), .. }) => {
                    let Some(dead) = name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok()) else {
                        continue;
                    };
                    match self.nodes[dead].killed_at {
                        Some(at) => {
                            self.report.detection_times.push(self.now - at);
                            let running = self.running().count();
                            let observers = self.death_observers.entry(dead).or_default();
                            if observers.insert(n) && observers.len() == running {
                                self.report.agreement_times.push(self.now - at);
                            }
                        }
                        None if self.is_reachable(dead) && self.is_reachable(n) => {
                            self.report.false_death_count += 1
                        }
                        None => {}
                    }
                }
                Effect::Changed(_) | Effect::Received(..) => {}
                Effect::Share(_) => {
                    // Invariant: the sum of the shares is bounded, however the members' views differ.
                    let config = (self.config)(n);
                    let processes = self.nodes.iter().filter(|n| n.member.is_some()).count();
                    let bound = config.max_total_share
                        * (processes as f64 / f64::from(config.configured_gateways)).max(1.0);
                    let sum: f64 =
                        self.nodes.iter().filter_map(|n| n.member.as_ref()).map(Membership::share).sum();
                    self.report.max_total_share = self.report.max_total_share.max(sum);
                    if sum > bound + 1e-9 {
                        self.record_violation(format!("shares add up to {sum:.3} of {bound:.3}"));
                    }
                }
            }
        }
    }

    fn record_violation(&mut self, description: String) {
        self.report.first_violation.get_or_insert((self.now, description));
    }

    /// Advances the virtual time by `span` and processes the events in it.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(event) = self.queue.pop(until) {
            let at = self.queue.now;
            self.now = at;
            let n = match event {
                Event::Wake(n, planned) => {
                    let node = &mut self.nodes[n];
                    if node.paused || node.planned_wake != planned {
                        continue;
                    }
                    let Some(member) = &mut node.member else { continue };
                    self.report.wake_count += 1;
                    member.handle_wake(at);
                    n
                }
                Event::Arrive(n, from, bytes) => {
                    let node = &mut self.nodes[n];
                    if node.paused {
                        if node.buffered.len() < SOCKET_BUFFER_DATAGRAMS {
                            node.buffered.push((from, bytes));
                        }
                        continue;
                    }
                    let Some(member) = &mut node.member else { continue };
                    member.handle_datagram(at, from, &bytes);
                    n
                }
            };
            self.carry_out_effects(n);
            self.schedule_wake(n, false);
        }
        self.now = until;
    }

    /// Runs until the condition holds, at most for `timeout`; returns the time that it took.
    pub fn run_until(&mut self, timeout: Micros, condition: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(CHECK_INTERVAL_US);
        }
        condition(self).then_some(timeout)
    }

    /// Number of running members whose standing is [`Standing::Whole`].
    pub fn whole_count(&self) -> usize {
        self.running().filter(|(_, m)| m.standing() == Standing::Whole).count()
    }
}

/// Runs a history: the actions at their times, in order, and then `settle_time` more.
pub fn run_history(
    count: usize,
    seed: u64,
    actions: &[(Micros, Action)],
    settle_time: Micros,
    config: impl Fn(usize) -> Config + 'static,
) -> Fleet {
    let mut fleet = Fleet::new(count, seed, config);
    let start = fleet.now;
    for (at, action) in actions {
        let span = (start + at).saturating_sub(fleet.now);
        fleet.run(span);
        fleet.apply(action);
    }
    fleet.run(settle_time);
    fleet
}

/// Removes actions one by one as long as the remaining ones still fail.
pub fn minimize(
    actions: &[(Micros, Action)],
    fails: impl Fn(&[(Micros, Action)]) -> bool,
) -> Vec<(Micros, Action)> {
    let mut minimal = actions.to_vec();
    let mut at = 0;
    while at < minimal.len() {
        let mut fewer = minimal.clone();
        fewer.remove(at);
        if fails(&fewer) {
            minimal = fewer;
        } else {
            at += 1;
        }
    }
    minimal
}
