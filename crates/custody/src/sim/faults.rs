//! Faults of processes, disks, links and membership.

use super::events::Event;
use super::{gateway_number, Fleet, MILLISECOND, SECOND};
use crate::{Micros, StatementKey};

/// Number of values from which a fault is drawn; some faults have several values.
const FAULT_VALUES: u64 = 18;

impl Fleet {
    /// Draws a fault and injects it at a gateway.
    pub(super) fn inject_fault(&mut self, gateway: usize) {
        let ends_at = self.random_time(200 * MILLISECOND, 5 * SECOND);
        match self.random() % FAULT_VALUES {
            0 => {
                self.kill_process(gateway);
                self.kill_successor(gateway, ends_at);
                self.schedule(ends_at, gateway, Event::StartProcess);
            }
            1 | 2 => {
                self.kill_process(gateway);
                self.schedule(ends_at, gateway, Event::StartProcess);
            }
            3 => self.kill_process(gateway),
            4 => self.kill_and_pause_others(gateway, ends_at),
            5..=7 => self.schedule(self.now, gateway, Event::PauseUntil(ends_at)),
            8 => self.partition(|other| other == gateway, ends_at, gateway),
            9 => self.partition(|other| other % 2 == gateway % 2, ends_at, gateway),
            10 | 11 => self.cut_one_link(gateway, ends_at),
            12 => self.suspect_falsely(gateway),
            13 => self.deafen(gateway),
            14 => self.restart_voters(gateway, ends_at),
            15 if self.one_in(8) => self.restart_most_gateways(gateway),
            17 => self.lose_disk(gateway),
            _ => self.start_hand_over(gateway),
        }
    }

    /// Kills the replica that would take over one of a killed gateway's statements.
    fn kill_successor(&mut self, gateway: usize, ends_at: Micros) {
        let open = self
            .statements
            .iter()
            .find(|(_, statement)| statement.owner == gateway && !statement.client_has_ending);
        let Some(key) = open.map(|(key, _)| key.clone()) else { return };
        if let Some(successor) = self.first_successor(&key) {
            self.kill_process(successor);
            self.schedule(ends_at, successor, Event::StartProcess);
        }
    }

    fn first_successor(&self, key: &StatementKey) -> Option<usize> {
        let nodes = self.processes.iter().flat_map(|process| process.node.as_ref());
        let replica_list = nodes.map(|node| node.replica_list(key)).find(|list| list.len() > 1)?;
        Some(gateway_number(&replica_list[1].name))
    }

    /// Kills a gateway, and pauses two gateways at about the time of the takeover.
    fn kill_and_pause_others(&mut self, gateway: usize, ends_at: Micros) {
        self.kill_process(gateway);
        for _ in 0..2 {
            let paused = self.random_below(self.processes.len());
            let at = self.random_time(800 * MILLISECOND, 2_500 * MILLISECOND);
            self.schedule(at, paused, Event::PauseUntil(at + 3 * SECOND));
        }
        self.schedule(ends_at, gateway, Event::StartProcess);
    }

    /// Cuts the links by which messages go from some gateways to others, for a span.
    pub fn cut_links(&mut self, from: &[usize], to: &[usize], span: Micros) {
        self.counts.partitions += 1;
        for &sender in from {
            for &receiver in to.iter().filter(|&&receiver| receiver != sender) {
                self.cut_links[sender][receiver] = true;
            }
        }
        (0..self.processes.len()).for_each(|gateway| self.schedule_observations(gateway));
        let first = from.first().copied().unwrap_or(0);
        self.schedule(self.now + span, first, Event::RestoreLinks);
    }

    /// Cuts the links between two groups of gateways in both directions, for a span.
    pub fn partition_groups(&mut self, one: &[usize], other: &[usize], span: Micros) {
        self.cut_links(one, other, span);
        self.cut_links(other, one, span);
    }

    /// Lets a gateway wrongly believe another one dead, for a span.
    pub fn suspect(&mut self, gateway: usize, member: usize, span: Micros) {
        self.believe_dead(gateway, member, self.now + span);
    }

    /// Pauses a gateway's process for a span.
    pub fn pause_process(&mut self, gateway: usize, span: Micros) {
        self.pause(gateway, self.now + span);
    }

    /// Cuts all links between one side and the other gateways, sometimes in one direction only.
    fn partition(&mut self, is_on_side: impl Fn(usize) -> bool, ends_at: Micros, gateway: usize) {
        self.counts.partitions += 1;
        let count = self.processes.len();
        let is_one_way = self.one_in(3);
        for from in 0..count {
            for to in 0..count {
                if is_on_side(from) != is_on_side(to) && (!is_one_way || is_on_side(from)) {
                    self.cut_links[from][to] = true;
                }
            }
        }
        (0..count).for_each(|other| self.schedule_observations(other));
        self.schedule(ends_at, gateway, Event::RestoreLinks);
    }

    fn cut_one_link(&mut self, gateway: usize, ends_at: Micros) {
        self.counts.partitions += 1;
        let other = self.random_below(self.processes.len());
        self.cut_links[gateway][other] = gateway != other;
        self.schedule(ends_at, gateway, Event::RestoreLinks);
    }

    fn suspect_falsely(&mut self, gateway: usize) {
        self.counts.false_suspicions += 1;
        let member = self.random_below(self.processes.len());
        let ends_at = self.random_time(100 * MILLISECOND, 4 * SECOND);
        self.believe_dead(gateway, member, ends_at);
    }

    /// Cuts a gateway off from all messages of the others, while its own arrive.
    fn deafen(&mut self, gateway: usize) {
        let span = self.random_time(2 * SECOND, 6 * SECOND) - self.now;
        let others: Vec<usize> = (0..self.processes.len()).filter(|&other| other != gateway).collect();
        self.cut_links(&others, &[gateway], span);
    }

    fn believe_dead(&mut self, gateway: usize, member: usize, ends_at: Micros) {
        if gateway != member {
            self.processes[gateway].believed_dead_until[member] = ends_at;
            self.schedule(self.now, gateway, Event::ObserveMember { member });
            self.schedule(ends_at, gateway, Event::ObserveMember { member });
        }
    }

    /// Restarts all voters while one gateway wrongly believes another dead.
    fn restart_voters(&mut self, gateway: usize, ends_at: Micros) {
        let member = self.random_below(self.processes.len());
        self.believe_dead(gateway, member, ends_at);
        for voter in 0..self.case.voters {
            self.kill_process(voter);
            let at = self.random_time(10 * MILLISECOND, 60 * MILLISECOND);
            self.schedule(at, voter, Event::StartProcess);
        }
    }

    fn restart_most_gateways(&mut self, gateway: usize) {
        let count = self.processes.len();
        for other in (0..count).filter(|other| other % 10 != gateway % 10) {
            self.kill_process(other);
            let at = self.random_time(SECOND, 4 * SECOND);
            self.schedule(at, other, Event::StartProcess);
        }
    }

    /// A voter loses its disk. This happens at most once, as the protocol does not survive the loss of more
    /// disks at a time than the quorum can spare.
    fn lose_disk(&mut self, gateway: usize) {
        let voter = gateway % self.case.voters;
        if !self.disk_lost && self.case.voters > 1 {
            self.disk_lost = true;
            self.kill_process(voter);
            self.processes[voter].disk = None;
            self.schedule(self.now, voter, Event::StartProcess);
        }
    }
}
