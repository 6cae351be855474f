//! Execution of the state machines' effects, and the network between the gateways.

use super::events::Event;
use super::statements::Stage;
use super::{gateway_name, gateway_number, Fleet, MILLISECOND, SECOND};
use crate::wire::MAX_DATAGRAM_BYTES;
use crate::{Effect, Micros, StatementKey, TakeoverNode};

impl Fleet {
    /// Carries out the effects of a gateway's state machine, and schedules its next wake-up.
    pub(super) fn carry_out_effects(&mut self, gateway: usize) {
        while let Some(effect) = self.next_effect(gateway) {
            self.carry_out(gateway, effect);
        }
        self.schedule_wake(gateway);
        self.check_hand_over(gateway);
        self.check_lease(gateway);
    }

    fn next_effect(&mut self, gateway: usize) -> Option<Effect> {
        self.processes[gateway].node.as_mut().and_then(TakeoverNode::next_effect)
    }

    fn carry_out(&mut self, gateway: usize, effect: Effect) {
        match effect {
            Effect::StoreMarks(bytes) => {
                // A process that is killed before the event has not stored the marks.
                let at = self.random_time(MILLISECOND, 10 * MILLISECOND);
                let incarnation_number = self.processes[gateway].incarnation_number;
                self.schedule(at, gateway, Event::MarksStored { incarnation_number });
                self.processes[gateway].unwritten_marks = Some(bytes);
            }
            Effect::SendDatagram(to, bytes) => {
                if bytes.len() > MAX_DATAGRAM_BYTES {
                    self.violate(format!("a datagram of {} bytes", bytes.len()));
                }
                self.counts.datagrams += 1;
                self.counts.datagram_bytes += bytes.len() as u64;
                self.send_datagram(gateway, gateway_number(&to), bytes);
            }
            Effect::SendRecords(to, bytes) => {
                self.counts.record_sends += 1;
                self.counts.record_bytes += bytes.len() as u64;
                self.send_records(gateway, gateway_number(&to), bytes);
            }
            Effect::StartAttempt(key, attempts) => self.start_attempt(gateway, &key, attempts),
            Effect::ReportEnding(key) => self.ending_permitted(gateway, &key),
            Effect::TakenOver(record) => self.taken_over(gateway, &record),
            Effect::Relinquished(key) => {
                self.counts.relinquished += 1;
                self.processes[gateway].statements.remove(&key);
                self.remove_owner(&key, gateway);
            }
            Effect::Unreplicated(_) | Effect::Log(_) => {}
        }
    }

    fn ending_permitted(&mut self, gateway: usize, key: &StatementKey) {
        let Some(statement) = self.processes[gateway].statements.get_mut(key) else { return };
        if let Stage::AwaitingEnding(ending) = statement.stage.clone() {
            statement.stage = Stage::Ended(Some(ending));
        }
    }

    /// Schedules the wake-up of a gateway in true time, slightly late so that it is never early by the
    /// gateway's clock.
    fn schedule_wake(&mut self, gateway: usize) {
        let clock = self.clock(gateway);
        let Some(due) = self.processes[gateway].node.as_ref().and_then(TakeoverNode::next_wake) else {
            return;
        };
        if due == Micros::MAX {
            return;
        }
        let span = due.saturating_sub(clock);
        let drift_allowance = span / 8 * self.case.drift_ppm / 100_000;
        let at = self.now + span + drift_allowance + MILLISECOND / 4;
        if at < self.processes[gateway].wake_at {
            self.processes[gateway].wake_at = at;
            self.schedule(at, gateway, Event::Wake);
        }
    }

    fn check_hand_over(&mut self, gateway: usize) {
        let process = &mut self.processes[gateway];
        let is_complete = process.node.as_ref().is_some_and(TakeoverNode::hand_over_complete);
        if process.is_handing_over && is_complete && !process.has_left {
            process.has_left = true;
            self.schedule_observations(gateway);
            let at = self.random_time(100 * MILLISECOND, 500 * MILLISECOND);
            self.schedule(at, gateway, Event::ExitProcess);
        }
    }

    /// When a gateway's lease becomes valid, checks that no other gateway may act for its statements.
    fn check_lease(&mut self, gateway: usize) {
        let clock = self.clock(gateway);
        let Some(node) = &self.processes[gateway].node else { return };
        let may_act = node.may_act(clock);
        if may_act && !self.processes[gateway].may_act {
            let keys: Vec<StatementKey> = self.processes[gateway].statements.keys().cloned().collect();
            keys.iter().for_each(|key| self.check_only_actor(key, gateway));
        }
        self.processes[gateway].may_act = may_act;
    }

    fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.cut_links[from][to] || self.random() % 1_000 < self.loss_per_mille {
            return;
        }
        let is_repeated = self.loss_per_mille > 0 && self.one_in(20);
        for _ in 0..1 + usize::from(is_repeated) {
            let is_very_late = self.loss_per_mille > 0 && self.one_in(30);
            let max_delay = if is_very_late { 1_500 * MILLISECOND } else { 15 * MILLISECOND };
            let at = self.random_time(MILLISECOND, max_delay);
            self.schedule_arrival(at, from, to, bytes.clone());
        }
    }

    fn send_records(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let is_broken = self.cut_links[from][to] || self.processes[to].node.is_none();
        if is_broken || self.random() % 1_000 < self.loss_per_mille / 4 {
            // Only some of the senders learn of the failure.
            if self.one_in(2) {
                let at = self.random_time(MILLISECOND, 200 * MILLISECOND);
                self.schedule(at, from, Event::SendFails { to: gateway_name(to) });
            }
            return;
        }
        let mut at = self.random_time(MILLISECOND, 15 * MILLISECOND);
        let is_in_order = self.loss_per_mille == 0 || !self.one_in(20);
        if is_in_order {
            let last = self.streams.entry((from, to)).or_default();
            *last = at.max(*last + 1);
            at = *last;
        } else {
            at += self.random() % (2 * SECOND);
        }
        if self.loss_per_mille > 0 && self.one_in(30) {
            let repeated_at = self.random_time(MILLISECOND, 2 * SECOND);
            self.schedule_arrival(repeated_at, from, to, bytes.clone());
        }
        self.schedule_arrival(at, from, to, bytes);
    }

    fn schedule_arrival(&mut self, at: Micros, from: usize, to: usize, bytes: Vec<u8>) {
        self.schedule(at, to, Event::MessageArrives { from: gateway_name(from), bytes });
    }
}
