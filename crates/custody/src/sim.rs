//! Simulation of whole fleets under a virtual clock, with a model of gateways, engines and clients around
//! each state machine. Datagrams and batches are lost, delayed, repeated and reordered; clocks drift by the
//! allowed maximum; processes are killed, paused, restarted and leave; links are cut in one direction or
//! both; membership is late and sometimes wrong.
//!
//! At each step the simulation checks that no two processes may act for one statement at the same true time,
//! that a statement that is unsafe to repeat is sent to an engine once, and that one ending is reported.
//! After the faults it checks that each statement that some gateway still has ends by its deadline.

mod case;
mod clients;
mod events;
mod faults;
mod network;
mod process;
mod statements;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use self::case::next_random;
pub use self::case::{Case, Counts};
use self::clients::ClientStatement;
use self::events::{Event, ScheduledEvent};
use self::process::Process;
use crate::{Incarnation, Micros, StatementKey, TakeoverNode};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// The true time at which a history starts.
const START_TIME: Micros = 1_000 * SECOND;
/// How long a history continues after its faults, so that all surviving statements end.
const SETTLING_SPAN: Micros = 30 * SECOND;
/// Number of lease durations after the end of the faults within which every gateway has detected them.
const DETECTION_LEASES: u64 = 8;

/// A simulated fleet.
pub struct Fleet {
    case: Case,
    /// The true time.
    now: Micros,
    processes: Vec<Process>,
    /// Whether the link from one gateway to another is cut, by sender and receiver.
    cut_links: Vec<Vec<bool>>,
    loss_per_mille: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_events: u64,
    random_state: u64,
    statements: BTreeMap<StatementKey, ClientStatement>,
    /// Gateways that act for a statement while their leases allow it.
    owners: BTreeMap<StatementKey, BTreeSet<usize>>,
    /// By sender and receiver, when the last bytes sent over their stream arrive.
    streams: BTreeMap<(usize, usize), Micros>,
    counts: Counts,
    /// The first violation of a checked property.
    violation: Option<String>,
    faults_over: bool,
    /// A voter has lost its disk; no other voter will.
    disk_lost: bool,
}

fn gateway_name(gateway: usize) -> String {
    format!("g{gateway}")
}

fn gateway_number(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

/// Runs one history.
///
/// # Errors
/// The first violation of a checked property.
pub fn play(case: &Case, seed: u64) -> Result<Counts, String> {
    let mut fleet = Fleet::new(case.clone(), seed);
    let span = case.fault_span;
    fleet.schedule_statements(case.statements, span / 8, span * 3 / 4);
    for _ in 0..case.faults {
        let at = fleet.random_time(span / 8, span);
        let gateway = fleet.random_below(case.gateways);
        fleet.schedule(at, gateway, Event::InjectFault);
    }
    fleet.schedule(fleet.now + span, 0, Event::EndFaults);
    fleet.run(span + DETECTION_LEASES * case.lease);
    fleet.mark_survivors();
    fleet.run(SETTLING_SPAN);
    fleet.finish()
}

impl Fleet {
    /// Creates a fleet whose gateways start for the first time.
    pub fn new(case: Case, seed: u64) -> Fleet {
        let count = case.gateways;
        let drift = case.drift_ppm as i64;
        let mut random_state = seed;
        let loss_per_mille = next_random(&mut random_state) % (case.max_loss_per_mille + 1);
        let process = |gateway: usize| {
            let runs_fast = (gateway as u64 + seed) % 2 == 0;
            Process::not_started(if runs_fast { drift } else { -drift }, count)
        };
        let mut fleet = Fleet {
            now: START_TIME,
            processes: (0..count).map(process).collect(),
            cut_links: vec![vec![false; count]; count],
            loss_per_mille,
            events: BinaryHeap::new(),
            scheduled_events: 0,
            random_state,
            statements: BTreeMap::new(),
            owners: BTreeMap::new(),
            streams: BTreeMap::new(),
            counts: Counts::default(),
            violation: None,
            faults_over: false,
            disk_lost: false,
            case,
        };
        (0..count).for_each(|gateway| fleet.start_process(gateway));
        for gateway in 0..count {
            let others = (0..count).filter(|&other| other != gateway);
            others.for_each(|other| fleet.observe_member(gateway, other));
            fleet.update_members(gateway);
        }
        fleet
    }

    /// Statements come, spread over a time from now and over all gateways.
    pub fn schedule_statements(&mut self, count: usize, from: Micros, to: Micros) {
        for _ in 0..count {
            let at = self.random_time(from, to);
            let gateway = self.random_below(self.processes.len());
            self.schedule(at, gateway, Event::AcceptStatement);
        }
    }

    /// Schedules a rolling restart: every `interval` one gateway hands over, leaves and starts again.
    pub fn schedule_rolling_restart(&mut self, interval: Micros) {
        for gateway in 0..self.processes.len() {
            let at = self.now + interval * gateway as u64;
            self.schedule(at, gateway, Event::HandOver);
        }
    }

    /// The number of statements that each gateway owns.
    pub fn owned_statements(&self) -> Vec<usize> {
        self.processes.iter().map(|process| process.statements.len()).collect()
    }

    /// The term of each gateway's process; `None` if it does not run.
    pub fn terms(&self) -> Vec<Option<u32>> {
        self.processes.iter().map(|process| process.node.as_ref().map(TakeoverNode::term)).collect()
    }

    /// The counts so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Runs the simulation for a span.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        let is_due = |next: &Reverse<ScheduledEvent>| next.0.at <= until;
        while self.violation.is_none() && self.events.peek().is_some_and(is_due) {
            let Some(Reverse(scheduled)) = self.events.pop() else { break };
            self.handle_scheduled(scheduled);
        }
        self.now = until;
    }

    /// Marks the statements that some gateway has now, after all faults are over and detected: these have to
    /// end.
    pub fn mark_survivors(&mut self) {
        for (key, statement) in &mut self.statements {
            // A statement that is only being returned does not count: the other gateways may reject it, and
            // those that had a newer record are gone.
            let has_statement = |process: &Process| {
                let node = process.node.as_ref();
                node.is_some_and(|node| !node.replica_list(key).is_empty() && !node.is_returning(key))
            };
            statement.survives = !statement.client_has_ending && self.processes.iter().any(has_statement);
        }
    }

    /// Ends the simulation and returns its counts.
    ///
    /// # Errors
    /// The first violation of a checked property, or a surviving statement that has not ended.
    pub fn finish(mut self) -> Result<Counts, String> {
        let is_open = |statement: &ClientStatement| !statement.client_has_ending;
        let stuck = self.statements.iter().find(|(_, statement)| is_open(statement) && statement.survives);
        if let Some((key, statement)) = stuck {
            let violation = self.describe_stuck(key, statement);
            self.violate(violation);
        }
        self.counts.lost = self.statements.values().filter(|statement| is_open(statement)).count() as u64;
        match self.violation {
            Some(violation) => Err(violation),
            None => Ok(self.counts),
        }
    }

    fn describe_stuck(&self, key: &StatementKey, statement: &ClientStatement) -> String {
        let describe = |(gateway, process): (usize, &Process)| {
            let node = process.node.as_ref();
            let stage = process.statements.get(key).map(|statement| statement.stage.clone());
            let location = node.map(|node| node.locate(key));
            format!("\n  g{gateway} {location:?} {stage:?} {:?}", node.map(|node| node.describe(key)))
        };
        let gateways: Vec<String> = self.processes.iter().enumerate().map(describe).collect();
        let (repeat, deadline) = (statement.repeat, statement.deadline);
        format!("{key:?} has not ended ({repeat:?}, deadline {deadline}): {gateways:?}")
    }

    /// Records a violation unless there is one already.
    fn violate(&mut self, what: String) {
        let milliseconds = (self.now - START_TIME) / MILLISECOND;
        self.violation.get_or_insert(format!("at {milliseconds} ms: {what}"));
    }

    fn random(&mut self) -> u64 {
        next_random(&mut self.random_state)
    }

    fn random_below(&mut self, count: usize) -> usize {
        (self.random() % count.max(1) as u64) as usize
    }

    /// Draws true with a probability of `1 / count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.random() % count == 0
    }

    /// Draws a time between two delays from now.
    fn random_time(&mut self, from: Micros, to: Micros) -> Micros {
        self.now + from + self.random() % (to - from).max(1)
    }

    /// The time of a gateway's clock, which has an offset and a rate of its own.
    fn clock(&self, gateway: usize) -> Micros {
        let offset = 3_600 * SECOND * (gateway as u64 * 7 % 5);
        let rate = 1_000_000 + i128::from(self.processes[gateway].clock_error_ppm);
        offset + (self.now as i128 * rate / 1_000_000) as Micros
    }

    fn schedule(&mut self, at: Micros, gateway: usize, event: Event) {
        self.scheduled_events += 1;
        let order = self.scheduled_events;
        self.events.push(Reverse(ScheduledEvent { at: at.max(self.now), order, gateway, event }));
    }

    fn incarnation(&self, gateway: usize) -> Incarnation {
        Incarnation { name: gateway_name(gateway), number: self.processes[gateway].incarnation_number }
    }
}
