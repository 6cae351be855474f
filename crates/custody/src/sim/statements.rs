//! A model of the gateway around the state machine, which accepts statements, starts attempts at engines, and
//! decides endings.

use super::clients::ClientStatement;
use super::events::Event;
use super::{gateway_number, Fleet, MILLISECOND, SECOND};
use crate::{Ending, InFlightAttempt, Micros, Permission, Record, RepeatSafety, StatementKey};

/// Maximum number of attempts of one statement.
const MAX_ATTEMPTS: u32 = 4;
/// How long an attempt may take.
const ATTEMPT_TIMEOUT: Micros = 5 * SECOND;
/// How long before its deadline a statement is given up.
const GIVE_UP_BEFORE: Micros = 400 * MILLISECOND;
/// How long before its deadline a waiting statement is checked.
const CHECK_BEFORE: Micros = 300 * MILLISECOND;

/// The stage of a statement at its gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// An attempt can be started.
    Ready,
    /// An attempt waits for its permission, since that time.
    AwaitingPermission(Micros),
    /// An attempt is in flight.
    InFlight,
    /// An ending waits for its permission.
    AwaitingEnding(Ending),
    /// The ending can be reported: one that the gateway decided, or `None` for the engine's result.
    Ended(Option<Ending>),
}

/// A statement at the gateway that owns it.
#[derive(Debug, Clone)]
pub(super) struct LocalStatement {
    pub(super) stage: Stage,
    attempts: u32,
    deadline: Micros,
    repeat: RepeatSafety,
    /// The number of the step scheduled last; earlier steps are outdated.
    pub(super) step: u32,
}

fn attempt(number: u32, next_uri: Option<String>, next_page: u64) -> InFlightAttempt {
    InFlightAttempt { number, engine: "e".into(), next_uri, next_page, elapsed: 0, timeout: ATTEMPT_TIMEOUT }
}

impl Fleet {
    /// Schedules the next step of a statement in place of the one scheduled before.
    fn schedule_step(&mut self, gateway: usize, key: &StatementKey, delay: Micros) {
        let incarnation_number = self.processes[gateway].incarnation_number;
        if let Some(statement) = self.processes[gateway].statements.get_mut(key) {
            statement.step += 1;
            let step = statement.step;
            self.schedule(
                self.now + delay,
                gateway,
                Event::Proceed { incarnation_number, key: key.clone(), step },
            );
        }
    }

    fn schedule_check_before(&mut self, gateway: usize, key: &StatementKey, deadline: Micros) {
        let delay = (deadline - CHECK_BEFORE).saturating_sub(self.now);
        self.schedule_step(gateway, key, delay);
    }

    fn set_stage(&mut self, gateway: usize, key: &StatementKey, stage: Stage) {
        if let Some(statement) = self.processes[gateway].statements.get_mut(key) {
            statement.stage = stage;
        }
    }

    /// A client posts a statement to a gateway.
    pub(super) fn accept_statement(&mut self, gateway: usize) {
        if self.processes[gateway].node.is_none() || self.processes[gateway].is_handing_over {
            return;
        }
        let deadline = self.random_time(3 * SECOND, 25 * SECOND);
        let is_unsafe = self.random() % 100 < self.case.unsafe_percent;
        let repeat = if is_unsafe { RepeatSafety::Unsafe } else { RepeatSafety::Safe };
        self.processes[gateway].last_number += 1;
        let number = self.processes[gateway].last_number;
        let key = StatementKey { accepted_by: self.incarnation(gateway), number };
        let record = Record {
            key: key.clone(),
            version: 0,
            body: vec![7; self.case.body_bytes],
            repeat,
            remaining_wait: deadline - self.now,
            attempts: 0,
            in_flight: None,
            pages_delivered: 0,
            ending: None,
        };
        let mut token = vec![gateway];
        self.with_node(gateway, |node, clock| {
            let replicas = node.add_statement(clock, record);
            token.extend(replicas.iter().map(|incarnation| gateway_number(&incarnation.name)));
        });
        let statement = LocalStatement { stage: Stage::Ready, attempts: 0, deadline, repeat, step: 0 };
        self.processes[gateway].statements.insert(key.clone(), statement);
        self.add_owner(&key, gateway);
        self.statements.insert(key.clone(), ClientStatement::new(repeat, deadline, gateway, token));
        self.counts.accepted += 1;
        let delay = self.random() % (600 * MILLISECOND);
        self.schedule_step(gateway, &key, delay);
        let at = self.random_time(20 * MILLISECOND, 300 * MILLISECOND);
        self.schedule(at, 0, Event::ClientPolls(key));
        self.carry_out_effects(gateway);
    }

    /// A gateway has taken a statement over, and continues it from its record.
    pub(super) fn taken_over(&mut self, gateway: usize, record: &Record) {
        let key = record.key.clone();
        self.counts.takeovers += 1;
        self.count_takeover_delay(gateway, &key);
        let stage = match (&record.ending, &record.in_flight) {
            (Some(ending), _) => Stage::Ended(Some(ending.clone())),
            (None, Some(_)) => Stage::InFlight,
            (None, None) => Stage::Ready,
        };
        let is_in_flight = stage == Stage::InFlight;
        let statement = LocalStatement {
            stage,
            attempts: record.attempts,
            deadline: self.now + record.remaining_wait,
            repeat: record.repeat,
            step: 0,
        };
        self.processes[gateway].statements.insert(key.clone(), statement);
        self.add_owner(&key, gateway);
        self.check_only_actor(&key, gateway);
        match &record.in_flight {
            Some(attempt) if is_in_flight => self.resume_attempt(gateway, record, attempt),
            _ => self.schedule_step(gateway, &key, 10 * MILLISECOND),
        }
    }

    fn count_takeover_delay(&mut self, gateway: usize, key: &StatementKey) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let owner_before = std::mem::replace(&mut statement.owner, gateway);
        let process = &self.processes[owner_before];
        if process.failed_at > 0 && process.node.is_none() {
            self.counts.takeover_delays.push(self.now - process.failed_at);
        }
    }

    /// Handles an attempt that may have run when its statement was taken over.
    fn resume_attempt(&mut self, gateway: usize, record: &Record, attempt: &InFlightAttempt) {
        let key = &record.key;
        if attempt.next_uri.is_some() {
            return self.poll_engine_again(gateway, record, attempt.number);
        }
        if record.repeat == RepeatSafety::Unsafe {
            return self.decide_ending(gateway, key, Ending::Failed(format!("lost, node g{gateway}")));
        }
        self.set_stage(gateway, key, Stage::Ready);
        self.schedule_step(gateway, key, 10 * MILLISECOND);
    }

    /// Continues to poll an engine whose URI of the next page is known.
    fn poll_engine_again(&mut self, gateway: usize, record: &Record, attempt: u32) {
        let key = &record.key;
        let statement = self.statements.get(key);
        let Some(finished_at) = statement.and_then(|statement| statement.attempt_finishes_at(attempt)) else {
            return self.violate(format!("{key:?}: an attempt that was never sent has a next page"));
        };
        let incarnation_number = self.processes[gateway].incarnation_number;
        let at = finished_at.max(self.now) + 10 * MILLISECOND;
        let answer = Event::EngineAnswers { incarnation_number, key: key.clone(), attempt, finished: true };
        self.schedule(at, gateway, answer);
        let deadline = self.now + record.remaining_wait;
        self.schedule_step(gateway, key, deadline.saturating_sub(self.now + CHECK_BEFORE));
    }

    /// Does the next step of a statement at its gateway.
    pub(super) fn proceed(&mut self, gateway: usize, key: &StatementKey) {
        let Some(statement) = self.processes[gateway].statements.get(key).cloned() else { return };
        let is_late = self.now + GIVE_UP_BEFORE >= statement.deadline;
        let failed = |reason: &str| Ending::Failed(format!("{reason}, node g{gateway}"));
        match statement.stage {
            Stage::Ready | Stage::InFlight | Stage::AwaitingPermission(_) if is_late => {
                self.decide_ending(gateway, key, failed("too late"));
            }
            Stage::Ready if statement.attempts >= MAX_ATTEMPTS => {
                self.decide_ending(gateway, key, failed("gave up"));
            }
            Stage::Ready => self.request_attempt(gateway, key, &statement),
            Stage::AwaitingEnding(ending) => self.decide_ending(gateway, key, ending),
            Stage::AwaitingPermission(_) | Stage::InFlight | Stage::Ended(_) => {}
        }
        self.carry_out_effects(gateway);
    }

    fn request_attempt(&mut self, gateway: usize, key: &StatementKey, statement: &LocalStatement) {
        let attempts = statement.attempts + 1;
        let attempt = attempt(statement.attempts, None, 0);
        let clock = self.clock(gateway);
        let Some(node) = &mut self.processes[gateway].node else { return };
        match node.request_attempt(clock, key, attempts, attempt) {
            Permission::Granted => self.start_attempt(gateway, key, attempts),
            Permission::Pending => {
                self.counts.awaited_intents += 1;
                self.set_stage(gateway, key, Stage::AwaitingPermission(self.now));
                self.schedule_check_before(gateway, key, statement.deadline);
            }
            Permission::Denied => self.schedule_step(gateway, key, 100 * MILLISECOND),
        }
    }

    fn decide_ending(&mut self, gateway: usize, key: &StatementKey, ending: Ending) {
        let clock = self.clock(gateway);
        let Some(node) = &mut self.processes[gateway].node else { return };
        let permission = node.request_ending(clock, key, ending.clone());
        let stage = match permission {
            Permission::Granted => Stage::Ended(Some(ending)),
            Permission::Pending | Permission::Denied => Stage::AwaitingEnding(ending),
        };
        self.set_stage(gateway, key, stage);
        if permission == Permission::Denied {
            self.schedule_step(gateway, key, 200 * MILLISECOND);
        }
    }

    /// Starts an attempt that is permitted.
    pub(super) fn start_attempt(&mut self, gateway: usize, key: &StatementKey, attempts: u32) {
        let clock = self.clock(gateway);
        let may_act = self.processes[gateway].node.as_ref().is_some_and(|node| node.may_act(clock));
        let Some(statement) = self.processes[gateway].statements.get_mut(key) else { return };
        if let Stage::AwaitingPermission(since) = statement.stage {
            self.counts.intent_delays.push(self.now - since);
        }
        if !matches!(statement.stage, Stage::Ready | Stage::AwaitingPermission(_)) {
            return;
        }
        if !may_act {
            statement.stage = Stage::Ready;
            return self.schedule_step(gateway, key, 100 * MILLISECOND);
        }
        statement.stage = Stage::InFlight;
        statement.attempts = attempts;
        let deadline = statement.deadline;
        self.check_only_actor(key, gateway);
        self.counts.attempts += 1;
        self.send_attempt(gateway, key, attempts - 1);
        self.schedule_check_before(gateway, key, deadline);
    }

    /// Sends an attempt to its engine, which answers twice: when it has accepted the attempt and when the
    /// attempt is finished.
    fn send_attempt(&mut self, gateway: usize, key: &StatementKey, attempt: u32) {
        let finished_at = self.random_time(20 * MILLISECOND, 2 * SECOND);
        let succeeds = !self.one_in(8);
        let Some(statement) = self.statements.get_mut(key) else { return };
        if let Some(violation) = statement.add_attempt(attempt, finished_at, succeeds) {
            self.violate(format!("g{gateway} sends {key:?} to an engine {violation}"));
        }
        let incarnation_number = self.processes[gateway].incarnation_number;
        let accepted_at = self.random_time(5 * MILLISECOND, 20 * MILLISECOND);
        for (at, finished) in [(accepted_at, false), (finished_at, true)] {
            let answer = Event::EngineAnswers { incarnation_number, key: key.clone(), attempt, finished };
            self.schedule(at, gateway, answer);
        }
    }

    /// Handles an engine's answer that it has accepted or finished an attempt.
    pub(super) fn engine_answers(&mut self, gateway: usize, key: &StatementKey, number: u32, finished: bool) {
        let process = &self.processes[gateway];
        let Some(statement) = process.statements.get(key).filter(|_| process.node.is_some()) else { return };
        if statement.stage != Stage::InFlight || statement.attempts != number + 1 {
            return;
        }
        let repeat = statement.repeat;
        let progress = attempt(number, Some(format!("next of {number}")), 1);
        self.with_node(gateway, |node, clock| node.record_progress(clock, key, Some(progress), 0));
        if finished {
            let has_result =
                self.statements.get(key).is_some_and(|statement| statement.has_result(number, self.now));
            if has_result {
                self.set_stage(gateway, key, Stage::Ended(None));
            } else if repeat == RepeatSafety::Unsafe {
                self.decide_ending(gateway, key, Ending::Failed(format!("failed, node g{gateway}")));
            } else {
                self.set_stage(gateway, key, Stage::Ready);
                self.schedule_step(gateway, key, 10 * MILLISECOND);
            }
        }
        self.carry_out_effects(gateway);
    }
}
