//! Events of the simulation and their handling.

use super::process::Process;
use super::{Fleet, MILLISECOND, SECOND};
use crate::{Micros, StatementKey};

/// An event at a gateway or at a statement's client.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    MessageArrives {
        from: String,
        bytes: Vec<u8>,
    },
    SendFails {
        to: String,
    },
    Wake,
    MarksStored {
        incarnation_number: u64,
    },
    /// A gateway continues a statement, unless it has scheduled another step since.
    Proceed {
        incarnation_number: u64,
        key: StatementKey,
        step: u32,
    },
    /// An engine has accepted an attempt, or has finished it.
    EngineAnswers {
        incarnation_number: u64,
        key: StatementKey,
        attempt: u32,
        finished: bool,
    },
    /// Membership observes another gateway.
    ObserveMember {
        member: usize,
    },
    ClientPolls(StatementKey),
    AcceptStatement,
    InjectFault,
    HandOver,
    PauseUntil(Micros),
    RestoreLinks,
    StartProcess,
    EndFaults,
    ExitProcess,
}

impl Event {
    /// Whether the event happens even while the process is paused, as it does not involve the process.
    fn is_external(&self) -> bool {
        matches!(
            self,
            Event::EndFaults
                | Event::RestoreLinks
                | Event::InjectFault
                | Event::PauseUntil(_)
                | Event::ClientPolls(_)
        )
    }
}

/// An event and its time; events of the same time happen in the order in which they were scheduled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    pub(super) order: u64,
    pub(super) gateway: usize,
    pub(super) event: Event,
}

impl Fleet {
    pub(super) fn handle_scheduled(&mut self, scheduled: ScheduledEvent) {
        let ScheduledEvent { at, gateway, event, .. } = scheduled;
        let paused_until = self.processes[gateway].paused_until;
        if paused_until > at && !event.is_external() {
            if event == Event::Wake && self.processes[gateway].wake_at == at {
                self.processes[gateway].wake_at = paused_until;
            }
            return self.schedule(paused_until, gateway, event);
        }
        self.now = self.now.max(at);
        self.handle_event(at, gateway, event);
    }

    fn handle_event(&mut self, at: Micros, gateway: usize, event: Event) {
        let current_incarnation = self.processes[gateway].incarnation_number;
        match event {
            Event::MessageArrives { from, bytes } => {
                self.with_node(gateway, |node, clock| node.handle_message(clock, &from, &bytes));
            }
            Event::SendFails { to } => {
                self.with_node(gateway, |node, clock| node.handle_send_failure(clock, &to));
            }
            // The wake-up was rescheduled.
            Event::Wake if self.processes[gateway].wake_at != at => return,
            Event::Wake => self.wake(gateway),
            Event::MarksStored { incarnation_number } => self.marks_stored(gateway, incarnation_number),
            Event::Proceed { incarnation_number, key, step } => {
                let statement = self.processes[gateway].statements.get(&key);
                if incarnation_number == current_incarnation
                    && statement.is_some_and(|statement| statement.step == step)
                {
                    self.proceed(gateway, &key);
                }
            }
            Event::EngineAnswers { incarnation_number, key, attempt, finished } => {
                if incarnation_number == current_incarnation {
                    self.engine_answers(gateway, &key, attempt, finished);
                }
            }
            Event::ObserveMember { member } => {
                if self.processes[gateway].node.is_some() {
                    self.observe_member(gateway, member);
                    self.update_members(gateway);
                }
            }
            Event::ClientPolls(key) => return self.client_polls(&key),
            Event::AcceptStatement => self.accept_statement(gateway),
            Event::InjectFault if self.faults_over => {}
            Event::InjectFault => self.inject_fault(gateway),
            Event::HandOver => self.start_hand_over(gateway),
            Event::PauseUntil(until) => self.pause(gateway, until),
            Event::ExitProcess => self.exit_process(gateway),
            Event::StartProcess => self.restart_process(gateway),
            Event::RestoreLinks => self.restore_links(),
            Event::EndFaults => self.end_faults(),
        }
        self.carry_out_effects(gateway);
    }

    fn wake(&mut self, gateway: usize) {
        self.processes[gateway].wake_at = Micros::MAX;
        self.with_node(gateway, |node, clock| {
            if node.next_wake().is_some_and(|due| due <= clock) {
                node.wake(clock);
            }
        });
    }

    fn marks_stored(&mut self, gateway: usize, incarnation_number: u64) {
        let process = &mut self.processes[gateway];
        if process.incarnation_number != incarnation_number || process.node.is_none() {
            return;
        }
        let Process { disk, unwritten_marks, .. } = process;
        *disk = unwritten_marks.take().or(disk.take());
        self.with_node(gateway, |node, clock| node.marks_stored(clock));
    }

    fn exit_process(&mut self, gateway: usize) {
        if self.processes[gateway].has_left {
            self.kill_process(gateway);
            let at = self.random_time(200 * MILLISECOND, 2 * SECOND);
            self.schedule(at, gateway, Event::StartProcess);
        }
    }

    fn restart_process(&mut self, gateway: usize) {
        if self.processes[gateway].node.is_none() {
            self.start_process(gateway);
            self.update_members(gateway);
            self.schedule_observations(gateway);
        }
    }

    fn restore_links(&mut self) {
        self.cut_links.iter_mut().for_each(|row| row.fill(false));
        (0..self.processes.len()).for_each(|other| self.schedule_observations(other));
    }

    fn end_faults(&mut self) {
        self.faults_over = true;
        self.cut_links.iter_mut().for_each(|row| row.fill(false));
        for other in 0..self.processes.len() {
            self.processes[other].paused_until = 0;
            if self.processes[other].node.is_none() {
                self.schedule(self.now, other, Event::StartProcess);
            }
            self.schedule_observations(other);
        }
    }
}
