//! Clients that poll for the end of their statements, and the checks of what is promised.

use super::events::Event;
use super::process::Process;
use super::statements::Stage;
use super::{gateway_number, Fleet, MILLISECOND, SECOND};
use crate::{Ending, Micros, RepeatSafety, StatementKey, StatementLocation};

/// Between two polls of a client.
const POLL_INTERVAL: Micros = 250 * MILLISECOND;
/// A poll that was redirected follows after so long.
const REDIRECT_DELAY: Micros = 30 * MILLISECOND;
/// A client polls for so long after its deadline.
const POLLS_AFTER_DEADLINE: Micros = 10 * SECOND;

/// An attempt that was written to an engine.
struct WrittenAttempt {
    number: u32,
    finishes_at: Micros,
    succeeds: bool,
}

/// A statement as its client and its engines know it.
pub(super) struct ClientStatement {
    pub(super) repeat: RepeatSafety,
    pub(super) deadline: Micros,
    attempts: Vec<WrittenAttempt>,
    /// The end that was reported; an inner `None` is the engine's result.
    reported: Option<Option<Ending>>,
    pub(super) client_has_ending: bool,
    /// The gateway that the client asks next.
    asked_gateway: usize,
    /// Owner and replicas, as the client's token names them.
    token: Vec<usize>,
    /// A gateway had it after all faults had ended and been found out.
    pub(super) survives: bool,
    pub(super) owner: usize,
}

impl ClientStatement {
    pub(super) fn new(
        repeat: RepeatSafety,
        deadline: Micros,
        gateway: usize,
        token: Vec<usize>,
    ) -> ClientStatement {
        ClientStatement {
            repeat,
            deadline,
            attempts: Vec::new(),
            reported: None,
            client_has_ending: false,
            asked_gateway: gateway,
            token,
            survives: false,
            owner: gateway,
        }
    }

    /// An attempt is written to an engine. Returns what is wrong with that.
    pub(super) fn add_attempt(
        &mut self,
        number: u32,
        finishes_at: Micros,
        succeeds: bool,
    ) -> Option<&'static str> {
        let is_second = !self.attempts.is_empty();
        self.attempts.push(WrittenAttempt { number, finishes_at, succeeds });
        match (self.repeat == RepeatSafety::Unsafe && is_second, self.client_has_ending) {
            (true, true) => Some("a second time, after its end"),
            (true, false) => Some("a second time"),
            (false, _) => None,
        }
    }

    pub(super) fn attempt_finishes_at(&self, number: u32) -> Option<Micros> {
        let attempt = self.attempts.iter().find(|attempt| attempt.number == number);
        attempt.map(|attempt| attempt.finishes_at)
    }

    /// Whether an attempt has finished well.
    pub(super) fn has_result(&self, number: u32, now: Micros) -> bool {
        let newest = self.attempts.iter().rev().find(|attempt| attempt.number == number);
        newest.is_some_and(|attempt| attempt.succeeds && attempt.finishes_at <= now)
    }
}

impl Fleet {
    pub(super) fn add_owner(&mut self, key: &StatementKey, gateway: usize) {
        self.owners.entry(key.clone()).or_default().insert(gateway);
    }

    pub(super) fn remove_owner(&mut self, key: &StatementKey, gateway: usize) {
        if let Some(owners) = self.owners.get_mut(key) {
            owners.remove(&gateway);
        }
    }

    /// Checks that nobody but this gateway may act for a statement now, if this one may.
    pub(super) fn check_only_actor(&mut self, key: &StatementKey, gateway: usize) {
        let may_act = |of: usize| {
            let clock = self.clock(of);
            self.processes[of].node.as_ref().is_some_and(|node| node.may_act(clock))
        };
        let mut others = self.owners.get(key).into_iter().flatten().filter(|&&other| other != gateway);
        let other = others.find(|&&other| may_act(other) && may_act(gateway)).copied();
        if let Some(other) = other {
            self.violate(format!("g{gateway} and g{other} may act for {key:?}"));
        }
    }

    /// A client asks a gateway for the end of its statement.
    pub(super) fn client_polls(&mut self, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        if statement.client_has_ending || self.now > statement.deadline + POLLS_AFTER_DEADLINE {
            return;
        }
        let asked = statement.asked_gateway;
        let token = statement.token.clone();
        // One that knows nothing of it, or does not answer, is left for one that the token names, or for any.
        let other = match self.random_below(4) {
            0 => self.random_below(self.processes.len()),
            _ => token[self.random_below(token.len())],
        };
        let process = &self.processes[asked];
        let answers = process.node.is_some() && process.paused_until <= self.now;
        let (next, delay) =
            if answers { self.answer_poll(asked, key, other) } else { (other, POLL_INTERVAL) };
        let still_open = |statement: &&mut ClientStatement| !statement.client_has_ending;
        if let Some(statement) = self.statements.get_mut(key).filter(still_open) {
            statement.asked_gateway = next;
            self.schedule(self.now + delay, 0, Event::ClientPolls(key.clone()));
        }
    }

    /// A gateway answers a poll. Returns whom the client asks next, and after how long.
    fn answer_poll(&mut self, asked: usize, key: &StatementKey, other: usize) -> (usize, Micros) {
        let clock = self.clock(asked);
        let process = &self.processes[asked];
        let may_act = process.node.as_ref().is_some_and(|node| node.may_act(clock));
        let (mut next, delay) = match process.node.as_ref().map(|node| node.locate(key)) {
            Some(StatementLocation::Remote(incarnation)) => {
                (gateway_number(&incarnation.name), REDIRECT_DELAY)
            }
            // It passes the poll on to whoever runs, as far as it reaches them.
            Some(StatementLocation::Unknown | StatementLocation::Ended(_)) => {
                let reached_owner = self.reached_owner(asked, key);
                (reached_owner.unwrap_or(other), POLL_INTERVAL)
            }
            Some(StatementLocation::Local | StatementLocation::TakingOver) | None => (asked, POLL_INTERVAL),
        };
        if self.one_in(10) {
            next = other;
        }
        let stage = self.processes[asked].statements.get(key).map(|statement| statement.stage.clone());
        if let (true, Some(Stage::Ended(end))) = (may_act, stage) {
            self.report_ending(asked, key, end);
        }
        (next, delay)
    }

    /// The first gateway that owns a statement and can be reached from one.
    fn reached_owner(&self, from: usize, key: &StatementKey) -> Option<usize> {
        let is_reached = |gateway: usize, process: &Process| {
            let is_cut = self.cut_links[from][gateway] || self.cut_links[gateway][from];
            !is_cut && process.paused_until <= self.now
        };
        let owns = |process: &Process| {
            process.node.as_ref().is_some_and(|node| node.locate(key) == StatementLocation::Local)
        };
        let mut gateways = self.processes.iter().enumerate();
        gateways.find(|(gateway, process)| is_reached(*gateway, process) && owns(process)).map(|(n, _)| n)
    }

    /// A gateway reports the end of a statement to its client.
    fn report_ending(&mut self, gateway: usize, key: &StatementKey, end: Option<Ending>) {
        self.check_only_actor(key, gateway);
        let is_lost = self.one_in(10);
        let Some(statement) = self.statements.get_mut(key) else { return };
        let reported_before = statement.reported.clone();
        // An engine's result is reported by the engine's own pages, and counts once the client has it.
        // Without an attempt nothing may have run: then only what the client gets counts.
        let is_recorded = statement.repeat == RepeatSafety::Unsafe || !statement.attempts.is_empty();
        if (end.is_some() && is_recorded) || !is_lost {
            statement.reported = Some(end.clone());
        }
        statement.client_has_ending = !is_lost;
        if let Some(before) = reported_before.filter(|before| *before != end) {
            self.violate(format!("{key:?} had {before:?} and gets {end:?} by g{gateway}"));
        }
        if !is_lost {
            self.counts.ended += 1;
            self.with_node(gateway, |node, clock| node.finish_statement(clock, key));
            self.processes[gateway].statements.remove(key);
            self.remove_owner(key, gateway);
            self.carry_out_effects(gateway);
        }
    }
}
