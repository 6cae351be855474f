//! The caller's operations on statements that this gateway owns: add them, request permission for attempts
//! and endings, record progress, finish them.

use super::statement::{Ownership, PendingAttempt, ReplicaProgress, Role, Statement};
use super::tombstones::Tombstone;
use super::{Effect, InjectedFault, Permission, TakeoverNode, COALESCING_DELAY};
use crate::wire::ReplicaEntry;
use crate::{Ending, InFlightAttempt, Incarnation, Micros, Record, RepeatSafety, StatementKey};

impl TakeoverNode {
    /// Adds a statement that this gateway has accepted. Returns the replicas selected for it.
    pub fn add_statement(&mut self, now: Micros, record: Record) -> Vec<Incarnation> {
        let key = record.key.clone();
        if self.statements.contains_key(&key) {
            return self.replica_list(&key).split_off(1);
        }
        self.last_number = self.last_number.max(key.number);
        let deadline = now.saturating_add(record.remaining_wait);
        let owner = ReplicaEntry { participant: self.local.clone(), excluded: false, added_after: 0 };
        let ownership = Ownership { progress: vec![ReplicaProgress::default()], ..Ownership::default() };
        let statement = Statement {
            record: Record { version: 1, ..record },
            replicas: vec![owner],
            position: 0,
            role: Role::Owner(Box::new(ownership)),
            deadline,
            recorded_at: now,
        };
        self.statements.insert(key.clone(), statement);
        self.review_statement(now, &key);
        self.replica_list(&key).split_off(1)
    }

    /// Whether a statement accepted here at `since` survives this process, so that its acceptance may be
    /// reported to the client.
    ///
    /// It does once all replicas have it and the voters have granted the lease within the last half lease;
    /// or, if a replica does not answer, once another one has it and the lease was granted again after
    /// `since`. An owner that is partitioned notices that only when its lease ends; without this rule it
    /// would until then accept statements that no other gateway can act for before their clients give up.
    pub fn is_safely_replicated(&self, now: Micros, key: &StatementKey, since: Micros) -> bool {
        let Some(statement) = self.statements.get(key) else { return true };
        let Some(ownership) = statement.ownership() else { return true };
        let granted_after =
            |at: Micros| self.lease.expires_at >= at.saturating_add(self.lease_times.holder_span());
        let has_record = |position: usize| ownership.progress[position].acked_version > 0;
        let is_gone = |position: usize| self.is_believed_gone(now, statement.incarnation_at(position));
        if granted_after(now.saturating_sub(self.settings.lease / 2))
            && statement.successors().all(has_record)
        {
            return true;
        }
        let all_gone = || statement.successors().all(is_gone);
        granted_after(since) && (all_gone() || statement.successors().any(has_record))
    }

    /// The statement, if this gateway may act for it now.
    fn actionable_statement(&mut self, now: Micros, key: &StatementKey) -> Option<&mut Statement> {
        let may_act = self.may_act(now);
        let statement = self.statements.get_mut(key)?;
        let is_active = statement.ownership().is_some_and(Ownership::is_active);
        (may_act && is_active).then_some(statement)
    }

    /// Requests permission to send an attempt to its engine; `attempts` counts the attempts including this
    /// one.
    pub fn request_attempt(
        &mut self,
        now: Micros,
        key: &StatementKey,
        attempts: u32,
        attempt: InFlightAttempt,
    ) -> Permission {
        let awaits_intent = self.fault != InjectedFault::IntentNotAwaited;
        let statement = self.actionable_statement(now, key);
        let Some(statement) = statement.filter(|statement| statement.record.ending.is_none()) else {
            return Permission::Denied;
        };
        statement.record.version += 1;
        statement.record.attempts = attempts;
        statement.record.in_flight = Some(attempt);
        statement.record.remaining_wait = statement.deadline.saturating_sub(now);
        statement.recorded_at = now;
        let version = statement.record.version;
        if statement.record.repeat == RepeatSafety::Safe || !awaits_intent {
            self.queue_record(now, key, COALESCING_DELAY);
            return Permission::Granted;
        }
        if let Some(ownership) = statement.ownership_mut() {
            ownership.pending_attempt = Some(PendingAttempt { attempts, version });
        }
        self.await_replicas(now, key)
    }

    /// Sends the record of a pending action to the replicas at once. Grants the action if it has nothing to
    /// wait for.
    fn await_replicas(&mut self, now: Micros, key: &StatementKey) -> Permission {
        self.awaiting_replicas.insert(key.clone());
        let effects_before = self.effects.len();
        self.review_statement(now, key);
        self.advance(now);
        let permits = |effect: &Effect| match effect {
            Effect::StartAttempt(permitted, _) | Effect::ReportEnding(permitted) => permitted == key,
            _ => false,
        };
        let permission = self.effects.iter().skip(effects_before).position(permits);
        match permission {
            Some(position) => {
                self.effects.remove(effects_before + position);
                Permission::Granted
            }
            None => Permission::Pending,
        }
    }

    /// Records progress: the attempt that is in flight, if any, and the pages delivered. It is sent
    /// to the replicas after a short delay, together with later changes.
    pub fn record_progress(
        &mut self,
        now: Micros,
        key: &StatementKey,
        attempt: Option<InFlightAttempt>,
        pages_delivered: u64,
    ) {
        let is_kept =
            |statement: &&mut Statement| statement.ownership().is_some_and(|ownership| !ownership.resigning);
        let Some(statement) = self.statements.get_mut(key).filter(is_kept) else { return };
        statement.record.in_flight = attempt;
        statement.record.pages_delivered = pages_delivered;
        statement.record.version += 1;
        statement.recorded_at = now;
        self.queue_record(now, key, COALESCING_DELAY);
    }

    /// Requests permission to report an ending that the gateway has decided.
    pub fn request_ending(&mut self, now: Micros, key: &StatementKey, ending: Ending) -> Permission {
        let Some(statement) = self.actionable_statement(now, key) else { return Permission::Denied };
        match &statement.record.ending {
            Some(recorded) if *recorded != ending => return Permission::Denied,
            Some(_) => {}
            None => {
                statement.record.ending = Some(ending);
                statement.record.version += 1;
            }
        }
        let version = statement.record.version;
        let is_repeat_safe = statement.record.repeat == RepeatSafety::Safe;
        let was_attempted = statement.record.attempts > 0;
        let Some(ownership) = statement.ownership_mut() else { return Permission::Denied };
        ownership.pending_attempt = None;
        // After an attempt the ending waits for the replicas: once the client is told to retry, no gateway
        // that takes the statement over may run it without knowing of the ending.
        if is_repeat_safe && !was_attempted {
            self.queue_record(now, key, COALESCING_DELAY);
            return Permission::Granted;
        }
        ownership.pending_ending.get_or_insert(version);
        self.await_replicas(now, key)
    }

    /// Ends a statement whose client has received the ending or will not poll again.
    pub fn finish_statement(&mut self, now: Micros, key: &StatementKey) {
        let ownership = self.statements.get(key).and_then(Statement::ownership);
        if ownership.is_none_or(|ownership| ownership.resigning) {
            return;
        }
        let Some(statement) = self.remove_statement(key) else { return };
        if let Some(ownership) = statement.ownership() {
            for position in statement.successors().filter(|&position| ownership.progress[position].notified) {
                let participant = &statement.replicas[position].participant;
                if let Some(peer) = self.peer_mut(participant) {
                    peer.queue_ending(key.clone(), now + COALESCING_DELAY);
                }
            }
        }
        self.add_tombstone(key.clone(), Tombstone::Ended(statement.record.ending));
    }

    /// Starts the hand-over before a planned end of this process: every statement is handed to one of its
    /// replicas, with an [`Effect::Relinquished`] for each.
    pub fn start_hand_over(&mut self, now: Micros) {
        self.handing_over = true;
        let owned = self.statements.iter().filter(|(_, statement)| statement.is_owned());
        let owned: Vec<StatementKey> = owned.map(|(key, _)| key.clone()).collect();
        owned.iter().for_each(|key| self.review_statement(now, key));
        self.advance(now);
    }

    /// Whether the hand-over is complete: this gateway owns no statement any more.
    pub fn hand_over_complete(&self) -> bool {
        self.handed_over
    }
}
