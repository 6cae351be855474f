//! What the caller does with the statements that this gateway owns: adds them, asks for permission, reports
//! progress, ends them.

use super::statement::{Ownership, PendingAttempt, ReplicaProgress, Role, Statement};
use super::tombstones::Tombstone;
use super::{Effect, InjectedFault, Permission, TakeoverNode, COALESCING_DELAY};
use crate::wire::ReplicaEntry;
use crate::{Ending, InFlightAttempt, Incarnation, Micros, Record, RepeatSafety, StatementKey};

impl TakeoverNode {
    /// A statement that this gateway has accepted. Returns the replicas that were selected.
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

    /// Whether the client of a statement that was accepted here at a time may be told so: the statement
    /// survives this process from then on. That is the case once all replicas have it and the voters have
    /// granted the lease within half a lease; or, if a replica is silent, once another one has it and the
    /// lease was granted anew since. An owner that is partitioned learns of that only at the end of its
    /// lease, and what it accepts until then nobody could act for before the client has given up.
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

    /// A statement for which this gateway may act now.
    fn actionable_statement(&mut self, now: Micros, key: &StatementKey) -> Option<&mut Statement> {
        let may_act = self.may_act(now);
        let statement = self.statements.get_mut(key)?;
        let is_active = statement.ownership().is_some_and(Ownership::is_active);
        (may_act && is_active).then_some(statement)
    }

    /// Before an attempt is written to its engine: `attempts` have been spent then, this one included.
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

    /// What waits is sent at once. If there is nothing to wait for, the permission is the answer.
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

    /// Progress: the attempt that is in flight, if any, and the pages passed on. It is sent when there is
    /// time.
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

    /// Before an ending of the gateway's own is reported to the client.
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
        let is_harmless = statement.record.repeat == RepeatSafety::Safe;
        let was_attempted = statement.record.attempts > 0;
        let Some(ownership) = statement.ownership_mut() else { return Permission::Denied };
        ownership.pending_attempt = None;
        // After an attempt the ending waits for the replicas: a client that was told to try again must not
        // have the statement run by a gateway that took it over and knows nothing of that.
        if is_harmless && !was_attempted {
            self.queue_record(now, key, COALESCING_DELAY);
            return Permission::Granted;
        }
        ownership.pending_ending.get_or_insert(version);
        self.await_replicas(now, key)
    }

    /// The client has its ending, or never comes back.
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

    /// A planned end of the gateway: every statement that has a replica goes to it, with
    /// [`Effect::Relinquished`] each.
    pub fn start_hand_over(&mut self, now: Micros) {
        self.handing_over = true;
        let owned = self.statements.iter().filter(|(_, statement)| statement.is_owned());
        let owned: Vec<StatementKey> = owned.map(|(key, _)| key.clone()).collect();
        owned.iter().for_each(|key| self.review_statement(now, key));
        self.advance(now);
    }

    /// Whether nothing is owned any more after [`TakeoverNode::start_hand_over`].
    pub fn hand_over_complete(&self) -> bool {
        self.handed_over
    }
}
