//! Whole fleets under a virtual clock, with a model of gateways, engines and clients around each state
//! machine. Datagrams and batches get lost, late, repeated and out of order; clocks drift by all that is
//! allowed; processes are killed, paused, started again, and leave; links are cut in one direction and in
//! both; membership is late and sometimes wrong.
//!
//! Checked at each step: no two processes may act for one statement at the same true time; what is unsafe to
//! repeat is written to an engine once; one ending is reported. After the faults: whoever still has a
//! statement brings it to an end by its deadline.

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
use crate::{Incarnation, Micros, StatementKey};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// The true time at which a history starts.
const START: Micros = 1_000 * SECOND;
/// How long a history goes on after its faults, so that everything that survives ends.
const SETTLING_SPAN: Micros = 30 * SECOND;
/// Leases after the faults by which they have been found out.
const LEASES_TO_DETECT: u64 = 8;

/// A simulated fleet.
pub struct Fleet {
    case: Case,
    /// The true time.
    now: Micros,
    processes: Vec<Process>,
    /// Whether the link from one gateway to another one is cut.
    cut_links: Vec<Vec<bool>>,
    loss_per_mille: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_events: u64,
    random_state: u64,
    statements: BTreeMap<StatementKey, ClientStatement>,
    /// Gateways that act for a statement if they may.
    owners: BTreeMap<StatementKey, BTreeSet<usize>>,
    /// When the last bytes of a stream from one gateway to another arrive.
    streams: BTreeMap<(usize, usize), Micros>,
    counts: Counts,
    /// The first violation of what is promised.
    violation: Option<String>,
    faults_over: bool,
    /// A voter has lost its disk: no other one does.
    disk_lost: bool,
}

fn gateway_name(gateway: usize) -> String {
    format!("g{gateway}")
}

fn gateway_number(name: &str) -> usize {
    name[1..].parse().unwrap_or(0)
}

/// Plays one history.
///
/// # Errors
/// The first violation in it.
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
    fleet.run(span + LEASES_TO_DETECT * case.lease);
    fleet.mark_survivors();
    fleet.run(SETTLING_SPAN);
    fleet.finish()
}

impl Fleet {
    /// Gateways that have just started for the first time.
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
            now: START,
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
            others.for_each(|other| fleet.observe_member(gateway, other, false));
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

    /// Every gateway in turn hands over, leaves and comes back, one each `interval`.
    pub fn schedule_rolling_restart(&mut self, interval: Micros) {
        for gateway in 0..self.processes.len() {
            let at = self.now + interval * gateway as u64;
            self.schedule(at, gateway, Event::HandOver);
        }
    }

    /// Statements that each gateway owns.
    pub fn owned_statements(&self) -> Vec<usize> {
        self.processes.iter().map(|process| process.statements.len()).collect()
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lets a span pass.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        let is_due = |next: &Reverse<ScheduledEvent>| next.0.at <= until;
        while self.violation.is_none() && self.events.peek().is_some_and(is_due) {
            let Some(Reverse(scheduled)) = self.events.pop() else { break };
            self.handle_scheduled(scheduled);
        }
        self.now = until;
    }

    /// All faults are over and found out: who has a statement now has to bring it to its end.
    pub fn mark_survivors(&mut self) {
        for (key, statement) in &mut self.statements {
            // What is only offered may be refused: whoever knew more is gone.
            let has_statement = |process: &Process| {
                let node = process.node.as_ref();
                node.is_some_and(|node| !node.replica_list(key).is_empty() && !node.is_returning(key))
            };
            statement.survives = !statement.client_has_ending && self.processes.iter().any(has_statement);
        }
    }

    /// What happened, at the end.
    ///
    /// # Errors
    /// The first violation at any time, or a surviving statement without an end.
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
        format!("{key:?} has no end ({repeat:?}, deadline {deadline}): {gateways:?}")
    }

    /// Records a violation; the first one counts.
    fn violate(&mut self, what: String) {
        let milliseconds = (self.now - START) / MILLISECOND;
        self.violation.get_or_insert(format!("at {milliseconds} ms: {what}"));
    }

    fn random(&mut self) -> u64 {
        next_random(&mut self.random_state)
    }

    fn random_below(&mut self, count: usize) -> usize {
        (self.random() % count.max(1) as u64) as usize
    }

    /// Whether one of so many draws hits.
    fn one_in(&mut self, draws: u64) -> bool {
        self.random() % draws == 0
    }

    /// A time between two spans from now.
    fn random_time(&mut self, from: Micros, to: Micros) -> Micros {
        self.now + from + self.random() % (to - from).max(1)
    }

    /// A gateway's clock.
    fn clock(&self, gateway: usize) -> Micros {
        let hours = 3_600 * SECOND * (gateway as u64 * 7 % 5);
        let rate = 1_000_000 + i128::from(self.processes[gateway].clock_error_ppm);
        hours + (self.now as i128 * rate / 1_000_000) as Micros
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
