//! A gateway's process: its start and end, and its view of the membership.

use std::collections::BTreeMap;

use super::events::Event;
use super::statements::LocalStatement;
use super::{gateway_name, Fleet, MILLISECOND, SECOND};
use crate::{Incarnation, Member, MemberState, Micros, Settings, StatementKey, TakeoverNode};

/// Maximum number of incarnations of a gateway that the membership of another gateway lists.
const MAX_LISTED_INCARNATIONS: usize = 3;
/// Base delays after which membership observes a change of a gateway. Each observation happens between one
/// and two times its base delay.
const DETECTION_TIMES: [Micros; 3] = [300 * MILLISECOND, 1_200 * MILLISECOND, 3 * SECOND];

/// An incarnation of another gateway, as membership observes it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    incarnation_number: u64,
    state: MemberState,
}

/// A gateway: its process, if it runs, and the state that survives the process.
pub(super) struct Process {
    pub(super) node: Option<TakeoverNode>,
    pub(super) incarnation_number: u64,
    pub(super) disk: Option<Vec<u8>>,
    pub(super) unwritten_marks: Option<Vec<u8>>,
    pub(super) clock_error_ppm: i64,
    pub(super) paused_until: Micros,
    /// The time of the current wake-up event; events of other times are outdated.
    pub(super) wake_at: Micros,
    /// The observed incarnations of each other gateway, newest last.
    pub(super) observed: Vec<Vec<Observation>>,
    /// Until when membership wrongly believes each other gateway dead.
    pub(super) believed_dead_until: Vec<Micros>,
    pub(super) statements: BTreeMap<StatementKey, LocalStatement>,
    pub(super) may_act: bool,
    /// The number of the last statement accepted.
    pub(super) last_number: u64,
    pub(super) is_handing_over: bool,
    pub(super) has_left: bool,
    /// When the process was last killed or paused.
    pub(super) failed_at: Micros,
}

impl Process {
    pub(super) fn not_started(clock_error_ppm: i64, gateways: usize) -> Process {
        Process {
            node: None,
            incarnation_number: 0,
            disk: None,
            unwritten_marks: None,
            clock_error_ppm,
            paused_until: 0,
            wake_at: Micros::MAX,
            observed: vec![Vec::new(); gateways],
            believed_dead_until: vec![0; gateways],
            statements: BTreeMap::new(),
            may_act: false,
            last_number: 0,
            is_handing_over: false,
            has_left: false,
            failed_at: 0,
        }
    }
}

impl Fleet {
    /// Calls a gateway's state machine with the gateway's time, if its process runs.
    pub(super) fn with_node(&mut self, gateway: usize, call: impl FnOnce(&mut TakeoverNode, Micros)) {
        let clock = self.clock(gateway);
        if let Some(node) = &mut self.processes[gateway].node {
            call(node, clock);
        }
    }

    pub(super) fn site_of(&self, gateway: usize) -> String {
        format!("s{}", gateway % self.case.sites.max(1))
    }

    pub(super) fn start_process(&mut self, gateway: usize) {
        self.processes[gateway].incarnation_number = self.random();
        let settings = Settings {
            incarnation: self.incarnation(gateway),
            site: self.site_of(gateway),
            voters: (0..self.case.voters).map(gateway_name).collect(),
            lease: self.case.lease,
            drift_ppm: self.case.drift_ppm,
            action_margin: 0,
            replicas: self.case.replicas,
            max_replica_records: self.case.max_replica_records,
            max_replica_bytes: 64 << 20,
        };
        let now = self.clock(gateway);
        let fault = self.case.injected_fault;
        let process = &mut self.processes[gateway];
        process.last_number = 0;
        process.is_handing_over = false;
        process.has_left = false;
        process.may_act = false;
        process.paused_until = 0;
        process.unwritten_marks = None;
        process.wake_at = Micros::MAX;
        match TakeoverNode::with_injected_fault(settings, process.disk.as_deref(), now, fault) {
            Ok(node) => process.node = Some(node),
            Err(error) => return self.violate(format!("g{gateway} cannot start: {error}")),
        }
        self.carry_out_effects(gateway);
    }

    /// Kills a gateway's process.
    pub fn kill_process(&mut self, gateway: usize) {
        let process = &mut self.processes[gateway];
        if process.node.take().is_none() {
            return;
        }
        let is_paused = process.paused_until > self.now;
        if !is_paused || process.failed_at < process.paused_until {
            process.failed_at = self.now;
        }
        process.paused_until = 0;
        let statements = std::mem::take(&mut process.statements);
        statements.keys().for_each(|key| self.remove_owner(key, gateway));
        self.counts.kills += 1;
        self.schedule_observations(gateway);
    }

    pub(super) fn pause(&mut self, gateway: usize, until: Micros) {
        if self.processes[gateway].node.is_some() && !self.faults_over {
            self.counts.pauses += 1;
            self.processes[gateway].paused_until = until;
            self.processes[gateway].failed_at = self.now;
            self.schedule_observations(gateway);
        }
    }

    pub(super) fn start_hand_over(&mut self, gateway: usize) {
        self.counts.hand_overs += 1;
        if self.processes[gateway].node.is_some() {
            self.with_node(gateway, |node, clock| node.start_hand_over(clock));
            self.processes[gateway].is_handing_over = true;
        }
        self.carry_out_effects(gateway);
    }

    /// Schedules the delayed observations that other gateways make of one, and it of them.
    pub(super) fn schedule_observations(&mut self, gateway: usize) {
        for other in (0..self.processes.len()).filter(|&other| other != gateway) {
            for time in DETECTION_TIMES {
                let at = self.random_time(time, 2 * time);
                self.schedule(at, other, Event::ObserveMember { member: gateway });
                let at = self.random_time(time, 2 * time);
                self.schedule(at, gateway, Event::ObserveMember { member: other });
            }
        }
    }

    /// Whether a gateway's probes of another one are answered, directly or by way of a third gateway.
    fn answers_probes(&self, gateway: usize, member: usize) -> bool {
        let is_linked = |one: usize, other: usize| !self.cut_links[one][other] && !self.cut_links[other][one];
        let helps = |helper: usize| is_linked(gateway, helper) && is_linked(helper, member);
        is_linked(gateway, member) || (0..self.processes.len()).any(helps)
    }

    /// Updates what a gateway's membership observes of another gateway, or wrongly believes of it.
    pub(super) fn observe_member(&mut self, gateway: usize, member: usize) {
        let is_cut = !self.answers_probes(gateway, member);
        let believed_dead = self.processes[gateway].believed_dead_until[member] > self.now;
        let other = &self.processes[member];
        let incarnation_number = other.incarnation_number;
        let is_dead = other.node.is_none() || other.paused_until > self.now || is_cut || believed_dead;
        let state = match (other.has_left, is_dead) {
            (true, _) => MemberState::Left,
            (false, true) => MemberState::Dead,
            (false, false) => MemberState::Alive,
        };
        let observed = &mut self.processes[gateway].observed[member];
        let is_new = observed.last().is_none_or(|last| last.incarnation_number != incarnation_number);
        if is_new && state != MemberState::Dead {
            observed.iter_mut().for_each(|earlier| earlier.state = MemberState::Dead);
            observed.push(Observation { incarnation_number, state });
            if observed.len() > MAX_LISTED_INCARNATIONS {
                observed.remove(0);
            }
        } else if let Some(last) = observed.last_mut() {
            last.state =
                if last.incarnation_number == incarnation_number { state } else { MemberState::Dead };
        }
    }

    /// Passes the members that a gateway observes to its state machine.
    pub(super) fn update_members(&mut self, gateway: usize) {
        let mut members = Vec::new();
        for (member, observed) in self.processes[gateway].observed.iter().enumerate() {
            let site = self.site_of(member);
            members.extend(observed.iter().map(|&Observation { incarnation_number, state }| Member {
                incarnation: Incarnation { name: gateway_name(member), number: incarnation_number },
                site: site.clone(),
                state,
            }));
        }
        self.with_node(gateway, |node, clock| node.update_members(clock, members));
        self.carry_out_effects(gateway);
    }
}
