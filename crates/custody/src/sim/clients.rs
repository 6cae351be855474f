//! Clients that poll for the endings of their statements, and the checks of ownership and endings.

use super::events::Event;
use super::process::Process;
use super::statements::Stage;
use super::{gateway_number, Fleet, MILLISECOND, SECOND};
use crate::{Ending, Micros, RepeatSafety, StatementKey, StatementLocation};

/// Time between two polls of a client.
const POLL_INTERVAL: Micros = 250 * MILLISECOND;
/// Time until a client follows a redirect.
const REDIRECT_DELAY: Micros = 30 * MILLISECOND;
/// How long a client continues to poll after its deadline.
const POLLING_AFTER_DEADLINE: Micros = 10 * SECOND;

/// An attempt that was sent to an engine.
struct SentAttempt {
    number: u32,
    finishes_at: Micros,
    succeeds: bool,
}

/// A statement from the view of its client and its engines.
pub(super) struct ClientStatement {
    pub(super) repeat: RepeatSafety,
    pub(super) deadline: Micros,
    attempts: Vec<SentAttempt>,
    /// The ending that was reported; an inner `None` stands for the engine's result.
    reported: Option<Option<Ending>>,
    pub(super) client_has_ending: bool,
    /// The gateway that the client polls next.
    polled_gateway: usize,
    /// The owner and the replicas that the client's token names.
    token: Vec<usize>,
    /// Whether a gateway had the statement after all faults were over and detected.
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
            polled_gateway: gateway,
            token,
            survives: false,
            owner: gateway,
        }
    }

    /// Records that an attempt is sent to an engine. Returns how that violates a checked property, if it
    /// does.
    pub(super) fn add_attempt(
        &mut self,
        number: u32,
        finishes_at: Micros,
        succeeds: bool,
    ) -> Option<&'static str> {
        let is_second = !self.attempts.is_empty();
        self.attempts.push(SentAttempt { number, finishes_at, succeeds });
        match (self.repeat == RepeatSafety::Unsafe && is_second, self.client_has_ending) {
            (true, true) => Some("a second time, after its ending was reported"),
            (true, false) => Some("a second time"),
            (false, _) => None,
        }
    }

    pub(super) fn attempt_finishes_at(&self, number: u32) -> Option<Micros> {
        let attempt = self.attempts.iter().find(|attempt| attempt.number == number);
        attempt.map(|attempt| attempt.finishes_at)
    }

    /// Whether an attempt has succeeded.
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

    /// Checks that no other owner may act for a statement now if this gateway may.
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

    /// A client polls a gateway for the ending of its statement.
    pub(super) fn client_polls(&mut self, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        if statement.client_has_ending || self.now > statement.deadline + POLLING_AFTER_DEADLINE {
            return;
        }
        let polled = statement.polled_gateway;
        let token = statement.token.clone();
        // If the gateway does not know the statement or does not answer, the client polls one that its token
        // names, or sometimes any other.
        let alternative = match self.random_below(4) {
            0 => self.random_below(self.processes.len()),
            _ => token[self.random_below(token.len())],
        };
        let process = &self.processes[polled];
        let answers = process.node.is_some() && process.paused_until <= self.now;
        let (next, delay) =
            if answers { self.answer_poll(polled, key, alternative) } else { (alternative, POLL_INTERVAL) };
        let still_open = |statement: &&mut ClientStatement| !statement.client_has_ending;
        if let Some(statement) = self.statements.get_mut(key).filter(still_open) {
            statement.polled_gateway = next;
            self.schedule(self.now + delay, 0, Event::ClientPolls(key.clone()));
        }
    }

    /// A gateway answers a poll. Returns the gateway that the client polls next, and after which delay.
    fn answer_poll(&mut self, polled: usize, key: &StatementKey, alternative: usize) -> (usize, Micros) {
        let clock = self.clock(polled);
        let process = &self.processes[polled];
        let may_act = process.node.as_ref().is_some_and(|node| node.may_act(clock));
        let (mut next, delay) = match process.node.as_ref().map(|node| node.locate(key)) {
            Some(StatementLocation::Remote(incarnation)) => {
                (gateway_number(&incarnation.name), REDIRECT_DELAY)
            }
            // The gateway forwards the poll to the owner if it can reach it.
            Some(StatementLocation::Unknown | StatementLocation::Ended(_)) => {
                self.request_fencing_of_token(polled, key);
                let owner = self.reachable_owner(polled, key);
                (owner.unwrap_or(alternative), POLL_INTERVAL)
            }
            Some(StatementLocation::Local | StatementLocation::TakingOver) | None => (polled, POLL_INTERVAL),
        };
        if self.one_in(10) {
            next = alternative;
        }
        let stage = self.processes[polled].statements.get(key).map(|statement| statement.stage.clone());
        if let (true, Some(Stage::Ended(ending))) = (may_act, stage) {
            self.report_ending(polled, key, ending);
        }
        (next, delay)
    }

    /// A gateway that does not know a statement requests that those which its token names be fenced, if they
    /// are gone according to membership.
    fn request_fencing_of_token(&mut self, polled: usize, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        for member in statement.token.clone().into_iter().filter(|&member| member != polled) {
            let incarnation = self.incarnation(member);
            self.with_node(polled, |node, clock| node.request_fencing(clock, &incarnation, 0));
        }
        self.carry_out_effects(polled);
    }

    /// The first gateway that owns a statement and is reachable from another gateway.
    fn reachable_owner(&self, from: usize, key: &StatementKey) -> Option<usize> {
        let is_reachable = |gateway: usize, process: &Process| {
            let is_cut = self.cut_links[from][gateway] || self.cut_links[gateway][from];
            !is_cut && process.paused_until <= self.now
        };
        let owns = |process: &Process| {
            process.node.as_ref().is_some_and(|node| node.locate(key) == StatementLocation::Local)
        };
        let mut gateways = self.processes.iter().enumerate();
        gateways.find(|(gateway, process)| is_reachable(*gateway, process) && owns(process)).map(|(n, _)| n)
    }

    /// A gateway reports the ending of a statement to its client.
    fn report_ending(&mut self, gateway: usize, key: &StatementKey, ending: Option<Ending>) {
        self.check_only_actor(key, gateway);
        let is_lost = self.one_in(10);
        let Some(statement) = self.statements.get_mut(key) else { return };
        let reported_before = statement.reported.clone();
        // An ending that a gateway decided counts as reported as soon as it is sent if the replicas recorded
        // it first. An engine's result, or an ending without an attempt, counts only once the client has it.
        let was_recorded = statement.repeat == RepeatSafety::Unsafe || !statement.attempts.is_empty();
        if (ending.is_some() && was_recorded) || !is_lost {
            statement.reported = Some(ending.clone());
        }
        statement.client_has_ending = !is_lost;
        if let Some(before) = reported_before.filter(|before| *before != ending) {
            self.violate(format!("{key:?}: g{gateway} reports {ending:?} after {before:?} was reported"));
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
